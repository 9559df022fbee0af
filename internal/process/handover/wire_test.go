package handover

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// A process and its successor may be of different builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.Keys(t, "message", message{}, "json")
}
