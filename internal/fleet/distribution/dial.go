package distribution

import (
	"net"
	"time"

	"molepaddle/internal/protocol/sockets"
)

// DialFunc opens a connection to one of the fleet's own processes. The timeout bounds the dial; sent data that isn't
// acknowledged for that long breaks the connection.
type DialFunc func(addr string, timeout time.Duration) (net.Conn, error)

// Dial is the DialFunc that the programs use. It blocks until the connection is open or the timeout is over.
func Dial(addr string, timeout time.Duration) (net.Conn, error) { return DialThrough(addr, timeout) }

// DialThrough opens the connections of Dial. Tests of several processes replace it, before the first connection, by a
// function that goes through a relay of their own.
var DialThrough = dialTCP

// dialTCP sets TCP's user time-out, because a connection to a machine that is gone would otherwise stay open until the
// kernel gives up its retransmissions, many minutes later.
func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control:   sockets.UserTimeout(timeout),
	}
	return dialer.Dial("tcp", addr)
}
