package scaletest

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds the events that the processes of a scale test send to each other. The type has no JSON tags: the
// keys are the names of its Go fields.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "event", new(Event))
}
