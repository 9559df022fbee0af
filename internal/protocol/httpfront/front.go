// Package httpfront accepts clients' requests over HTTP/1.1 and writes one answer to each. It does not route, queue or
// retry requests: its Handler does.
//
// A request is handled in the goroutine of its connection, as in net/http's server; requests share only the counters
// in Front. The lock of places guards the set of connections and the stage of each; the listener and the tidying
// goroutine close those that need their place least. Front's methods may be called from any goroutine.
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
	// maxHead bounds a request's header, in bytes.
	maxHead = 16 << 10
	maxBody = core.MaxBody
)

// Handler answers each request once.
type Handler = intake.Handler

// Options configures a Front.
type Options struct {
	View
	Life    *lifecycle.Machine // nil: New makes one
	Places  int                // maximum number of client connections
	Kept    int                // number of connections kept open between requests
	Budget  *window.Budget     // memory for request bodies
	Streams bool               // accept bodies longer than core.MaxBody, and chunked ones
	Log     *slog.Logger
	// HeadWithin and BodyWithin bound how long a request's header and body may take to arrive, KeepIdle how long a
	// connection stays open between requests while its place is not needed.
	HeadWithin, BodyWithin, KeepIdle time.Duration
}

// View is one version of the settings, by which requests are read.
type View = intake.View

// Front serves HTTP/1.1 clients.
type Front struct {
	core    Handler
	opt     Options
	server  *http.Server
	view    atomic.Pointer[View]
	life    *lifecycle.Machine
	working atomic.Int64 // requests accepted and not yet answered
	places  *places
}

// New returns a Front that passes requests to h.
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
		WriteTimeout:      intake.MaxTimeout + 5*time.Second, // bounds a client that never reads
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
		ConnState:         a.places.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return a
}

// SetLimits changes Options.Places and Options.Kept. Connections above the limit are not closed, but no other is
// accepted until their number has fallen below it.
func (a *Front) SetLimits(places, kept int) { a.places.bound(places, kept) }

// Turn switches to another version of the settings, for requests read from now on.
func (a *Front) Turn(v View) { a.view.Store(&v) }

type connKey struct{}

// Serve accepts connections on the listeners until the context ends, then shuts down gracefully. It may be called
// once.
func (a *Front) Serve(ctx context.Context, listeners ...net.Listener) error {
	context.AfterFunc(ctx, a.places.stopTidying)
	failed := make(chan error, len(listeners))
	a.life.Open()
	for _, ln := range listeners {
		go func() {
			failed <- a.server.Serve(&listener{Listener: ln, places: a.places, life: a.life, keepHeads: a.opt.Streams, end: ctx.Done()})
		}()
	}
	go a.closeIdleWhileLeaving(ctx)
	go sockets.Wake(ctx, a.life, listeners)
	select {
	case err := <-failed:
		if ctx.Err() == nil {
			return fmt.Errorf("serve: %w", err)
		}
	case <-ctx.Done():
	}
	return a.shutdown(listeners)
}

// Taken returns the number of requests accepted and not yet answered.
func (a *Front) Taken() int64 { return a.working.Load() }

// Connections returns the number of open client connections.
func (a *Front) Connections() int { return a.places.count() }

// Close closes all connections at once.
func (a *Front) Close() error { return a.server.Close() }

