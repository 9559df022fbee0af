package simulation

import (
	"net"
	"os"
	"sync"
	"time"
)

// Network simulates a network between machines in one process, identified by their IP addresses. It can be partitioned,
// also in one direction only. A connection opened with Dialer holds data back during a partition until the partition
// heals; reads and writes fail when their deadline passes or the connection is closed. It is safe for concurrent use.
// For machines that are separate processes, see RelayNetwork.
type Network struct {
	Delay time.Duration // delay of sent data in each direction; must not change once there are connections

	mu      sync.Mutex
	cut     map[direction]bool
	changed chan struct{}         // closed and replaced at each change of cut
	conns   map[*networkConn]bool // open connections
	parked  []net.Conn            // closed by their owners behind a cut; the other side isn't notified yet
}

// direction is a direction between two machines, by their IPs.
type direction struct{ from, to string }

// NewNetwork returns a network without cuts. All cuts are healed at the end of the test.
func NewNetwork(tb TB) *Network {
	n := &Network{
		cut:     map[direction]bool{},
		conns:   map[*networkConn]bool{},
		changed: make(chan struct{}),
	}
	tb.Cleanup(n.Heal)
	return n
}

// Cut holds back all data that one machine sends to another.
func (n *Network) Cut(from, to string) { n.cutDirections(direction{from, to}) }

// Partition partitions the network: it cuts the machines of one side from those of the other, in both directions.
func (n *Network) Partition(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			n.cutDirections(direction{a, b}, direction{b, a})
		}
	}
}

// CloseConns closes the connections that a machine has opened, as the exit of its process would.
func (n *Network) CloseConns(from string) {
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

// Heal ends all cuts, and closes the connections that were closed behind one.
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

// cutDirections adds cuts.
func (n *Network) cutDirections(directions ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range directions {
		n.cut[d] = true
	}
	n.signal()
}

// signal wakes the goroutines that wait for a change. n.mu is held.
func (n *Network) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// open reports whether none of some directions is cut, and returns a channel that is closed when that may have changed.
func (n *Network) open(directions ...direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range directions {
		if n.cut[d] {
			return false, n.changed
		}
	}
	return true, n.changed
}

// awaitOpen blocks until none of some directions is cut. It returns os.ErrDeadlineExceeded at the deadline, if that
// isn't zero, and net.ErrClosed when closed is.
func (n *Network) awaitOpen(deadline time.Time, closed <-chan struct{}, directions ...direction) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	for {
		open, changed := n.open(directions...)
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-closed:
			return net.ErrClosed
		}
	}
}

// Dialer returns a function that dials as one machine. It blocks until both directions are open, for within at the
// most.
func (n *Network) Dialer(from string) func(addr string, within time.Duration) (net.Conn, error) {
	return func(addr string, within time.Duration) (net.Conn, error) {
		by := time.Now().Add(within)
		to, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		c := &networkConn{
			network: n,
			out:     direction{from, to},
			back:    direction{to, from},
			closed:  make(chan struct{}),
		}
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
	network *Network
	out     direction // from the machine that dialed
	back    direction

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	once          sync.Once     // for Close
	closed        chan struct{} // closed by Close

	received []byte // read from the connection and not yet returned by Read; used by the reader only
	readErr  error  // what came after received
}

// Read returns what has arrived, once its direction is open.
func (c *networkConn) Read(p []byte) (int, error) {
	if len(c.received) == 0 && c.readErr == nil {
		n, err := c.Conn.Read(p)
		if n == 0 && err != nil && os.IsTimeout(err) {
			return 0, err
		}
		c.received = append(c.received, p[:n]...)
		c.readErr = err
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

// Write sends once its direction is open.
func (c *networkConn) Write(p []byte) (int, error) {
	if err := c.network.awaitOpen(c.deadline(&c.writeDeadline), c.closed, c.out); err != nil {
		return 0, err
	}
	c.awaitDelay()
	return c.Conn.Write(p)
}

// awaitDelay blocks for the network's Delay, or until the connection is closed.
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

// deadline returns one of the deadlines under the lock.
func (c *networkConn) deadline(which *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *which
}

// SetDeadline sets the deadlines of reads and writes.
func (c *networkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.writeDeadline = t
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

// Close closes the connection at this end; the other end learns of it once the direction there is open.
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
		c.Conn.SetDeadline(time.Unix(1, 0)) // pending reads and writes return
	})
	return nil
}
