package residencyreport

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds what proxies send on of where data rested, and what the record keeps of it. The current build
// must write and read them as all builds before it.
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
