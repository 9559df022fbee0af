package controlplane

import (
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/residencyreport"
)

//go:generate msgp -tests=false

// Command is one entry of the replicated log: a change of the configuration as the operator sent it, or a write of the
// residency record or of the quotas' ceilings, which leaves the configuration as it is.
type Command struct {
	// Replace says that Body is a complete configuration, else it is an update of the one on which it builds.
	Replace bool `msg:"r"`
	// Base is the version of the configuration that the change builds on.
	Base int64 `msg:"b"`
	// Body is the change as the operator sent it.
	Body []byte `msg:"d"`
	// Residency is a write of the residency record; left out where the change is one of the configuration.
	Residency *residencyreport.Update `msg:"g,omitempty"`
	// Quota are ceilings of tenants' quotas; left out where there are none. Residency is given with them, and empty:
	// earlier builds take the command for a write that changes nothing.
	Quota *quota.Ceilings `msg:"k,omitempty"`
}

// StoredState is the snapshot of the replicated state.
type StoredState struct {
	// Document is the configuration; empty where there is none yet.
	Document []byte `msg:"d"`
	// Versions and Digests are those of the newest accepted changes, oldest first.
	Versions []int64 `msg:"v"`
	// Digests name the accepted changes by their content.
	Digests []uint64 `msg:"x"`
	// OldestBase is the version that the first of them was built on; older builds leave it out.
	OldestBase *int64 `msg:"o,omitempty"`
	// Residency is the snapshot of the residency record; left out where it is empty.
	Residency []byte `msg:"g,omitempty"`
	// DocumentSeq is the change that led to Document; left out where that is the newest of all.
	DocumentSeq uint64 `msg:"q,omitempty"`
	// Quota are the ceilings of tenants' quotas; left out where none was ever committed.
	Quota *quota.Ceilings `msg:"k,omitempty"`
}
