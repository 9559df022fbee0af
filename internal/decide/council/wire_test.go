package council

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Log entries and snapshots are stored and sent: members of older builds must be able to decode them, and the
// reverse. The golden file of snapshotData is named contents.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "proposal", &proposal{})
	goldenbytes.CBOR(t, "contents", &snapshotData{})
}
