// Package window streams bodies that are too long to be held in memory: bounded pipes with back-pressure, which share
// one memory budget, and the limits on what is held and how slowly a client may send.
//
// A Pipe has one writer and one reader, each a goroutine; its lock guards what they share. A Budget may be used from
// any goroutine.
package window

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// Size is the capacity of a pipe, Least its capacity when the budget is short, in bytes.
	Size, Least = 32 << 10, 4 << 10
	// largeQuarters is the part of the budget that pipes of capacity Size may use, in quarters: the rest is left to
	// short bodies.
	largeQuarters = 3
)

// Budget bounds the memory that bodies use together.
type Budget struct {
	most, used atomic.Int64
}

// NewBudget returns a budget of most bytes.
func NewBudget(most int64) *Budget {
	b := &Budget{}
	b.most.Store(most)
	return b
}

// SetLimit changes the limit; bytes already taken stay taken.
func (b *Budget) SetLimit(most int64) { b.most.Store(most) }

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Take reserves n bytes for a body held in memory and reports whether they are within the limit. They must be returned
// with Give in either case.
func (b *Budget) Take(n int64) bool { return b.used.Add(n) <= b.most.Load() }

// Give returns n bytes to the budget.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// room reserves a new pipe's capacity and returns it.
func (b *Budget) room() int {
	if b.used.Add(Size) <= b.most.Load()/4*largeQuarters {
		return Size
	}
	b.used.Add(Least - Size)
	return Least
}

// ErrLeft is returned by Write after the reader has called Leave.
var ErrLeft = errors.New("window: reader has left")

// Pipe is a bounded pipe.
type Pipe struct {
	budget *Budget

	mu         sync.Mutex
	buf        []byte // grows up to room bytes
	room       int
	from       int // offset of the first unread byte
	buffered   int // number of unread bytes
	taken      bool
	end        error         // why the stream ended; nil: it has not
	readerLeft bool          // the reader has called Leave
	released   bool          // its capacity has been returned to the budget
	onLeave    func()        // called when the reader leaves before the end; nil: no callback
	bytes      chan struct{} // wakes the reader
	space      chan struct{} // wakes the writer; separate, so that neither end consumes the other's wake-up
}

// New returns a pipe. The reader must call Leave, which returns its capacity to the budget.
func New(b *Budget) *Pipe {
	return &Pipe{budget: b, room: b.room(), bytes: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// OnLeave sets a callback for when the reader leaves before the end of the stream: a writer that is blocked on its own
// source does not learn that from Write. f is called at once if the reader has left already.
func (p *Pipe) OnLeave(f func()) {
	p.mu.Lock()
	left := p.readerLeft
	p.onLeave = f
	p.mu.Unlock()
	if left {
		f()
	}
}

// wake wakes the end of a pipe that waits, or is about to.
func wake(end chan struct{}) {
	select {
	case end <- struct{}{}:
	default:
	}
}

// Write blocks until all of data is in the pipe. The error is ErrLeft or the context's cause.
func (p *Pipe) Write(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		p.mu.Lock()
		if p.readerLeft {
			p.mu.Unlock()
			return ErrLeft
		}
		n := min(len(data), p.room-p.buffered)
		p.put(data[:n])
		p.mu.Unlock()
		if data = data[n:]; n > 0 {
			wake(p.bytes)
			continue
		}
		select {
		case <-p.space:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// put appends data, which must fit into the room left. The pipe must be locked.
func (p *Pipe) put(data []byte) {
	if p.from+p.buffered+len(data) > len(p.buf) {
		if p.buffered+len(data) > len(p.buf) { // grow
			next := make([]byte, min(max(2*len(p.buf), p.buffered+len(data), Least), p.room))
			copy(next, p.buf[p.from:p.from+p.buffered])
			p.buf = next
		} else {
			copy(p.buf, p.buf[p.from:p.from+p.buffered])
		}
		p.from = 0
	}
	copy(p.buf[p.from+p.buffered:], data)
	p.buffered += len(data)
}

// End ends the stream with err; nil: it is complete. Only the first call counts.
func (p *Pipe) End(err error) {
	if err == nil {
		err = io.EOF
	}
	p.mu.Lock()
	if p.end == nil {
		p.end = err
	}
	p.mu.Unlock()
	wake(p.bytes)
}

// Read blocks until there are bytes. It returns io.EOF after the last byte of a complete stream, the error given to
// End, or the context's cause.
func (p *Pipe) Read(ctx context.Context, to []byte) (int, error) {
	for {
		p.mu.Lock()
		if n := copy(to, p.buf[p.from:p.from+p.buffered]); n > 0 {
			p.from, p.buffered, p.taken = p.from+n, p.buffered-n, true
			if p.buffered == 0 {
				p.from = 0
			}
			p.mu.Unlock()
			wake(p.space)
			return n, nil
		}
		end := p.end
		p.mu.Unlock()
		if end != nil {
			return 0, end
		}
		select {
		case <-p.bytes:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// Waiting reports whether unread bytes are in the pipe.
func (p *Pipe) Waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffered > 0
}

// Taken reports whether any byte has been read, which can't be read again.
func (p *Pipe) Taken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// Leave ends the reading: it wakes the writer, discards unread bytes and returns the pipe's capacity to the budget.
func (p *Pipe) Leave() {
	p.mu.Lock()
	p.readerLeft, p.buf, p.from, p.buffered = true, nil, 0, 0
	if !p.released {
		p.released = true
		p.budget.Give(int64(p.room))
	}
	var tell func()
	if p.end == nil {
		p.end, tell = ErrLeft, p.onLeave
	}
	p.mu.Unlock()
	wake(p.space)
	wake(p.bytes)
	if tell != nil {
		tell()
	}
}
