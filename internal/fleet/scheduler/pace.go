package scheduler

import "math"

// StreamPace is how slowly the events of streams came of late. The slowest stretch counts, and is forgotten by and by. It is a state
// machine without a clock; times are in milliseconds.
type StreamPace struct {
	slowest float64 // ms an event
	at      float64 // when that was
}

// paceHalfLifeMs is how long it takes until half of the slowest pace is forgotten, ms.
const paceHalfLifeMs = 10_000

// Observe takes how long a stretch of a stream took, ms, and the events in it; 1 or more.
func (p *StreamPace) Observe(now, took float64, events int) {
	if each := took / float64(events); each >= p.Slowest(now) {
		p.slowest, p.at = each, now
	}
}

// Slowest is the pace, ms an event; 0: none was seen.
func (p *StreamPace) Slowest(now float64) float64 {
	return p.slowest * math.Exp2(-(now-p.at)/paceHalfLifeMs)
}
