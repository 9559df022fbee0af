package scaletest

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds the events that the processes of a scale test send to each other, and the configurations that its
// operator sends. An event has no JSON tags: its keys are the names of its Go fields.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "event", new(Event))
	goldenbytes.JSON(t, "document", new(document))
	goldenbytes.JSON(t, "change", new(change))
}
