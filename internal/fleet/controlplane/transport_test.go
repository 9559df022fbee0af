package controlplane

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// TestRestartedPeerGetsTheNextMessage checks that the first message after a peer's restart at the same address reaches
// the new process and isn't written to the connection of the old one.
func TestRestartedPeerGetsTheNextMessage(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	p := newTransport(distribution.Dial)
	for round := range uint64(3) {
		p.send(ln.Addr().String(), replication.Message{Kind: replication.KindHeartbeat, Round: round})
		conn, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		var got replication.Message
		r := bufio.NewReader(conn)
		c.Assert(distribution.ReadFrame(r, &got), qt.IsNil)
		c.Assert(got.Round, qt.Equals, round)
		// The sender detects that this side has closed, and closes its own side.
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, err = r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(conn.Close(), qt.IsNil)
	}
}

// TestMessageToAReplacedProcess checks that the first message to a process that replaced another at the same address
// arrives. A takeover that waits for a single reply would be delayed if that message were lost.
func TestMessageToAReplacedProcess(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := ln.Addr().String()
	ended := make(chan struct{}, 10)
	p := newTransport(func(addr string, within time.Duration) (net.Conn, error) {
		conn, err := distribution.Dial(addr, within)
		return closeRecorder{conn, ended}, err
	})
	receive := func(ln net.Listener) (conn net.Conn, r *bufio.Reader) {
		conn, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		return conn, bufio.NewReader(conn)
	}
	round := func(r *bufio.Reader) uint64 {
		var m replication.Message
		c.Assert(distribution.ReadFrame(r, &m), qt.IsNil)
		return m.Round
	}
	p.send(addr, replication.Message{Round: 1})
	conn, r := receive(ln)
	c.Assert(round(r), qt.Equals, uint64(1))
	// The process ends and its replacement listens.
	ln.Close()
	conn.Close()
	next, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer next.Close()
	select {
	case <-ended: // the end was detected without a message
	case <-time.After(peerIdleTimeout / 2): // before an idle connection is closed in any case
		c.Fatal("the end of the connection was not detected")
	}
	p.send(addr, replication.Message{Round: 2})
	_ = next.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, r = receive(next)
	defer conn.Close()
	c.Assert(round(r), qt.Equals, uint64(2), qt.Commentf("the first message is not lost"))
}

// closeRecorder is a connection that sends to ended when it is closed.
type closeRecorder struct {
	net.Conn
	ended chan<- struct{}
}

func (e closeRecorder) Close() error {
	defer func() { e.ended <- struct{}{} }()
	return e.Conn.Close()
}
