package scheduler

const (
	// initialDecodeMs is the assumed decode duration of a class of which no request has been observed, ms.
	initialDecodeMs = 20
	// maxClasses is the maximum number of request classes that are tracked; further ones aren't learned.
	maxClasses = 4096
	// minLongPoolFill and maxLongPoolFill are the utilization bounds between which the long-decode pool keeps its size:
	// it grows above the upper bound, and shrinks if with one backend less it would stay below the lower bound.
	minLongPoolFill = 0.4
	maxLongPoolFill = 0.65
	// longPoolGrowAfterMs is the minimum time between a change of the pool's size and its next growth, ms.
	longPoolGrowAfterMs = 500
	// longPoolShrinkAfterMs is the minimum time between a change of the pool's size and its next shrinking, ms. It is
	// long because each change moves preferred backends, and prefixes must be prefilled again.
	longPoolShrinkAfterMs = 8000
	// initialLongPoolDivisor sets the pool's initial size: 1/initialLongPoolDivisor of the decode backends.
	initialLongPoolDivisor = 4
)

// requestClass has the mean values of the requests of a class, for example those of a route.
type requestClass struct {
	promptTokens float64
	decodeMs     float64 // time from the first token to the last, ms
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

// LongDecode reports whether decoding a request of the class takes longer than prefilling its prompt at a decode
// backend. Such requests and those with long prompts slow each other down, so they are kept on separate backends.
func (e *Estimator) LongDecode(name string, p *Prompt) bool {
	class := e.class(name, p)
	return class.decodeMs > class.promptTokens*e.prefillMsPerToken*decodePrefillSlowdown
}

// ObserveDecode records how long a request of the class was decoded, from its first token to its last, ms.
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
// proxies arrive at similar sizes. It returns 0 if there are fewer than two backends or the capacity is unknown.
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

// resizeLongPool grows or shrinks the long-decode pool by one backend if needed; utilization is the sum over the pool's
// backends.
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
		// Whenever the size fits, at least half of the wait before shrinking starts again.
		e.longPoolChangedAt = max(e.longPoolChangedAt, now-longPoolShrinkAfterMs/2)
	}
}
