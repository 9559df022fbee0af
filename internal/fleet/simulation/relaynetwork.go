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

// RelayNetwork is the links between machines of one test, each with its own address of 127.0.0.0/8: a relay through which
// processes dial each other with DialRelay, so that links can be cut and delayed in each direction apart.
//
// A direction that is cut carries nothing: what was sent waits and comes after the cut, unless the machine that dialed
// gives the connection up before. It does so as TCP_USER_TIMEOUT would: once bytes of its own were not acknowledged for
// as long as its dial was given, which either direction's cut brings about. A dial needs both directions.
type RelayNetwork struct {
	listener net.Listener

	mu      sync.Mutex
	cuts    map[Link]int
	delays  map[Link]time.Duration
	aliases map[string]string
	changed chan struct{} // closed and made anew with each change
}

// Link is one direction between two machines, by their IPs.
type Link struct{ From, To string }

// relayGreeting is the line with which a dial begins: the dialing machine's IP, the address and the bound in ms.
const relayGreeting = "%s %s %d\n"

// relayOpen is the byte that tells a dialing process that its connection stands.
const relayOpen = '+'

// StartRelayNetwork starts a RelayNetwork without cuts, which ends with the test.
func StartRelayNetwork(tb TB) *RelayNetwork {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("simulation: network: %v", err)
	}
	n := &RelayNetwork{listener: ln, cuts: map[Link]int{}, delays: map[Link]time.Duration{}, aliases: map[string]string{}, changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		ln.Close()
	})
	go n.serve(ctx)
	return n
}

// Address is where the relay listens, for DialRelay.
func (n *RelayNetwork) Address() string { return n.listener.Addr().String() }

// Alias has connections to one address led to another.
func (n *RelayNetwork) Alias(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aliases[from] = to
}

// Cut cuts links; one that was cut twice needs two calls of Heal.
func (n *RelayNetwork) Cut(links ...Link) { n.addCuts(1, links) }

// Heal takes back one cut of each link.
func (n *RelayNetwork) Heal(links ...Link) { n.addCuts(-1, links) }

func (n *RelayNetwork) addCuts(by int, links []Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cuts[l] += by
	}
	n.signal()
}

// Delay has what passes a link come later; 0 takes it back.
func (n *RelayNetwork) Delay(d time.Duration, links ...Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.delays[l] = d
	}
	n.signal()
}

func (n *RelayNetwork) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// open tells whether a link carries anything, how late, and what is closed when that changes.
func (n *RelayNetwork) open(l Link) (open bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l] <= 0, n.delays[l], n.changed
}

func (n *RelayNetwork) resolve(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to, ok := n.aliases[addr]; ok {
		return to
	}
	return addr
}

// awaitOpen waits until a link carries; false: ctx ended first.
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

func (n *RelayNetwork) serve(ctx context.Context) {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.relayDial(ctx, c)
	}
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	network     *RelayNetwork
	ctx         context.Context
	dialer      net.Conn
	target      net.Conn
	out         Link // from the machine that dialed
	dialTimeout time.Duration
}

// back is the direction towards the machine that dialed.
func (c *relayedConn) back() Link { return Link{From: c.out.To, To: c.out.From} }

// relayDial answers one dial and passes on what both ends send until one closes.
func (n *RelayNetwork) relayDial(ctx context.Context, dialer net.Conn) {
	defer dialer.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := bufio.NewReader(dialer)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	var from, to string
	var ms int64
	if _, err := fmt.Sscanf(line, relayGreeting, &from, &to, &ms); err != nil {
		return
	}
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return
	}
	c := &relayedConn{network: n, ctx: ctx, dialer: dialer, out: Link{From: from, To: host}, dialTimeout: time.Duration(ms) * time.Millisecond}
	dialing, stop := context.WithTimeout(ctx, c.dialTimeout)
	defer stop()
	if !n.awaitOpen(dialing, c.out) || !n.awaitOpen(dialing, c.back()) {
		return
	}
	c.target, err = (&net.Dialer{}).DialContext(dialing, "tcp", n.resolve(to))
	if err != nil {
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
	c.copyDirection(r, c.target, c.out, true)
}

// relayChunk is how much of a direction the relay holds at the most; more waits with the sender.
const relayChunk = 64 << 10

// copyDirection copies one direction until an end closes; dialed tells that the sender is the machine that dialed.
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
			c.network.awaitOpen(c.ctx, l) // the other end learns of it once it can
			return
		}
	}
}

// awaitPassage waits until the link carries what was read; false: the connection is over.
func (c *relayedConn) awaitPassage(l Link, dialed bool) bool {
	ctx := c.ctx
	if dialed {
		waiting, stop := context.WithTimeout(ctx, c.dialTimeout)
		defer stop()
		ctx = waiting
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

// watchAcknowledgement ends the connection where the way back is cut for longer than the dialing machine waits for an
// acknowledgement of what it sent.
func (c *relayedConn) watchAcknowledgement() {
	back := c.back()
	if open, _, _ := c.network.open(back); open {
		return
	}
	go func() {
		waiting, stop := context.WithTimeout(c.ctx, c.dialTimeout)
		defer stop()
		if !c.network.awaitOpen(waiting, back) {
			c.dialer.Close()
		}
	}()
}

// DialRelay connects to an address by way of a RelayNetwork's relay, as the machine with the IP given.
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
