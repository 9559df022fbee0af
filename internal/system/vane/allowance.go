package vane

import "time"

// allowance is this proxy's part of what all together may send beyond the first of each request: a share of its own
// requests, and a part of what is allowed besides. It is a bucket that fills with requests and with time.
type allowance struct {
	ratio  float64 // per request
	most   float64 // that may be saved up
	perSec float64 // that come with time
	saved  float64
	at     time.Time
}

// allowancePart is the part of the bounds that is made use of: windows slide, and agents know their number late.
const allowancePart = 0.6

// bound takes the rule's figures for one of so many proxies.
func (a *allowance) bound(ratio, extra float64, window time.Duration, proxies int) {
	first := a.at.IsZero()
	if first {
		a.at = time.Now()
	}
	a.ratio = ratio * allowancePart
	// What was saved may go out at once and the rest of a window's in the same window: half each.
	part := extra * allowancePart / float64(max(proxies, 1))
	a.most = max(part/2, 1)
	a.perSec = part / 2 / max(window.Seconds(), 1)
	if first {
		a.saved = a.most
	}
	a.saved = min(a.saved, a.most)
}

func (a *allowance) fill() {
	now := time.Now()
	a.saved = min(a.saved+now.Sub(a.at).Seconds()*a.perSec, a.most)
	a.at = now
}

// asked counts a request of a client.
func (a *allowance) asked() { a.saved = min(a.saved+a.ratio, a.most) }

// left tells whether there is a further send.
func (a *allowance) left() bool {
	a.fill()
	return a.saved >= 1
}

// take takes one further send, if there is one left.
func (a *allowance) take() bool {
	if !a.left() {
		return false
	}
	a.saved--
	return true
}
