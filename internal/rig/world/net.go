package world

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"molepaddle/internal/protocol/sockets"
)

// addr is an address of the in-memory network.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// conn is an agent's end of a connection. The other end is no object: the world's
// goroutine delivers to the agent's end, and collects from it what the agent did.
//
// The network's lock guards all but what is marked as the world's.
type conn struct {
	n       *network
	remote  string
	purpose string // what a dialled one is for; empty: a client's
	cond    *sync.Cond
	in      []byte // delivered and not yet read
	eof     bool   // the other end has ended its sending
	broken  bool   // reset by the other end
	room    int    // bytes that may be written before Write waits
	out     []byte // written and not yet collected
	ended   bool   // the agent has ended its sending
	closed  bool   // the agent has closed
	dirty   bool   // among the network's changed ones
	read    int64  // bytes that the agent has read
	rd, wd  limit

	// The world's.
	id     int
	server *server // nil: a client's, or the roster's
	peer   any     // state of whoever is at the other end
	seen   struct{ ended, closed bool }
	last   time.Duration // when what was sent last arrives: bytes keep their order
}

// limit is a deadline of a connection.
type limit struct {
	timer  *time.Timer
	passed bool
}

// network is what one process of an agent can reach. Its lock is held for moments only.
type network struct {
	w  *World
	mu sync.Mutex

	dead    bool // the process was killed: nothing that it does counts any more
	changed []*conn
	dials   []*dial
	accept  []*conn // clients' connections that the agent has not yet taken
	links   []*conn // the same of near gateways'
	accepts *sync.Cond
	open    int // connections that the agent has not closed
	shut    bool
}

// dial is an attempt of an agent to open a connection.
type dial struct {
	c      *conn
	result chan error // room for one
	given  bool       // given up by the agent
	known  bool       // the world has seen it
}

func newNetwork(w *World) *network {
	n := &network{w: w}
	n.accepts = sync.NewCond(&n.mu)
	return n
}

func (n *network) newConn(remote, purpose string) *conn {
	c := &conn{n: n, remote: remote, purpose: purpose, room: 1 << 20}
	c.cond = sync.NewCond(&n.mu)
	return c
}

// Dial opens a connection as the world sees fit.
func (n *network) Dial(ctx context.Context, _, remote string) (net.Conn, error) {
	d := &dial{c: n.newConn(remote, sockets.Purpose(ctx)), result: make(chan error, 1)}
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return nil, syscall.ENETDOWN
	}
	n.dials = append(n.dials, d)
	n.mu.Unlock()
	n.w.notify()
	select {
	case err := <-d.result:
		if err != nil {
			return nil, err
		}
		return d.c, nil
	case <-ctx.Done():
		n.mu.Lock()
		d.given = true
		n.mu.Unlock()
		n.w.notify()
		return nil, ctx.Err()
	}
}

// listener is where an agent's clients come in, or its links.
type listener struct {
	n     *network
	links bool
}

func (l listener) Accept() (net.Conn, error) {
	n := l.n
	n.mu.Lock()
	defer n.mu.Unlock()
	from := &n.accept
	if l.links {
		from = &n.links
	}
	for len(*from) == 0 && !n.shut && !n.dead {
		n.accepts.Wait()
	}
	if n.shut || n.dead {
		return nil, net.ErrClosed
	}
	c := (*from)[0]
	*from = (*from)[1:]
	return c, nil
}

func (l listener) Close() error {
	if l.links {
		return nil // it ends with the clients'
	}
	l.n.mu.Lock()
	l.n.shut = true
	l.n.accepts.Broadcast()
	l.n.mu.Unlock()
	l.n.w.notify()
	return nil
}

func (l listener) Addr() net.Addr { return addr("agent:1") }

// kill cuts a process off: its connections are as if reset, and what it does is nothing.
func (n *network) kill(all []*conn) {
	n.mu.Lock()
	n.dead = true
	n.accepts.Broadcast()
	dials := n.dials
	for _, c := range all {
		c.broken = true
		c.cond.Broadcast()
	}
	n.mu.Unlock()
	for _, d := range dials {
		select {
		case d.result <- syscall.ENETDOWN:
		default:
		}
	}
}

