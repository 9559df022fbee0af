package core

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/settings"
)

// IDs is the memory of ids that several cores share, where one front end brings requests to
// more than one of them.
type IDs struct {
	mu sync.Mutex
	m  *idSet
}

// NewIDs makes a memory that knows an id for as long as a request of these settings may be
// open, and longer.
func NewIDs(set *settings.Settings) *IDs {
	return &IDs{m: newIDSet(MaxRequestDuration(set) + idMargin)}
}

// idMargin is how much longer than any request may be open its id is known.
const idMargin = time.Second

// extendRetention has ids known for so long, unless they are for longer.
func (s *IDs) extendRetention(atLeast time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.retention = max(s.m.retention, atLeast)
}

// Add notes an id that a request comes with now, and reports whether it is new. A core notes
// those of the requests that it takes itself.
func (s *IDs) Add(id string) bool { return s.add(id, time.Now()) }

func (s *IDs) add(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.add(id, at)
}

// IDSnapshot is what is known of ids, in a form that another process understands.
type IDSnapshot struct {
	Key    uint64   // of the sums
	Recent []uint64 // sums of ids that are known for longer than those in Older
	Older  []uint64
}

// Copy gives all that is known at the time given; from now on what is noted is also kept for Since.
func (s *IDs) Copy(at time.Time) IDSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.rotate(at)
	s.m.recording, s.m.recorded = true, nil
	return IDSnapshot{Key: s.m.key, Recent: slices.Collect(maps.Keys(s.m.recent)), Older: slices.Collect(maps.Keys(s.m.older))}
}

// TakeRecorded gives the sums of the ids noted since Copy or TakeRecorded was called last.
func (s *IDs) TakeRecorded() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	noted := s.m.recorded
	s.m.recorded = nil
	return noted
}

// StopRecording ends what Copy began.
func (s *IDs) StopRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.recording, s.m.recorded = false, nil
}

// Restore takes over another process's memory in the place of this one's, which has noted nothing yet.
func (s *IDs) Restore(o IDSnapshot, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.key, s.m.rotatedAt, s.m.older = o.Key, at, map[uint64]struct{}{}
	s.m.recent = make(map[uint64]struct{}, len(o.Recent))
	for _, sum := range o.Older {
		s.m.older[sum] = struct{}{}
	}
	for _, sum := range o.Recent {
		s.m.recent[sum] = struct{}{}
	}
}

// AddHashes takes over sums that another process has noted since.
func (s *IDs) AddHashes(sums []uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.rotate(at)
	for _, sum := range sums {
		s.m.recent[sum] = struct{}{}
	}
}

// idSet knows the ids of the requests that came of late, in two generations. An id
// comes once, so one that is known is another client's or a copy: sent on while the
// first is open it would be a second attempt that nobody decided.
type idSet struct {
	retention     time.Duration // how long an id is known at the least
	key           uint64        // drawn at the start, so that nobody can choose ids that collide
	recent, older map[uint64]struct{}
	rotatedAt     time.Time
	recording     bool
	recorded      []uint64
}

func newIDSet(keep time.Duration) *idSet {
	return &idSet{retention: keep, key: rand.Uint64(), recent: map[uint64]struct{}{}}
}

// rotate forgets what is old at the time given.
func (m *idSet) rotate(at time.Time) {
	if at.Sub(m.rotatedAt) >= m.retention {
		m.older, m.recent, m.rotatedAt = m.recent, make(map[uint64]struct{}, len(m.recent)), at
	}
}

// add notes an id that comes at the time given, and reports whether it is new.
func (m *idSet) add(id string, at time.Time) bool {
	m.rotate(at)
	sum := hashID(m.key, id)
	if _, known := m.recent[sum]; known {
		return false
	}
	if _, known := m.older[sum]; known {
		return false
	}
	m.recent[sum] = struct{}{}
	if m.recording {
		m.recorded = append(m.recorded, sum)
	}
	return true
}

// hashID is a hash of an id, the same for the same key in every process.
func hashID(key uint64, id string) uint64 {
	sum := key
	for i := 0; i < len(id); i += 8 {
		var word [8]byte
		copy(word[:], id[i:])
		sum = arith.Mix(sum ^ arith.Mix(binary.LittleEndian.Uint64(word[:])+key))
	}
	return arith.Mix(sum + uint64(len(id)))
}