// shutdown shuts down gracefully. Clients keep connecting for a while after the signal, so idle connections are closed
// first, while a client whose request crosses the close can still open a new one; then the listeners are closed; then
// all requests in flight are answered. Connections that are silent or hold a partial request are not waited for.
func (a *Front) shutdown(listeners []net.Listener) error {
	a.life.End()
	// From now on each answer closes its connection. http.Server.Shutdown is not used, as it closes idle connections
	// without checking for a request that is just being read.
	for until := time.Now().Add(intake.AcceptFor); a.life.Accepts() && time.Now().Before(until); time.Sleep(intake.LeaveEvery) {
		a.places.closeIdleWhile(a.life.Leaving)
	}
	for _, ln := range listeners {
		ln.Close()
	}
	longest := core.MaxRequestDuration(a.view.Load().Settings)
	settled := time.Now().Add(intake.LastReadTime)
	for end := time.Now().Add(longest + intake.LastReadTime); time.Now().Before(end); time.Sleep(intake.LeaveEvery) {
		coming := a.places.closeWaiting(time.Now().Add(-intake.LastReadTime))
		if a.places.count() == 0 || coming == 0 && a.working.Load() == 0 && time.Now().After(settled) {
			break
		}
	}
	// Connections left now are past their deadline or never sent a request. The server may not yet have noticed that
	// its listeners are closed, which is not an error.
	if err := a.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

const (
	// leaveInterval is the interval at which idle connections are checked while clients are sent away;
	// leaveIdleTimeout is how long a new connection may stay silent then.
	leaveInterval, leaveIdleTimeout = 10 * time.Millisecond, time.Second
)

// closeIdleWhileLeaving closes idle and silent connections while clients are sent away.
func (a *Front) closeIdleWhileLeaving(ctx context.Context) {
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
		a.places.closeUnused(time.Now().Add(-leaveIdleTimeout))
		next := time.NewTimer(leaveInterval)
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			return
		}
	}
}

type problem = intake.Problem

// ServeHTTP handles one request and writes one answer.
func (a *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && target(hr.RequestURI) == "/ready" {
		a.serveReady(w)
		return
	}
	answered := false
	// A panic must not leave the request without an answer.
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			panic(p) // the only way to abort an answer that has begun
		} else if p != nil {
			a.opt.Log.Error("panic in request handler", "panic", p, "stack", string(debug.Stack()))
			if !answered {
				a.write(w, http.StatusInternalServerError, "", nil)
			}
		}
	}()
	// Whether the connection is kept is decided when its request arrives: of many answered at the same moment it would
	// otherwise depend on their order.
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
			keep = false // the rest of the body follows on the connection
		}
		if up.interrupted { // net/http may take the interrupted read for the client's disconnect and cancel the context
			hr = hr.WithContext(context.WithoutCancel(hr.Context()))
		}
	}
	answered = true
	switch ans.Outcome {
	case core.Duplicate:
		a.reject(w, hr, &problem{Status: http.StatusConflict, Text: "Request-Id: came before"})
	case core.ClientGone:
		// Without a write, net/http would send an empty 200, and a client that has only half-closed its connection
		// would read it.
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

// read reads a request and its body. The request's time counts from when its last byte was read, also if it was
// pipelined behind another.
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
		came = c.lastByteAt()
	}
	patience.SetDeadline(r, came, a.pace())
	return r, nil
}

// reject answers a bad request and closes its connection, as the bytes that follow can't be trusted to be a request.
func (a *Front) reject(w http.ResponseWriter, hr *http.Request, bad *problem) {
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
		a.places.enter(c, rejected)
	}
	w.Header().Set("Connection", "close")
	a.write(w, bad.Status, "text/plain", []byte(bad.Text+"\n"))
}

// answer writes a final answer.
func (a *Front) answer(w http.ResponseWriter, hr *http.Request, ans core.Answer, keep bool) {
	if !keep {
		w.Header().Set("Connection", "close")
	}
	switch ans.Outcome {
	case core.Served:
		if ans.Stream != nil {
			a.streamAnswer(w, hr, ans)
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

// write writes an answer. During a shutdown it closes the connection and flushes the answer before the request counts
// as answered.
func (a *Front) write(w http.ResponseWriter, status int, kind string, body []byte) {
	a.writeOf(w, status, kind, body, int64(len(body)))
}

// writeOf is write with an explicit Content-Length; negative: none.
func (a *Front) writeOf(w http.ResponseWriter, status int, kind string, body []byte, length int64) {
	h := w.Header()
	h["Date"] = nil
	if a.life.Leaving() {
		h.Set("Connection", "close")
	}
	if kind == "" {
		h["Content-Type"] = nil // prevents content sniffing
	} else {
		h.Set("Content-Type", kind)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected
	if a.life.Leaving() {
		_ = http.NewResponseController(w).Flush()
	}
}
