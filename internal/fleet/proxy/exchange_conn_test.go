package proxy

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// errReset is what the end of a connection that is reset says.
var errReset = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

// scriptedConn is a proxy's end of a connection in memory. What is at the other end is a script: it is called with
// each request that the proxy writes, and says how many bytes of it are taken and what comes back.
type scriptedConn struct {
	backend *scriptedBackend

	mu       sync.Mutex
	changed  *sync.Cond
	incoming []byte
	inEnd    error // what follows the incoming bytes; nil: silence
	late     []byte
	carried  int  // requests
	owed     bool // a part of a request is still to come
	closed   bool
	closedAt time.Time
	gone     chan struct{} // closed as the proxy closes the connection
	readBy   time.Time
	writeBy  time.Time

	readTimer, writeTimer *time.Timer
}

func newScriptedConn(b *scriptedBackend) *scriptedConn {
	c := &scriptedConn{backend: b, gone: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func passed(by time.Time) bool { return !by.IsZero() && !time.Now().Before(by) }

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case passed(c.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(c.incoming) > 0:
			n := copy(p, c.incoming)
			c.incoming = c.incoming[n:]
			return n, nil
		case c.inEnd != nil:
			return 0, c.inEnd
		}
		c.changed.Wait()
	}
}

// Write takes one whole request, as the proxy writes each at once.
func (c *scriptedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case passed(c.writeBy):
		return 0, os.ErrDeadlineExceeded
	case c.inEnd != nil:
		return 0, errReset
	}
	owed := c.owed
	c.incoming = append(c.incoming, c.late...)
	c.late = nil
	c.mu.Unlock()
	if owed {
		c.backend.rig.note("%s gets another request where the rest of one is due", c.backend.id)
	}
	says := c.backend.request(c, p)
	c.mu.Lock()
	c.owed = says.taken >= 0 && says.taken < len(p)
	c.carried++
	c.incoming = append(c.incoming, says.bytes...)
	c.inEnd, c.late = says.end, says.late
	c.changed.Broadcast()
	if says.taken < 0 || says.taken >= len(p) {
		return len(p), nil
	}
	if says.writeEnd != nil {
		return says.taken, says.writeEnd
	}
	for { // no more is taken
		switch {
		case c.closed:
			return says.taken, net.ErrClosed
		case passed(c.writeBy):
			return says.taken, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

func (c *scriptedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed, c.closedAt = true, time.Now()
		close(c.gone)
		c.wakeAt(time.Time{}, &c.readTimer)
		c.wakeAt(time.Time{}, &c.writeTimer)
	}
	return nil
}

// Pending is what the pool looks at before it uses a connection again.
func (c *scriptedConn) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.incoming) > 0:
		return 1
	case c.inEnd != nil || c.closed:
		return -1
	}
	return 0
}

// wakeAt wakes who waits once a deadline has passed; timer is that of the deadline before.
func (c *scriptedConn) wakeAt(by time.Time, timer **time.Timer) {
	if *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	if !by.IsZero() && !passed(by) {
		*timer = time.AfterFunc(time.Until(by), func() {
			c.mu.Lock()
			c.changed.Broadcast()
			c.mu.Unlock()
		})
	}
	c.changed.Broadcast()
}

func (c *scriptedConn) SetReadDeadline(by time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = by
	c.wakeAt(by, &c.readTimer)
	return nil
}

func (c *scriptedConn) SetWriteDeadline(by time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = by
	c.wakeAt(by, &c.writeTimer)
	return nil
}

func (c *scriptedConn) SetDeadline(by time.Time) error {
	_ = c.SetReadDeadline(by)
	return c.SetWriteDeadline(by)
}

func (c *scriptedConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
