package unserved

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

func TestRetryCountsFromFirstAttempt(t *testing.T) {
	set := settings.Settings{Classes: []settings.Class{{ClientTimeoutMs: 100}, {ClientTimeoutMs: 500}}}
	if none := New(&set, 8); true {
		none.Add(0, 7, 1, 2)
		if none.Len() != 0 {
			t.Error("a request was kept although clients mark no retries")
		}
	}
	set.Clients.MarksRetry = true
	m := New(&set, 3)
	m.Add(0, 7, 10, 20)
	m.Add(1, 7, 11, 20)
	if got := m.TakeFirstArrival(1, 7, 40); got != 11 {
		t.Errorf("first arrived at %v, want 11", got)
	}
	if got := m.TakeFirstArrival(1, 7, 40); got != 40 {
		t.Errorf("a first arrival was returned twice: %v", got)
	}
	m.Add(1, 8, 100, 150) // the clients of the older request's class give up after 100 ms
	if got := m.TakeFirstArrival(0, 7, 160); got != 160 {
		t.Errorf("a request past its give-up time was returned: %v", got)
	}
	for key := range uint64(9) {
		m.Add(1, key, 200, 200)
	}
	if m.Len() != 3 {
		t.Errorf("%d remembered, at most 3", m.Len())
	}
}
