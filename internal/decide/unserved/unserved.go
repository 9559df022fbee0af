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
	classes []settings.Class
	most    int
	pasts   []past
}

type past struct {
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
	return Memory{classes: set.Classes, most: most}
}

// Fit follows a change of the settings, in which classes keep their numbers.
func (m *Memory) Fit(set *settings.Settings) { m.classes = set.Classes }

// Add notes at the time now (ms) a request that first came at first and was not served.
func (m *Memory) Add(class int, key uint64, first, now float64) {
	if m.most == 0 {
		return
	}
	m.pasts = slices.DeleteFunc(m.pasts, func(p past) bool {
		return now-p.first > m.classes[p.class].ClientTimeoutMs
	})
	if len(m.pasts) < m.most {
		m.pasts = append(m.pasts, past{class, key, first})
	}
}

// Recall tells when the request first came of which this is the retry, and forgets it;
// arrived if none is known.
func (m *Memory) Recall(class int, key uint64, arrived float64) float64 {
	i := slices.IndexFunc(m.pasts, func(p past) bool { return p.class == class && p.key == key })
	if i < 0 {
		return arrived
	}
	first := m.pasts[i].first
	m.pasts = slices.Delete(m.pasts, i, i+1)
	return first
}

// Len is how many requests are remembered.
func (m *Memory) Len() int { return len(m.pasts) }
