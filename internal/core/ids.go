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
	m  *idMemory
}

// NewIDs makes a memory that knows an id for as long as a request of these settings may be
// open, and longer.
func NewIDs(set *settings.Settings) *IDs { return &IDs{m: newIDMemory(Longest(set) + idMargin)} }

// idMargin is how much longer than any request may be open its id is known.
const idMargin = time.Second

// keep has ids known for so long, unless they are for longer.
func (s *IDs) keep(atLeast time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.keep = max(s.m.keep, atLeast)
}

// Add notes an id that a request comes with now, and reports whether it is new. A core notes
// those of the requests that it takes itself.
func (s *IDs) Add(id string) bool { return s.add(id, time.Now()) }

func (s *IDs) add(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.add(id, at)
}

// Memory is what is known of ids, in a form that another process understands.
type Memory struct {
	Key    uint64   // of the sums
	Recent []uint64 // sums of ids that are known for longer than those in Older
	Older  []uint64
}

// Copy gives all that is known at the time given; from now on what is noted is also kept for Since.
func (s *IDs) Copy(at time.Time) Memory {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.turn(at)
	s.m.noting, s.m.noted = true, nil
	return Memory{Key: s.m.key, Recent: slices.Collect(maps.Keys(s.m.now)), Older: slices.Collect(maps.Keys(s.m.before))}
}

// Since gives the sums of the ids noted since Copy or Since was called last.
func (s *IDs) Since() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	noted := s.m.noted
	s.m.noted = nil
	return noted
}

// Unfollow ends what Copy began.
func (s *IDs) Unfollow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.noting, s.m.noted = false, nil
}

// Adopt takes over another process's memory in the place of this one's, which has noted nothing yet.
func (s *IDs) Adopt(o Memory, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.key, s.m.turned, s.m.before = o.Key, at, map[uint64]struct{}{}
	s.m.now = make(map[uint64]struct{}, len(o.Recent))
	for _, sum := range o.Older {
		s.m.before[sum] = struct{}{}
	}
	for _, sum := range o.Recent {
		s.m.now[sum] = struct{}{}
	}
}

// Note takes over sums that another process has noted since.
func (s *IDs) Note(sums []uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.turn(at)
	for _, sum := range sums {
		s.m.now[sum] = struct{}{}
	}
}

// idMemory knows the ids of the requests that came of late, in two generations. An id
// comes once, so one that is known is another client's or a copy: sent on while the
// first is open it would be a second attempt that nobody decided.
type idMemory struct {
	keep        time.Duration // how long an id is known at the least
	key         uint64        // drawn at the start, so that nobody can choose ids that collide
	now, before map[uint64]struct{}
	turned      time.Time
	noting      bool
	noted       []uint64
}

func newIDMemory(keep time.Duration) *idMemory {
	return &idMemory{keep: keep, key: rand.Uint64(), now: map[uint64]struct{}{}}
}

// turn forgets what is old at the time given.
func (m *idMemory) turn(at time.Time) {
	if at.Sub(m.turned) >= m.keep {
		m.before, m.now, m.turned = m.now, make(map[uint64]struct{}, len(m.now)), at
	}
}

// add notes an id that comes at the time given, and reports whether it is new.
func (m *idMemory) add(id string, at time.Time) bool {
	m.turn(at)
	sum := sumOf(m.key, id)
	if _, known := m.now[sum]; known {
		return false
	}
	if _, known := m.before[sum]; known {
		return false
	}
	m.now[sum] = struct{}{}
	if m.noting {
		m.noted = append(m.noted, sum)
	}
	return true
}

// sumOf is a hash of an id, the same for the same key in every process.
func sumOf(key uint64, id string) uint64 {
	sum := key
	for i := 0; i < len(id); i += 8 {
		var word [8]byte
		copy(word[:], id[i:])
		sum = arith.Mix(sum ^ arith.Mix(binary.LittleEndian.Uint64(word[:])+key))
	}
	return arith.Mix(sum + uint64(len(id)))
}
