package unserved

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

func TestRetryCountsFromTheFirstTry(t *testing.T) {
	set := settings.Settings{Classes: []settings.Class{{ClientTimeoutMs: 100}, {ClientTimeoutMs: 500}}}
	if none := New(&set, 8); true {
		none.Add(0, 7, 1, 2)
		if none.Len() != 0 {
			t.Error("remembered where clients mark no retries")
		}
	}
	set.Clients.MarksRetry = true
	m := New(&set, 3)
	m.Add(0, 7, 10, 20)
	m.Add(1, 7, 11, 20)
	if got := m.Recall(1, 7, 40); got != 11 {
		t.Errorf("first came at %v, want 11", got)
	}
	if got := m.Recall(1, 7, 40); got != 40 {
		t.Errorf("a retry was recalled twice: %v", got)
	}
	m.Add(1, 8, 100, 150) // the class of the older one lets its client wait for 100 ms only
	if got := m.Recall(0, 7, 160); got != 160 {
		t.Errorf("recalled what no client waits for any more: %v", got)
	}
	for key := range uint64(9) {
		m.Add(1, key, 200, 200)
	}
	if m.Len() != 3 {
		t.Errorf("%d remembered, at most 3", m.Len())
	}
}
