package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultHeaderTimeout is how long a client may take to send a request's head if the configuration sets no limit.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout is how long a client may leave a connection idle if the configuration sets no limit.
	defaultIdleTimeout = 15 * time.Second
	// maxHeaderBytes bounds a request's head, in bytes.
	maxHeaderBytes = 32 << 10
)

// clientTimeouts returns the time-outs for reading a request's head and for idle client connections.
type clientTimeouts func() (header, idle time.Duration)

// clientServer returns the server for clients. Its connections must come from a clientListener.
func (p *Proxy) clientServer() *http.Server {
	return &http.Server{
		Handler:           p,
		BaseContext:       func(net.Listener) context.Context { return p.requests },
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(p.log),
		ConnState:         markIdle,
	}
}

// clientTimeouts returns the time-outs of the configuration in force.
func (p *Proxy) clientTimeouts() (header, idle time.Duration) {
	header = defaultHeaderTimeout
	idle = defaultIdleTimeout
	snapshot := p.snapshot.Load()
	if snapshot == nil || snapshot.limits == nil {
		return header, idle
	}
	if d := snapshot.limits.HeaderTimeout(); d > 0 {
		header = d
	}
	if d := snapshot.limits.IdleTimeout(); d > 0 {
		idle = d
	}
	return header, idle
}

// clientListener applies the time-outs in force to client connections.
type clientListener struct {
	net.Listener
	timeouts clientTimeouts
	accepted func(now time.Time) // called for each connection
}

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted(time.Now())
	return &clientConn{Conn: c, timeouts: l.timeouts}, nil
}

// clientConn is a client's connection. The time-outs of http.Server are fixed once it serves, while the configured ones
// change: where the server sets a deadline by its own time-outs, clientConn sets it by those in force.
type clientConn struct {
	net.Conn
	timeouts clientTimeouts
	idle     bool // between requests; used only by the goroutine that serves the connection
}

// markIdle is the server's ConnState hook. For an idle connection the server calls it right before it sets the
// deadline.
func markIdle(c net.Conn, state http.ConnState) {
	if client, ok := c.(*clientConn); ok && state == http.StateIdle {
		client.idle = true
	}
}

// SetReadDeadline sets the read deadline. A deadline in the future is replaced by the one that the time-outs in force
// give for the connection's state.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	now := time.Now()
	if !at.After(now) {
		return c.Conn.SetReadDeadline(at)
	}
	header, idle := c.timeouts()
	if c.idle {
		at = now.Add(idle)
	} else {
		at = now.Add(header)
	}
	c.idle = false
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite lets the server close its side first, so that a client that is still sending can read the response.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
