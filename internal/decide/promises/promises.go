// Package promises replicates on other machines which requests a remote gateway has begun, so that after
// the loss of the gateway with its disk it can still be proven which requests never began. A Register,
// replayed from the council's log, holds the replica set of each gateway process (the holder). The
// holder's Machine has its replicas record a request's key before the request begins. A ReplicaStore
// keeps the keys for other holders and gives verdicts on them. docs/design/promises.md has the proof.
//
// The package does no I/O, reads no clock and starts no goroutines; times are durations by the caller's
// own clock. None of its types is safe for concurrent use.
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

// Holder identifies a process of a remote gateway, as origin gateways know it.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// Key identifies a request that was forwarded to a remote gateway: the origin gateway's process, and the
// number that it gave the request.
type Key struct {
	_           struct{} `cbor:",toarray"`
	Origin      string
	Incarnation uint64
	Number      uint64
}

// Peer identifies a process of the fleet.
type Peer = members.ID

// ReplicaSet is the replicas of a holder in its current epoch.
type ReplicaSet struct {
	Holder   Holder
	Epoch    uint64
	Replicas []Peer `cbor:"Copies" json:"Copies"`
	Sealed   bool
	At       int64 // time of the last change, by the council's log
}

// Entry is a change of the Register that the council commits: a new epoch of a holder, or, if By is set,
// the seal of the holder by that replica.
type Entry struct {
	Holder   Holder
	Epoch    uint64
	Replicas []Peer `cbor:"Copies" json:"Copies"`
	By       Peer
}

// Errors of Register.Apply. Other agents compare their texts.
var (
	ErrSealed = errors.New("promises: the holder is sealed")
	ErrEpoch  = errors.New("promises: another epoch is settled")
	ErrNoCopy = errors.New("promises: who seals holds nothing of the holder's epoch")
)

// MaxReplicas is the maximum number of replicas of a holder.
const (
	maxHolders    = 4096
	MaxReplicas   = 2
	maxNameLength = 256
)

// Register holds the replica sets of all holders. It is a replicated state machine: each member of the
// council applies the same entries in the same order.
type Register struct {
	of map[Holder]*ReplicaSet
}

// NewRegister returns a Register without holders.
func NewRegister() *Register { return &Register{of: map[Holder]*ReplicaSet{}} }

// Apply applies an entry of the log, committed at the time now. If it returns an error, the Register is
// unchanged.
func (r *Register) Apply(now int64, e *Entry) error {
	if e.Holder.Name == "" || len(e.Holder.Name) > maxNameLength || e.Holder.Incarnation == 0 ||
		len(e.Replicas) > MaxReplicas {
		return errors.New("promises: a holder without a name, or with too many copies")
	}
	h := r.of[e.Holder]
	if e.By.Name != "" { // a seal
		switch {
		case h == nil || !slices.Contains(h.Replicas, e.By):
			return ErrNoCopy
		case !h.Sealed:
			h.Sealed, h.At = true, now
		}
		return nil
	}
	switch {
	case h == nil && e.Epoch != 1,
		h != nil && !h.Sealed && e.Epoch != h.Epoch+1 && !(e.Epoch == h.Epoch && slices.Equal(e.Replicas, h.Replicas)):
		return ErrEpoch
	case h != nil && h.Sealed:
		return ErrSealed
	case h == nil:
		r.evictOldest()
		h = &ReplicaSet{Holder: e.Holder}
		r.of[e.Holder] = h
	}
	h.Epoch, h.Replicas, h.At = e.Epoch, slices.Clone(e.Replicas), now
	return nil
}

// evictOldest removes the holder whose latest change is oldest, if there are maxHolders. If that process
// still runs, its next epoch is rejected as if it were sealed, and no verdict on its requests is possible.
func (r *Register) evictOldest() {
	if len(r.of) < maxHolders {
		return
	}
	var old *ReplicaSet
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

// All returns all replica sets, sorted by holder. The caller must not modify their Replicas.
func (r *Register) All() (all []ReplicaSet) {
	for _, h := range r.of {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b ReplicaSet) int { return a.Holder.compare(b.Holder) })
	return all
}

