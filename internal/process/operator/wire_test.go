package operator

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// An operator's file has the same keys in all builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.Keys(t, "operator", Settings{}, "toml")
}
