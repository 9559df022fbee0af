package controlplane

import "molepaddle/internal/fleet/residencyreport"

//go:generate msgp -tests=false

// Command is a change of the record: one of the configuration as the operator sent it, or a reading of where tenants' data
// rested, which leaves the configuration as it is.
type Command struct {
	Replace bool   `msg:"r"`
	Base    int64  `msg:"b"`
	Body    []byte `msg:"d"`
	// Reading is left out where the change is one of the configuration.
	Reading *residencyreport.Update `msg:"g,omitempty"`
}

// StoredState is the record's snapshot.
type StoredState struct {
	Document []byte `msg:"d"`
	// Versions and Digests are those of the newest accepted changes, oldest first.
	Versions []int64  `msg:"v"`
	Digests  []uint64 `msg:"x"`
	// OldestBase is the version that the first of them was built on; older builds leave it out.
	OldestBase *int64 `msg:"o,omitempty"`
	// Rested is the residencyreport's snapshot; left out where it is empty.
	Rested []byte `msg:"g,omitempty"`
	// DocumentSeq is the change that led to Document; left out where that is the newest of all.
	DocumentSeq uint64 `msg:"q,omitempty"`
}
