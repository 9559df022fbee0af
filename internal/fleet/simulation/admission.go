package simulation

import (
	"context"
	"slices"
)

// waiter asks for a slot. try takes what else it needs, under the life's lock, and tells whether it got it.
type waiter struct {
	priority int
	try      func() bool
	granted  chan bool
}

// admit waits for a slot and what w needs, more urgent ones first, and tells whether w got them; leave gives the slot
// back. There is no wait when the queue is full, and none past ctx.
func (l *life) admit(ctx context.Context, w *waiter) bool {
	w.granted = make(chan bool, 1)
	l.mu.Lock()
	at := len(l.queue)
	for at > 0 && l.queue[at-1].priority > w.priority {
		at--
	}
	switch {
	case ctx.Err() != nil:
		l.mu.Unlock()
		return false
	case at == 0 && l.running < l.e.s.Capacity && w.try():
		l.running++
		l.mu.Unlock()
		return true
	case len(l.queue) >= l.e.s.Queue:
		l.mu.Unlock()
		return false
	}
	l.queue = slices.Insert(l.queue, at, w)
	l.mu.Unlock()
	l.e.Log.edit(func() {}) // wakes tests that wait for Load
	select {
	case ok := <-w.granted:
		return ok
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, w); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		return false
	}
	return <-w.granted
}

// leave gives a slot and a lease back and lets others in.
func (l *life) leave(ls *lease) {
	l.mu.Lock()
	if ls != nil {
		l.mem.release(ls)
	}
	l.running--
	l.pump()
	done := l.swap()
	l.mu.Unlock()
	if done {
		l.e.changed()
	}
}

// pump lets waiters in while there is room. l.mu is held.
func (l *life) pump() {
	for len(l.queue) > 0 && l.running < l.e.s.Capacity && l.queue[0].try() {
		l.running++
		l.queue[0].granted <- true
		l.queue = slices.Delete(l.queue, 0, 1)
	}
}
