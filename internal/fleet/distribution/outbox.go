package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

// Outbox is a residencyreport.Relay for use by many goroutines: what it holds goes along with pulls until it is kept. Nothing wakes
// for it where it stays empty.
type Outbox struct {
	mu      sync.Mutex
	relay   residencyreport.Relay
	arrived chan struct{} // closed and made anew as something arrives
	used    bool          // something arrived
	over    atomic.Bool
	ended   chan struct{}
}

// NewOutbox makes an empty one.
func NewOutbox() *Outbox { return &Outbox{arrived: make(chan struct{}), ended: make(chan struct{})} }

// Used tells whether anything ever arrived.
func (o *Outbox) Used() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used
}

// Ended is closed once a process said its last word and none has asked for anything since.
func (o *Outbox) Ended() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

func (o *Outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.over.Swap(true) {
		close(o.ended)
	}
}

// lives notes that a process asks.
func (o *Outbox) lives() {
	if !o.over.Load() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over.Swap(false) {
		o.ended = make(chan struct{})
	}
}

// Put takes a batch; see residencyreport.Relay.
func (o *Outbox) Put(b residencyreport.Batch) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.signal()
	return o.relay.Put(b)
}

// Keep forgets what is in the record for good.
func (o *Outbox) Keep(all ...residencyreport.Kept) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.relay.Keep(all...)
}

// Open gives what is entry, and what is closed when more arrives.
func (o *Outbox) Open() ([]residencyreport.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.Open(), o.arrived
}

// OpenOf tells how many batches are entry of a process.
func (o *Outbox) OpenOf(p residencyreport.Process) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relay.OpenOf(p)
}

func (o *Outbox) signal() {
	o.used = true
	close(o.arrived)
	o.arrived = make(chan struct{})
}

func (o *Outbox) take(v *residencyreport.Receiver, batches []residencyreport.Batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v.Take(&o.relay, batches)
	o.signal()
}

func (o *Outbox) tell(v *residencyreport.Receiver) []residencyreport.Kept {
	o.mu.Lock()
	defer o.mu.Unlock()
	return v.Tell(&o.relay)
}

func (o *Outbox) next(s *residencyreport.Sender, now time.Time) []residencyreport.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return s.Next(&o.relay, now)
}
