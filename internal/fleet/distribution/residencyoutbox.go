package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

// ResidencyOutbox is a residencyreport.Relay for use by many goroutines. It holds batches of residency reports, which
// are sent with requests to the next server until that server acknowledges them. No goroutine waits for an outbox that
// stays empty.
type ResidencyOutbox struct {
	mu      sync.Mutex // guards the fields below
	relay   residencyreport.Relay
	arrived chan struct{} // closed and replaced when a batch arrives
	used    bool          // whether any batch ever arrived

	// done is set while sendersDone is closed. It is read without the lock, because every request reads it.
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

// Used reports whether any batch ever arrived.
func (o *ResidencyOutbox) Used() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used
}

// SendersDone returns a channel that is closed when a process has sent its final request and no process has sent a
// request since.
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

// markSenderActive records a request that isn't final.
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

// Put adds a batch. It returns false if the batch doesn't follow on the pending ones or there is no capacity for it:
// the caller must put it again before later batches.
func (o *ResidencyOutbox) Put(b residencyreport.Batch) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	return o.relay.Put(b)
}

// Acknowledge removes the committed batches.
func (o *ResidencyOutbox) Acknowledge(acks ...residencyreport.Ack) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.relay.Acknowledge(acks...)
}

// Pending returns the pending batches, and a channel that is closed when more arrive.
func (o *ResidencyOutbox) Pending() ([]residencyreport.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.Pending(), o.arrived
}

// PendingOf returns the number of pending batches of a process.
func (o *ResidencyOutbox) PendingOf(p residencyreport.Process) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.PendingOf(p)
}

// signal wakes the goroutines that wait for an arrival. The caller holds o.mu.
func (o *ResidencyOutbox) signal() {
	o.used = true
	close(o.arrived)
	o.arrived = make(chan struct{})
}

// receive adds the batches of a request that arrived over the receiver's connection.
func (o *ResidencyOutbox) receive(r *residencyreport.Receiver, batches []residencyreport.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Receive(&o.relay, batches)
	o.signal()
}

// acks returns the acknowledgements for the receiver's sender.
func (o *ResidencyOutbox) acks(r *residencyreport.Receiver) []residencyreport.Ack {
	o.mu.Lock()
	defer o.mu.Unlock()
	return r.Acks(&o.relay)
}

// nextBatches returns the batches for the sender's next request.
func (o *ResidencyOutbox) nextBatches(s *residencyreport.Sender, now time.Time) []residencyreport.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s.Next(&o.relay, now)
}
