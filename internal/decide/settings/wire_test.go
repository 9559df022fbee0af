package settings

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// The platform's configuration and status answers have the same keys in all builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.Keys(t, "settings", Settings{}, "json")
}
