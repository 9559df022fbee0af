package agent

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"molepaddle/policy"
)

const (
	// minSockets is the least that an agent can work with; otherSockets are kept for
	// discovery, the listener and the runtime.
	minSockets, otherSockets = 64, 16
	// guardMargin is how long before the client's time is up the last guard answers:
	// later than the module's own last word.
	guardMargin = 2 * time.Millisecond
	// acceptFor is how long connections are taken after SIGTERM: they go on coming for
	// up to 0.4 s.
	acceptFor = 450 * time.Millisecond
	// maxTimeout is the longest deadline there is, with room to spare.
	maxTimeout = time.Minute
)

// backendSockets is the part of the descriptors for connections to backends;
// clientSockets that for clients'.
func backendSockets(all int) int { return (all - otherSockets) / 2 }
func clientSockets(all int) int  { return all - otherSockets - backendSockets(all) }

// openRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left take the next clients: one that finds none
// waits in the kernel's queue, where its request counts as taken and nobody answers.
func openRequests(all int) int {
	places := clientSockets(all)
	return places - max(places/8, 8)
}

// Agent is one agent: the loop with the decisions and the server for the clients.
type Agent struct {
	loop    *loop
	server  *http.Server
	conf    *Config
	log     *slog.Logger
	leaving atomic.Bool
	clients chan struct{} // a place for each client connection
	stop    context.CancelFunc
}

// New makes an agent, which is told the list of its configuration.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, c, log)
	if err != nil {
		stop()
		return nil, err
	}
	a := &Agent{loop: l, conf: c, log: log, stop: stop,
		clients: make(chan struct{}, clientSockets(c.Limits.Sockets))}
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: 30 * time.Second,
		IdleTimeout:       5 * time.Minute,
		MaxHeaderBytes:    maxBody,
		WriteTimeout:      maxTimeout + 5*time.Second, // a client that never reads
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return a, nil
}

// Serve answers on the listener until the context ends, then finishes what it holds.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	defer a.stop()
	go a.loop.run()
	failed := make(chan error, 1)
	go func() { failed <- a.server.Serve(&listener{Listener: ln, places: a.clients}) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return a.leave()
}

// leave ends the agent in order: clients go on coming for a while after the signal,
// so idle connections are closed first, while what crosses that can still come on a
// new one; then the listener; then all that is held is answered.
func (a *Agent) leave() error {
	a.leaving.Store(true)
	a.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptFor)
	longest := 0.0
	for _, c := range a.conf.Settings.Classes {
		longest = max(longest, c.GiveUpMs)
	}
	// Shutdown looks ever less often, up to every half second; begun anew it notices
	// at once when the last answer is out.
	for end := time.Now().Add(ms(longest) + 50*time.Millisecond); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		err := a.server.Shutdown(ctx)
		cancel()
		if err == nil {
			return nil
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("shutdown: %w", err)
		}
	}
	return a.server.Close() // what is left is over its deadline, or never sent a request
}

// clientConn is a client's connection. It gives its place back once.
type clientConn struct {
	net.Conn
	places chan struct{}
	closed atomic.Bool
}

func (c *clientConn) Close() error {
	if !c.closed.Swap(true) {
		<-c.places
	}
	return c.Conn.Close()
}

// listener takes a connection when there is a place for it; until then it stays in
// the kernel's queue.
type listener struct {
	net.Listener
	places chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &clientConn{Conn: c, places: l.places}, nil
}

// problem is why a request is not taken.
type problem struct {
	status int
	text   string
}

// ServeHTTP takes one request and gives it one answer.
func (a *Agent) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	came := time.Now()
	if hr.URL.Path == "/ready" {
		a.serveReady(w)
		return
	}
	var r *request
	answered := false
	// A panic must not leave the request without an answer, nor the module with it.
	defer func() {
		if p := recover(); p != nil {
			a.log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			if r != nil {
				a.loop.post(input{kind: inDropped, req: r})
			}
			if !answered {
				a.write(w, http.StatusInternalServerError, "", nil)
			}
		}
	}()
	r, bad := a.read(w, hr, came)
	if bad != nil {
		answered = true
		a.write(w, bad.status, "text/plain", []byte(bad.text+"\n"))
		return
	}
	guard := time.NewTimer(time.Until(r.deadline) - guardMargin)
	defer guard.Stop()
	a.loop.post(input{kind: inRequest, req: r})
	select {
	case ans := <-r.answers:
		answered = true
		a.answer(w, r, ans)
	case <-hr.Context().Done(): // the client has gone
		answered = true
		a.loop.post(input{kind: inDropped, req: r})
	case <-guard.C:
		answered = true
		a.write(w, http.StatusGatewayTimeout, "", nil)
		a.loop.post(input{kind: inDropped, req: r})
	}
}

