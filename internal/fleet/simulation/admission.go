package simulation

import (
	"context"
	"slices"
)

// waiter asks for a slot. try takes what else it needs, under the life's lock, and tells whether it got it.
type waiter struct {
	priority   int
	tryReserve func() bool
	granted    chan bool
}

// acquireSlot waits for a slot and what w needs, more urgent ones first, and tells whether w got them; leave gives the slot
// back. There is no wait when the queue is full, and none past ctx.
func (ic *incarnation) acquireSlot(ctx context.Context, w *waiter) bool {
	w.granted = make(chan bool, 1)
	ic.mu.Lock()
	at := len(ic.queue)
	for at > 0 && ic.queue[at-1].priority > w.priority {
		at--
	}
	switch {
	case ctx.Err() != nil:
		ic.mu.Unlock()
		return false
	case at == 0 && ic.running < ic.e.s.Capacity && w.tryReserve():
		ic.running++
		ic.mu.Unlock()
		return true
	case len(ic.queue) >= ic.e.s.Queue:
		ic.mu.Unlock()
		return false
	}
	ic.queue = slices.Insert(ic.queue, at, w)
	ic.mu.Unlock()
	ic.e.Log.edit(func() {}) // wakes tests that wait for Load
	select {
	case ok := <-w.granted:
		return ok
	case <-ctx.Done():
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if i := slices.Index(ic.queue, w); i >= 0 {
		ic.queue = slices.Delete(ic.queue, i, i+1)
		return false
	}
	return <-w.granted
}

// releaseSlot gives a slot and a lease back and lets others in.
func (ic *incarnation) releaseSlot(ls *reservation) {
	ic.mu.Lock()
	if ls != nil {
		ic.mem.release(ls)
	}
	ic.running--
	ic.admitWaiting()
	done := ic.finishOrder()
	ic.mu.Unlock()
	if done {
		ic.e.notifyChange()
	}
}

// admitWaiting lets waiters in while there is room. l.mu is held.
func (ic *incarnation) admitWaiting() {
	for len(ic.queue) > 0 && ic.running < ic.e.s.Capacity && ic.queue[0].tryReserve() {
		ic.running++
		ic.queue[0].granted <- true
		ic.queue = slices.Delete(ic.queue, 0, 1)
	}
}
