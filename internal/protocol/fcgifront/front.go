// Package fcgifront accepts clients' requests over FastCGI 1.0, several at once on a connection, and writes one answer
// to each. It does not route, queue or retry requests: its Handler does.
//
// One goroutine reads a connection and owns its incomplete requests. Each dispatched request has its own goroutine,
// which owns it from then on, and a long body has another that fills its window. A connection's lock guards its open
// requests and their states; a second lock serialises writers. Package sharing decides what a record means and which
// request yields. The Front's lock guards the set of connections; one goroutine checks them for late requests, idle
// time and shutdown. Front's methods may be called from any goroutine.
package fcgifront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/window"
)

const (
	// checkInterval is the interval at which connections are checked.
	checkInterval = 50 * time.Millisecond
	// maxParams bounds one request's params, maxValues a GET_VALUES record, in bytes.
	maxParams, maxValues = 32 << 10, 1 << 10
	// sharedWriteTimeout bounds a write to a client while several requests share its connection; otherwise the limit
	// is the same as over HTTP.
	sharedWriteTimeout = 5 * time.Second
	// lingerFor is how long input is read and discarded before a connection is closed.
	lingerFor = time.Second
)

// Options configures a Front.
type Options struct {
	intake.View
	Life                             *lifecycle.Machine   // nil: New makes one
	Connections                      int                  // maximum number of client connections
	Requests                         int                  // maximum number of open requests per connection
	Allowed                          func(ip net.IP) bool // addresses that may connect over TCP; nil: any
	Budget                           *window.Budget       // memory for request bodies
	Short                            bool                 // reject bodies longer than core.MaxBody
	Log                              *slog.Logger
	HeadWithin, BodyWithin, KeepIdle time.Duration // as over HTTP, with a request's params as its header
}

// Front serves FastCGI clients.
type Front struct {
	core    intake.Handler
	opt     Options
	view    atomic.Pointer[intake.View]
	life    *lifecycle.Machine
	working atomic.Int64 // requests dispatched and not yet answered
	ids     ids

	mu    sync.Mutex
	most  int
	conns map[*conn]struct{}
}

// New returns a Front that passes requests to h.
func New(h intake.Handler, o Options) *Front {
	if o.Budget == nil {
		o.Budget = window.NewBudget(1 << 20)
	}
	f := &Front{core: h, opt: o, life: o.Life, most: o.Connections, conns: map[*conn]struct{}{}, ids: newIDs()}
	if f.life == nil {
		f.life = lifecycle.New()
	}
	f.view.Store(&o.View)
	return f
}

// Turn switches to another version of the settings, for requests read from now on.
func (f *Front) Turn(v intake.View) { f.view.Store(&v) }

// SetMaxConns sets the maximum number of connections. Connections above it stay until they end.
func (f *Front) SetMaxConns(most int) {
	f.mu.Lock()
	f.most = most
	f.mu.Unlock()
}

// Taken returns the number of requests dispatched and not yet answered.
func (f *Front) Taken() int64 { return f.working.Load() }

// Connections returns the number of open client connections.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *Front) pace() window.Pace {
	return intake.MinPace(f.opt.BodyWithin)
}

// Serve accepts connections on the listeners until the context ends, then shuts down gracefully. It may be called
// once.
func (f *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	failed := make(chan error, len(listeners))
	f.life.Open()
	for _, ln := range listeners {
		go func() { failed <- f.accept(ctx, ln) }()
	}
	go sockets.Wake(ctx, f.life, listeners)
	look := time.NewTicker(checkInterval)
	defer look.Stop()
	for {
		select {
		case err := <-failed:
			if ctx.Err() == nil {
				return fmt.Errorf("serve FastCGI: %w", err)
			}
		case now := <-look.C:
			f.each(func(c *conn) { c.check(now) })
		case <-ctx.Done():
			return f.shutdown(listeners)
		}
	}
}

func (f *Front) each(do func(*conn)) {
	f.mu.Lock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

func (f *Front) accept(ctx context.Context, ln net.Listener) error {
	for {
		nc, err := sockets.Accept(ln, f.life, ctx.Done())
		var slow net.Error
		switch {
		case err != nil && errors.As(err, &slow) && slow.Timeout():
			continue
		case err != nil:
			return err
		}
		if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok && f.opt.Allowed != nil && !f.opt.Allowed(tcp.IP) {
			f.opt.Log.Warn("fastcgi: closed connection from an address that is not allowed", "peer", tcp.IP.String())
			nc.Close()
			continue
		}
		c := newConn(f, nc)
		if !f.admit(c) {
			nc.Close() // all are in use: nothing its client sent has been read
			continue
		}
		go c.read()
	}
}

// admit adds a connection. If the limit is reached, it first closes the connection that has been idle longest, and
// returns false if none is idle.
func (f *Front) admit(c *conn) bool {
	f.mu.Lock()
	if len(f.conns) < f.most {
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		return true
	}
	var longest *conn
	var since time.Time
	for o := range f.conns {
		if idle, at := o.idle(); idle && (longest == nil || at.Before(since)) {
			longest, since = o, at
		}
	}
	f.mu.Unlock()
	if longest == nil || !longest.end() {
		return false
	}
	longest.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, longest)
	f.conns[c] = struct{}{}
	return true
}

func (f *Front) drop(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// shutdown shuts down gracefully, as over HTTP: it closes idle connections, then the listeners, then waits for the
// requests in flight.
func (f *Front) shutdown(listeners []net.Listener) error {
	f.life.End()
	for until := time.Now().Add(intake.AcceptFor); f.life.Accepts() && time.Now().Before(until); time.Sleep(intake.LeaveEvery) {
		f.each(func(c *conn) { c.check(time.Now()) })
	}
	for _, ln := range listeners {
		ln.Close()
	}
	settled := time.Now().Add(intake.LastReadTime)
	end := time.Now().Add(core.MaxRequestDuration(f.view.Load().Settings) + intake.LastReadTime)
	for ; time.Now().Before(end); time.Sleep(intake.LeaveEvery) {
		f.each(func(c *conn) { c.check(time.Now()) })
		if f.Connections() == 0 || f.working.Load() == 0 && time.Now().After(settled) && !f.receiving() {
			break
		}
	}
	return f.Close()
}

// receiving reports whether a request is open on any connection.
func (f *Front) receiving() (some bool) {
	f.each(func(c *conn) {
		idle, _ := c.idle()
		some = some || !idle
	})
	return some
}

// Close closes all connections at once.
func (f *Front) Close() error {
	f.each(func(c *conn) { c.Close() })
	return nil
}

// statusLine returns the Status field of an answer in CGI form.
func statusLine(status int) string {
	return fmt.Sprintf("Status: %d %s\r\n", status, http.StatusText(status))
}
