package replication

import (
	"testing"
)

// smallChunk has a record of two changes go in several chunks, in bytes.
const smallChunk = 2

// TestSearchChunks holds the rules in every state where records go in chunks: a record of two changes and more takes
// several.
func TestSearchChunks(t *testing.T) {
	for _, sh := range []shape{
		{name: "three writes, snapshots and a takeover", members: 3, small: true, chunkBytes: smallChunk, budget: budget{writes: 2, waits: 1}, want: reach{led: 2, acked: 2}},
		{name: "a write, a takeover and a lost disk", members: 3, small: true, chunkBytes: smallChunk, budget: budget{writes: 1, waits: 1, wipes: 1}, want: reach{led: 2, acked: 2, joined: true, wipes: 1}},
		{name: "a write, a takeover and a restart", members: 3, small: true, chunkBytes: smallChunk, budget: budget{writes: 1, waits: 1, crashes: 1}, want: reach{led: 2, acked: 2}},
	} {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			search(t, sh)
		})
	}
}
