package scheduler

import "math"

// recentWindowMs is the length of a window of RecentMaximum, ms.
const recentWindowMs = 10_000

// RecentMaximum tracks the largest of the recent samples: those of the current window and of the one before, which are
// one to two windows long together. A sample counts fully or not at all: one that faded would turn into a small value,
// which is a claim, where nothing is known any more. The zero value has no samples. It is not safe for concurrent use.
type RecentMaximum struct {
	startedMs float64 // start of the current window, ms
	current   windowMaximum
	previous  windowMaximum
}

// windowMaximum is the largest sample of one window.
type windowMaximum struct {
	value   float64
	sampled bool // the window has a sample
}

// Observe adds a sample at the time now, ms, which doesn't decrease from call to call.
func (m *RecentMaximum) Observe(now, value float64) {
	m.advance(now)
	if !m.current.sampled || value > m.current.value {
		m.current = windowMaximum{value: value, sampled: true}
	}
}

// Value returns the largest recent sample; known is false if there is none.
func (m *RecentMaximum) Value(now float64) (value float64, known bool) {
	m.advance(now)
	return max(m.current.value, m.previous.value), m.current.sampled || m.previous.sampled
}

// advance moves on to the window of the time now, ms.
func (m *RecentMaximum) advance(now float64) {
	windows := math.Floor((now - m.startedMs) / recentWindowMs)
	if windows < 1 {
		return
	}
	m.startedMs += windows * recentWindowMs
	m.previous = windowMaximum{}
	if windows == 1 {
		m.previous = m.current
	}
	m.current = windowMaximum{}
}
