package simulation

import (
	"io"
	"net"
	"time"
)

// forwardDialTimeout bounds the connect to the target of ForwardPort.
const forwardDialTimeout = time.Second

// ForwardPort forwards connections from one address to another until the test ends, so that the server at to is also
// reachable at from. It serves machines that share 127.0.0.1 and therefore need different ports.
func ForwardPort(tb TB, from, to string) {
	tb.Helper()
	ln, err := net.Listen("tcp", from)
	if err != nil {
		tb.Fatalf("simulation: forward: %v", err)
	}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go forwardConn(client, to)
		}
	}()
}

// forwardConn copies between a connection and a new one to an address, until either is closed; then it closes both.
func forwardConn(client net.Conn, to string) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", to, forwardDialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		defer client.Close()
		defer server.Close()
		io.Copy(server, client)
	}()
	io.Copy(client, server)
}
