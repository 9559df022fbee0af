package controlplane

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// TestRestartedPeerGetsTheNextMessage: a peer's process ends and its successor listens at the same address; the first message
// after that reaches the successor and isn't written to the connection of the old one.
func TestRestartedPeerGetsTheNextMessage(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	p := newPeers("127.0.0.1:1", zap.NewNop())
	for round := range uint64(3) {
		p.send(ln.Addr().String(), replication.Message{Kind: replication.KindBeat, Round: round})
		conn, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		var got replication.Message
		r := bufio.NewReader(conn)
		c.Assert(distribution.ReadFrame(r, &got), qt.IsNil)
		c.Assert(got.Round, qt.Equals, round)
		// The end of this side is seen, and answered by the end of the other.
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, err = r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(conn.Close(), qt.IsNil)
	}
}
