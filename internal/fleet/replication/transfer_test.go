package replication

import (
	"testing"
)

// TestSearchChunks holds the rules in every state where records go in chunks: a record of two changes and more takes
// several.
func TestSearchChunks(t *testing.T) {
	for _, sh := range []shape{
		{"three writes, snapshots and a takeover", 3, false, true, budget{writes: 2, waits: 1}, reach{2, 2, false}},
		{"a write, a takeover and a lost disk", 3, false, true, budget{writes: 1, waits: 1, wipes: 1}, reach{2, 2, true}},
		{"a write, a takeover and a restart", 3, false, true, budget{writes: 1, waits: 1, crashes: 1}, reach{2, 2, false}},
	} {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			searchWith(t, sh, 2)
		})
	}
}
