package controlplane

import "net"

// closedByPeer gives a channel that closes once the other end of a connection, on which nothing is received, is gone. The
// first write after that end would be taken by the system and lost.
func closedByPeer(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var unexpected [1]byte
		_, _ = c.Read(unexpected[:])
	}()
	return closed
}

// isClosed reports whether a channel that is only ever closed has been.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
