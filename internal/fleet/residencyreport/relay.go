package residencyreport

import (
	"cmp"
	"maps"
	"slices"
)

// Limits of pending batches.
const (
	// MaxPendingBatches is the maximum number of unacknowledged batches of one process.
	MaxPendingBatches = 16
	// MaxBatchEntries is the maximum number of entries of a batch.
	MaxBatchEntries = 256
	// maxRelayEntries is the maximum number of entries in a relay's pending batches.
	maxRelayEntries = 1 << 16
)

// Relay keeps batches until they are acknowledged: at the proxy that created them, at its node agent and at the control
// servers. The zero value is an empty relay. It is not safe for concurrent use.
type Relay struct {
	pending map[Process][]Batch // without gaps, the oldest first
	acked   map[Process]uint64  // number of the last acknowledged batch
	entries int                 // in all pending batches
}

// Put adds a batch, which must be the next one after the pending ones of its process. It returns false if there is a
// gap or a limit is exceeded: the caller must put the batch again later, before further ones. For a batch that is
// already acknowledged or pending, it does nothing and returns true.
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

// Acknowledge drops batches that are committed to the record.
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
		// Entries of processes without pending batches can be dropped: a repeated batch is acknowledged again.
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

// Pending returns the pending batches, sorted by process and number.
func (r *Relay) Pending() []Batch {
	var all []Batch
	for _, p := range slices.SortedFunc(maps.Keys(r.pending), cmp.Compare) {
		all = append(all, r.pending[p]...)
	}
	return all
}

// PendingOf returns the number of pending batches of a process.
func (r *Relay) PendingOf(p Process) int { return len(r.pending[p]) }

// Empty reports whether no batch is pending.
func (r *Relay) Empty() bool { return len(r.pending) == 0 }
