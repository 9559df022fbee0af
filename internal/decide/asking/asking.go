// Package asking settles when one of many agents asks the roster, which serves all of them: at its
// start, and again after a call that failed. It knows neither how many agents there are nor what the
// roster bears, only the time within which the contract wants each to have asked. No I/O, no clock.
package asking

import "math"

const (
	// spread is the part of the contract's time over which starts are spread: most agents may have
	// been started in one moment, and a roster that takes a call of each within that time is to
	// answer them all. Over an eighth of it half of a fleet of 80 had no watch after five seconds.
	spread = 0.5
	// After a failed call the next is put off by firstWait ms, doubled with each further one, up to the
	// contract's time; the last half of it by chance. A call that waited out its time has cost the
	// roster as much as one that was answered.
	firstWait = 2000.0
)

// Asking is one agent's.
type Asking struct {
	within float64 // the contract's time in ms
	failed int     // calls in a row
}

// New makes the asking of an agent that has to ask, or be told something, every so many ms.
func New(within float64) Asking { return Asking{within: within} }

// First is how long after its start an agent asks first, in ms; draw is from 0 up to 1.
func (a *Asking) First(draw float64) float64 { return a.within * spread * draw }

// Failed takes a call that has failed, and is how long the next is put off, in ms.
func (a *Asking) Failed(draw float64) float64 {
	wait := min(firstWait*math.Pow(2, float64(a.failed)), a.within)
	a.failed++
	return wait * (0.5 + 0.5*draw)
}

// Received takes a list or a change.
func (a *Asking) Received() { a.failed = 0 }
