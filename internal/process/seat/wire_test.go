package seat

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Calls and answers are exchanged between agents and with operators' tools.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "call", &Call{})
	goldenbytes.JSON(t, "answer", &Answer{})
}
