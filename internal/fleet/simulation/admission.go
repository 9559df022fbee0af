package simulation

import (
	"context"
	"slices"
)

// waiter is a request in the admission queue.
type waiter struct {
	priority   int         // 0 is the most urgent
	tryReserve func() bool // reserves the resources needed beside a slot, under incarnation.mu; reports success
	granted    chan bool   // receives the outcome once; buffered, so that the sender never blocks
}

// acquireSlot blocks until w has a slot and its reservation, more urgent waiters first, and reports whether it got
// them; releaseSlot returns the slot. It doesn't wait when the queue is full, nor after ctx has ended.
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

// releaseSlot returns a slot and, unless it is nil, a reservation, and admits waiters.
func (ic *incarnation) releaseSlot(rs *reservation) {
	ic.mu.Lock()
	if rs != nil {
		ic.mem.release(rs)
	}
	ic.running--
	ic.admitWaiting()
	completed := ic.finishOrder()
	ic.mu.Unlock()
	if completed {
		ic.e.notifyChange()
	}
}

// admitWaiting admits waiters while there is capacity. ic.mu is held.
func (ic *incarnation) admitWaiting() {
	for len(ic.queue) > 0 && ic.running < ic.e.s.Capacity && ic.queue[0].tryReserve() {
		ic.running++
		ic.queue[0].granted <- true
		ic.queue = slices.Delete(ic.queue, 0, 1)
	}
}
