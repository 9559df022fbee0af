package budget

import "math"

const (
	// retryShare is how many retries may be made for each request of its class in the last
	// retrySpan ms, beyond retryFree. The chance of one falls from 1 at half of that to 0.
	retryShare, retryFree, retrySpan = 0.25, 8.0, 5000.0
	// tryFactor is how many attempts may end for each that earned its worth before less is
	// sent; tryFree of them are free. Beyond tryMost nothing is remembered: what ends while
	// the throttle is closed was sent before, and says again what closed it. An agent with
	// twenty attempts out that all failed in one moment sent nothing for two spans, long after
	// the servers were back; and so did eight in ten agents, at once.
	tryFactor, tryFree, tryMost = 1.5, 3.0, 4.0
)

// Retries is the budget of retries of each class, as a share of its requests of the last seconds
// (Finagle's RetryBudget, gRFC A6), so that an outage does not multiply what comes.
type Retries struct{ classes []spent }

type spent struct {
	at, asked, again float64 // as of at, in ms, fading
}

// NewRetries makes the budgets of so many classes.
func NewRetries(classes int) *Retries { return &Retries{make([]spent, classes)} }

// Fit follows other settings, as Needs.Fit does.
func (r *Retries) Fit(from []int) { r.classes = Fit(r.classes, make([]spent, len(from)), from) }

func (r *Retries) of(class int, now float64) *spent {
	s := &r.classes[class]
	if s.asked+s.again == 0 {
		s.at = now
	} else if now > s.at {
		fade := math.Exp((s.at - now) / retrySpan)
		s.asked, s.again, s.at = s.asked*fade, s.again*fade, now
	}
	return s
}

// Asked counts a request at the time now, in ms.
func (r *Retries) Asked(class int, now float64) { r.of(class, now).asked++ }

// Take takes one retry out of the budget, and reports whether it may be made. draw is from 0 up to 1:
// near the end of the budget some may and some may not, so that what failed in one moment is not tried
// again, or given up, in one.
func (r *Retries) Take(class int, now, draw float64) bool {
	s := r.of(class, now)
	if 2-2*s.again/(retryFree+retryShare*s.asked) <= draw {
		return false
	}
	s.again++
	return true
}

// Throttle holds back attempts where too many of late have earned nothing (adaptive throttling:
// Beyer et al., Site Reliability Engineering, 2016, chapter 21).
type Throttle struct {
	span   float64 // ms over which attempts fade
	unpaid float64 // attempts that ended, less what the earned ones allow; as of at
	at     float64
}

// NewThrottle counts attempts for about so many ms.
func NewThrottle(span float64) *Throttle { return &Throttle{span: span} }

// Over counts over another span from now on, what was counted included; of none it makes one.
func (t *Throttle) Over(span float64) *Throttle {
	if t == nil {
		return NewThrottle(span)
	}
	t.span = span
	return t
}

func (t *Throttle) left(now float64) float64 {
	if t.unpaid == 0 {
		return 0 // and at says nothing
	}
	return t.unpaid * math.Exp((t.at-now)/t.span)
}

// Ended counts an attempt that has ended and earned a part of its worth, from 0 to 1. However many
// end in one moment, the throttle is open again after ln(tryMost/tryFree) spans at the latest.
func (t *Throttle) Ended(now, earned float64) {
	t.unpaid, t.at = min(t.left(now)+1-tryFactor*earned, tryMost), now
}

// Open tells whether another attempt may be sent.
func (t *Throttle) Open(now float64) bool { return t.left(now) < tryFree }
