// Package asking decides when one of many agents polls the registry that serves all of them: at its
// start, and again after a failed call. It knows neither the number of agents nor the capacity of the
// registry, only the interval within which the contract requires each agent to poll. It has no I/O and
// no clock.
package asking

import "math"

const (
	// startSpread is the fraction of the interval over which first polls are spread. Most agents may
	// be started at the same moment, and a registry that can take one call of each agent within the
	// interval must be able to answer all of them. Over an eighth of it, half of a fleet of 80 had no
	// watch after five seconds.
	startSpread = 0.5
	// After a failed call the next is delayed by initialBackoff ms, doubled with each further failure
	// up to the interval; the second half of the delay is random. A call that timed out has cost the
	// registry as much as one that it answered.
	initialBackoff = 2000.0
)

// Backoff computes the poll delays of one agent.
type Backoff struct {
	interval float64 // the interval of the contract, in ms
	failures int     // consecutive failed calls
}

// New returns the Backoff of an agent that must poll or receive an update within the given time, in
// ms.
func New(interval float64) Backoff { return Backoff{interval: interval} }

// StartDelay returns how long after its start an agent first polls, in ms; draw is random, from 0 up
// to 1.
func (a *Backoff) StartDelay(draw float64) float64 { return a.interval * startSpread * draw }

// RetryDelay records a failed call and returns the delay of the next one, in ms; draw is random, from
// 0 up to 1.
func (a *Backoff) RetryDelay(draw float64) float64 {
	wait := min(initialBackoff*math.Pow(2, float64(a.failures)), a.interval)
	a.failures++
	return wait * (0.5 + 0.5*draw)
}

// Reset records a list or an update that was received.
func (a *Backoff) Reset() { a.failures = 0 }
