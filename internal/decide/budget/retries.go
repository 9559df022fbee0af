package budget

import "math"

const (
	// A class may make retryShare retries per request of the last retrySpan ms, plus retryFree. The
	// probability that a retry is allowed falls from 1, when half of that is used, to 0.
	retryShare, retryFree, retrySpan = 0.25, 8.0, 5000.0
	// The throttle counts 1 for each attempt that ended and subtracts earnedFactor times the value
	// that it earned. It closes when the count reaches freeAttempts. The count is capped at
	// maxUnearned: attempts that end while the throttle is closed were sent before and only repeat
	// what closed it. Without the cap, an agent with twenty attempts in flight that all failed at the
	// same moment sent nothing for two spans, long after the servers had recovered, and so did eight
	// of ten agents at the same time.
	earnedFactor, freeAttempts, maxUnearned = 1.5, 3.0, 4.0
)

// RetryBudget bounds the retries of each class to a fraction of its recent requests (Finagle's
// RetryBudget, gRFC A6), so that an outage does not multiply the load.
type RetryBudget struct{ classes []retryUsage }

type retryUsage struct {
	at, requests, retries float64 // as of at, in ms; decaying
}

// NewRetryBudget returns the budgets of a number of classes.
func NewRetryBudget(classes int) *RetryBudget { return &RetryBudget{make([]retryUsage, classes)} }

// Remap follows a change of the settings, as LatencyEstimates.Remap does.
func (r *RetryBudget) Remap(from []int) {
	r.classes = Remap(r.classes, make([]retryUsage, len(from)), from)
}

func (r *RetryBudget) decayed(class int, now float64) *retryUsage {
	s := &r.classes[class]
	if s.requests+s.retries == 0 {
		s.at = now
	} else if now > s.at {
		fade := math.Exp((s.at - now) / retrySpan)
		s.requests, s.retries, s.at = s.requests*fade, s.retries*fade, now
	}
	return s
}

// ObserveRequest counts a request at the time now, in ms.
func (r *RetryBudget) ObserveRequest(class int, now float64) { r.decayed(class, now).requests++ }

// Acquire takes a retry out of the budget and reports whether it may be made. random is from 0 up to
// 1: near the end of the budget only some retries are allowed, so that requests that failed at the
// same moment are neither all retried nor all given up at once.
func (r *RetryBudget) Acquire(class int, now, random float64) bool {
	s := r.decayed(class, now)
	if 2-2*s.retries/(retryFree+retryShare*s.requests) <= random {
		return false
	}
	s.retries++
	return true
}

// Throttle blocks attempts while too many recent ones have earned nothing (adaptive throttling: Beyer
// et al., Site Reliability Engineering, 2016, chapter 21).
type Throttle struct {
	span     float64 // time constant of the decay, in ms
	unearned float64 // attempts that ended, less earnedFactor times the value earned; as of at
	at       float64
}

// NewThrottle returns a Throttle that counts attempts over about span ms.
func NewThrottle(span float64) *Throttle { return &Throttle{span: span} }

// WithSpan changes the span from now on and keeps the count. On a nil Throttle it returns a new one.
func (t *Throttle) WithSpan(span float64) *Throttle {
	if t == nil {
		return NewThrottle(span)
	}
	t.span = span
	return t
}

func (t *Throttle) decayed(now float64) float64 {
	if t.unearned == 0 {
		return 0 // at is not set yet
	}
	return t.unearned * math.Exp((t.at-now)/t.span)
}

// ObserveAttempt counts an attempt that has ended and earned a fraction of its value, from 0 to 1.
// However many end at the same moment, the throttle opens again after at most
// ln(maxUnearned/freeAttempts) spans.
func (t *Throttle) ObserveAttempt(now, earned float64) {
	t.unearned, t.at = min(t.decayed(now)+1-earnedFactor*earned, maxUnearned), now
}

// Open reports whether another attempt may be sent.
func (t *Throttle) Open(now float64) bool { return t.decayed(now) < freeAttempts }
