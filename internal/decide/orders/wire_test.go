package orders

import (
	"testing"

	"molepaddle/internal/goldenbytes"
)

// A List is published in an agent's membership record, and decoded by agents of other builds.
func TestWireBytes(t *testing.T) {
	goldenbytes.CBOR(t, "list", &List{})
	l := List{Council: 1 << 60, Seat: 2, Version: 3, Seats: 3, IsLeader: true, Machines: []uint64{MachineHash("h1")}}
	goldenbytes.Check(t, "wire/list.example.cbor", []byte(l.Encode()))
}
