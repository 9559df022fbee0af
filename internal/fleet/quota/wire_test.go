package quota

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes compares the encodings of the messages between proxies and control servers, and of the ceilings in the
// record, with golden files.
func TestWireBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"holding":  new(Holding),
		"report":   new(Report),
		"answer":   new(Answer),
		"grant":    new(Grant),
		"ceilings": new(Ceilings),
	})
}
