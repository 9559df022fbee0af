// Package unserved remembers for a while the requests that were not served, so that a
// client's retry is judged by the time that has passed for the client and not by its
// own. A Memory is a value of whoever holds it and has no lock.
package unserved

import (
	"slices"

	"molepaddle/internal/decide/settings"
)

// Memory is the unserved requests of late. The zero Memory keeps none.
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

// New makes a memory of at most so many requests, each kept for as long as its class
// lets a client wait. Where clients don't mark their retries it keeps none.
func New(set *settings.Settings, most int) Memory {
	if !set.Clients.MarksRetry {
		most = 0
	}
	return Memory{classes: set.Classes, limit: most}
}

// UpdateSettings follows a change of the settings, in which classes keep their numbers.
func (m *Memory) UpdateSettings(set *settings.Settings) { m.classes = set.Classes }

// Add notes at the time now (ms) a request that first came at first and was not served.
func (m *Memory) Add(class int, key uint64, first, now float64) {
	if m.limit == 0 {
		return
	}
	m.requests = slices.DeleteFunc(m.requests, func(p unservedRequest) bool {
		return now-p.first > m.classes[p.class].GiveUpMs
	})
	if len(m.requests) < m.limit {
		m.requests = append(m.requests, unservedRequest{class, key, first})
	}
}

// TakeFirstArrival tells when the request first came of which this is the retry, and forgets it;
// arrived if none is known.
func (m *Memory) TakeFirstArrival(class int, key uint64, arrived float64) float64 {
	i := slices.IndexFunc(m.requests, func(p unservedRequest) bool { return p.class == class && p.key == key })
	if i < 0 {
		return arrived
	}
	first := m.requests[i].first
	m.requests = slices.Delete(m.requests, i, i+1)
	return first
}

// Len is how many requests are remembered.
func (m *Memory) Len() int { return len(m.requests) }
