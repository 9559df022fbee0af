package residencyreport

import (
	"slices"
	"time"
)

const (
	// maxMessageEntries bounds the entries that go with one message, over by a batch at the most.
	maxMessageEntries = 1024
	// resendAfter is how long after what was sent is sent again on the same connection.
	resendAfter = time.Minute
)

// Sender is the sending end of one connection towards the record: each pending batch of a relay goes along once, the
// oldest first, and again after resendAfter. The first batch of a process on a connection follows on what is
// acknowledged. The zero value is for a new connection. It is not safe for concurrent use.
type Sender struct {
	sent  map[Process]uint64 // the number of the last batch sent
	since time.Time          // when sending last began anew
}

// Next returns the batches that go with the next message.
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

// Receiver is the receiving end of a Sender's connection: it puts batches into a relay, and returns which are
// acknowledged. The zero value is for a new connection. It is not safe for concurrent use.
type Receiver struct {
	seen map[Process]*receiveState
}

// receiveState is what came of one process over a connection, by the numbers of batches.
type receiveState struct {
	upto    uint64 // the last that the relay took
	acked   uint64 // the last that the sender knows to be acknowledged
	refused uint64 // the first that the relay refused; 0: none
}

// Receive puts batches into the relay. Where it refuses one, later ones of the process are dropped until that one
// comes again.
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

// state returns what came of a batch's process so far; nil where MaxProcesses others have sent. That a process begins
// with a batch tells that those before are acknowledged: the sender dropped them.
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

// Idle tells whether Acks could return nothing.
func (rc *Receiver) Idle() bool { return len(rc.seen) == 0 }

// Acks returns the acknowledgements that the sender doesn't have, by process.
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
