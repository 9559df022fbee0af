package distribution

import (
	"net"
	"time"

	"molepaddle/internal/protocol/sockets"
)

// DialFunc opens a connection to one of the fleet's own processes. The timeout bounds the dial; the
// connection breaks if sent data isn't acknowledged for that long.
type DialFunc func(addr string, timeout time.Duration) (net.Conn, error)

// Dial is the DialFunc that the programs use. It blocks until the connection is open or the timeout is over.
func Dial(addr string, timeout time.Duration) (net.Conn, error) { return DialThrough(addr, timeout) }

// DialThrough opens the connections of Dial. Tests with several processes replace it, before the first connection, with
// a function that dials through their own relay.
var DialThrough = dialTCP

// dialTCP sets TCP's user time-out, because a connection to a lost machine would otherwise stay open until the kernel
// gives up its retransmissions, many minutes later.
func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control:   sockets.UserTimeout(timeout),
	}
	return dialer.Dial("tcp", addr)
}
