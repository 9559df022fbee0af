package promises

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Messages are sent, rows and records are stored, under the holder as their key.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "holder", &Holder{})
	goldenbytes.CBOR(t, "message", &Msg{})
	goldenbytes.CBOR(t, "row", &Row{})
	goldenbytes.CBOR(t, "record", &Record{})
}
