package proxy

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// headWithin and restWithin are how long a client may take to send a request's head, and leave a connection idle,
	// where the configuration's caps don't say.
	headWithin, restWithin = 3 * time.Second, 15 * time.Second
	// maxHead bounds a request's head, in bytes.
	maxHead = 32 << 10
)

// clientServer is the server at the edge.
func (v *Proxy) clientServer() *http.Server {
	return &http.Server{Handler: v, ReadHeaderTimeout: headWithin, IdleTimeout: restWithin, MaxHeaderBytes: maxHead,
		ErrorLog: zap.NewStdLog(v.log), ConnState: noteRest}
}

// patience is how long clients may take for a head and leave a connection idle, by the caps in force.
func (v *Proxy) patience() (head, rest time.Duration) {
	head, rest = headWithin, restWithin
	w := v.world.Load()
	if w == nil || w.limits == nil {
		return head, rest
	}
	if d := w.limits.HeaderTimeout(); d > 0 {
		head = d
	}
	if d := w.limits.IdleTimeout(); d > 0 {
		rest = d
	}
	return head, rest
}

// clientListener gives clients' connections the patience that is in force at the time.
type clientListener struct {
	net.Listener
	patience func() (head, rest time.Duration)
}

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, patience: l.patience}, nil
}

// clientConn is a client's connection. http.Server's time-outs are fixed once it serves, and those of the configuration
// change: where the server sets a deadline by its own time-outs, this sets it by the ones in force.
type clientConn struct {
	net.Conn
	patience func() (head, rest time.Duration)
	rests    bool // between requests; the goroutine that serves the connection has it
}

// noteRest is the server's ConnState hook. For an idle connection the server calls it right before it sets the deadline.
func noteRest(c net.Conn, state http.ConnState) {
	if client, ok := c.(*clientConn); ok && state == http.StateIdle {
		client.rests = true
	}
}

// SetReadDeadline sets the deadline; one that is to come is moved to what the caps give for the connection's stage.
func (c *clientConn) SetReadDeadline(at time.Time) error {
	now := time.Now()
	if at.After(now) {
		head, rest := c.patience()
		if c.rests {
			at = now.Add(rest)
		} else {
			at = now.Add(head)
		}
		c.rests = false
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite lets the server end its side first, so that a client that still sends reads its answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
