package transport

import (
	"bufio"
	"context"
	"math"
	"net"
	"time"
)

// Way is the connections to one process at one address, lent to callers that speak HTTP on them themselves,
// as the proxy of the fleet does with its streams. They come from the same pool, under the same bound.
type Way struct{ e *endpoint }

// Way gives the connections to the process that listens at host and port.
func (p *Transport) Way(dial string) *Way {
	return &Way{e: &endpoint{pool: p, dial: dial, wire: overHTTP{}}}
}

// Lent is a connection that belongs to its caller until it is given back.
type Lent struct {
	net.Conn
	R      *bufio.Reader
	c      *conn
	Reused bool // it has carried a request before
}

// Lend gives an idle connection on which nothing waits, else a new one; requestID names the request that it is for, and
// is not empty. Two requests of one id never follow each other on a connection: a surplus answer to the first would
// pass for the second's. Errors: core.ErrNoSocket where no descriptor is left, the context's, and those of the dial:
// nothing has been written.
func (w *Way) Lend(ctx context.Context, requestID string) (*Lent, error) {
	for {
		c, err := w.e.take()
		if err != nil {
			return nil, err
		}
		if c, err = w.e.ready(ctx, requestID, c); err != nil {
			return nil, err
		}
		if c.carried == requestID {
			c.Close()
			continue // there is one idle connection less
		}
		reused := c.carried != ""
		c.left, c.carried = math.MaxInt, requestID
		r := readers.Get().(*bufio.Reader)
		r.Reset(c)
		return &Lent{Conn: c, R: r, c: c, Reused: reused}, nil
	}
}

// Bound sets how many bytes may still be read from the connection.
func (l *Lent) Bound(bytes int) { l.c.left = bytes }

// Return gives a connection back for the next, whose last answer was read whole; one that holds unread bytes
// is closed.
func (l *Lent) Return() {
	dirty := l.R.Buffered() > 0
	l.freeReader()
	l.c.end.pool.used(l.c, false)
	if dirty || l.c.SetDeadline(time.Time{}) != nil {
		l.c.Close()
		return
	}
	l.c.end.put(l.c)
}

// Drop closes a connection; broke says that it ended before a byte of the answer came.
func (l *Lent) Drop(broke bool) {
	l.freeReader()
	l.c.end.pool.used(l.c, broke)
	l.c.Close()
}

func (l *Lent) freeReader() {
	l.R.Reset(nil)
	readers.Put(l.R)
	l.R = nil
}

// CloseIdle closes the connections that stand idle.
func (w *Way) CloseIdle() { w.e.CloseIdle() }

// Retire closes the connections for good: those in use when they come back.
func (w *Way) Retire() { w.e.Retire() }
