package scheduler

import "math"

// StreamPace is how slowly the events of streams came of late: the slowest stretch counts, and decays. The zero value
// has seen none. It is not safe for concurrent use.
type StreamPace struct {
	slowestMs float64 // an event
	at        float64 // when that was, ms
}

// paceHalfLifeMs is the time in which the slowest pace halves, ms.
const paceHalfLifeMs = 10_000

// Observe takes how long a stretch of a stream took, ms, and how many events were in it, 1 or more.
func (p *StreamPace) Observe(now, took float64, events int) {
	msPerEvent := took / float64(events)
	if msPerEvent >= p.Slowest(now) {
		p.slowestMs = msPerEvent
		p.at = now
	}
}

// Slowest returns the slowest pace of late, ms an event; 0 where none was seen.
func (p *StreamPace) Slowest(now float64) float64 {
	return p.slowestMs * math.Exp2(-(now-p.at)/paceHalfLifeMs)
}
