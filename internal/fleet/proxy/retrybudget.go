package proxy

import "time"

const (
	// budgetUtilisation is the fraction of the fleet's limits that is used. The rest is a margin because windows slide,
	// and proxies learn their number with a delay.
	budgetUtilisation = 0.6
	// minBudgetWindow is the shortest window over which sends are counted.
	minBudgetWindow = time.Second
)

// retryBudget is this proxy's share of the extra sends, those beyond the first send of each request, that all proxies
// together may make. It is a token bucket, one token per send, that fills with requests and with time. It has no lock
// of its own: it is guarded by that of its service.
//
// The fleet's rule limits the extra sends of any window to a ratio of the requests of that window or of the one before,
// plus a fixed sum. The bucket holds at most half of this proxy's share of the sum and half of the tokens from the
// requests of the last window; the other half of the sum, and the tokens from the window's own requests, are added
// during the window. That is at most one and a half times the part of the ratio, of which budgetUtilisation is used.
type retryBudget struct {
	// The rule, for this proxy.
	ratio     float64       // tokens per request
	base      float64       // capacity of the bucket without requests, tokens
	perSecond float64       // tokens per second
	window    time.Duration // over which the rule counts

	// The bucket.
	tokens     float64
	refilledAt time.Time

	// Requests in the half window that began at halfWindowStart, and in the half window before.
	halfWindowStart time.Time
	requests        float64
	lastRequests    float64
}

// configure sets the fleet's rule: in each window, ratio extra sends per request plus extra, for all proxies together.
// The bucket starts with its base, and keeps its tokens when the rule changes.
func (rb *retryBudget) configure(now time.Time, ratio, extra float64, window time.Duration, proxies int) {
	first := rb.refilledAt.IsZero()
	if first {
		rb.refilledAt = now
		rb.halfWindowStart = now
	}
	rb.ratio = ratio * budgetUtilisation
	rb.window = max(window, minBudgetWindow)
	// The tokens in the bucket may be spent at once, and those added during a window in the same window: half each.
	share := extra * budgetUtilisation / float64(max(proxies, 1))
	rb.base = max(share/2, min(share, 1))
	rb.perSecond = share / 2 / rb.window.Seconds()
	if first {
		rb.tokens = rb.base
	}
	rb.tokens = min(rb.tokens, rb.capacity())
}

// capacity returns the most tokens that the bucket can hold.
func (rb *retryBudget) capacity() float64 {
	return rb.base + rb.ratio*(rb.lastRequests+rb.requests)/2
}

// refill adds the tokens for the elapsed time, and starts a new half window if the current one is over.
func (rb *retryBudget) refill(now time.Time) {
	if past := now.Sub(rb.halfWindowStart); past >= rb.window/2 {
		rb.lastRequests = rb.requests
		if past >= rb.window {
			rb.lastRequests = 0
		}
		rb.requests = 0
		rb.halfWindowStart = now
	}
	came := now.Sub(rb.refilledAt).Seconds() * rb.perSecond
	rb.tokens = min(rb.tokens+came, rb.capacity())
	rb.refilledAt = now
}

// addRequest adds the tokens of a client's request.
func (rb *retryBudget) addRequest(now time.Time) {
	rb.refill(now)
	rb.requests++
	rb.tokens = min(rb.tokens+rb.ratio, rb.capacity())
}

// available reports whether at least n tokens are available.
func (rb *retryBudget) available(now time.Time, n float64) bool {
	rb.refill(now)
	return rb.tokens >= n
}

// take takes n tokens; if fewer are available it takes none and returns false.
func (rb *retryBudget) take(now time.Time, n float64) bool {
	if !rb.available(now, n) {
		return false
	}
	rb.tokens -= n
	return true
}
