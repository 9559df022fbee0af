package loss

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Records are written to logs, which other builds parse.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "record", &Record{})
}
