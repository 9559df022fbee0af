package scheduler

const (
	// initialDecodeMs is how long decoding a request is taken to last until one of its class was seen, ms.
	initialDecodeMs = 20
	// maxClasses bounds the classes of requests that are told apart; further ones aren't learned.
	maxClasses = 4096
	// minLongPoolFill and maxLongPoolFill are the utilization between which the long-decode pool keeps its size:
	// above the upper bound it grows, and it shrinks where one backend less would stay below the lower one.
	minLongPoolFill = 0.4
	maxLongPoolFill = 0.65
	// longPoolGrowAfterMs is the least time from a change of the pool to its growing, ms.
	longPoolGrowAfterMs = 500
	// longPoolShrinkAfterMs is the least time from a change to its shrinking, ms. It is long since each change moves
	// preferred backends, whose prefixes are prefilled again.
	longPoolShrinkAfterMs = 8000
	// initialLongPoolDivisor is one in how many decode backends the pool starts with.
	initialLongPoolDivisor = 4
)

// requestClass is what requests of a class, such as those of a route, are like on the mean.
type requestClass struct {
	promptTokens float64
	decodeMs     float64 // from the first token to the last
}

func (e *Estimator) class(name string, p *Prompt) requestClass {
	class, ok := e.classes[name]
	if !ok {
		class = requestClass{
			promptTokens: float64(p.InputTokens),
			decodeMs:     initialDecodeMs,
		}
	}
	return class
}

// LongDecode tells whether decoding a request of the class takes longer than the prefill of its prompt does at a
// decode backend. Such requests and those with long prompts slow each other and are kept at separate backends.
func (e *Estimator) LongDecode(name string, p *Prompt) bool {
	class := e.class(name, p)
	return class.decodeMs > class.promptTokens*e.prefillMsPerToken*decodePrefillSlowdown
}

// ObserveDecode learns how long a request of the class was decoded, from its first token to its last, ms.
func (e *Estimator) ObserveDecode(name string, p *Prompt, ms float64) {
	class := e.class(name, p)
	if _, known := e.classes[name]; !known && len(e.classes) >= maxClasses {
		return
	}
	class.promptTokens += (float64(p.InputTokens) - class.promptTokens) * learningRate
	class.decodeMs += (ms - class.decodeMs) * learningRate
	e.classes[name] = class
}

// LongDecodePool returns how many decode backends are reserved for requests with a long decode: the first ones of
// order, which is the same at all proxies. The size follows the utilization that these backends report, so that all
// proxies come to much the same. 0 where there are fewer than two backends or no capacity is known.
func (e *Estimator) LongDecodePool(now float64, order []string) int {
	if len(order) < 2 || e.spec.Capacity <= 0 {
		return 0
	}
	if e.longPool == 0 {
		e.longPool = max(1, len(order)/initialLongPoolDivisor)
		e.longPoolChangedAt = now
	}
	utilization := 0.0
	for _, id := range order[:min(e.longPool, len(order)-1)] {
		utilization += e.Utilization(id)
	}
	e.resizeLongPool(now, utilization)
	e.longPool = min(e.longPool, len(order)-1)
	return e.longPool
}

// resizeLongPool grows or shrinks the long-decode pool by one backend, by the sum of its backends' utilization.
func (e *Estimator) resizeLongPool(now, utilization float64) {
	size := float64(e.longPool)
	switch {
	case utilization > maxLongPoolFill*size:
		if now-e.longPoolChangedAt > longPoolGrowAfterMs {
			e.longPool++
			e.longPoolChangedAt = now
		}
	case e.longPool > 1 && utilization < minLongPoolFill*(size-1):
		if now-e.longPoolChangedAt > longPoolShrinkAfterMs {
			e.longPool--
			e.longPoolChangedAt = now
		}
	default:
		// Half of the wait for shrinking counts anew whenever the size fits.
		e.longPoolChangedAt = max(e.longPoolChangedAt, now-longPoolShrinkAfterMs/2)
	}
}