func (a *Agent) serveReady(w http.ResponseWriter) {
	if a.leaving.Load() || !a.loop.ready.Load() {
		http.Error(w, "no backend to send to", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// read makes a request of what the client sent, its body included.
func (a *Agent) read(w http.ResponseWriter, hr *http.Request, came time.Time) (*request, *problem) {
	r := &request{method: hr.Method, url: hr.URL, host: hr.Host, wireID: hr.Header.Get("Request-Id"),
		idempotency: hr.Header.Get("Idempotency-Key"), kind: hr.Header.Get("Content-Type"),
		retry: hr.Header.Get("Client-Retry") == "1", answers: make(chan answer, 1)}
	parts := strings.Split(strings.Trim(hr.URL.Path, "/"), "/")
	class, known := a.conf.Names.classes[parts[0]]
	if !known {
		return nil, &problem{http.StatusNotFound, "unknown class of request"}
	}
	r.class = class
	effect := a.conf.Settings.Classes[class].Effect
	want := http.MethodPost
	if effect == policy.Free {
		want = http.MethodGet
	}
	left, err := parseTimeout(hr.Header.Get("Request-Timeout"))
	switch {
	case hr.Method != want:
		return nil, &problem{http.StatusMethodNotAllowed, "this class is asked with " + want}
	case r.wireID == "":
		return nil, &problem{http.StatusBadRequest, "Request-Id: missing"}
	case effect == policy.Guarded && r.idempotency == "":
		return nil, &problem{http.StatusBadRequest, "Idempotency-Key: missing"}
	case err != nil:
		return nil, &problem{http.StatusBadRequest, "Request-Timeout: " + err.Error()}
	}
	r.deadline = came.Add(left)
	if len(parts) > 1 {
		r.key = keyOf(parts[len(parts)-1])
	}
	if name := hr.Header.Get("Tenant"); len(a.conf.Names.tenants) > 0 {
		if r.tenant, known = a.conf.Names.tenants[name]; !known {
			r.tenant = -1
		}
	}
	if hint, err := strconv.ParseFloat(hr.Header.Get("Work-Hint"), 64); err == nil {
		r.hintMs, r.hasHint = hint/1000, true
	}
	// A body that stops coming must not hold its connection for ever.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.deadline)
	r.body, err = io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return nil, &problem{http.StatusRequestEntityTooLarge, "body: above 64 KiB"}
		}
		return nil, &problem{http.StatusRequestTimeout, "body: did not come whole"}
	}
	_ = control.SetReadDeadline(time.Time{})
	return r, nil
}

// answer words a final answer.
func (a *Agent) answer(w http.ResponseWriter, r *request, ans answer) {
	switch ans.status {
	case policy.OK:
		a.write(w, http.StatusOK, ans.kind, ans.body)
	case policy.Full:
		if ans.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
		}
		a.write(w, http.StatusServiceUnavailable, "", nil)
	default:
		a.write(w, http.StatusBadGateway, "", nil)
	}
}

// write sends an answer. While few places are left connections are closed after it,
// so that idle ones don't keep others waiting; while the agent leaves, the server does so.
func (a *Agent) write(w http.ResponseWriter, status int, kind string, body []byte) {
	h := w.Header()
	if len(a.clients) > cap(a.clients)*7/8 {
		h.Set("Connection", "close")
	}
	h["Date"] = nil
	if kind == "" {
		h["Content-Type"] = nil // not to be guessed
	} else {
		h.Set("Content-Type", kind)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has gone
}

// parseTimeout reads a number and a unit, m for milliseconds or u for microseconds.
func parseTimeout(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	default:
		return 0, errors.New("no number with the unit m or u")
	}
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 63)
	if err != nil || n == 0 || n > uint64(maxTimeout/unit) {
		return 0, errors.New("no number above 0 and within a minute")
	}
	return time.Duration(n) * unit, nil
}

// keyOf gives what a request is about its number, the same at every agent; 0 is none.
func keyOf(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
