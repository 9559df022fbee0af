package loss

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Records are written to logs, which the lab of another build reads.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "record", &Record{})
}
