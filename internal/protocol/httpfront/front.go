// Package httpfront takes clients' requests over HTTP/1.1 and gives each its answer.
//
// A request is handled in the goroutine of its connection, as net/http's server does; it
// shares nothing with others but the counters in Front. places guards by a lock which
// connections there are and what each is at; its listener and the goroutine that tidies
// up close those that need their place least.
package httpfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/window"
)

const (
	// maxHead bounds a request's head.
	maxHead = 16 << 10
	maxBody = core.MaxBody
)

// Handler gives a request its one final answer.
type Handler = intake.Handler

// Options is what a front end is told.
type Options struct {
	View
	Life    *lifecycle.Machine // nil: it has its own
	Places  int                // connections of clients at the most
	Kept    int                // those that are kept between requests
	Budget  *window.Budget     // of the bodies held together
	Streams bool               // bodies of more than core.MaxBody are taken, and chunked ones
	Log     *slog.Logger
	// HeadWithin and BodyWithin are how long a request's head and body may take to come,
	// KeepIdle how long a connection stays open between requests when its place is not
	// needed.
	HeadWithin, BodyWithin, KeepIdle time.Duration
}

// View is one version of the settings, as requests are read by.
type View = intake.View

// Front is the front end.
type Front struct {
	core    Handler
	opt     Options
	server  *http.Server
	view    atomic.Pointer[View]
	life    *lifecycle.Machine
	working atomic.Int64 // requests taken and not yet answered
	places  *places
}

// New makes a front end that hands requests to h.
func New(h Handler, o Options) *Front {
	if o.Budget == nil {
		o.Budget = window.NewBudget(1 << 20)
	}
	a := &Front{core: h, opt: o, places: newPlaces(o.Places, o.Kept), life: o.Life}
	if a.life == nil {
		a.life = lifecycle.New()
	}
	a.view.Store(&o.View)
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: o.HeadWithin,
		IdleTimeout:       o.KeepIdle,
		MaxHeaderBytes:    maxHead,
		WriteTimeout:      intake.MaxTimeout + 5*time.Second, // a client that never reads
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		ConnState:         a.places.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return a
}

// Bound sets what New was told of places and connections kept. Connections over it are not closed, but
// no place is found for others before they are fewer.
func (a *Front) Bound(places, kept int) { a.places.bound(places, kept) }

// Turn has requests that are read from now on read by another version of the settings.
func (a *Front) Turn(v View) { a.view.Store(&v) }

type connKey struct{}

// Serve answers on the listeners until the context ends, then finishes what it holds. It
// may be called once.
func (a *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	context.AfterFunc(ctx, a.places.rest)
	failed := make(chan error, len(listeners))
	a.life.Open()
	for _, ln := range listeners {
		go func() {
			failed <- a.server.Serve(&listener{Listener: ln, places: a.places, life: a.life, heads: a.opt.Streams, end: ctx.Done()})
		}()
	}
	go a.tend(ctx)
	go sockets.Wake(ctx, a.life, listeners)
	select {
	case err := <-failed:
		if ctx.Err() == nil {
			return fmt.Errorf("serve: %w", err)
		}
	case <-ctx.Done():
	}
	return a.leave(listeners)
}

// Taken is how many requests are taken and not yet answered.
func (a *Front) Taken() int64 { return a.working.Load() }

// Connections is how many clients' connections are open.
func (a *Front) Connections() int { return a.places.count() }

// Close ends all connections at once.
func (a *Front) Close() error { return a.server.Close() }

// leave ends the agent in order: clients go on coming for a while after the signal,
// so idle connections are closed first, while what crosses that can still come on a
// new one; then the listener; then all that is held is answered. Connections that are
// silent or hold half a request are not waited for.
func (a *Front) leave(listeners []net.Listener) error {
	a.life.End()
	// From now on each answer ends its connection; the server's own way to that closes idle
	// connections without a look at what is just being read from them.
	for until := time.Now().Add(intake.AcceptFor); a.life.Accepts() && time.Now().Before(until); time.Sleep(intake.LeaveEvery) {
		a.places.closeIdleWhile(a.life.Leaving)
	}
	for _, ln := range listeners {
		ln.Close()
	}
	longest := core.MaxRequestDuration(a.view.Load().Settings)
	settled := time.Now().Add(intake.SettleFor)
	for end := time.Now().Add(longest + intake.SettleFor); time.Now().Before(end); time.Sleep(intake.LeaveEvery) {
		coming := a.places.closeWaiting(time.Now().Add(-intake.SettleFor))
		if a.places.count() == 0 || coming == 0 && a.working.Load() == 0 && time.Now().After(settled) {
			break
		}
	}
	// What is left is over its deadline, or never sent a request. The server may not yet
	// know that its listeners are closed, which is no failure.
	if err := a.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

const (
	// sendEvery is how often, while clients are sent away, their idle connections are looked
	// through; quietFor is how long a connection may say nothing then.
	sendEvery, quietFor = 10 * time.Millisecond, time.Second
)

// tend closes what clients leave idle while they are sent away.
func (a *Front) tend(ctx context.Context) {
	for {
		changed := a.life.Changed()
		if !a.life.Leaving() {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		a.places.closeIdleWhile(a.life.Leaving)
		a.places.closeSilent(time.Now().Add(-quietFor))
		next := time.NewTimer(sendEvery)
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			return
		}
	}
}

type problem = intake.Problem

// ServeHTTP takes one request and gives it one answer.
func (a *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && target(hr.RequestURI) == "/ready" {
		a.serveReady(w)
		return
	}
	answered := false
	// A panic must not leave the request without an answer.
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			panic(p) // an answer that has begun can't be ended otherwise
		} else if p != nil {
			a.opt.Log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			if !answered {
				a.write(w, http.StatusInternalServerError, "", nil)
			}
		}
	}()
	// Whether the connection is kept is settled as its request comes: of many that are
	// answered in one moment it would hang on which is first.
	conn, _ := hr.Context().Value(connKey{}).(*clientConn)
	keep, placed := a.places.keep(conn)
	if !placed {
		panic(http.ErrAbortHandler)
	}
	r, bad := a.read(w, hr)
	if bad != nil {
		answered = true
		a.reject(w, hr, bad)
		return
	}
	a.working.Add(1)
	defer a.working.Add(-1)
	defer a.opt.Budget.Give(int64(len(r.Message.Body)))
	var up *upload
	if r.Message.Stream != nil {
		up = a.startUpload(w, hr, r)
	}
	ans := a.core.Do(hr.Context(), r)
	if up != nil {
		if bad := up.end(); bad != nil && ans.Outcome != core.Served {
			answered = true
			a.reject(w, hr, bad)
			return
		}
		if !up.complete {
			keep = false // what follows on the connection is the rest of the body
		}
		if up.cut { // the server may take the end of its reading for the client's
			hr = hr.WithContext(context.WithoutCancel(hr.Context()))
		}
	}
	answered = true
	switch ans.Outcome {
	case core.Duplicate:
		a.reject(w, hr, &problem{Status: http.StatusConflict, Text: "Request-Id: came before"})
	case core.ClientGone:
		// Nothing written would go out as 200 with no body, and a client that has only
		// ended its sending still reads.
		w.Header().Set("Connection", "close")
		a.write(w, http.StatusBadGateway, "", nil)
	case core.DeadlineExceeded:
		a.write(w, http.StatusGatewayTimeout, "", nil)
	default:
		a.answer(w, hr, ans, keep)
	}
}

