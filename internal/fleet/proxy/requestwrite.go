package proxy

import (
	"context"

	"molepaddle/internal/protocol/transport"
)

// maxSyncWrite is up to how many bytes a request is written before its answer is looked for: so much fits into the
// buffers of a connection. While a longer one goes out its answer may come, and the backend may read no more.
const maxSyncWrite = 16 << 10

// requestWrite is the write of a request. The goroutine of a long one ends with the write, which abort and the
// context's deadline end; whoever gives the connection back waits for it.
type requestWrite struct {
	length int
	done   chan struct{} // closed when no further byte goes out

	// Valid once done is closed.
	written int
	err     error
}

// sendRequest writes a request: a short one before it returns, a long one beside the caller, who reads the answer
// meanwhile. The write of a long one is bounded by the context's deadline rather than by the time for the answer's
// head.
func sendRequest(ctx context.Context, to *transport.Lent, request []byte) *requestWrite {
	rw := &requestWrite{length: len(request), done: make(chan struct{})}
	write := func() {
		defer close(rw.done)
		rw.written, rw.err = to.Conn.Write(request)
	}
	if len(request) <= maxSyncWrite {
		write()
		return rw
	}
	if by, ok := ctx.Deadline(); ok {
		_ = to.SetWriteDeadline(by)
		if ctx.Err() != nil {
			_ = to.SetWriteDeadline(pastDeadline) // its end may have come just before
		}
	}
	go write()
	return rw
}

// failed returns the error of a short request's write, and whether a byte of it may have gone out. A long one's
// shows in the reading of its answer.
func (rw *requestWrite) failed() (wrote bool, err error) {
	if rw.length > maxSyncWrite {
		return false, nil
	}
	return rw.wait() > 0, rw.err
}

// wait waits until no further byte goes out, and returns how many did.
func (rw *requestWrite) wait() int {
	<-rw.done
	return rw.written
}

// complete reports whether all of the request has gone out by now. It doesn't wait.
func (rw *requestWrite) complete() bool {
	select {
	case <-rw.done:
		return rw.err == nil && rw.written == rw.length
	default:
		return false
	}
}
