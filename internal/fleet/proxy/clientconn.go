package proxy

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultHeaderTimeout is how long a client may take to send a request's head, where the configuration doesn't say.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout is how long a client may leave a connection idle, where the configuration doesn't say.
	defaultIdleTimeout = 15 * time.Second
	// maxHeaderBytes bounds a request's head, in bytes.
	maxHeaderBytes = 32 << 10
)

// clientTimeouts returns how long clients may take for a request's head and leave a connection idle.
type clientTimeouts func() (header, idle time.Duration)

// clientServer returns the server for clients. Its connections are to come from a clientListener.
func (p *Proxy) clientServer() *http.Server {
	return &http.Server{
		Handler:           p,
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

// clientListener gives clients' connections the time-outs that are in force at the time.
type clientListener struct {
	net.Listener
	timeouts clientTimeouts
	accepted func(now time.Time) // told of each connection
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

// clientConn is a client's connection. The time-outs of http.Server are fixed once it serves, while those of the
// configuration change: where the server sets a deadline by its own time-outs, this sets it by the ones in force.
type clientConn struct {
	net.Conn
	timeouts clientTimeouts
	idle     bool // between requests; the goroutine that serves the connection has it
}

// markIdle is the server's ConnState hook. For an idle connection the server calls it right before it sets the
// deadline.
func markIdle(c net.Conn, state http.ConnState) {
	if client, ok := c.(*clientConn); ok && state == http.StateIdle {
		client.idle = true
	}
}

// SetReadDeadline sets the deadline; one that is to come is moved to what the time-outs in force give for the
// connection's stage.
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

// CloseWrite lets the server end its side first, so that a client that still sends reads its answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
