package settings

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// The JSON keys of the settings are the same in all builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.Keys(t, "settings", Settings{}, "json")
}
