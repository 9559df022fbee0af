package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/protocol/sockets"
)

// RelayNetwork connects the machines of one test, each of which has its own address of 127.0.0.0/8. Processes dial each
// other through its relay with DialRelay, so that links can be cut and delayed in each direction independently. It is
// safe for concurrent use.
//
// A cut direction carries no data: sent data is held back until the cut heals, unless the connection is closed before.
// As with TCP_USER_TIMEOUT, the relay closes a connection once bytes of the dialing machine have not been acknowledged
// for its dial's time limit, which a cut of either direction causes. A dial needs both directions.
type RelayNetwork struct {
	listener net.Listener

	mu      sync.Mutex
	cuts    map[Link]int // a link is open at 0
	delays  map[Link]time.Duration
	aliases map[string]string
	changed chan struct{} // closed and replaced at each change of cuts or delays
}

// Link is one direction between two machines, by their IPs.
type Link struct{ From, To string }

// relayGreeting is the first line of a dial: the dialing machine's IP, the address and the dial's time limit in ms.
const relayGreeting = "%s %s %d\n"

// relayOpen is the byte with which the relay answers once the connection is open.
const relayOpen = '+'

// relayChunk is the maximum number of bytes that the relay buffers per direction.
const relayChunk = 64 << 10

// StartRelayNetwork starts a RelayNetwork without cuts, which ends with the test.
func StartRelayNetwork(tb TB) *RelayNetwork {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("simulation: network: %v", err)
	}
	n := &RelayNetwork{
		listener: ln,
		cuts:     map[Link]int{},
		delays:   map[Link]time.Duration{},
		aliases:  map[string]string{},
		changed:  make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		ln.Close()
	})
	go n.serve(ctx)
	return n
}

// Address returns the IP:PORT of the relay, for DialRelay.
func (n *RelayNetwork) Address() string { return n.listener.Addr().String() }

// Alias makes the relay connect to one address instead of another.
func (n *RelayNetwork) Alias(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aliases[from] = to
}

// Cut cuts links. A link that was cut twice is open again after two calls of Heal.
func (n *RelayNetwork) Cut(links ...Link) { n.addCuts(1, links) }

// Heal undoes one cut of each link.
func (n *RelayNetwork) Heal(links ...Link) { n.addCuts(-1, links) }

// addCuts changes the number of cuts of each link.
func (n *RelayNetwork) addCuts(by int, links []Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cuts[l] += by
	}
	n.signal()
}

// Delay sets the delay of data that passes each link from now on; 0 removes it.
func (n *RelayNetwork) Delay(d time.Duration, links ...Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.delays[l] = d
	}
	n.signal()
}

// signal wakes the goroutines that wait for a change. n.mu is held.
func (n *RelayNetwork) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// open returns whether a link is open, the link's delay, and a channel that is closed when either may have changed.
func (n *RelayNetwork) open(l Link) (open bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l] <= 0, n.delays[l], n.changed
}

// resolve returns the address to which connections to addr are made, which an alias may change.
func (n *RelayNetwork) resolve(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to, ok := n.aliases[addr]; ok {
		return to
	}
	return addr
}

