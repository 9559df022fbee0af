package controlplane

import (
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/residencyreport"
)

//go:generate msgp -tests=false

// Command is an entry of the replicated log: a configuration change as submitted by the operator, or a write of the
// residency record or of the quota ceilings, which doesn't affect the configuration.
type Command struct {
	// Replace marks Body as a complete configuration; otherwise it is an update of the configuration of version Base.
	Replace bool `msg:"r"`
	// Base is the version of the configuration that the change is based on.
	Base int64 `msg:"b"`
	// Body is the change as submitted by the operator.
	Body []byte `msg:"d"`
	// Residency is a write of the residency record; nil for a configuration change.
	Residency *residencyreport.Update `msg:"g,omitempty"`
	// Quota is a write of the ceilings of tenants' quotas; nil in other commands. It comes with an empty Residency, so
	// that earlier builds treat the command as a write without effect.
	Quota *quota.Ceilings `msg:"k,omitempty"`
}

// StoredState is a snapshot of the replicated state.
type StoredState struct {
	// Document is the configuration; empty if there is none yet.
	Document []byte `msg:"d"`
	// Versions are the versions of the newest accepted changes, oldest first.
	Versions []int64 `msg:"v"`
	// Digests are the digests of the changes in Versions, in the same order.
	Digests []uint64 `msg:"x"`
	// OldestBase is the base version of the first of them; nil in snapshots of older builds, or if unknown.
	OldestBase *int64 `msg:"o,omitempty"`
	// Residency is the snapshot of the residency record; left out if empty.
	Residency []byte `msg:"g,omitempty"`
	// DocumentSeq is the sequence number of the change that led to Document; left out if that is the newest change.
	DocumentSeq uint64 `msg:"q,omitempty"`
	// Quota are the ceilings of tenants' quotas; left out if none was ever applied.
	Quota *quota.Ceilings `msg:"k,omitempty"`
}
