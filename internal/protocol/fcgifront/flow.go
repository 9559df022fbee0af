package fcgifront

import (
	"context"
	"sync"

	"molepaddle/internal/protocol/window"
)

// flow is a long body on its way: its window, and what is held beside it in the order it came. The
// connection's reader puts, one goroutine pumps; the lock guards what they share.
type flow struct {
	pipe   *window.Pipe
	budget *window.Budget

	mu     sync.Mutex
	chunks [][]byte
	bytes  int
	ended  bool
	why    error         // of an end before it was whole
	gone   bool          // nobody reads it any more
	more   chan struct{} // tells the pump
	less   chan struct{} // closed, and made anew, when something was passed on
}

func newFlow(b *window.Budget) *flow {
	return &flow{pipe: window.New(b), budget: b, more: make(chan struct{}, 1), less: make(chan struct{})}
}

// held is how many bytes stand beside the window.
func (f *flow) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// changed is closed when less is held than now, or nobody reads any more.
func (f *flow) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.less
}

// put holds a copy of a piece, whose bytes were taken from the budget.
func (f *flow) put(piece []byte) {
	f.mu.Lock()
	if f.gone || f.ended {
		f.budget.Give(int64(len(piece)))
	} else {
		f.chunks, f.bytes = append(f.chunks, append([]byte(nil), piece...)), f.bytes+len(piece)
	}
	f.mu.Unlock()
	f.wake()
}

func (f *flow) wake() {
	select {
	case f.more <- struct{}{}:
	default:
	}
}

// end says that no more comes; nil: all has come.
func (f *flow) end(why error) {
	f.mu.Lock()
	if !f.ended {
		f.ended, f.why = true, why
	}
	f.mu.Unlock()
	f.wake()
}

// leave is for a body that nobody reads any more.
func (f *flow) leave() {
	f.pipe.Leave()
	f.mu.Lock()
	f.gone = true
	f.drop()
	f.mu.Unlock()
	f.wake()
}

// drop gives back all that is held. The flow is locked.
func (f *flow) drop() {
	f.budget.Give(int64(f.bytes))
	f.chunks, f.bytes = nil, 0
	close(f.less)
	f.less = make(chan struct{})
}

// pump fills the window until all has come, or nobody reads it any more. An end before that is told at once,
// ahead of what is held.
func (f *flow) pump(ctx context.Context) {
	for {
		f.mu.Lock()
		if f.gone || f.ended && (f.why != nil || len(f.chunks) == 0) {
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
			<-f.more // end and leave wake as well
			continue
		}
		if err := f.pipe.Write(ctx, piece); err != nil {
			f.leave()
			continue
		}
		f.mu.Lock()
		if !f.gone {
			f.chunks, f.bytes = f.chunks[1:], f.bytes-len(piece)
			f.budget.Give(int64(len(piece)))
			close(f.less)
			f.less = make(chan struct{})
		}
		f.mu.Unlock()
	}
}
