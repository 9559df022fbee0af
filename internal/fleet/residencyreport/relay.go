package residencyreport

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of what is on its way.
const (
	// MaxPendingBatches bounds the batches of one process that are not known to be kept.
	MaxPendingBatches = 16
	// MaxBatchEntries bounds the entries of a batch.
	MaxBatchEntries = 256
	// maxRelayEntries bounds the entries that a relay holds; maxMessageEntries those that go with one message, over by a batch at most.
	maxRelayEntries, maxMessageEntries = 1 << 16, 1024
	// resendAfter is after how long what was sent is sent again on the same connection.
	resendAfter = time.Minute
)

// Relay holds batches until they are kept: at the proxy that made them, at its node agent and at the control servers. The zero
// value is empty. It is not safe for concurrent use.
type Relay struct {
	pending map[Process][]Batch // without gaps, the oldest first
	acked   map[Process]uint64
	entries int
}

// Put takes a batch that follows on those that are held of its process. It reports false where it doesn't follow or there is
// no room: it is to be offered again, before later ones.
func (r *Relay) Put(b Batch) bool {
	if b.N <= r.acked[b.Process] {
		return true
	}
	held := r.pending[b.Process]
	if n := len(held); n > 0 {
		last := held[n-1].N
		if b.N <= last {
			return true
		}
		if b.N != last+1 || n >= MaxPendingBatches {
			return false
		}
	} else if len(r.pending) >= MaxProcesses {
		return false
	}
	if r.entries+len(b.Entries) > maxRelayEntries {
		return false
	}
	if r.pending == nil {
		r.pending = map[Process][]Batch{}
	}
	r.pending[b.Process] = append(held, b)
	r.entries += len(b.Entries)
	return true
}

// Acknowledge forgets what is kept elsewhere for good.
func (r *Relay) Acknowledge(all ...Ack) {
	for _, k := range all {
		if k.N <= r.acked[k.Process] {
			continue
		}
		if r.acked == nil {
			r.acked = map[Process]uint64{}
		}
		if len(r.acked) >= MaxProcesses {
			// Of whom nothing is held, nothing is lost: it is told again when it comes again.
			maps.DeleteFunc(r.acked, func(p Process, _ uint64) bool { return len(r.pending[p]) == 0 })
		}
		r.acked[k.Process] = k.N
		held := r.pending[k.Process]
		n := 0
		for n < len(held) && held[n].N <= k.N {
			r.entries -= len(held[n].Entries)
			n++
		}
		if n == len(held) {
			delete(r.pending, k.Process)
		} else {
			r.pending[k.Process] = slices.Clone(held[n:])
		}
	}
}

// Pending gives what is held, by process, in the order of numbers.
func (r *Relay) Pending() []Batch {
	var all []Batch
	for _, p := range slices.SortedFunc(maps.Keys(r.pending), cmp.Compare) {
		all = append(all, r.pending[p]...)
	}
	return all
}

// PendingOf tells how many batches are held of a process.
func (r *Relay) PendingOf(p Process) int { return len(r.pending[p]) }

// Empty tells whether nothing is held.
func (r *Relay) Empty() bool { return len(r.pending) == 0 }

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
	if s.sent == nil || now.Sub(s.since) >= resendAfter {
		s.sent, s.since = map[Process]uint64{}, now
	}
	entries := 0
	for _, b := range r.Pending() {
		if b.N <= s.sent[b.Process] {
			continue
		}
		if entries >= maxMessageEntries {
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
	seen map[Process]*receiveState
}

type receiveState struct {
	upto, acked uint64
	refused     uint64 // 0: none
}

// Receive takes batches in.
func (rc *Receiver) Receive(r *Relay, batches []Batch) {
	for _, b := range batches {
		if b.Process == 0 || b.N == 0 {
			continue
		}
		at := rc.seen[b.Process]
		if at == nil {
			if len(rc.seen) >= MaxProcesses {
				continue
			}
			if rc.seen == nil {
				rc.seen = map[Process]*receiveState{}
			}
			at = &receiveState{acked: b.N - 1}
			rc.seen[b.Process] = at
			r.Acknowledge(Ack{b.Process, b.N - 1}) // so the sender knows
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
func (rc *Receiver) Idle() bool { return len(rc.seen) == 0 }

// Acks gives what the sender doesn't know to be kept.
func (rc *Receiver) Acks(r *Relay) (out []Ack) {
	for p, at := range rc.seen {
		if kept := r.acked[p]; kept > at.acked {
			at.acked = kept
			out = append(out, Ack{p, kept})
		}
		if at.refused == 0 && at.acked >= at.upto {
			delete(rc.seen, p)
		}
	}
	slices.SortFunc(out, func(a, b Ack) int { return cmp.Compare(a.Process, b.Process) })
	return out
}
