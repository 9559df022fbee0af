package fcgifront

import (
	"context"
	"sync"

	"molepaddle/internal/protocol/window"
)

// flow is a long body in transit: its window, and the chunks buffered in front of it, in order. The connection's
// reader calls put, one goroutine pumps; the lock guards what they share.
type flow struct {
	pipe   *window.Pipe
	budget *window.Budget

	mu        sync.Mutex
	chunks    [][]byte
	bytes     int
	ended     bool
	why       error         // why the body ended incomplete
	abandoned bool          // the body's reader has left
	wakePump  chan struct{} // wakes the pump
	drained   chan struct{} // closed and replaced when buffered bytes are forwarded or dropped
}

func newFlow(b *window.Budget) *flow {
	return &flow{pipe: window.New(b), budget: b, wakePump: make(chan struct{}, 1), drained: make(chan struct{})}
}

// held returns the number of bytes buffered in front of the window.
func (f *flow) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// changed returns a channel that is closed when fewer bytes are buffered, or the body's reader leaves.
func (f *flow) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained
}

// put buffers a copy of piece, whose bytes were taken from the budget.
func (f *flow) put(piece []byte) {
	f.mu.Lock()
	if f.abandoned || f.ended {
		f.budget.Give(int64(len(piece)))
	} else {
		f.chunks, f.bytes = append(f.chunks, append([]byte(nil), piece...)), f.bytes+len(piece)
	}
	f.mu.Unlock()
	f.wake()
}

func (f *flow) wake() {
	select {
	case f.wakePump <- struct{}{}:
	default:
	}
}

// end ends the body; a nil error: it is complete.
func (f *flow) end(why error) {
	f.mu.Lock()
	if !f.ended {
		f.ended, f.why = true, why
	}
	f.mu.Unlock()
	f.wake()
}

// leave discards the body: its reader has left.
func (f *flow) leave() {
	f.pipe.Leave()
	f.mu.Lock()
	f.abandoned = true
	f.drop()
	f.mu.Unlock()
	f.wake()
}

// drop returns all buffered bytes to the budget. The flow must be locked.
func (f *flow) drop() {
	f.budget.Give(int64(f.bytes))
	f.chunks, f.bytes = nil, 0
	close(f.drained)
	f.drained = make(chan struct{})
}

// pump fills the window until the body is complete or its reader leaves. If the body ends incomplete, the error is
// passed on at once, ahead of buffered bytes.
func (f *flow) pump(ctx context.Context) {
	for {
		f.mu.Lock()
		if f.abandoned || f.ended && (f.why != nil || len(f.chunks) == 0) {
			why := f.why
			if f.bytes > 0 {
				f.drop()
			}
			f.mu.Unlock()
			f.pipe.End(why)
			return
		}
		var piece []byte
		if len(f.chunks) > 0 {
			piece = f.chunks[0]
		}
		f.mu.Unlock()
		if piece == nil {
			<-f.wakePump // end and leave wake as well
			continue
		}
		if err := f.pipe.Write(ctx, piece); err != nil {
			f.leave()
			continue
		}
		f.mu.Lock()
		if !f.abandoned {
			f.chunks, f.bytes = f.chunks[1:], f.bytes-len(piece)
			f.budget.Give(int64(len(piece)))
			close(f.drained)
			f.drained = make(chan struct{})
		}
		f.mu.Unlock()
	}
}
