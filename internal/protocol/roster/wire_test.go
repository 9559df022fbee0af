package roster

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// The roster's lists have the platform's keys.
func TestWireBytes(t *testing.T) {
	goldenbytes.Keys(t, "list", wireList{}, "json")
}
