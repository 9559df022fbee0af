package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

// ResidencyOutbox is a residencyreport.Relay for use by many goroutines. It holds batches of residency reports, which
// go along with requests to the next server until that acknowledges them. No goroutine waits for an outbox that stays
// empty.
type ResidencyOutbox struct {
	mu      sync.Mutex // guards what follows
	relay   residencyreport.Relay
	arrived chan struct{} // closed and replaced when something arrives
	used    bool          // whether anything ever arrived

	// done says that sendersDone is closed. It is read without the lock, because each request asks for it.
	done        atomic.Bool
	sendersDone chan struct{}
}

// NewResidencyOutbox returns an empty outbox.
func NewResidencyOutbox() *ResidencyOutbox {
	return &ResidencyOutbox{
		arrived:     make(chan struct{}),
		sendersDone: make(chan struct{}),
	}
}

// Used returns whether anything ever arrived.
func (o *ResidencyOutbox) Used() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used
}

// SendersDone returns a channel that is closed once a process sent its final request and none has sent any request
// since.
func (o *ResidencyOutbox) SendersDone() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sendersDone
}

// markSendersDone records a final request.
func (o *ResidencyOutbox) markSendersDone() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.done.Swap(true) {
		close(o.sendersDone)
	}
}

// markSenderActive records a request of a process that goes on.
func (o *ResidencyOutbox) markSenderActive() {
	if !o.done.Load() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.done.Swap(false) {
		o.sendersDone = make(chan struct{})
	}
}

// Put takes a batch. It returns false where the batch doesn't follow on those that wait or there is no capacity for
// it: it is to be offered again, before later ones.
func (o *ResidencyOutbox) Put(b residencyreport.Batch) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	return o.relay.Put(b)
}

// Acknowledge drops the batches that are committed.
func (o *ResidencyOutbox) Acknowledge(acks ...residencyreport.Ack) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.relay.Acknowledge(acks...)
}

// Pending returns the batches that wait, and a channel that is closed when more arrives.
func (o *ResidencyOutbox) Pending() ([]residencyreport.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.Pending(), o.arrived
}

// PendingOf returns how many batches of a process wait.
func (o *ResidencyOutbox) PendingOf(p residencyreport.Process) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.PendingOf(p)
}

// signal wakes those that wait for an arrival; the outbox is locked.
func (o *ResidencyOutbox) signal() {
	o.used = true
	close(o.arrived)
	o.arrived = make(chan struct{})
}

// receive takes the batches of a request that came over the receiver's connection.
func (o *ResidencyOutbox) receive(r *residencyreport.Receiver, batches []residencyreport.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Receive(&o.relay, batches)
	o.signal()
}

// acks returns what is to be acknowledged to the receiver's sender.
func (o *ResidencyOutbox) acks(r *residencyreport.Receiver) []residencyreport.Ack {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.Acks(&o.relay)
}

// nextBatches returns what the sender's next request takes along.
func (o *ResidencyOutbox) nextBatches(s *residencyreport.Sender, now time.Time) []residencyreport.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s.Next(&o.relay, now)
}
