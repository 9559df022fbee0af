package proxy

import (
	"context"

	"molepaddle/internal/protocol/transport"
)

// maxSyncWrite is the largest request, in bytes, that is written completely before its response is read: it fits into
// the buffers of a connection. While a longer one is being sent its response may arrive, and the backend may stop
// reading.
const maxSyncWrite = 16 << 10

// requestWrite is the write of a request. A long one has its own goroutine, which ends when the write does, at the
// latest through exchange.abort or the context's deadline; the goroutine that returns the connection waits for it.
type requestWrite struct {
	length int
	done   chan struct{} // closed when no further byte is sent

	// Valid once done is closed.
	written int
	err     error
}

// sendRequest writes a request: a short one before it returns, a long one concurrently, while the caller reads the
// response. The write of a long one is bounded by the context's deadline rather than by the deadline for the response
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
			_ = to.SetWriteDeadline(pastDeadline) // ctx may have ended just before
		}
	}
	go write()
	return rw
}

// failed returns the error of a short request's write, and whether a byte of it may have been sent. For a long one it
// always returns false and nil, though bytes may have been sent: the error appears when its response is read.
func (rw *requestWrite) failed() (wrote bool, err error) {
	if rw.length > maxSyncWrite {
		return false, nil
	}
	return rw.wait() > 0, rw.err
}

// wait blocks until no further byte is sent, and returns the number of bytes written.
func (rw *requestWrite) wait() int {
	<-rw.done
	return rw.written
}

// complete reports whether the whole request has been sent by now. It does not wait.
func (rw *requestWrite) complete() bool {
	select {
	case <-rw.done:
		return rw.err == nil && rw.written == rw.length
	default:
		return false
	}
}
