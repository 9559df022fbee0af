package simulation

import (
	"net"
	"os"
	"sync"
	"time"
)

// Network is a network of machines, known by their IP addresses, that can be cut: whole or one way. Connections that were
// opened through it hold what is cut off until the cut heals, their deadline is reached or they are closed.
type Network struct {
	Delay time.Duration // of whatever is sent, one way; not to be changed once there are connections

	mu      sync.Mutex
	cut     map[direction]bool
	changed chan struct{}         // closed and made anew with each cut and healing
	conns   map[*networkConn]bool // that are open
	parked  []net.Conn            // closed by their owners behind a cut: the other side doesn't learn of it yet
}

// direction is a direction between two machines.
type direction struct{ from, to string }

// NewNetwork makes a network without cuts. Its connections end with the test.
func NewNetwork(tb TB) *Network {
	n := &Network{cut: map[direction]bool{}, conns: map[*networkConn]bool{}, changed: make(chan struct{})}
	tb.Cleanup(n.Heal)
	return n
}

// Cut has nothing more that one machine sends reach another.
func (n *Network) Cut(from, to string) { n.cutDirections(direction{from, to}) }

// Part cuts the machines of one side from those of the other, both ways.
func (n *Network) Part(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			n.cutDirections(direction{a, b}, direction{b, a})
		}
	}
}

// Drop closes the connections that a machine has opened, as the end of its process does.
func (n *Network) Drop(from string) {
	n.mu.Lock()
	var all []*networkConn
	for c := range n.conns {
		if c.out.from == from {
			all = append(all, c)
		}
	}
	n.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for _, c := range n.parked {
		c.Close()
	}
	n.parked = nil
	n.signal()
}

func (n *Network) cutDirections(ways ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways {
		n.cut[w] = true
	}
	n.signal()
}

func (n *Network) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// open reports whether none of some ways is cut, and what is closed when that may have changed.
func (n *Network) open(ways ...direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways {
		if n.cut[w] {
			return false, n.changed
		}
	}
	return true, n.changed
}

// awaitOpen waits until none of some ways is cut. It fails at the deadline, if there is one, and when the connection is closed.
func (n *Network) awaitOpen(deadline time.Time, closed <-chan struct{}, ways ...direction) error {
	var over <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		over = timer.C
	}
	for {
		open, changed := n.open(ways...)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-over:
			return os.ErrDeadlineExceeded
		case <-closed:
			return net.ErrClosed
		}
	}
}

// Dialer opens connections of one machine.
func (n *Network) Dialer(from string) func(addr string, within time.Duration) (net.Conn, error) {
	return func(addr string, within time.Duration) (net.Conn, error) {
		by := time.Now().Add(within)
		to, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		c := &networkConn{network: n, out: direction{from, to}, back: direction{to, from}, closed: make(chan struct{})}
		if err := n.awaitOpen(by, nil, c.out, c.back); err != nil {
			return nil, err
		}
		if c.Conn, err = net.DialTimeout("tcp", addr, time.Until(by)); err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = true
		return c, nil
	}
}

// networkConn is a connection through a Network. One goroutine reads and one writes at a time.
type networkConn struct {
	net.Conn
	network   *Network
	out, back direction

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time // deadlines
	once                        sync.Once
	closed                      chan struct{}

	received []byte // read but held by a cut
	readErr  error  // what came after that
}

// Read gives what has arrived, once its way is open.
func (c *networkConn) Read(p []byte) (int, error) {
	if len(c.received) == 0 && c.readErr == nil {
		n, err := c.Conn.Read(p)
		if n == 0 && err != nil && os.IsTimeout(err) {
			return 0, err
		}
		c.received, c.readErr = append(c.received, p[:n]...), err
	}
	if err := c.network.awaitOpen(c.deadline(&c.readDeadline), c.closed, c.back); err != nil {
		return 0, err
	}
	c.awaitDelay()
	if len(c.received) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}

// Write sends once the way is open.
func (c *networkConn) Write(p []byte) (int, error) {
	if err := c.network.awaitOpen(c.deadline(&c.writeDeadline), c.closed, c.out); err != nil {
		return 0, err
	}
	c.awaitDelay()
	return c.Conn.Write(p)
}

// awaitDelay waits for as long as the way takes.
func (c *networkConn) awaitDelay() {
	if c.network.Delay <= 0 {
		return
	}
	timer := time.NewTimer(c.network.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

func (c *networkConn) deadline(which *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *which
}

// SetDeadline sets both deadlines.
func (c *networkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *networkConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *networkConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Close ends the connection here; the other side learns of it once the way there is open.
func (c *networkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.conns, c)
		if !c.network.cut[c.out] {
			c.Conn.Close()
			return
		}
		c.network.parked = append(c.network.parked, c.Conn)
		c.Conn.SetDeadline(time.Unix(1, 0)) // whoever reads or writes returns
	})
	return nil
}
