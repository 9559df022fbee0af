// Package budget says what a request may still spend: time at each hop, and attempts of its class.
//
// A Time is a value: when the request came and when its client stops waiting. Whoever passes the
// request on tells the next hop what Hop leaves, less the way back, which a Margin learns from round
// trips. Needs is what work of each class has taken; Retries is what share of a class's requests
// may be tried again, and Throttle whether attempts still earn anything. Nothing here reads a clock
// or has a lock: each value belongs to whoever holds it.
package budget

import (
	"math"
	"time"
)

// Time is a request's time budget.
type Time struct {
	Came     time.Time // its first byte
	Deadline time.Time // when its client stops waiting
}

// From is the budget of a request that came at a time and whose client waits for as long as it told,
// counted from when it sent it. No request is kept for longer than most. A time that is not above 0
// leaves nothing.
func From(came time.Time, told, most time.Duration) Time {
	return Time{Came: came, Deadline: came.Add(max(min(told, most), 0))}
}

// Least is the least time that a hop is told: what a request begun with less could end in is lost on
// the way.
const Least = time.Millisecond

// Hop is what the next hop is told of the time that is left: less the way back, but never less than
// three quarters of what is left, and never more than it. False means that less than Least is left
// for it: nothing is to be begun.
func Hop(left, back time.Duration) (time.Duration, bool) {
	told := left - min(max(back, 0), left/4)
	return max(told, 0), told >= Least
}

// The bounds of a Margin.
const (
	leastMargin = 100 * time.Microsecond
	mostMargin  = 100 * time.Millisecond
)

// Margin learns how long the way back from a hop takes, from round trips that held no work: the
// smoothed trip and its mean deviation by the rules of RFC 6298, section 2, halved. The zero Margin
// has seen none.
type Margin struct {
	smoothed, deviation float64 // microseconds
}

// Learn takes one round trip. What is not above 0 or longer than a minute is left out.
func (m *Margin) Learn(trip time.Duration) {
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

// Back is the time that the way back takes, seldom exceeded; from 0.1 to 100 ms.
func (m *Margin) Back() time.Duration {
	half := time.Duration((m.smoothed + 4*m.deviation) / 2 * float64(time.Microsecond))
	return min(max(half, leastMargin), mostMargin)
}
