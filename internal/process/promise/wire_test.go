package promise

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Questions and verdicts are sent between agents; the report is what operators' tools read.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "ask", &query{})
	goldenbytes.CBOR(t, "verdict", &queryResult{})
	goldenbytes.JSON(t, "report", &Report{})
}
