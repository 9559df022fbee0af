package proxy

import "time"

// allowance is this proxy's part of what all together may send beyond the first of each request: a share of its own
// requests, and a part of what is allowed besides. It is a bucket that fills with requests and with time.
//
// The rule bounds what is sent in any window by a ratio of the requests of that window or of the one before, and by a sum. What
// is saved is half of this proxy's part of the sum and half of what the requests of the last window gave; the other half of
// the sum, and what the window's own requests give, come while it lasts: one and a half times the ratio's part at the most, of
// which allowancePart is made use of.
type allowance struct {
	ratio  float64 // per request
	part   float64 // that may be saved up whatever the requests were
	perSec float64 // that come with time
	saved  float64
	at     time.Time
	window time.Duration
	began  time.Time // the half of a window that is counted
	asking float64   // requests in it
	asked  float64   // and in the half before
}

// allowancePart is the part of the bounds that is made use of: windows slide, and agents know their number late.
const allowancePart = 0.6

// bound takes the rule's figures for one of so many proxies.
func (a *allowance) bound(now time.Time, ratio, extra float64, window time.Duration, proxies int) {
	first := a.at.IsZero()
	if first {
		a.at, a.began = now, now
	}
	a.ratio, a.window = ratio*allowancePart, max(window, time.Second)
	// What was saved may go out at once and the rest of a window's in the same window: half each.
	part := extra * allowancePart / float64(max(proxies, 1))
	a.part = max(part/2, min(part, 1))
	a.perSec = part / 2 / a.window.Seconds()
	if first {
		a.saved = a.part
	}
	a.saved = min(a.saved, a.most())
}

// most is how much may be saved.
func (a *allowance) most() float64 { return a.part + a.ratio*(a.asked+a.asking)/2 }

func (a *allowance) fill(now time.Time) {
	if past := now.Sub(a.began); past >= a.window/2 {
		if a.asked = a.asking; past >= a.window {
			a.asked = 0
		}
		a.asking, a.began = 0, now
	}
	a.saved = min(a.saved+now.Sub(a.at).Seconds()*a.perSec, a.most())
	a.at = now
}

// ask counts a request of a client.
func (a *allowance) ask(now time.Time) {
	a.fill(now)
	a.asking++
	a.saved = min(a.saved+a.ratio, a.most())
}

// left tells whether there are n further sends.
func (a *allowance) left(now time.Time, n float64) bool {
	a.fill(now)
	return a.saved >= n
}

// take takes n further sends, if there are so many left.
func (a *allowance) take(now time.Time, n float64) bool {
	if !a.left(now, n) {
		return false
	}
	a.saved -= n
	return true
}
