// Package budget tracks what a request may still spend: time at each hop, and retries of its class.
//
// A Time is the time budget of a request: when it was received and when its client stops waiting.
// NextHop returns the time that the next hop gets when the request is forwarded: the time left, less
// the time of the way back, which a Margin estimates from round trips. LatencyEstimates holds the latency of
// each class, RetryBudget bounds retries to a fraction of the requests of a class, and Throttle blocks
// attempts that are not worthwhile. The package has no clock and no locks: each value is used by one
// goroutine at a time.
package budget

import (
	"math"
	"time"
)

// Time is the time budget of a request.
type Time struct {
	Received time.Time // when its first byte arrived
	Deadline time.Time // when its client stops waiting
}

// From returns the budget of a request that was received at the given time and whose client waits for
// timeout, counted from when it sent the request. The budget is at most maxTimeout; it is empty if
// timeout is not above 0.
func From(received time.Time, timeout, maxTimeout time.Duration) Time {
	return Time{Received: received, Deadline: received.Add(max(min(timeout, maxTimeout), 0))}
}

// MinHopTime is the shortest time granted to a hop: the answer to a request with less would be too
// late after the way back.
const MinHopTime = time.Millisecond

// NextHop returns how much of the time left the next hop is granted: less the time of the way back,
// but at least three quarters of it and never more than all of it. It reports false if that is below
// MinHopTime: then no attempt must begin.
func NextHop(left, returnTime time.Duration) (time.Duration, bool) {
	given := left - min(max(returnTime, 0), left/4)
	return max(given, 0), given >= MinHopTime
}

// The bounds of a Margin.
const (
	minMargin = 100 * time.Microsecond
	maxMargin = 100 * time.Millisecond
)

// Margin estimates the time of the way back from a hop, from round trips that involve no work: the
// smoothed round trip and its mean deviation by RFC 6298, section 2, halved. The zero Margin has no
// samples.
type Margin struct {
	smoothed, deviation float64 // microseconds
}

// Observe records one round trip. Trips that are not above 0 or longer than a minute are ignored.
func (m *Margin) Observe(trip time.Duration) {
	x := float64(trip) / float64(time.Microsecond)
	switch {
	case trip <= 0 || trip > time.Minute:
	case m.smoothed == 0: // RFC 6298, 2.2
		m.smoothed, m.deviation = x, x/2
	default: // RFC 6298, 2.3
		m.deviation += (math.Abs(m.smoothed-x) - m.deviation) / 4
		m.smoothed += (x - m.smoothed) / 8
	}
}

// ReturnTime returns an upper estimate of the time of the way back, between 0.1 and 100 ms.
func (m *Margin) ReturnTime() time.Duration {
	half := time.Duration((m.smoothed + 4*m.deviation) / 2 * float64(time.Microsecond))
	return min(max(half, minMargin), maxMargin)
}
