package council

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// The log's entries and snapshots are stored and sent: a member of an older build must read them, and be read.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "proposal", &proposal{})
	goldenbytes.CBOR(t, "contents", &snapshotData{})
}
