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

	"molepaddle/internal/settings"
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
	// up to 0.4 s. settleFor is left to what was accepted last to be read.
	acceptFor, settleFor = 450 * time.Millisecond, 50 * time.Millisecond
	// headFor and bodyFor are how long a request's head and body may take to come: bad
	// clients are owed an error or a close within 3 s of connecting.
	headFor, bodyFor = 1500 * time.Millisecond, time.Second
	// keepIdle is how long a client's connection stays open between requests when its
	// place is not needed.
	keepIdle = 15 * time.Second
	// maxHead bounds a request's head, maxTimeout is the longest deadline there is.
	maxHead    = 16 << 10
	maxTimeout = time.Minute
	maxWord    = 256 // bytes of a Request-Id or a Host
)

// backendSockets is the part of the descriptors for connections to backends;
// clientSockets that for clients', who hold a third of all at most for requests.
func backendSockets(all int) int { return (all - otherSockets) * 2 / 5 }
func clientSockets(all int) int  { return all - otherSockets - backendSockets(all) }

// keptSockets is how many of the clients' connections are kept between requests: half of
// what the clients hold.
func keptSockets(all int) int { return all / 6 }

// openRequests is how many requests may be held at once, told to the module, which
// refuses what is over it. The places left are for those that are told so.
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
	working atomic.Int64 // requests taken and not yet answered
	bodies  atomic.Int64 // bytes of the bodies held
	places  *places
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
	a := &Agent{loop: l, conf: c, log: log, stop: stop}
	a.places = newPlaces(clientSockets(c.Limits.Sockets), keptSockets(c.Limits.Sockets))
	a.server = &http.Server{
		Handler:           a,
		ReadHeaderTimeout: headFor,
		IdleTimeout:       keepIdle,
		MaxHeaderBytes:    maxHead,
		WriteTimeout:      maxTimeout + 5*time.Second, // a client that never reads
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:         a.places.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return a, nil
}

type connKey struct{}

// Reload takes what may change while the agent runs from a new configuration: the
// address of discovery.
func (a *Agent) Reload(c *Config) { a.loop.post(input{kind: inReload, text: c.Discovery}) }

// Serve answers on the listener until the context ends, then finishes what it holds.
func (a *Agent) Serve(ctx context.Context, ln net.Listener) error {
	defer a.stop()
	go a.loop.run()
	go a.tidy(ctx)
	failed := make(chan error, 1)
	go func() { failed <- a.server.Serve(&listener{Listener: ln, places: a.places}) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return a.leave(ln)
}

// tidy looks after the clients' idle connections until the context ends.
func (a *Agent) tidy(ctx context.Context) {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			a.places.tidy(now)
		case <-ctx.Done():
			return
		}
	}
}

// leave ends the agent in order: clients go on coming for a while after the signal,
// so idle connections are closed first, while what crosses that can still come on a
// new one; then the listener; then all that is held is answered. Connections that are
// silent or hold half a request are not waited for.
func (a *Agent) leave(ln net.Listener) error {
	a.leaving.Store(true)
	a.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptFor)
	ln.Close()
	longest := 0.0
	for _, c := range a.conf.Settings.Classes {
		longest = max(longest, c.GiveUpMs)
	}
	settled := time.Now().Add(settleFor)
	for end := time.Now().Add(ms(longest) + settleFor); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.places.closeWaiting()
		if a.places.count() == 0 || a.working.Load() == 0 && time.Now().After(settled) {
			break
		}
	}
	return a.server.Close() // what is left is over its deadline, or never sent a request
}

// problem is why a request is not taken.
type problem struct {
	status int
	text   string
}

