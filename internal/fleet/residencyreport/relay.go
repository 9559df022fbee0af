package residencyreport

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds of what is on its way to the record.
const (
	// MaxPendingBatches bounds the batches of one process that are not acknowledged.
	MaxPendingBatches = 16
	// MaxBatchEntries bounds the entries of a batch.
	MaxBatchEntries = 256
	// maxRelayEntries bounds the entries that a relay holds.
	maxRelayEntries = 1 << 16
)

// Relay holds batches until they are acknowledged: at the proxy that made them, at its node agent and at the control
// servers. The zero value is empty. It is not safe for concurrent use.
type Relay struct {
	pending map[Process][]Batch // without gaps, the oldest first
	acked   map[Process]uint64  // the number of the last acknowledged batch
	entries int                 // in all pending batches
}

// Put takes a batch that follows on the pending ones of its process. It returns false where it doesn't follow or
// doesn't fit: it is to be put again, before later ones. A batch that is acknowledged or pending already is ignored.
func (r *Relay) Put(b Batch) bool {
	if b.N <= r.acked[b.Process] {
		return true
	}
	pending := r.pending[b.Process]
	if n := len(pending); n > 0 {
		last := pending[n-1].N
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
	r.pending[b.Process] = append(pending, b)
	r.entries += len(b.Entries)
	return true
}

// Acknowledge drops batches that are in the record for good.
func (r *Relay) Acknowledge(acks ...Ack) {
	for _, ack := range acks {
		if ack.N > r.acked[ack.Process] {
			r.acknowledge(ack)
		}
	}
}

func (r *Relay) acknowledge(ack Ack) {
	if r.acked == nil {
		r.acked = map[Process]uint64{}
	}
	if len(r.acked) >= MaxProcesses {
		// Where nothing is pending, nothing is lost: a batch that comes again is acknowledged again.
		maps.DeleteFunc(r.acked, func(p Process, _ uint64) bool { return len(r.pending[p]) == 0 })
	}
	r.acked[ack.Process] = ack.N
	pending := r.pending[ack.Process]
	n := 0
	for n < len(pending) && pending[n].N <= ack.N {
		r.entries -= len(pending[n].Entries)
		n++
	}
	if n == len(pending) {
		delete(r.pending, ack.Process)
		return
	}
	r.pending[ack.Process] = slices.Clone(pending[n:]) // so that the dropped ones can be freed
}

// Pending returns the pending batches, by process, in the order of their numbers.
func (r *Relay) Pending() []Batch {
	var all []Batch
	for _, p := range slices.SortedFunc(maps.Keys(r.pending), cmp.Compare) {
		all = append(all, r.pending[p]...)
	}
	return all
}

// PendingOf returns how many batches of a process are pending.
func (r *Relay) PendingOf(p Process) int { return len(r.pending[p]) }

// Empty tells whether no batch is pending.
func (r *Relay) Empty() bool { return len(r.pending) == 0 }
