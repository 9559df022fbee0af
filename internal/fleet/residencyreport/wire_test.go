package residencyreport

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes compares the encodings of residency batches, updates and totals with golden files. The current build
// must write and read them like all earlier builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"batch":    new(Batch),
		"counts":   new(Counts),
		"entry":    new(Entry),
		"kept":     new(Ack),
		"pair":     new(Pair),
		"process":  new(Process),
		"progress": new(Progress),
		"reading":  new(Update),
		"stored":   new(StoredTotals),
	})
}