func (a *Front) serveReady(w http.ResponseWriter) {
	if a.life.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if !a.life.AnswerReady(a.core.Ready()) {
		http.Error(w, "no backend to send to", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// read makes a request of what the client sent, its body included. Its time counts from when its last
// byte was read, also where it waits behind the request before.
func (a *Front) read(w http.ResponseWriter, hr *http.Request) (*core.Request, *problem) {
	if bad := a.checkLength(hr); bad != nil {
		return nil, bad
	}
	f := intake.Fields{Method: hr.Method, Target: target(hr.RequestURI), Path: hr.URL.Path, Host: hr.Host, Tenant: hr.Header.Get("Tenant"),
		Hint: hr.Header.Get("Work-Hint"), Retry: hr.Header.Get("Client-Retry"), Length: hr.ContentLength}
	for _, field := range []struct {
		key   string
		value *string
	}{{"Request-Id", &f.ID}, {"Idempotency-Key", &f.IdempotencyKey}, {"Content-Type", &f.ContentType}, {"Request-Timeout", &f.Timeout}} {
		values := hr.Header[field.key]
		if len(values) > 1 {
			return nil, &problem{Status: http.StatusBadRequest, Text: field.key + ": more than one"}
		}
		if len(values) == 1 {
			*field.value = values[0]
		}
	}
	r, patience, bad := intake.Read(a.view.Load(), &f, false)
	if bad != nil {
		return nil, bad
	}
	if bad := a.readBody(w, hr, r); bad != nil {
		return nil, bad
	}
	came := time.Now()
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
		came = c.came()
	}
	patience.SetDeadline(r, came, a.pace())
	return r, nil
}

// reject tells a client that its request is not taken, and ends its connection: what
// follows there can't be trusted to be a request.
func (a *Front) reject(w http.ResponseWriter, hr *http.Request, bad *problem) {
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
		a.places.enter(c, rejected)
	}
	w.Header().Set("Connection", "close")
	a.write(w, bad.Status, "text/plain", []byte(bad.Text+"\n"))
}

// answer words a final answer.
func (a *Front) answer(w http.ResponseWriter, hr *http.Request, ans core.Answer, keep bool) {
	if !keep {
		w.Header().Set("Connection", "close")
	}
	switch ans.Outcome {
	case core.Served:
		if ans.Stream != nil {
			a.pass(w, hr, ans)
			return
		}
		length := int64(len(ans.Body))
		if hr.Method == http.MethodHead {
			length = ans.Length
		}
		a.writeOf(w, http.StatusOK, ans.ContentType, ans.Body, length)
	case core.Refused:
		if ans.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(ans.RetryAfter.Seconds(), 'f', -1, 64))
		}
		a.write(w, http.StatusServiceUnavailable, "", nil)
	default:
		a.write(w, http.StatusBadGateway, "", nil)
	}
}

// write sends an answer. While the agent leaves, it ends its connection, and must be out
// before it counts as answered.
func (a *Front) write(w http.ResponseWriter, status int, kind string, body []byte) {
	a.writeOf(w, status, kind, body, int64(len(body)))
}

// writeOf does so for an answer that is said to have a length, below 0 none.
func (a *Front) writeOf(w http.ResponseWriter, status int, kind string, body []byte, length int64) {
	h := w.Header()
	h["Date"] = nil
	if a.life.Leaving() {
		h.Set("Connection", "close")
	}
	if kind == "" {
		h["Content-Type"] = nil // not to be guessed
	} else {
		h.Set("Content-Type", kind)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has gone
	if a.life.Leaving() {
		_ = http.NewResponseController(w).Flush()
	}
}
