package promise

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Questions and verdicts are sent between agents; the report is what operators' tools read.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "ask", &ask{})
	goldenbytes.CBOR(t, "verdict", &verdict{})
	goldenbytes.JSON(t, "report", &Report{})
}