// awaitOpen blocks until a link is open, and reports false when ctx ended first.
func (n *RelayNetwork) awaitOpen(ctx context.Context, l Link) bool {
	for {
		open, _, changed := n.open(l)
		if open {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// serve relays connections, each on goroutines of its own, until the listener is closed.
func (n *RelayNetwork) serve(ctx context.Context) {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.relayDial(ctx, c)
	}
}

// relayedConn is one connection through the relay. ctx ends with either end of it.
type relayedConn struct {
	network     *RelayNetwork
	ctx         context.Context
	dialer      net.Conn
	target      net.Conn
	out         Link          // from the machine that dialed
	dialTimeout time.Duration // the dial's bound, and that of an acknowledgement
}

// back is the direction towards the machine that dialed.
func (c *relayedConn) back() Link { return Link{From: c.out.To, To: c.out.From} }

// relayDial serves one dial: it connects to the target and copies what both ends send until one closes.
func (n *RelayNetwork) relayDial(ctx context.Context, dialer net.Conn) {
	defer dialer.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromDialer := bufio.NewReader(dialer)
	g, err := readGreeting(fromDialer)
	if err != nil {
		return
	}
	c := &relayedConn{
		network:     n,
		ctx:         ctx,
		dialer:      dialer,
		out:         g.link,
		dialTimeout: g.within,
	}
	if err := c.dialTarget(g.address); err != nil {
		return
	}
	defer c.target.Close()
	if _, err := dialer.Write([]byte{relayOpen}); err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() {
		dialer.Close()
		c.target.Close()
	})()
	go func() {
		defer cancel()
		c.copyDirection(c.target, dialer, c.back(), false)
	}()
	c.copyDirection(fromDialer, c.target, c.out, true)
}

// greeting is the parsed first line of a dial.
type greeting struct {
	link    Link // from the dialing machine to the host of address
	address string
	within  time.Duration
}

// readGreeting blocks until the greeting has been received.
func readGreeting(r *bufio.Reader) (greeting, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return greeting{}, err
	}
	var from, address string
	var ms int64
	if _, err := fmt.Sscanf(line, relayGreeting, &from, &address, &ms); err != nil {
		return greeting{}, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return greeting{}, err
	}
	return greeting{
		link:    Link{From: from, To: host},
		address: address,
		within:  time.Duration(ms) * time.Millisecond,
	}, nil
}

// dialTarget connects to the target, once both directions are open, within the dial's bound.
func (c *relayedConn) dialTarget(address string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.dialTimeout)
	defer cancel()
	if !c.network.awaitOpen(ctx, c.out) || !c.network.awaitOpen(ctx, c.back()) {
		return ctx.Err()
	}
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.network.resolve(address))
	if err != nil {
		return err
	}
	c.target = target
	return nil
}

// copyDirection copies one direction until an end closes; dialed says that the sender is the machine that dialed.
func (c *relayedConn) copyDirection(from io.Reader, to io.Writer, l Link, dialed bool) {
	b := make([]byte, relayChunk)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !c.awaitPassage(l, dialed) {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
			if dialed {
				c.watchAcknowledgement()
			}
		}
		if err != nil {
			c.network.awaitOpen(c.ctx, l) // the other end is notified of the close once its link is open
			return
		}
	}
}

// awaitPassage blocks until the link carries what was read, and reports false when the connection has ended.
func (c *relayedConn) awaitPassage(l Link, dialed bool) bool {
	ctx := c.ctx
	if dialed {
		bounded, cancel := context.WithTimeout(ctx, c.dialTimeout)
		defer cancel()
		ctx = bounded
	}
	for {
		if !c.network.awaitOpen(ctx, l) {
			return false
		}
		_, delay, _ := c.network.open(l)
		if delay <= 0 {
			return true
		}
		if sleep(ctx, delay) != nil {
			return false
		}
		if open, _, _ := c.network.open(l); open {
			return true
		}
	}
}

// watchAcknowledgement closes the connection if the direction back is cut for longer than the dialing machine waits for
// an acknowledgement of what it sent. It doesn't block; its goroutine ends with the cut, that time or the connection.
func (c *relayedConn) watchAcknowledgement() {
	back := c.back()
	if open, _, _ := c.network.open(back); open {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.dialTimeout)
		defer cancel()
		if !c.network.awaitOpen(ctx, back) {
			c.dialer.Close()
		}
	}()
}

// DialRelay connects to an address through the relay of a RelayNetwork, as the machine with the given IP. It blocks for
// within at the most; within also bounds how long bytes may stay unacknowledged.
func DialRelay(relay, ip, address string, within time.Duration) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: within, KeepAlive: -1, Control: sockets.UserTimeout(within)}).Dial("tcp", relay)
	if err != nil {
		return nil, errors.Wrap(err, "dial the relay")
	}
	if err := greet(c, ip, address, within); err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return c, nil
}

// greet sends the greeting and blocks until the relay answers that the connection is open.
func greet(c net.Conn, ip, address string, within time.Duration) error {
	if strings.ContainsAny(address, " \n") {
		return errors.New("no address")
	}
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, relayGreeting, ip, address, max(within.Milliseconds(), 1)); err != nil {
		return err
	}
	var open [1]byte
	if _, err := io.ReadFull(c, open[:]); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
