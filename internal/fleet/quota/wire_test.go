package quota

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds the messages between proxies and control servers, and the ceilings in the record.
func TestWireBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"holding":  new(Holding),
		"report":   new(Report),
		"answer":   new(Answer),
		"grant":    new(Grant),
		"ceilings": new(Ceilings),
	})
}
