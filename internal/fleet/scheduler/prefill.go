package scheduler

// PrefillSpeedup is the ratio of the prefill speed of a prefill backend to that of a decode backend (PROTOCOL).
const PrefillSpeedup = 2

const (
	// initialPrefillMsPerToken is the initial value of prefillMsPerToken, ms per token.
	initialPrefillMsPerToken = 1.0 / 250
	// learningRate is the weight of a new value in an exponential moving mean.
	learningRate = 0.05
	// decodePrefillSlowdown is the ratio of the prefill time per token at a decode backend to that at a prefill
	// backend.
	decodePrefillSlowdown = PrefillSpeedup
	// prefillingShare is the fraction of the requests at a decode backend, other than those of the long-decode pool,
	// that are still in prefill.
	prefillingShare = 0.4
	// minMeasuredTokens is the minimum number of tokens of a prefill from which the speed is learned; with fewer,
	// overhead dominates.
	minMeasuredTokens = 512
	// maxExpectedScale limits the correction of estimates, as a factor in both directions.
	maxExpectedScale = 4
	// minObservedPrefillMs is the minimum estimate that is compared with the actual duration, ms: shorter ones reflect
	// the network rather than the queue.
	minObservedPrefillMs = 20
)

// UncachedTokens returns the number of tokens of the prompt that the backend would have to prefill; all of them if the
// backend isn't listed.
func (e *Estimator) UncachedTokens(id string, p *Prompt) int {
	b := e.byID[id]
	if b == nil {
		return p.InputTokens
	}
	return p.InputTokens - b.cache.matchTokens(p)
}

// PrefillMs returns the estimated duration of the prompt's prefill at the backend without queueing, ms. preferred is
// true if the backend is the preferred one for the prompt's prefix.
func (e *Estimator) PrefillMs(id string, p *Prompt, preferred bool) float64 {
	return float64(e.tokensToPrefill(id, p, preferred)) * e.msPerToken(e.byID[id])
}

// tokensToPrefill returns the estimated number of tokens of the prompt that the backend has to prefill. At the
// preferred backend the shared prefix is assumed to be cached, since other proxies send prompts with that prefix to it,
// which this proxy doesn't observe.
func (e *Estimator) tokensToPrefill(id string, p *Prompt, preferred bool) int {
	tokens := e.UncachedTokens(id, p)
	if preferred {
		tokens = min(tokens, p.UnsharedTokens())
	}
	return tokens
}

// ExpectedPrefillMs returns the estimated time until the prompt's prefill ends at the backend, including queueing, ms,
// corrected by the errors of earlier estimates.
func (e *Estimator) ExpectedPrefillMs(now float64, id string, p *Prompt, preferred bool) float64 {
	return (e.QueueMs(now, id) + e.PrefillMs(id, p, preferred)) * e.expectedScale
}

// ObservePrefill corrects later estimates by comparing the duration of a prefill with the value that ExpectedPrefillMs
// returned for it, both in ms and above 0.
func (e *Estimator) ObservePrefill(expected, took float64) {
	if expected < minObservedPrefillMs {
		return
	}
	scale := min(max(took/expected*e.expectedScale, 1/maxExpectedScale), maxExpectedScale)
	e.expectedScale += (scale - e.expectedScale) * learningRate
}

func (e *Estimator) msPerToken(b *backendState) float64 {
	if b != nil && b.prefill {
		return e.prefillMsPerToken
	}
	return e.prefillMsPerToken * decodePrefillSlowdown
}

// QueueMs returns the estimated duration of the prefills that are queued or running at the backend, ms: those of this
// proxy, and those of other proxies if the backend reported more requests. Each of the latter is counted as an average
// prompt, half done if it is running; at a decode backend, prefillingShare of the running ones are counted.
func (e *Estimator) QueueMs(now float64, id string) float64 {
	b := e.byID[id]
	if b == nil {
		return 0
	}
	tokens := b.pendingPrefillTokens
	if now-b.reportedAt < loadFreshMs {
		others := float64(max(b.reportedActive-b.inFlight, 0))
		if !b.prefill {
			others *= prefillingShare
		}
		tokens += (others/2 + float64(b.reportedQueued)) * e.meanUncachedTokens
	}
	return tokens * e.msPerToken(b)
}

// DecodeLocalPrefillMs returns how long a decode backend takes to prefill the entire prompt itself, ms. It does so
// between the tokens of other requests, which it slows down.
func (e *Estimator) DecodeLocalPrefillMs(p *Prompt) float64 {
	return float64(p.InputTokens) * e.prefillMsPerToken * decodePrefillSlowdown
}

// PrefillStarted records a prompt sent to a backend for prefill and returns the number of tokens to pass to
// PrefillEnded; 0 if the backend isn't listed.
func (e *Estimator) PrefillStarted(id string, p *Prompt, preferred bool) (tokens int) {
	b := e.byID[id]
	if b == nil {
		return 0
	}
	tokens = e.tokensToPrefill(id, p, preferred)
	e.meanUncachedTokens += (float64(tokens) - e.meanUncachedTokens) * learningRate
	b.pendingPrefillTokens += float64(tokens)
	b.inFlight++
	b.cache.touch(p) // the next prompt with this prefix finds it cached, or queues behind this one
	return tokens
}

// PrefillEnded records the end of a prefill: the tokens that PrefillStarted returned, and the duration, ms; 0 if the
// prompt wasn't prefilled. The speed is learned only if this proxy and the backend's report know of no other request at
// the backend: time spent waiting for others would make the backend appear slow.
func (e *Estimator) PrefillEnded(id string, tokens int, took float64) {
	b := e.byID[id]
	if b == nil {
		return
	}
	alone := b.inFlight <= 1 && b.reportedActive+b.reportedQueued <= 1
	b.pendingPrefillTokens = max(b.pendingPrefillTokens-float64(tokens), 0)
	if took > 0 && tokens >= minMeasuredTokens && alone {
		e.learnPrefillSpeed(b, took/float64(tokens))
	}
}

func (e *Estimator) learnPrefillSpeed(b *backendState, msPerToken float64) {
	if !b.prefill {
		msPerToken /= decodePrefillSlowdown
	}
	// A single outlier is limited to twice the current estimate.
	e.prefillMsPerToken += (min(msPerToken, 2*e.prefillMsPerToken) - e.prefillMsPerToken) * learningRate
}

// InvalidateCache records that a prompt sent to a backend may not have been prefilled: all its segments are removed
// from the modelled cache.
func (e *Estimator) InvalidateCache(id string, p *Prompt) {
	if b := e.byID[id]; b != nil {
		b.cache.invalidate(p)
	}
}
