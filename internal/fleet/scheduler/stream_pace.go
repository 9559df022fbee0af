package scheduler

import "math"

// StreamPace tracks the slowest recent pace of stream events, which decays with time. The zero value has no
// observation. It is not safe for concurrent use.
type StreamPace struct {
	slowestMs float64 // slowest pace, ms per event
	at        float64 // time of its observation, ms
}

// paceHalfLifeMs is the half-life of the slowest pace, ms.
const paceHalfLifeMs = 10_000

// Observe records the duration of a section of a stream, ms, and its number of events, 1 or more.
func (p *StreamPace) Observe(now, took float64, events int) {
	msPerEvent := took / float64(events)
	if msPerEvent >= p.Slowest(now) {
		p.slowestMs = msPerEvent
		p.at = now
	}
}

// Slowest returns the slowest recent pace, ms per event; 0 if there was no observation.
func (p *StreamPace) Slowest(now float64) float64 {
	return p.slowestMs * math.Exp2(-(now-p.at)/paceHalfLifeMs)
}
