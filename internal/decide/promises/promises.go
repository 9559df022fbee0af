// Package promises has other machines hold what a far gateway has begun, so that losing it with its disk
// loses nothing that was promised: a Register that the council replays settles who holds for whom, a
// Holder promises before it begins, Copies hold and prove. docs/design/promises.md has the proof.
//
// There is no I/O, no clock and no goroutine here; times are spans of the driver's own clock. Each machine
// belongs to its driver.
package promises

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/members"
)

// Holder is a process of a far gateway, as near ends know it.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// Key is a crossing: a near process, and its number there.
type Key struct {
	_           struct{} `cbor:",toarray"`
	Near        string
	Incarnation uint64
	Number      uint64
}

// Peer is a process of the fleet.
type Peer = members.ID

// Hold is who holds for a holder.
type Hold struct {
	Holder Holder
	Epoch  uint64
	Copies []Peer
	Sealed bool
	At     int64 // the log's time of its last change
}

// Entry is what the council is to settle. By says who seals; nobody: it is an epoch.
type Entry struct {
	Holder Holder
	Epoch  uint64
	Copies []Peer
	By     Peer
}

// Errors of a Register.
var (
	ErrSealed = errors.New("promises: the holder is sealed")
	ErrEpoch  = errors.New("promises: another epoch is settled")
	ErrNoCopy = errors.New("promises: who seals holds nothing of the holder's epoch")
)

// Bounds.
const (
	maxHolders = 4096
	MaxCopies  = 2
	maxWord    = 256
)

// Register is who holds for whom, replayed alike by everybody.
type Register struct {
	of map[Holder]*Hold
}

// NewRegister knows nobody.
func NewRegister() *Register { return &Register{of: map[Holder]*Hold{}} }

// Apply takes an entry at a time of the log. An error has changed nothing.
func (r *Register) Apply(now int64, e *Entry) error {
	if e.Holder.Name == "" || len(e.Holder.Name) > maxWord || e.Holder.Incarnation == 0 || len(e.Copies) > MaxCopies {
		return errors.New("promises: a holder without a name, or with too many copies")
	}
	h := r.of[e.Holder]
	if e.By.Name != "" { // a seal
		switch {
		case h == nil || !slices.Contains(h.Copies, e.By):
			return ErrNoCopy
		case !h.Sealed:
			h.Sealed, h.At = true, now
		}
		return nil
	}
	switch {
	case h == nil && e.Epoch != 1,
		h != nil && !h.Sealed && e.Epoch != h.Epoch+1 && !(e.Epoch == h.Epoch && slices.Equal(e.Copies, h.Copies)):
		return ErrEpoch
	case h != nil && h.Sealed:
		return ErrSealed
	case h == nil:
		r.room()
		h = &Hold{Holder: e.Holder}
		r.of[e.Holder] = h
	}
	h.Epoch, h.Copies, h.At = e.Epoch, slices.Clone(e.Copies), now
	return nil
}

// room forgets the holder that was settled longest ago, where there are too many. If that still runs, it
// is told that it is sealed with its next epoch, and nobody can prove anything of it.
func (r *Register) room() {
	if len(r.of) < maxHolders {
		return
	}
	var old *Hold
	for _, h := range r.of {
		if old == nil || cmp.Or(cmp.Compare(h.At, old.At), h.Holder.compare(old.Holder)) < 0 {
			old = h
		}
	}
	delete(r.of, old.Holder)
}

func (h Holder) compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.Name, o.Name), cmp.Compare(h.Incarnation, o.Incarnation))
}

// All is every hold, in order; their copies are not to be changed.
func (r *Register) All() (all []Hold) {
	for _, h := range r.of {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b Hold) int { return a.Holder.compare(b.Holder) })
	return all
}

