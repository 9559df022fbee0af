package residencyreport

import (
	"slices"
	"time"
)

const (
	// maxMessageEntries is the number of entries from which on no further batch is added to a message; the last batch
	// may exceed it.
	maxMessageEntries = 1024
	// resendAfter is the time after which unacknowledged batches are sent again on the same connection.
	resendAfter = time.Minute
)

// Sender is the sending end of one connection towards the record. It sends each pending batch of a relay once, the
// oldest first, and again after resendAfter. The first batch of a process on a connection is the one after the last
// acknowledged batch. The zero value is for a new connection. It is not safe for concurrent use.
type Sender struct {
	sent  map[Process]uint64 // number of the last batch sent, by process
	since time.Time          // time when sending last restarted from the first pending batch
}

// Next returns the batches to send with the next message.
func (s *Sender) Next(r *Relay, now time.Time) (out []Batch) {
	if r.Empty() {
		s.sent = nil
		return nil
	}
	if s.sent == nil || now.Sub(s.since) >= resendAfter {
		s.sent = map[Process]uint64{}
		s.since = now
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

// Receiver is the receiving end of a Sender's connection: it puts batches into a relay, and returns the
// acknowledgements to send back. The zero value is for a new connection. It is not safe for concurrent use.
type Receiver struct {
	seen map[Process]*receiveState
}

// receiveState has the batch numbers of one process on a connection.
type receiveState struct {
	upto    uint64 // last batch that the relay accepted
	acked   uint64 // last batch whose acknowledgement the sender has
	refused uint64 // first batch that the relay rejected; 0: none
}

// Receive puts batches into the relay. If the relay rejects one, later batches of the process are dropped until that
// one is received again.
func (rc *Receiver) Receive(r *Relay, batches []Batch) {
	for _, b := range batches {
		if b.Process == 0 || b.N == 0 {
			continue
		}
		at := rc.state(r, &b)
		if at == nil || at.refused > 0 && b.N > at.refused {
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

// state returns the state of a batch's process on this connection; nil if there are already MaxProcesses others. If the
// batch is the first of its process on the connection, those before it are acknowledged, since the sender has dropped
// them.
func (rc *Receiver) state(r *Relay, b *Batch) *receiveState {
	if at := rc.seen[b.Process]; at != nil {
		return at
	}
	if len(rc.seen) >= MaxProcesses {
		return nil
	}
	if rc.seen == nil {
		rc.seen = map[Process]*receiveState{}
	}
	at := &receiveState{acked: b.N - 1}
	rc.seen[b.Process] = at
	r.Acknowledge(Ack{b.Process, b.N - 1})
	return at
}

// Idle reports whether no batch awaits acknowledgement, so that Acks would return nothing.
func (rc *Receiver) Idle() bool { return len(rc.seen) == 0 }

// Acks returns the acknowledgements that the sender doesn't have yet, sorted by process.
func (rc *Receiver) Acks(r *Relay) (out []Ack) {
	for p, at := range rc.seen {
		if acked := r.acked[p]; acked > at.acked {
			at.acked = acked
			out = append(out, Ack{Process: p, N: acked})
		}
		if at.refused == 0 && at.acked >= at.upto {
			delete(rc.seen, p)
		}
	}
	slices.SortFunc(out, compareAcks)
	return out
}
