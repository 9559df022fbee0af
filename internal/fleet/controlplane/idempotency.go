package controlplane

import (
	"sort"

	"github.com/go-faster/errors"
)

const (
	// rememberedBytes bounds what the remembered changes take in a snapshot.
	rememberedBytes = 96 << 10
	// rememberedChangeBytes is the most that one of them takes there: a version and a digest of 9 bytes each.
	rememberedChangeBytes = 9 + 9
	// maxRemembered is how many accepted changes are remembered.
	maxRemembered = rememberedBytes / rememberedChangeBytes
)

// unknownBase stands for a base version that an older build's snapshot doesn't contain.
const unknownBase = -1

// errRemembered is the error of a snapshot whose remembered changes can't have been accepted one after the other.
var errRemembered = errors.New("the remembered changes do not follow each other")

// acceptedChanges remembers the newest accepted changes, so that one that is sent again is recognised. The version of
// each is the base of the next one, and versions rise: at most one change is ever accepted on a base.
type acceptedChanges struct {
	oldestBase int64 // what the oldest remembered change was built on, or unknownBase
	versions   []int64
	digests    []uint64
}

// recollection says what is remembered of changes on one base.
type recollection uint8

const (
	notBuiltOn  recollection = iota // no change on that base was accepted, and one may be
	sameChange                      // that very change was accepted
	otherChange                     // another one was accepted, or the base was passed over: this one never can be
	forgotten                       // the base lies before all that is remembered: it may have been accepted
)

// add remembers a change that was accepted on top of the newest one, and forgets the oldest when there are too many.
func (a *acceptedChanges) add(version int64, digest uint64) {
	a.versions = append(a.versions, version)
	a.digests = append(a.digests, digest)
	a.forgetDownTo(maxRemembered)
}

// forgetDownTo keeps the newest changes, so many at most. Nothing is copied: append drops what is before, in time.
func (a *acceptedChanges) forgetDownTo(most int) {
	excess := len(a.versions) - most
	if excess <= 0 {
		return
	}
	a.oldestBase = a.versions[excess-1]
	a.versions = a.versions[excess:]
	a.digests = a.digests[excess:]
}

// lookup returns what is remembered of a command.
func (a *acceptedChanges) lookup(c *Command) recollection {
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

// store puts the remembered changes into a snapshot.
func (a *acceptedChanges) store(s *StoredState) {
	s.Versions = a.versions
	s.Digests = a.digests
	if oldest := a.oldestBase; oldest != unknownBase {
		s.OldestBase = &oldest
	}
}

// restoreAccepted returns the remembered changes of a snapshot whose document has the version given. A snapshot of a
// build that kept no OldestBase doesn't say what its oldest change was built on, nor whether there were others
// before.
func restoreAccepted(s *StoredState, version int64) (a acceptedChanges, err error) {
	if len(s.Versions) != len(s.Digests) {
		return a, errors.New("as many versions as digests are due")
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
			return a, errRemembered
		}
		newest = v
	}
	if newest != version {
		return a, errRemembered
	}
	a.forgetDownTo(maxRemembered)
	return a, nil
}
