package agent

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Operators' tools of any build read these answers.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "link", &LinkStatus{})
	goldenbytes.JSON(t, "fleet", &FleetView{})
}
