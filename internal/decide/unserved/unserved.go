// Package unserved remembers recent requests that were not served, so that the age of a
// client's retry counts from the arrival of the first attempt and not from its own. It
// recognizes retries, but doesn't make any. A Memory isn't safe for concurrent use: only
// the goroutine that owns it may call it.
package unserved

import (
	"slices"

	"molepaddle/internal/decide/settings"
)

// Memory holds recent unserved requests. The zero Memory keeps none.
type Memory struct {
	classes  []settings.Class
	limit    int
	requests []unservedRequest
}

type unservedRequest struct {
	class int
	key   uint64
	first float64
}

// New returns a Memory for at most most requests. Each is kept until the give-up time of
// its class has passed. If clients don't mark their retries, it keeps none.
func New(set *settings.Settings, most int) Memory {
	if !set.Clients.MarksRetry {
		most = 0
	}
	return Memory{classes: set.Classes, limit: most}
}

// UpdateSettings applies changed settings, in which each class keeps its index.
func (m *Memory) UpdateSettings(set *settings.Settings) { m.classes = set.Classes }

// Add records at the time now (ms) an unserved request that first arrived at first (ms).
func (m *Memory) Add(class int, key uint64, first, now float64) {
	if m.limit == 0 {
		return
	}
	m.requests = slices.DeleteFunc(m.requests, func(p unservedRequest) bool {
		return now-p.first > m.classes[p.class].ClientTimeoutMs
	})
	if len(m.requests) < m.limit {
		m.requests = append(m.requests, unservedRequest{class, key, first})
	}
}

// TakeFirstArrival returns when the request first arrived of which this is a retry, and
// removes it. It returns arrived if there is no such request.
func (m *Memory) TakeFirstArrival(class int, key uint64, arrived float64) float64 {
	i := slices.IndexFunc(m.requests, func(p unservedRequest) bool { return p.class == class && p.key == key })
	if i < 0 {
		return arrived
	}
	first := m.requests[i].first
	m.requests = slices.Delete(m.requests, i, i+1)
	return first
}

// Len returns the number of requests in the Memory.
func (m *Memory) Len() int { return len(m.requests) }