// RestoreRegister returns the Register with the replica sets that All returned.
func RestoreRegister(all []ReplicaSet) (*Register, error) {
	r := NewRegister()
	for i := range all {
		h := all[i]
		if r.of[h.Holder] != nil || h.Epoch == 0 || len(h.Replicas) > MaxReplicas {
			return nil, fmt.Errorf("promises: snapshot: holder %q: duplicate or invalid replica set", h.Holder.Name)
		}
		r.of[h.Holder] = &h
	}
	return r, nil
}

// Candidate is an agent that may become a replica.
type Candidate struct {
	ID      Peer
	Machine string
	Zone    string
	Healthy bool // it is alive and not suspected
}

// chooseReplicas returns up to want replicas on distinct machines other than the holder's, preferably in
// other zones. Current replicas stay as long as they are healthy. Others are chosen by rendezvous hashing,
// which spreads the load over all agents.
func chooseReplicas(h Holder, machine, zone string, want int, now []Peer, all []Candidate) (replicas []Peer) {
	machines, zones := map[string]bool{machine: true}, map[string]bool{zone: true}
	take := func(c *Candidate) {
		replicas = append(replicas, c.ID)
		machines[c.Machine], zones[c.Zone] = true, true
	}
	for _, id := range now {
		at := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == id })
		if at >= 0 && all[at].Healthy && len(replicas) < want && !machines[all[at].Machine] {
			take(&all[at])
		}
	}
	for len(replicas) < want {
		var best *Candidate
		rank := func(c *Candidate) uint64 {
			return arith.Mix(xxhash.Sum64String(h.Name) ^ arith.Mix(xxhash.Sum64String(c.ID.Name)))
		}
		for i := range all {
			c := &all[i]
			if !c.Healthy || machines[c.Machine] {
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
	return replicas
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. A holder sends Join, Batch and Answered, a replica sends the others.
const (
	Join     Kind = iota // be a replica from this epoch on; with all keys that are still retained
	Joined               // confirms a Join
	Batch                // keys that are to begin
	Ack                  // confirms a Batch
	Nack                 // the replica accepts nothing more from the holder
	Answered             // the reply to one key
	kinds
)

// Msg is a message between a holder and a replica.
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

// Reply is the reply that a request was given.
type Reply struct {
	_           struct{} `cbor:",toarray"`
	Result      uint64
	ContentType string
	Body        []byte
}

// MaxReply is the maximum size of a replicated reply's body in bytes, MaxKeys the maximum number of keys in
// a Join.
const (
	MaxReply = 16 << 10
	MaxKeys  = 100_000
	maxBatch = 256
)

// Check returns an error if a decoded message is invalid.
func (m *Msg) Check() error {
	switch {
	case m.Kind >= kinds || m.Holder.Name == "" || len(m.Holder.Name) > maxNameLength || m.Holder.Incarnation == 0:
		return errors.New("promises: message of an unknown kind or with an invalid holder")
	case len(m.Keys) > MaxKeys,
		m.Kind != Join && len(m.Keys) > maxBatch,
		m.Kind == Join && len(m.Ages) != len(m.Keys):
		return errors.New("promises: message with too many keys, or keys without ages")
	case m.Kind == Answered && (len(m.Keys) != 1 || m.Reply == nil || len(m.Reply.Body) > MaxReply ||
		len(m.Reply.ContentType) > maxNameLength):
		return errors.New("promises: Answered message without exactly one key and a reply within its bounds")
	}
	for _, k := range m.Keys {
		if len(k.Origin) > maxNameLength {
			return errors.New("promises: the name of an origin gateway is too long")
		}
	}
	return nil
}

// ageMillis returns an age in whole milliseconds. It is rounded down, so that the receiver retains the key
// longer rather than shorter.
func ageMillis(now, at time.Duration) uint64 { return uint64(max(now-at, 0) / time.Millisecond) }
