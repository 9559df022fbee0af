package controlplane

import (
	"sort"

	"github.com/go-faster/errors"
)

const (
	// rememberedBytes bounds the size of the remembered changes in a snapshot, in bytes.
	rememberedBytes = 96 << 10
	// rememberedChangeBytes is the maximum size of one of them: a version and a digest of 9 bytes each.
	rememberedChangeBytes = 9 + 9
	// maxRemembered is the maximum number of accepted changes that are remembered.
	maxRemembered = rememberedBytes / rememberedChangeBytes
)

// unknownBase is the value of oldestBase if the snapshot was written by an older build that didn't store it.
const unknownBase = -1

// errVersionOrder is returned for a snapshot whose remembered changes can't have been accepted one after the other.
var errVersionOrder = errors.New("the versions of the accepted changes are inconsistent")

// acceptedChanges holds the versions and digests of the newest accepted changes, so that a resubmitted change is
// recognised. The version of each is the base of the next one, and versions rise: at most one change is ever accepted
// on a base.
type acceptedChanges struct {
	oldestBase int64 // base version of the oldest remembered change, or unknownBase
	versions   []int64
	digests    []uint64
}

// lookupResult says how a change relates to the accepted changes.
type lookupResult uint8

const (
	notBuiltOn  lookupResult = iota // no change on that base was accepted, and one still can be
	sameChange                      // this change was accepted
	otherChange                     // another change was accepted on the base or the base was skipped: never acceptable
	forgotten                       // the base is older than all remembered changes: this one may have been accepted
)

// add records a change accepted on top of the newest one, and drops the oldest if there are more than maxRemembered.
func (a *acceptedChanges) add(version int64, digest uint64) {
	a.versions = append(a.versions, version)
	a.digests = append(a.digests, digest)
	a.trimTo(maxRemembered)
}

// trimTo keeps at most the given number of newest changes. Nothing is copied: a later append reallocates without the
// dropped entries.
func (a *acceptedChanges) trimTo(most int) {
	excess := len(a.versions) - most
	if excess <= 0 {
		return
	}
	a.oldestBase = a.versions[excess-1]
	a.versions = a.versions[excess:]
	a.digests = a.digests[excess:]
}

// lookup returns how a command relates to the accepted changes.
func (a *acceptedChanges) lookup(c *Command) lookupResult {
	following := sort.Search(len(a.versions), func(i int) bool { return a.versions[i] > c.Base })
	base := a.oldestBase
	if following > 0 {
		base = a.versions[following-1]
	}
	if following == len(a.versions) && c.Base >= base {
		return notBuiltOn
	}
	if c.Base < base {
		return forgotten
	}
	same := a.digests[following] == c.digest()
	switch {
	case base == unknownBase && !same:
		return forgotten
	case base == unknownBase || c.Base == base && same:
		return sameChange
	}
	return otherChange
}

// store writes the remembered changes into a snapshot.
func (a *acceptedChanges) store(s *StoredState) {
	s.Versions = a.versions
	s.Digests = a.digests
	if oldest := a.oldestBase; oldest != unknownBase {
		s.OldestBase = &oldest
	}
}

// restoreAccepted returns the remembered changes of a snapshot whose document has the given version. If the snapshot's
// build didn't store OldestBase, the base of its oldest change is unknown, and so is whether other changes came before.
func restoreAccepted(s *StoredState, version int64) (a acceptedChanges, err error) {
	if len(s.Versions) != len(s.Digests) {
		return a, errors.New("the accepted changes have unequal numbers of versions and digests")
	}
	a = acceptedChanges{oldestBase: unknownBase, versions: s.Versions, digests: s.Digests}
	if len(a.versions) == 0 {
		a.oldestBase = version
	}
	if s.OldestBase != nil {
		a.oldestBase = *s.OldestBase
	}
	newest := a.oldestBase
	for _, v := range a.versions {
		if v <= newest {
			return a, errVersionOrder
		}
		newest = v
	}
	if newest != version {
		return a, errVersionOrder
	}
	a.trimTo(maxRemembered)
	return a, nil
}