// mark notes that the world has something to collect. The lock is held.
func (c *conn) mark() {
	if !c.dirty {
		c.dirty = true
		c.n.changed = append(c.n.changed, c)
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.rd.passed:
			return 0, os.ErrDeadlineExceeded
		case c.broken:
			return 0, syscall.ECONNRESET
		case len(c.in) > 0:
			k := copy(p, c.in)
			c.in = c.in[k:]
			c.read += int64(k)
			return k, nil
		case c.eof:
			return 0, io.EOF
		}
		c.cond.Wait()
	}
}

func (c *conn) Write(p []byte) (int, error) {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	done := 0
	for {
		switch {
		case c.closed || c.ended:
			return done, net.ErrClosed
		case c.wd.passed:
			return done, os.ErrDeadlineExceeded
		case c.broken:
			return done, syscall.EPIPE
		}
		if k := min(c.room, len(p)-done); k > 0 {
			c.out = append(c.out, p[done:done+k]...)
			c.room -= k
			done += k
			c.mark()
			n.w.notify()
		}
		if done == len(p) {
			return done, nil
		}
		c.cond.Wait()
	}
}

func (c *conn) Close() error {
	n := c.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	n.open--
	c.rd.stop()
	c.wd.stop()
	c.cond.Broadcast()
	c.mark()
	n.w.notify()
	return nil
}

// CloseWrite ends the agent's sending.
func (c *conn) CloseWrite() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed || c.broken {
		return errors.New("not connected")
	}
	c.ended = true
	c.mark()
	c.n.w.notify()
	return nil
}

// Pending is what sockets.Pending wants to know.
func (c *conn) Pending() int {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	switch {
	case c.broken || c.closed:
		return -1
	case len(c.in) > 0:
		return 1
	case c.eof:
		return -1
	}
	return 0
}

func (c *conn) LocalAddr() net.Addr  { return addr("agent:1") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (l *limit) stop() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// set changes a deadline. The lock is held.
func (c *conn) set(l *limit, t time.Time) {
	l.stop()
	l.passed = false
	if t.IsZero() || c.closed {
		return
	}
	left := time.Until(t)
	if left <= 0 {
		l.passed = true
		c.cond.Broadcast()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		c.n.mu.Lock()
		if l.timer == timer {
			l.passed = true
			c.cond.Broadcast()
		}
		c.n.mu.Unlock()
	})
	l.timer = timer
}

// until changes deadlines of the connection.
func (c *conn) until(t time.Time, limits ...*limit) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	for _, l := range limits {
		c.set(l, t)
	}
	return nil
}

func (c *conn) SetDeadline(t time.Time) error      { return c.until(t, &c.rd, &c.wd) }
func (c *conn) SetReadDeadline(t time.Time) error  { return c.until(t, &c.rd) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.until(t, &c.wd) }

// ---- the world's side; its goroutine calls these ----

// deliver hands bytes to the agent, and reports whether they were taken: the agent may
// have closed, or the connection be broken.
func (c *conn) deliver(p []byte) bool {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed || c.broken || c.eof || c.n.dead {
		return false
	}
	c.in = append(c.in, p...)
	c.cond.Broadcast()
	return true
}

// finish ends the sending towards the agent.
func (c *conn) finish() {
	c.n.mu.Lock()
	c.eof = true
	c.cond.Broadcast()
	c.n.mu.Unlock()
}

// reset breaks the connection as the agent sees it; what it has not read is lost.
func (c *conn) reset() {
	c.n.mu.Lock()
	c.broken = true
	c.in = nil
	c.cond.Broadcast()
	c.n.mu.Unlock()
}

// grant lets the agent write so many bytes more.
func (c *conn) grant(k int) {
	c.n.mu.Lock()
	c.room += k
	c.cond.Broadcast()
	c.n.mu.Unlock()
}

// gone tells whether the agent has closed, or the connection is broken.
func (c *conn) gone() bool {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return c.closed || c.broken || c.n.dead
}