// ServeHTTP takes one request and gives it one answer.
func (a *Agent) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	came := time.Now()
	if hr.Method == http.MethodGet && hr.RequestURI == "/ready" {
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
		a.reject(w, hr, bad)
		return
	}
	a.working.Add(1)
	defer a.working.Add(-1)
	defer a.bodies.Add(-int64(len(r.body)))
	guard := time.NewTimer(time.Until(r.deadline) - guardMargin)
	defer guard.Stop()
	a.loop.post(input{kind: inRequest, req: r})
	select {
	case ans := <-r.answers:
		answered = true
		if ans.status == duplicate {
			a.reject(w, hr, &problem{http.StatusConflict, "Request-Id: came before"})
			return
		}
		a.answer(w, ans)
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

// plain tells whether an id or a name can be sent on as it is.
func plain(id string) bool {
	if id == "" || len(id) > maxWord {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// read makes a request of what the client sent, its body included.
func (a *Agent) read(w http.ResponseWriter, hr *http.Request, came time.Time) (*request, *problem) {
	r := &request{method: hr.Method, target: hr.RequestURI, host: hr.Host,
		retry: hr.Header.Get("Client-Retry") == "1", answers: make(chan answer, 1)}
	// The server ignores a length beside a Transfer-Encoding, so a request could hide in
	// the body for whoever reads it the other way; clients send lengths.
	if len(hr.TransferEncoding) > 0 || hr.ContentLength < 0 {
		return nil, &problem{http.StatusLengthRequired, "Transfer-Encoding: not taken"}
	}
	if hr.ContentLength > maxBody {
		return nil, &problem{http.StatusRequestEntityTooLarge, "body: above 64 KiB"}
	}
	if !strings.HasPrefix(hr.RequestURI, "/") {
		return nil, &problem{http.StatusBadRequest, "no path: an agent is no proxy"}
	}
	parts := strings.Split(hr.URL.Path[1:], "/")
	class, known := a.conf.Names.classes[parts[0]]
	if !known {
		return nil, &problem{http.StatusNotFound, "unknown class of request"}
	}
	r.class = class
	var timeout string
	for _, field := range []struct {
		key   string
		value *string
	}{{"Request-Id", &r.wireID}, {"Idempotency-Key", &r.idempotency}, {"Content-Type", &r.kind}, {"Request-Timeout", &timeout}} {
		values := hr.Header[field.key]
		if len(values) > 1 {
			return nil, &problem{http.StatusBadRequest, field.key + ": more than one"}
		}
		if len(values) == 1 {
			*field.value = values[0]
		}
	}
	set := &a.conf.Settings.Classes[class]
	want := http.MethodPost
	if set.Effect == settings.Free {
		want = http.MethodGet
	}
	left, err := parseTimeout(timeout)
	switch {
	case hr.Method != want:
		return nil, &problem{http.StatusMethodNotAllowed, "this class is asked with " + want}
	case want == http.MethodGet && hr.ContentLength > 0:
		return nil, &problem{http.StatusBadRequest, "body: none belongs to GET"}
	case !plain(r.host):
		return nil, &problem{http.StatusBadRequest, "Host: missing or no plain word"}
	case !plain(r.wireID):
		return nil, &problem{http.StatusBadRequest, "Request-Id: missing or no plain word"}
	case set.Effect == settings.Guarded && r.idempotency == "":
		return nil, &problem{http.StatusBadRequest, "Idempotency-Key: missing"}
	case err != nil:
		return nil, &problem{http.StatusBadRequest, "Request-Timeout: " + err.Error()}
	}
	// A client may wait for longer than its class is worth anything, the agent does not.
	r.deadline = came.Add(min(left, ms(set.GiveUpMs)))
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
	return r, a.readBody(w, hr, r)
}

// readBody reads the body of the length that the head tells. The bodies held together
// may take an eighth of the memory.
func (a *Agent) readBody(w http.ResponseWriter, hr *http.Request, r *request) *problem {
	if hr.ContentLength == 0 {
		return nil
	}
	held := a.bodies.Add(hr.ContentLength)
	defer func() {
		if r.body == nil {
			a.bodies.Add(-hr.ContentLength)
		}
	}()
	if held > int64(a.conf.Limits.MemoryMB*(1<<20)/8) {
		return &problem{http.StatusServiceUnavailable, "body: no memory left"}
	}
	// A body that stops coming must not hold its connection for ever.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyFor))
	body := make([]byte, hr.ContentLength)
	if _, err := io.ReadFull(hr.Body, body); err != nil {
		return &problem{http.StatusRequestTimeout, "body: did not come whole"}
	}
	_ = control.SetReadDeadline(time.Time{})
	r.body = body
	return nil
}

// reject tells a client that its request is not taken, and ends its connection: what
// follows there can't be trusted to be a request.
func (a *Agent) reject(w http.ResponseWriter, hr *http.Request, bad *problem) {
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
		a.places.enter(c, rejected)
	}
	w.Header().Set("Connection", "close")
	a.write(w, bad.status, "text/plain", []byte(bad.text+"\n"))
}

// answer words a final answer.
func (a *Agent) answer(w http.ResponseWriter, ans answer) {
	if !a.places.keep() {
		w.Header().Set("Connection", "close")
	}
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

// write sends an answer. While the agent leaves, the server closes the connection after
// it, and it must be out before it counts as answered.
func (a *Agent) write(w http.ResponseWriter, status int, kind string, body []byte) {
	h := w.Header()
	h["Date"] = nil
	if kind == "" {
		h["Content-Type"] = nil // not to be guessed
	} else {
		h.Set("Content-Type", kind)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has gone
	if a.leaving.Load() {
		_ = http.NewResponseController(w).Flush()
	}
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
