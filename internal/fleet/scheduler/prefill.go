package scheduler

// PrefillSpeedup is how many times as fast a prefill backend prefills a prompt as a decode backend does (PROTOCOL).
const PrefillSpeedup = 2

const (
	// initialPrefillMsPerToken is where the learning of prefillMsPerToken starts, ms a token.
	initialPrefillMsPerToken = 1.0 / 250
	// learningRate is the weight of a new value in a mean that is learned.
	learningRate = 0.05
	// decodePrefillSlowdown is how many times as long a decode backend takes to prefill a token.
	decodePrefillSlowdown = PrefillSpeedup
	// prefillingShare is the share of the requests at a decode backend, other than those of the long-decode pool,
	// that are still in prefill.
	prefillingShare = 0.4
	// minMeasuredTokens is the least number of tokens from whose prefill the speed is learned: of fewer, overhead is
	// most.
	minMeasuredTokens = 512
	// maxExpectedScale bounds how wrong an estimate is believed to be, as a factor both ways.
	maxExpectedScale = 4
	// minObservedPrefillMs is the least estimate that is compared with what came, ms: a shorter time says more of the
	// network than of the queue.
	minObservedPrefillMs = 20
)

// UncachedTokens returns how many tokens of the prompt the backend would have to prefill; all of them where the
// backend isn't listed.
func (e *Estimator) UncachedTokens(id string, p *Prompt) int {
	b := e.byID[id]
	if b == nil {
		return p.InputTokens
	}
	return p.InputTokens - b.cache.matchTokens(p)
}

// PrefillMs returns how long the prefill of the prompt takes at the backend once it begins, ms. preferred tells that
// the backend is the preferred one of the prompt's prefix.
func (e *Estimator) PrefillMs(id string, p *Prompt, preferred bool) float64 {
	return float64(e.tokensToPrefill(id, p, preferred)) * e.msPerToken(e.byID[id])
}

// tokensToPrefill returns how many tokens of the prompt the backend is believed to have to prefill. At the preferred
// backend the shared prefix is taken to be cached: other proxies send prompts with that prefix there, of which this
// one knows nothing.
func (e *Estimator) tokensToPrefill(id string, p *Prompt, preferred bool) int {
	tokens := e.UncachedTokens(id, p)
	if preferred {
		tokens = min(tokens, p.UnsharedTokens())
	}
	return tokens
}

// ExpectedPrefillMs returns the time until the prompt's prefill ends at the backend, queueing included, ms, corrected
// by how earlier estimates turned out.
func (e *Estimator) ExpectedPrefillMs(now float64, id string, p *Prompt, preferred bool) float64 {
	return (e.QueueMs(now, id) + e.PrefillMs(id, p, preferred)) * e.expectedScale
}

// ObservePrefill corrects later estimates by how long a prefill took and how long ExpectedPrefillMs had said, both in
// ms and above 0.
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

// QueueMs returns how long the prefills that are queued or running at the backend take, ms: those of this proxy, and
// those of others as far as the backend reported more requests. Each of the latter counts as an average prompt, half
// of it done where it runs; at a decode backend only the share of them that is still in prefill counts.
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

// DecodeLocalPrefillMs returns how long a decode backend takes to prefill the whole prompt itself, ms. It does so
// between the tokens of other requests, which it slows.
func (e *Estimator) DecodeLocalPrefillMs(p *Prompt) float64 {
	return float64(p.InputTokens) * e.prefillMsPerToken * decodePrefillSlowdown
}

// PrefillStarted records a prompt sent to a backend to be prefilled and returns the number of tokens to pass to
// PrefillEnded; 0 where the backend isn't listed.
func (e *Estimator) PrefillStarted(id string, p *Prompt, preferred bool) (tokens int) {
	b := e.byID[id]
	if b == nil {
		return 0
	}
	tokens = e.tokensToPrefill(id, p, preferred)
	e.meanUncachedTokens += (float64(tokens) - e.meanUncachedTokens) * learningRate
	b.pendingPrefillTokens += float64(tokens)
	b.inFlight++
	b.cache.touch(p) // the next prompt with this prefix finds it there, or waits behind it
	return tokens
}

// PrefillEnded records the end of a prefill: the tokens that PrefillStarted returned, and how long it took, ms; 0
// where the prompt wasn't prefilled. The speed is learned only where, as far as this proxy and the backend know,
// nothing else ran: what waited for others would make the backend look slow.
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
	// A single outlier counts as no more than twice what is believed.
	e.prefillMsPerToken += (min(msPerToken, 2*e.prefillMsPerToken) - e.prefillMsPerToken) * learningRate
}

// InvalidateCache records that a prompt sent to a backend may not have been prefilled: nothing of it is believed
// cached there.
func (e *Estimator) InvalidateCache(id string, p *Prompt) {
	if b := e.byID[id]; b != nil {
		b.cache.invalidate(p)
	}
}
