package transport

import (
	"bufio"
	"context"
	"math"
	"net"
	"time"
)

// Way lends connections to one process at one address to callers that speak HTTP on them themselves, such as the fleet
// proxy for its streams. They come from the Transport's pool and count against its limit.
type Way struct{ e *endpoint }

// Way returns the connections to the process that listens at dial, a host and port.
func (p *Transport) Way(dial string) *Way {
	return &Way{e: &endpoint{pool: p, dial: dial, wire: overHTTP{}}}
}

// Lent is a connection that its caller owns until Return or Drop.
type Lent struct {
	net.Conn
	R      *bufio.Reader
	c      *conn
	Reused bool // it has carried a request before
}

// Lend returns an idle connection without unread bytes, or else a new one. requestID is the id of the request that the
// connection is for and must not be empty. Two requests with the same id never follow each other on a connection: a
// surplus answer to the first would be taken for the second's. The error is core.ErrNoSocket if no connection is left
// in the pool, the context's error, or the dial's; nothing has been written in any of these cases.
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
			continue // terminates: there is one idle connection less
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

// Return puts the connection back into the pool, once its last answer has been read completely. A connection with
// unread bytes is closed.
func (l *Lent) Return() {
	dirty := l.R.Buffered() > 0
	l.freeReader()
	l.c.end.pool.recordUse(l.c, false)
	if dirty || l.c.SetDeadline(time.Time{}) != nil {
		l.c.Close()
		return
	}
	l.c.end.put(l.c)
}

// Drop closes the connection; broke states that it ended before the first byte of the answer.
func (l *Lent) Drop(broke bool) {
	l.freeReader()
	l.c.end.pool.recordUse(l.c, broke)
	l.c.Close()
}

func (l *Lent) freeReader() {
	l.R.Reset(nil)
	readers.Put(l.R)
	l.R = nil
}

// CloseIdle closes the idle connections.
func (w *Way) CloseIdle() { w.e.CloseIdle() }

// Retire closes the idle connections at once, and those in use when they are returned.
func (w *Way) Retire() { w.e.Retire() }
