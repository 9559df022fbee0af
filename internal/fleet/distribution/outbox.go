package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

// ResidencyOutbox is a residencyreport.Relay for use by many goroutines: what it holds goes along with pulls until it is kept. Nothing wakes
// for it where it stays empty.
type ResidencyOutbox struct {
	mu          sync.Mutex
	relay       residencyreport.Relay
	arrived     chan struct{} // closed and made anew as something arrives
	used        bool          // something arrived
	done        atomic.Bool
	sendersDone chan struct{}
}

// NewResidencyOutbox makes an empty one.
func NewResidencyOutbox() *ResidencyOutbox {
	return &ResidencyOutbox{arrived: make(chan struct{}), sendersDone: make(chan struct{})}
}

// Used tells whether anything ever arrived.
func (o *ResidencyOutbox) Used() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used
}

// SendersDone is closed once a process said its last word and none has asked for anything since.
func (o *ResidencyOutbox) SendersDone() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sendersDone
}

func (o *ResidencyOutbox) markSendersDone() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.done.Swap(true) {
		close(o.sendersDone)
	}
}

// markSenderActive notes that a process asks.
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

// Put takes a batch; see residencyreport.Relay.
func (o *ResidencyOutbox) Put(b residencyreport.Batch) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	return o.relay.Put(b)
}

// Acknowledge forgets what is in the record for good.
func (o *ResidencyOutbox) Acknowledge(all ...residencyreport.Ack) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.relay.Acknowledge(all...)
}

// Pending gives what is entry, and what is closed when more arrives.
func (o *ResidencyOutbox) Pending() ([]residencyreport.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.Pending(), o.arrived
}

// PendingOf tells how many batches are entry of a process.
func (o *ResidencyOutbox) PendingOf(p residencyreport.Process) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.PendingOf(p)
}

func (o *ResidencyOutbox) signal() {
	o.used = true
	close(o.arrived)
	o.arrived = make(chan struct{})
}

func (o *ResidencyOutbox) receive(v *residencyreport.Receiver, batches []residencyreport.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v.Receive(&o.relay, batches)
	o.signal()
}

func (o *ResidencyOutbox) acknowledgements(v *residencyreport.Receiver) []residencyreport.Ack {
	o.mu.Lock()
	defer o.mu.Unlock()
	return v.Acks(&o.relay)
}

func (o *ResidencyOutbox) nextBatches(s *residencyreport.Sender, now time.Time) []residencyreport.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s.Next(&o.relay, now)
}
