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

// IDs remembers the ids of recent requests, to detect duplicates. Several cores share one if a front
// end passes requests to more than one of them. It is safe for concurrent use.
type IDs struct {
	mu sync.Mutex
	m  *idSet
}

// NewIDs returns an IDs that remembers an id for longer than a request of these settings may be
// open.
func NewIDs(set *settings.Settings) *IDs {
	return &IDs{m: newIDSet(MaxRequestDuration(set) + idMargin)}
}

// idMargin is how much longer than the longest request an id is remembered.
const idMargin = time.Second

// extendRetention makes ids remembered for atLeast or longer.
func (s *IDs) extendRetention(atLeast time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.retention = max(s.m.retention, atLeast)
}

// Add records the id of a request that arrives now, and reports whether it is new. A core itself
// records the ids of the requests passed to it.
func (s *IDs) Add(id string) bool { return s.add(id, time.Now()) }

func (s *IDs) add(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.add(id, at)
}

// IDSnapshot is a copy of the remembered ids that is passed to another process.
type IDSnapshot struct {
	Key    uint64   // hash key
	Recent []uint64 // hashes of the current generation, which expire after those in Older
	Older  []uint64 // hashes of the previous generation
}

// Copy returns the ids remembered at the given time and starts recording new ids for TakeRecorded.
func (s *IDs) Copy(at time.Time) IDSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.rotate(at)
	s.m.recording, s.m.recorded = true, nil
	return IDSnapshot{Key: s.m.key, Recent: slices.Collect(maps.Keys(s.m.recent)),
		Older: slices.Collect(maps.Keys(s.m.older))}
}

// TakeRecorded returns the hashes of the ids added since the last call of Copy or TakeRecorded.
func (s *IDs) TakeRecorded() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	noted := s.m.recorded
	s.m.recorded = nil
	return noted
}

// StopRecording ends the recording started by Copy.
func (s *IDs) StopRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.recording, s.m.recorded = false, nil
}

// Restore replaces the remembered ids, which must be empty, by another process's snapshot.
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

// AddHashes adds hashes that another process has recorded since its snapshot.
func (s *IDs) AddHashes(sums []uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.rotate(at)
	for _, sum := range sums {
		s.m.recent[sum] = struct{}{}
	}
}

// idSet holds the ids of recent requests in two generations. Each request has a new id, so a
// known id is a collision or a duplicate: forwarded while the first request is open, it would be
// an attempt that the Decider did not decide on.
type idSet struct {
	retention     time.Duration // least time that an id is remembered
	key           uint64        // random, so that clients can't choose ids that collide
	recent, older map[uint64]struct{}
	rotatedAt     time.Time
	recording     bool
	recorded      []uint64
}

func newIDSet(retention time.Duration) *idSet {
	return &idSet{retention: retention, key: rand.Uint64(), recent: map[uint64]struct{}{}}
}

// rotate discards the older generation if the retention time has passed since the last rotation.
func (m *idSet) rotate(at time.Time) {
	if at.Sub(m.rotatedAt) >= m.retention {
		m.older, m.recent, m.rotatedAt = m.recent, make(map[uint64]struct{}, len(m.recent)), at
	}
}

// add adds an id at the given time and reports whether it is new.
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

// hashID returns the hash of an id, which is the same in every process with the same key.
func hashID(key uint64, id string) uint64 {
	sum := key
	for i := 0; i < len(id); i += 8 {
		var chunk [8]byte
		copy(chunk[:], id[i:])
		sum = arith.Mix(sum ^ arith.Mix(binary.LittleEndian.Uint64(chunk[:])+key))
	}
	return arith.Mix(sum + uint64(len(id)))
}
