package simulation

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The two machines of the tests. The target listens at its own address.
const (
	dialingIP = "127.0.9.1"
	targetIP  = "127.0.9.2"
)

var (
	outbound = Link{From: dialingIP, To: targetIP}
	inbound  = Link{From: targetIP, To: dialingIP}
)

const (
	// networkTimeout bounds the wait for expected events.
	networkTimeout = 10 * time.Second
	// networkShort is the wait in which an unexpected event must not occur.
	networkShort = 50 * time.Millisecond
)

// listenAtTarget listens at the target's address and sends each accepted connection.
func listenAtTarget(c *qt.C) (address string, accepted <-chan net.Conn) {
	ln, err := net.Listen("tcp", net.JoinHostPort(targetIP, "0"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	ends := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			ends <- conn
		}
	}()
	return ln.Addr().String(), ends
}

// pair returns both ends of a connection through the relay.
func pair(
	c *qt.C, n *RelayNetwork, address string, accepted <-chan net.Conn, within time.Duration,
) (dialer, target net.Conn) {
	dialer, err := DialRelay(n.Address(), dialingIP, address, within)
	c.Assert(err, qt.IsNil)
	target = <-accepted
	c.Cleanup(func() {
		dialer.Close()
		target.Close()
	})
	return dialer, target
}

func sendText(c *qt.C, from net.Conn, text string) {
	_, err := from.Write([]byte(text))
	c.Assert(err, qt.IsNil)
}

func expectText(c *qt.C, at net.Conn, text string) {
	c.Assert(at.SetReadDeadline(time.Now().Add(networkTimeout)), qt.IsNil)
	got := make([]byte, len(text))
	_, err := io.ReadFull(at, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, text)
}

func expectNothing(c *qt.C, at net.Conn) {
	c.Assert(at.SetReadDeadline(time.Now().Add(networkShort)), qt.IsNil)
	_, err := at.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	c.Assert(ok && timeout.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
}

// TestRelayNetworkForwards: both directions of an open link carry data, and an alias changes the target.
func TestRelayNetworkForwards(t *testing.T) {
	c := qt.New(t)
	n := StartRelayNetwork(c)
	address, accepted := listenAtTarget(c)
	n.Alias("127.0.9.2:1", address)
	dialer, target := pair(c, n, "127.0.9.2:1", accepted, networkTimeout)
	sendText(c, dialer, "request")
	expectText(c, target, "request")
	sendText(c, target, "answer")
	expectText(c, dialer, "answer")
	target.Close()
	_, err := dialer.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

// TestRelayNetworkCutsOneDirection: a cut direction carries nothing until it is healed, while the other one works.
func TestRelayNetworkCutsOneDirection(t *testing.T) {
	c := qt.New(t)
	n := StartRelayNetwork(c)
	address, accepted := listenAtTarget(c)
	dialer, target := pair(c, n, address, accepted, networkTimeout)
	n.Cut(outbound)
	sendText(c, dialer, "held up")
	expectNothing(c, target)
	sendText(c, target, "answer")
	expectText(c, dialer, "answer")
	n.Cut(outbound)
	n.Heal(outbound)
	expectNothing(c, target) // it was cut twice
	n.Heal(outbound)
	expectText(c, target, "held up")
	n.Cut(inbound)
	sendText(c, target, "late")
	expectNothing(c, dialer)
	sendText(c, dialer, "request")
	expectText(c, target, "request")
	n.Heal(inbound)
	expectText(c, dialer, "late")
}

// TestRelayNetworkDialNeedsBothDirections: a dial over a link that is cut in one direction fails at its time limit, and
// one over a link that heals meanwhile succeeds.
func TestRelayNetworkDialNeedsBothDirections(t *testing.T) {
	c := qt.New(t)
	n := StartRelayNetwork(c)
	address, accepted := listenAtTarget(c)
	for _, l := range []Link{outbound, inbound} {
		n.Cut(l)
		_, err := DialRelay(n.Address(), dialingIP, address, networkShort)
		c.Assert(err, qt.IsNotNil)
		n.Heal(l)
	}
	n.Cut(inbound)
	type dialed struct {
		conn net.Conn
		err  error
	}
	result := make(chan dialed, 1)
	go func() {
		conn, err := DialRelay(n.Address(), dialingIP, address, networkTimeout)
		result <- dialed{conn, err}
	}()
	n.Heal(inbound)
	got := <-result
	c.Assert(got.err, qt.IsNil)
	got.conn.Close()
	(<-accepted).Close()
	dead := net.JoinHostPort(targetIP, "1")
	_, err := DialRelay(n.Address(), dialingIP, dead, networkTimeout)
	c.Assert(err, qt.IsNotNil)
}

// TestRelayNetworkTimesOut: the dialing machine loses the connection once its bytes were not acknowledged for as long
// as its dial's time limit, whichever direction is cut. The data that the cut held back is lost.
func TestRelayNetworkTimesOut(t *testing.T) {
	for _, l := range []Link{outbound, inbound} {
		t.Run(l.From, func(t *testing.T) {
			c := qt.New(t)
			n := StartRelayNetwork(c)
			address, accepted := listenAtTarget(c)
			dialer, target := pair(c, n, address, accepted, networkShort)
			n.Cut(l)
			sendText(c, dialer, "request")
			c.Assert(dialer.SetReadDeadline(time.Now().Add(networkTimeout)), qt.IsNil)
			_, err := dialer.Read(make([]byte, 1))
			c.Assert(err, qt.IsNotNil)
			timeout, ok := err.(net.Error)
			c.Assert(ok && timeout.Timeout(), qt.IsFalse)
			n.Heal(l)
			c.Assert(target.SetReadDeadline(time.Now().Add(networkTimeout)), qt.IsNil)
			got, err := io.ReadAll(target)
			c.Assert(err, qt.IsNil)
			if l == outbound {
				c.Assert(string(got), qt.Equals, "")
			} else {
				c.Assert(string(got), qt.Equals, "request")
			}
		})
	}
}

// TestRelayNetworkDelays: data over a link with a delay arrives late.
func TestRelayNetworkDelays(t *testing.T) {
	c := qt.New(t)
	n := StartRelayNetwork(c)
	address, accepted := listenAtTarget(c)
	dialer, target := pair(c, n, address, accepted, networkTimeout)
	const late = 60 * time.Millisecond
	n.Delay(late, outbound)
	began := time.Now()
	sendText(c, dialer, "request")
	expectText(c, target, "request")
	c.Assert(time.Since(began) >= late, qt.IsTrue)
}
