package residencyreport

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of what is on its way.
const (
	// MaxOpen bounds the batches of one process that are not known to be kept.
	MaxOpen = 16
	// MaxBatch bounds the entries of a batch.
	MaxBatch = 256
	// maxEntries bounds the entries that a relay holds; maxHand those that go with one message, over by a batch at most.
	maxEntries, maxHand = 1 << 16, 1024
	// againAfter is after how long what was sent is sent again on the same connection.
	againAfter = time.Minute
)

// Relay holds batches until they are kept: at the proxy that made them, at its node agent and at the control servers. The zero
// value is empty. It is not safe for concurrent use.
type Relay struct {
	open    map[Process][]Batch // without gaps, the oldest first
	kept    map[Process]uint64
	entries int
}

// Put takes a batch that follows on those that are held of its process. It reports false where it doesn't follow or there is
// no room: it is to be offered again, before later ones.
func (r *Relay) Put(b Batch) bool {
	if b.N <= r.kept[b.Process] {
		return true
	}
	held := r.open[b.Process]
	if n := len(held); n > 0 {
		last := held[n-1].N
		if b.N <= last {
			return true
		}
		if b.N != last+1 || n >= MaxOpen {
			return false
		}
	} else if len(r.open) >= MaxProcesses {
		return false
	}
	if r.entries+len(b.Entries) > maxEntries {
		return false
	}
	if r.open == nil {
		r.open = map[Process][]Batch{}
	}
	r.open[b.Process] = append(held, b)
	r.entries += len(b.Entries)
	return true
}

// Keep forgets what is kept elsewhere for good.
func (r *Relay) Keep(all ...Kept) {
	for _, k := range all {
		if k.N <= r.kept[k.Process] {
			continue
		}
		if r.kept == nil {
			r.kept = map[Process]uint64{}
		}
		if len(r.kept) >= MaxProcesses {
			// Of whom nothing is held, nothing is lost: it is told again when it comes again.
			maps.DeleteFunc(r.kept, func(p Process, _ uint64) bool { return len(r.open[p]) == 0 })
		}
		r.kept[k.Process] = k.N
		held := r.open[k.Process]
		n := 0
		for n < len(held) && held[n].N <= k.N {
			r.entries -= len(held[n].Entries)
			n++
		}
		if n == len(held) {
			delete(r.open, k.Process)
		} else {
			r.open[k.Process] = slices.Clone(held[n:])
		}
	}
}

// Open gives what is held, by process, in the order of numbers.
func (r *Relay) Open() []Batch {
	var all []Batch
	for _, p := range slices.SortedFunc(maps.Keys(r.open), cmp.Compare) {
		all = append(all, r.open[p]...)
	}
	return all
}

// OpenOf tells how many batches are held of a process.
func (r *Relay) OpenOf(p Process) int { return len(r.open[p]) }

// Empty tells whether nothing is held.
func (r *Relay) Empty() bool { return len(r.open) == 0 }

// Sender is one connection's way up: what a relay holds goes along once, the oldest first, and again after a minute. The
// first batch of a process on a connection follows on what is kept. The zero value is for a new connection.
type Sender struct {
	sent  map[Process]uint64
	since time.Time
}

// Next gives the batches that go with the next message.
func (s *Sender) Next(r *Relay, now time.Time) (out []Batch) {
	if r.Empty() {
		s.sent = nil
		return nil
	}
	if s.sent == nil || now.Sub(s.since) >= againAfter {
		s.sent, s.since = map[Process]uint64{}, now
	}
	entries := 0
	for _, b := range r.Open() {
		if b.N <= s.sent[b.Process] {
			continue
		}
		if entries >= maxHand {
			break
		}
		out = append(out, b)
		s.sent[b.Process] = b.N
		entries += len(b.Entries)
	}
	return out
}

// Receiver is the other end of a Sender: it takes batches in, and tells which are kept. The zero value is for a new
// connection.
type Receiver struct {
	seen map[Process]*seen
}

type seen struct {
	upto, told uint64
	refused    uint64 // 0: none
}

// Take takes batches in.
func (v *Receiver) Take(r *Relay, batches []Batch) {
	for _, b := range batches {
		if b.Process == 0 || b.N == 0 {
			continue
		}
		at := v.seen[b.Process]
		if at == nil {
			if len(v.seen) >= MaxProcesses {
				continue
			}
			if v.seen == nil {
				v.seen = map[Process]*seen{}
			}
			at = &seen{told: b.N - 1}
			v.seen[b.Process] = at
			r.Keep(Kept{b.Process, b.N - 1}) // so the sender knows
		}
		if at.refused > 0 && b.N > at.refused {
			continue
		}
		if !r.Put(b) {
			at.refused = b.N
			continue
		}
		if b.N == at.refused {
			at.refused = 0
		}
		at.upto = max(at.upto, b.N)
	}
}

// Idle tells whether there is nothing that Tell could have to tell.
func (v *Receiver) Idle() bool { return len(v.seen) == 0 }

// Tell gives what the sender doesn't know to be kept.
func (v *Receiver) Tell(r *Relay) (out []Kept) {
	for p, at := range v.seen {
		if kept := r.kept[p]; kept > at.told {
			at.told = kept
			out = append(out, Kept{p, kept})
		}
		if at.refused == 0 && at.told >= at.upto {
			delete(v.seen, p)
		}
	}
	slices.SortFunc(out, func(a, b Kept) int { return cmp.Compare(a.Process, b.Process) })
	return out
}