// RestoreRegister is the register of All.
func RestoreRegister(all []Hold) (*Register, error) {
	r := NewRegister()
	for i := range all {
		h := all[i]
		if r.of[h.Holder] != nil || h.Epoch == 0 || len(h.Copies) > MaxCopies {
			return nil, fmt.Errorf("promises: snapshot: holder %q: twice, or none", h.Holder.Name)
		}
		r.of[h.Holder] = &h
	}
	return r, nil
}

// Candidate is an agent that may hold for others.
type Candidate struct {
	ID      Peer
	Machine string
	Zone    string
	Well    bool // it is there, and nobody doubts it
}

// choose is who should hold: as many as wanted, on machines of their own, in other zones where there are;
// whoever holds already stays as long as he is well. Which of many is by rendezvous, so that what all
// gateways hold is spread.
func choose(h Holder, machine, zone string, want int, now []Peer, all []Candidate) (copies []Peer) {
	machines, zones := map[string]bool{machine: true}, map[string]bool{zone: true}
	take := func(c *Candidate) {
		copies = append(copies, c.ID)
		machines[c.Machine], zones[c.Zone] = true, true
	}
	for _, id := range now {
		at := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == id })
		if at >= 0 && all[at].Well && len(copies) < want && !machines[all[at].Machine] {
			take(&all[at])
		}
	}
	for len(copies) < want {
		var best *Candidate
		rank := func(c *Candidate) uint64 {
			return arith.Mix(xxhash.Sum64String(h.Name) ^ arith.Mix(xxhash.Sum64String(c.ID.Name)))
		}
		for i := range all {
			c := &all[i]
			if !c.Well || machines[c.Machine] {
				continue
			}
			if best == nil || zones[best.Zone] && !zones[c.Zone] ||
				zones[best.Zone] == zones[c.Zone] && rank(c) < rank(best) {
				best = c
			}
		}
		if best == nil {
			break
		}
		take(best)
	}
	return copies
}

// Kind is what a message says.
type Kind uint8

// The messages. Join, Batch and Answered are a holder's, the others a copy's.
const (
	Join     Kind = iota // hold for me from this epoch on; here is all that still counts
	Joined               // I do
	Batch                // these begin
	Ack                  // I have them
	Nack                 // I take nothing of it any more
	Answered             // this one has been answered so
	kinds
)

// Msg is a message between a holder and a copy.
type Msg struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Holder Holder
	Epoch  uint64
	Seq    uint64
	Keys   []Key
	Ages   []uint64 // of a Join's keys, in milliseconds
	Reply  *Reply   // of an Answered, to its one key
}

// Reply is an answer that was given.
type Reply struct {
	_           struct{} `cbor:",toarray"`
	Result      uint64
	ContentType string
	Body        []byte
}

// MaxReply is the longest body of an answer that is copied, MaxKeys how many keys a Join has at the most.
const (
	MaxReply = 16 << 10
	MaxKeys  = 100_000
	maxBatch = 256
)

// Check tells what is wrong with a message that was read.
func (m *Msg) Check() error {
	switch {
	case m.Kind >= kinds || m.Holder.Name == "" || len(m.Holder.Name) > maxWord || m.Holder.Incarnation == 0:
		return errors.New("promises: no such message, or nobody's")
	case len(m.Keys) > MaxKeys,
		m.Kind != Join && len(m.Keys) > maxBatch,
		m.Kind == Join && len(m.Ages) != len(m.Keys):
		return errors.New("promises: too many keys, or without their ages")
	case m.Kind == Answered && (len(m.Keys) != 1 || m.Reply == nil || len(m.Reply.Body) > MaxReply ||
		len(m.Reply.ContentType) > maxWord):
		return errors.New("promises: an answer to nothing, or too long a one")
	}
	for _, k := range m.Keys {
		if len(k.Near) > maxWord {
			return errors.New("promises: a name is too long")
		}
	}
	return nil
}

// age is how old something is in whole milliseconds, rounded down: who gets it keeps it longer.
func age(now, at time.Duration) uint64 { return uint64(max(now-at, 0) / time.Millisecond) }
