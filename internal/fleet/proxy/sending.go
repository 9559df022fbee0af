package proxy

import (
	"context"
	"time"

	"molepaddle/internal/protocol/transport"
)

// maxAtOnce is up to how many bytes a request is written before its answer is looked for: so much fits into the buffers of a
// connection. While a longer one goes out its answer may come, and the backend may read no more.
const maxAtOnce = 16 << 10

// sending is a request on its way out.
type sending struct {
	done    chan struct{} // closed when no further byte goes out
	length  int
	written int   // valid once done is closed, as is err
	err     error // of the write
}

// send writes a request: a short one before it returns, a long one beside the caller, who reads the answer meanwhile. The
// write of a long one is bounded by the context's deadline rather than by the time for the answer's head.
func send(ctx context.Context, to *transport.Lent, request []byte) *sending {
	s := &sending{done: make(chan struct{}), length: len(request)}
	write := func() {
		defer close(s.done)
		s.written, s.err = to.Conn.Write(request)
	}
	if len(request) <= maxAtOnce {
		write()
		return s
	}
	if by, ok := ctx.Deadline(); ok {
		_ = to.SetWriteDeadline(by)
		if ctx.Err() != nil {
			_ = to.SetWriteDeadline(over) // its end may have come just before
		}
	}
	go write()
	return s
}

// failed gives the error of a short request's write, and whether a byte of it may have gone out. A long one's shows in the
// reading of its answer.
func (s *sending) failed() (wrote bool, err error) {
	if s.length > maxAtOnce {
		return false, nil
	}
	return s.wait() > 0, s.err
}

// wait waits until no further byte goes out, and tells how many did.
func (s *sending) wait() int {
	<-s.done
	return s.written
}

// whole tells whether all of the request has gone out by now.
func (s *sending) whole() bool {
	select {
	case <-s.done:
		return s.err == nil && s.written == s.length
	default:
		return false
	}
}

// over is a deadline that has passed: it wakes who reads or writes.
var over = time.Unix(1, 0)
