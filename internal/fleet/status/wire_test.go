package status

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds the status as control servers send it and as the operator's program prints it.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "fleet", new(Fleet))
}

// TestWireNames holds the names of the duties.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{SingletonPoll, SingletonPhases}, qt.DeepEquals, []string{"poll", "phases"})
}
