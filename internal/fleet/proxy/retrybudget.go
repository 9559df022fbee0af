package proxy

import "time"

// retryBudget is this proxy's part of what all together may send beyond the first of each request: a share of its own
// requests, and a part of what is allowed besides. It is a bucket that fills with requests and with time.
//
// The rule bounds what is sent in any window by a ratio of the requests of that window or of the one before, and by a sum. What
// is saved is half of this proxy's part of the sum and half of what the requests of the last window gave; the other half of
// the sum, and what the window's own requests give, come while it lasts: one and a half times the ratio's part at the most, of
// which budgetUtilisation is made use of.
type retryBudget struct {
	ratio           float64 // per request
	base            float64 // that may be saved up whatever the requests were
	perSecond       float64 // that come with time
	tokens          float64
	refilledAt      time.Time
	window          time.Duration
	halfWindowStart time.Time // the half of a window that is counted
	requests        float64   // requests in it
	lastRequests    float64   // and in the half before
}

// budgetUtilisation is the part of the bounds that is made use of: windows slide, and agents know their number late.
const budgetUtilisation = 0.6

// restricted takes the rule's figures for one of so many proxies.
func (rb *retryBudget) configure(now time.Time, ratio, extra float64, window time.Duration, proxies int) {
	first := rb.refilledAt.IsZero()
	if first {
		rb.refilledAt, rb.halfWindowStart = now, now
	}
	rb.ratio, rb.window = ratio*budgetUtilisation, max(window, time.Second)
	// What was saved may go out at once and the rest of a window's in the same window: half each.
	part := extra * budgetUtilisation / float64(max(proxies, 1))
	rb.base = max(part/2, min(part, 1))
	rb.perSecond = part / 2 / rb.window.Seconds()
	if first {
		rb.tokens = rb.base
	}
	rb.tokens = min(rb.tokens, rb.capacity())
}

// capacity is how much may be saved.
func (rb *retryBudget) capacity() float64 { return rb.base + rb.ratio*(rb.lastRequests+rb.requests)/2 }

func (rb *retryBudget) refill(now time.Time) {
	if past := now.Sub(rb.halfWindowStart); past >= rb.window/2 {
		if rb.lastRequests = rb.requests; past >= rb.window {
			rb.lastRequests = 0
		}
		rb.requests, rb.halfWindowStart = 0, now
	}
	rb.tokens = min(rb.tokens+now.Sub(rb.refilledAt).Seconds()*rb.perSecond, rb.capacity())
	rb.refilledAt = now
}

// addRequest counts a request of a client.
func (rb *retryBudget) addRequest(now time.Time) {
	rb.refill(now)
	rb.requests++
	rb.tokens = min(rb.tokens+rb.ratio, rb.capacity())
}

// available tells whether there are n further sends.
func (rb *retryBudget) available(now time.Time, n float64) bool {
	rb.refill(now)
	return rb.tokens >= n
}

// apply takes n further sends, if there are so many left.
func (rb *retryBudget) take(now time.Time, n float64) bool {
	if !rb.available(now, n) {
		return false
	}
	rb.tokens -= n
	return true
}
