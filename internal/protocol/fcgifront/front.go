// Package fcgifront takes clients' requests over FastCGI 1.0 and gives each its answer, several at once on a
// connection.
//
// One goroutine reads a connection and owns what of its requests has not come whole; each request that is
// handed on has a goroutine of its own, which owns it from then on, and a long body another that fills its
// window. A connection's lock guards which requests are open and what they are at; a second one has writers
// take turns. What a record means and who gives way is package sharing's choice. The Front's lock guards which
// connections there are; one goroutine looks through them for what is late, idle or to leave.
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
	// lookEvery is how often connections are looked through.
	lookEvery = 50 * time.Millisecond
	// maxParams bounds one request's params, maxValues a GET_VALUES, in bytes.
	maxParams, maxValues = 32 << 10, 1 << 10
	// stuckFor is how long a client may take nothing of what is written while others share its connection;
	// while nobody does, as over HTTP.
	stuckFor = 5 * time.Second
	// lingerFor is how long what still comes is read and dropped before a connection is closed.
	lingerFor = time.Second
)

// Options is what a front end is told.
type Options struct {
	intake.View
	Life                             *lifecycle.Machine   // nil: it has its own
	Connections                      int                  // of clients, at the most
	Requests                         int                  // open at once on one of them
	Allowed                          func(ip net.IP) bool // who may connect over TCP; nil: anybody
	Budget                           *window.Budget       // of the bodies held together
	Short                            bool                 // bodies of more than core.MaxBody are not taken
	Log                              *slog.Logger
	HeadWithin, BodyWithin, KeepIdle time.Duration // as over HTTP; a request's params are its head
}

// Front is the front end.
type Front struct {
	core    intake.Handler
	opt     Options
	view    atomic.Pointer[intake.View]
	life    *lifecycle.Machine
	working atomic.Int64 // requests handed on and not yet answered
	ids     ids

	mu    sync.Mutex
	most  int
	conns map[*conn]struct{}
}

// New makes a front end that hands requests to h.
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

// Turn has requests that are read from now on read by another version of the settings.
func (f *Front) Turn(v intake.View) { f.view.Store(&v) }

// Bound sets how many connections there may be. Those over it stay until they end.
func (f *Front) Bound(most int) {
	f.mu.Lock()
	f.most = most
	f.mu.Unlock()
}

// Taken is how many requests are taken and not yet answered.
func (f *Front) Taken() int64 { return f.working.Load() }

// Connections is how many clients' connections are open.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *Front) pace() window.Pace {
	return intake.MinPace(f.opt.BodyWithin)
}

// Serve answers on the listeners until the context ends, then finishes what it holds. It may be called once.
func (f *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	failed := make(chan error, len(listeners))
	f.life.Open()
	for _, ln := range listeners {
		go func() { failed <- f.accept(ctx, ln) }()
	}
	go sockets.Wake(ctx, f.life, listeners)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case err := <-failed:
			if ctx.Err() == nil {
				return fmt.Errorf("serve FastCGI: %w", err)
			}
		case now := <-look.C:
			f.each(func(c *conn) { c.look(now) })
		case <-ctx.Done():
			return f.leave(listeners)
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
			f.opt.Log.Warn("fastcgi: not allowed to connect", "peer", tcp.IP.String())
			nc.Close()
			continue
		}
		c := newConn(f, nc)
		if !f.place(c) {
			nc.Close() // all are in use: its client has sent nothing that was read
			continue
		}
		go c.read()
	}
}

// place gives a connection its place, at the cost of the one that has been idle longest where there is none.
func (f *Front) place(c *conn) bool {
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

// leave ends in order, as over HTTP: connections between requests, then the listeners, then what is held.
func (f *Front) leave(listeners []net.Listener) error {
	f.life.End()
	for until := time.Now().Add(intake.AcceptFor); f.life.Accepts() && time.Now().Before(until); time.Sleep(intake.LeaveEvery) {
		f.each(func(c *conn) { c.look(time.Now()) })
	}
	for _, ln := range listeners {
		ln.Close()
	}
	settled := time.Now().Add(intake.SettleFor)
	end := time.Now().Add(core.MaxRequestDuration(f.view.Load().Settings) + intake.SettleFor)
	for ; time.Now().Before(end); time.Sleep(intake.LeaveEvery) {
		f.each(func(c *conn) { c.look(time.Now()) })
		if f.Connections() == 0 || f.working.Load() == 0 && time.Now().After(settled) && !f.coming() {
			break
		}
	}
	return f.Close()
}

// coming tells whether a request is coming in on any connection.
func (f *Front) coming() (some bool) {
	f.each(func(c *conn) {
		idle, _ := c.idle()
		some = some || !idle
	})
	return some
}

// Close ends all connections at once.
func (f *Front) Close() error {
	f.each(func(c *conn) { c.Close() })
	return nil
}

// word is a status line of an answer in CGI form.
func word(status int) string {
	return fmt.Sprintf("Status: %d %s\r\n", status, http.StatusText(status))
}
