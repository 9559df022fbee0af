package promises

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the encoding of messages, and of rows and records as they are stored under their holder.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "holder", &Holder{})
	goldenbytes.CBOR(t, "message", &Msg{})
	goldenbytes.CBOR(t, "row", &Row{})
	goldenbytes.CBOR(t, "record", &Record{})
}
