package proxy

import "time"

const (
	// budgetUtilisation is the part of the fleet's bounds that is made use of, without a unit: windows slide, and
	// proxies learn their number late.
	budgetUtilisation = 0.6
	// minBudgetWindow is the shortest window over which sends are counted.
	minBudgetWindow = time.Second
)

// retryBudget is this proxy's share of what all proxies together may send beyond the first send of each request. It
// is a token bucket, one token a send, that fills with requests and with time. It has no lock of its own: its
// service's guards it.
//
// The fleet's rule bounds the extra sends of any window by a ratio of the requests of that window or of the one
// before, and by a sum besides. The bucket holds at most half of this proxy's share of the sum and half of what the
// requests of the last window gave; the other half of the sum, and what the window's own requests give, come while
// it lasts. That is one and a half times the ratio's part at the most, of which budgetUtilisation is made use of.
type retryBudget struct {
	// The rule, for this proxy.
	ratio     float64       // tokens a request
	base      float64       // tokens that the bucket holds whatever the requests were
	perSecond float64       // tokens a second
	window    time.Duration // over which the rule counts

	// The bucket.
	tokens     float64
	refilledAt time.Time

	// Requests in the half of a window that began at halfWindowStart, and in the half before.
	halfWindowStart time.Time
	requests        float64
	lastRequests    float64
}

// configure sets the fleet's rule: ratio extra sends a request and extra besides, in each window, for all proxies
// together. The bucket begins with its base, and keeps its tokens when the rule changes.
func (rb *retryBudget) configure(now time.Time, ratio, extra float64, window time.Duration, proxies int) {
	first := rb.refilledAt.IsZero()
	if first {
		rb.refilledAt = now
		rb.halfWindowStart = now
	}
	rb.ratio = ratio * budgetUtilisation
	rb.window = max(window, minBudgetWindow)
	// What was saved may go out at once and the rest of a window's in the same window: half each.
	share := extra * budgetUtilisation / float64(max(proxies, 1))
	rb.base = max(share/2, min(share, 1))
	rb.perSecond = share / 2 / rb.window.Seconds()
	if first {
		rb.tokens = rb.base
	}
	rb.tokens = min(rb.tokens, rb.capacity())
}

// capacity returns how many tokens the bucket holds at most.
func (rb *retryBudget) capacity() float64 {
	return rb.base + rb.ratio*(rb.lastRequests+rb.requests)/2
}

// refill adds the tokens that came with time, and begins a new half of a window where one is over.
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

// available reports whether there are n tokens.
func (rb *retryBudget) available(now time.Time, n float64) bool {
	rb.refill(now)
	return rb.tokens >= n
}

// take takes n tokens; false: there are fewer, and none was taken.
func (rb *retryBudget) take(now time.Time, n float64) bool {
	if !rb.available(now, n) {
		return false
	}
	rb.tokens -= n
	return true
}
