package scaletest

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes pins the encoding of the events that the processes of a scale test send to each other, and of the
// configurations that its operator sends. The keys of an event are Go field names, except What for Type.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "event", new(Event))
	goldenbytes.JSON(t, "document", new(document))
	goldenbytes.JSON(t, "change", new(change))
}
