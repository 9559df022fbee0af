package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/window"
	"molepaddle/internal/rig/testkit"
)

const headFor, bodyFor = 1500 * time.Millisecond, time.Second

// fakeCore answers each request with its answer function and records the requests.
type fakeCore struct {
	came   chan *core.Request
	answer func(ctx context.Context, r *core.Request) core.Answer
	down   atomic.Bool // no server is available
}

func (f *fakeCore) Ready() bool { return !f.down.Load() }
func (f *fakeCore) Do(ctx context.Context, r *core.Request) core.Answer {
	f.came <- r
	return f.answer(ctx, r)
}

func served(context.Context, *core.Request) core.Answer {
	return core.Answer{Outcome: core.Served, Body: []byte("done")}
}

// start serves a front end with the given number of places until the test ends; stop starts its graceful shutdown.
func start(t *testing.T, places int, answer func(context.Context, *core.Request) core.Answer) (a *Front, f *fakeCore, base string, stop func(), ended chan error) {
	t.Helper()
	a, f = newFront(places, answer)
	stop, base, ended = serve(t, a)
	return a, f, "http://" + base, stop, ended
}

// serve serves a front end on an address until the test ends.
func serve(t *testing.T, a *Front) (stop func(), addr string, ended chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- a.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		a.Close()
	})
	return stop, ln.Addr().String(), ended
}

func newFront(places int, answer func(context.Context, *core.Request) core.Answer) (*Front, *fakeCore) {
	class := func(name string, effect settings.Idempotency) settings.Class {
		return settings.Class{Name: name, LatencyTargetMs: 20000, ClientTimeoutMs: 30000, Idempotency: effect}
	}
	f := &fakeCore{came: make(chan *core.Request, 1000), answer: answer}
	return New(f, Options{Places: places, Kept: places, Budget: window.NewBudget(1 << 20), Streams: true, Log: slog.New(slog.DiscardHandler),
		HeadWithin: headFor, BodyWithin: bodyFor, KeepIdle: 15 * time.Second,
		View: View{Classes: map[string]int{"look": 0, "send": 1, "order": 2},
			Settings: &settings.Settings{Classes: []settings.Class{class("look", settings.Idempotent),
				class("send", settings.Deduplicated), class("order", settings.NonIdempotent)}}}}), f
}

// Invalid requests get a 4xx without Retry-After and reach no backend.
func TestBadInput(t *testing.T) {
	_, f, base, _, _ := start(t, 100, served)
	for name, change := range map[string]func(r *http.Request){
		"unknown class":    func(r *http.Request) { r.URL.Path = "/nothing/u1" },
		"root":             func(r *http.Request) { r.URL.Path = "/" },
		"method":           func(r *http.Request) { r.Method = http.MethodPut },
		"no Request-Id":    func(r *http.Request) { r.Header.Del("Request-Id") },
		"no timeout":       func(r *http.Request) { r.Header.Del("Request-Timeout") },
		"unit":             func(r *http.Request) { r.Header.Set("Request-Timeout", "480") },
		"negative timeout": func(r *http.Request) { r.Header.Set("Request-Timeout", "-1m") },
		"huge timeout":     func(r *http.Request) { r.Header.Set("Request-Timeout", "99999999999999m") },
		"no key":           func(r *http.Request) { r.Header.Del("Idempotency-Key") },
	} {
		req := testkit.Call(base, "send")
		change(req)
		if status, _, _ := testkit.Do(t, req); status < 400 || status > 499 || status == 429 {
			t.Errorf("%s: answered %d", name, status)
		}
	}
	longest := testkit.Call(base, "send")
	longest.Body, longest.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	longest.Header.Set("Request-Id", "longest")
	if status, _, _ := testkit.Do(t, longest); status != 200 {
		t.Errorf("a body of 64 KiB: answered %d", status)
	}
	if r := <-f.came; r.ID != "longest" || len(f.came) > 0 {
		t.Errorf("bad input reached the backend")
	}
}

// explodes is a body that panics when the handler reads it.
type explodes struct{}

func (explodes) Read([]byte) (int, error) { panic("boom") }
func (explodes) Close() error             { return nil }

// A panic in one handler must not leave its request without an answer.
func TestHandlerPanic(t *testing.T) {
	a, _, _, _, _ := start(t, 10, served)
	req := testkit.Call("http://b", "order")
	req.RequestURI = "/order/u1"
	req.Body = explodes{}
	rec := httptest.NewRecorder()
	a.ServeHTTP(rec, req)
	if rec.Code != http.StatusInternalServerError {
		t.Fatalf("answered %d", rec.Code)
	}
}

// Each outcome is written as its HTTP status and headers.
func TestOutcomes(t *testing.T) {
	for outcome, want := range map[core.Outcome]int{core.Served: 200, core.Failed: 502, core.Refused: 503,
		core.DeadlineExceeded: 504, core.Duplicate: 409} {
		_, _, base, _, _ := start(t, 10, func(context.Context, *core.Request) core.Answer {
			return core.Answer{Outcome: outcome, RetryAfter: 600 * time.Millisecond}
		})
		status, _, head := testkit.Do(t, testkit.Call(base, "order"))
		if status != want || (head.Get("Retry-After") == "0.6") != (want == 503) {
			t.Errorf("outcome %d: answered %d, Retry-After %q", outcome, status, head.Get("Retry-After"))
		}
	}
}

// A client that half-closes its connection counts as gone but may still read: it must not get an empty 200, as
// net/http would send, for an answer that no server gave.
func TestHalfClosedClient(t *testing.T) {
	_, f, base, _, _ := start(t, 10, func(ctx context.Context, _ *core.Request) core.Answer {
		<-ctx.Done()
		return core.Answer{Outcome: core.ClientGone}
	})
	c := dial(t, base)
	io.WriteString(c, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: h\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n")
	<-f.came
	c.(*net.TCPConn).CloseWrite()
	if said := answered(t, c); said != "" && !strings.HasPrefix(said, "HTTP/1.1 502") {
		t.Fatalf("said %q", said)
	}
}

// The core receives what the client sent.
func TestRequestIsRead(t *testing.T) {
	_, f, base, _, _ := start(t, 10, served)
	req := testkit.Call(base, "send")
	req.Header.Set("Client-Retry", "1")
	req.Header.Set("Work-Hint", "2500")
	before := time.Now()
	testkit.Do(t, req)
	r := <-f.came
	if r.Class != 1 || !r.Retry || !r.HasHint || r.HintMs != 2.5 || r.Key == 0 || r.Message.Target != "/send/u1" ||
		r.Message.IdempotencyKey != "k1" || string(r.Message.Body) != "body" || r.ID != req.Header.Get("Request-Id") {
		t.Errorf("the core got %+v", r)
	}
	if left := r.Deadline.Sub(before); left < 30*time.Second || left > 45*time.Second {
		t.Errorf("%v left of 30 s", left)
	}
	if intake.KeyOf("u1") == intake.KeyOf("u2") || intake.KeyOf("") == 0 {
		t.Error("keys must differ, and none be 0")
	}
}

// During a graceful shutdown new connections are still answered, requests in flight are finished, and Serve returns
// without an error.
func TestLeave(t *testing.T) {
	release := make(chan struct{})
	a, f, base, stop, ended := start(t, 10, func(context.Context, *core.Request) core.Answer {
		<-release
		return core.Answer{Outcome: core.Served}
	})
	answers := make(chan *http.Response, 2)
	ask := func() {
		resp, err := testkit.Client.Do(testkit.Call(base, "look"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}
	go ask()
	<-f.came
	stop()
	eventually(t, "leaving", a.life.Leaving)
	go ask() // on a new connection, as the first is busy
	<-f.came
	close(release)
	for range 2 {
		if resp := <-answers; resp == nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %v, want 200 with Connection: close", resp)
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// dial opens a raw client connection.
func dial(t *testing.T, base string) net.Conn {
	t.Helper()
	c, err := testkit.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// eventually waits until the condition that another goroutine brings about holds.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}

// answered reads a connection until it ends.
func answered(t *testing.T, c net.Conn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	text, err := io.ReadAll(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatalf("neither an end nor an error; it said %q", text)
	}
	return string(text)
}

// Connections that send nothing, or are kept idle after one request, must not keep out a new client: one of them is
// closed to make a place.
func TestPlacesAreMade(t *testing.T) {
	const most = 28
	for _, kind := range []string{"silent", "idle"} {
		t.Run(kind, func(t *testing.T) {
			a, _, base, _, _ := start(t, most, served)
			a.places.mu.Lock()
			a.places.maxKept = most // all are kept
			a.places.mu.Unlock()
			for i := range most {
				c := dial(t, base)
				if kind == "idle" {
					fmt.Fprintf(c, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: %s%d\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n", kind, i)
					if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
						t.Fatalf("got %v, %v", resp, err)
					}
				}
				eventually(t, "the place taken", func() bool { return a.places.count() == i+1 })
			}
			if kind == "idle" {
				// Simulates connections that have been idle for long.
				eventually(t, "all idle", func() bool {
					a.places.mu.Lock()
					defer a.places.mu.Unlock()
					for c := range a.places.conns {
						if c.stage != idle {
							return false
						}
						c.since = c.since.Add(-idleFor)
					}
					return true
				})
			}
			if status, _, _ := testkit.Do(t, testkit.Call(base, "order")); status != 200 {
				t.Fatalf("answered %d", status)
			}
		})
	}
}

// A connection with an open request, or one that was just accepted, is never closed for another.
func TestBusyPlacesStay(t *testing.T) {
	p, now := newPlaces(3, 3), time.Now()
	for _, s := range []stage{busy, busy, fresh} {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		c := &clientConn{Conn: server, places: p, stage: s, since: now}
		c.received.Store(true)
		if !p.take(c, now) {
			t.Fatal("no place though there is room")
		}
	}
	server, _ := net.Pipe()
	next := &clientConn{Conn: server, places: p, since: now}
	if p.take(next, now) || p.count() != 3 {
		t.Fatal("a connection that is in use was closed")
	}
	if !p.take(next, now.Add(unfinishedFor)) || p.count() != 3 {
		t.Fatal("no place was made of one whose request does not come")
	}
}

// Clients that send one request and keep the connection must not use up all places: above a limit connections close
// with their answer, and idle ones are closed.
func TestKeptConnectionsAreBounded(t *testing.T) {
	a, _, base, _, _ := start(t, 100, served)
	a.places.mu.Lock()
	a.places.maxKept = 3
	a.places.mu.Unlock()
	kept := 0
	for i := range 10 {
		c := dial(t, base)
		fmt.Fprintf(c, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: keep%d\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n", i)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, %v", resp, err)
		}
		if !resp.Close {
			kept++
		}
		eventually(t, "its end", func() bool { return a.places.count() <= 3 })
	}
	if kept != 3 {
		t.Fatalf("%d connections kept, want 3", kept)
	}
	a.places.mu.Lock()
	a.places.maxKept = 2
	a.places.mu.Unlock()
	a.places.tidy(time.Now().Add(-time.Hour))
	if n := a.places.count(); n != 3 {
		t.Fatalf("closed what was not idle for long: %d left", n)
	}
	eventually(t, "all idle", func() bool {
		a.places.tidy(time.Now().Add(idleFor))
		return a.places.count() == 0
	})
}

// Malformed or ambiguous input soon gets an error or a close; neither it nor the bytes that follow on the connection
// reach a backend.
func TestBadClients(t *testing.T) {
	_, f, base, _, _ := start(t, 100, served)
	head := func(extra ...string) string {
		return "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: bad1\r\nRequest-Timeout: 30000m\r\n" +
			strings.Join(extra, "\r\n") + "\r\n"
	}
	hidden := "POST /order/u2 HTTP/1.1\r\nHost: b\r\nRequest-Id: hidden\r\nRequest-Timeout: 30000m\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"noise":               "\x16\x03\x01\x02\r\n\r\n" + hidden,
		"both lengths":        head("Content-Length: 4", "Transfer-Encoding: chunked", "") + "0\r\n\r\n" + hidden,
		"lengths swapped":     head("Transfer-Encoding: chunked", "Content-Length: "+fmt.Sprint(len(hidden)+5), "") + "0\r\n\r\n" + hidden,
		"odd encoding":        head("Transfer-Encoding: xchunked", "") + hidden,
		"two lengths":         head("Content-Length: 4", "Content-Length: 5", "") + "body" + hidden,
		"negative length":     head("Content-Length: -4", "") + hidden,
		"huge length":         head("Content-Length: 99999999999999999999", "") + hidden,
		"60 MB":               head("Content-Length: 62914560", "") + strings.Repeat("x", 1<<16),
		"half a body":         head("Content-Length: 100", "") + "half",
		"half a head":         head("X-Half: "),
		"endless head":        head(strings.Repeat("X-More: "+strings.Repeat("x", 1000)+"\r\n", 100)),
		"two ids":             head("Request-Id: bad2", "Content-Length: 0", "") + hidden,
		"no leading class":    strings.Replace(head("Content-Length: 0", ""), "/order", "//order", 1) + hidden,
		"CONNECT":             "CONNECT b:80 HTTP/1.1\r\nHost: b\r\n\r\n" + hidden,
		"unsendable id":       strings.Replace(head("Content-Length: 0", ""), "bad1", "bad 1", 1) + hidden,
		"GET with a body":     strings.Replace(strings.Replace(head("Content-Length: 4", ""), "order", "look", 1), "POST", "GET", 1) + "body" + hidden,
		"a bad one first":     strings.Replace(head("Content-Length: 0", ""), "30000m", "soon", 1) + hidden,
		"unknown expectation": head("Expect: tea", "Content-Length: 0", "") + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, base)
			go io.WriteString(c, text)
			said := answered(t, c)
			if said != "" && !strings.HasPrefix(said, "HTTP/1.1 4") && !strings.HasPrefix(said, "HTTP/1.1 5") {
				t.Errorf("said %q", said)
			}
			if strings.Count(said, "HTTP/1.1") > 1 {
				t.Errorf("answered what follows: %q", said)
			}
		})
	}
	t.Cleanup(func() {
		if len(f.came) > 0 {
			t.Errorf("the core got %+v", <-f.came)
		}
	})
}

// Silent connections and incomplete requests end within 3 s.
func TestSilenceEnds(t *testing.T) {
	_, _, base, _, _ := start(t, 100, served)
	if said := answered(t, dial(t, base)); said != "" {
		t.Fatalf("said %q to a client that said nothing", said)
	}
}

// A graceful shutdown does not wait for incomplete requests and silent connections.
func TestLeaveAmongBadClients(t *testing.T) {
	a, _, base, stop, ended := start(t, 100, served) // give-up is 30 s here
	dial(t, base)
	half := dial(t, base)
	io.WriteString(half, "POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: h\r\nRequest-Timeout: 30000m\r\nContent-Length: 9\r\n\r\nhalf")
	eventually(t, "both accepted", func() bool { return a.places.count() == 2 })
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("waits for bad clients")
	}
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

type pipeConn struct{ net.Conn }

func (pipeConn) Pending() int { return 0 }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return pipeConn{c}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request's time counts from its last byte, not from its header; a pipelined request's begins before the answer to
// the one before. Clocks of clients are not used.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, f := newFront(10, func(_ context.Context, r *core.Request) core.Answer {
			if r.ID != "later" {
				time.Sleep(3 * time.Second)
			}
			return core.Answer{Outcome: core.Served}
		})
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Serve(ctx, ln) }()
		c, there := net.Pipe()
		ln.conns <- there
		go io.Copy(io.Discard, c)
		head := func(id, date string, length int) string {
			return fmt.Sprintf("POST /order/u1 HTTP/1.1\r\nHost: b\r\nRequest-Id: %s\r\nDate: %s\r\nRequest-Timeout: 20000m\r\nContent-Length: %d\r\n\r\n", id, date, length)
		}
		ask := func(id, date string, body ...string) time.Duration {
			for _, part := range append([]string{head(id, date, len(strings.Join(body, "")))}, body...) {
				time.Sleep(100 * time.Millisecond)
				io.WriteString(c, part)
			}
			sent := time.Now()
			return (<-f.came).Deadline.Sub(sent)
		}
		if left := ask("first", "Thu, 01 Jan 1970 00:00:00 GMT", "bo", "dy"); left != 20*time.Second {
			t.Errorf("the first has %v", left)
		}
		time.Sleep(5 * time.Second)
		go io.WriteString(c, head("before", "", 0)+head("behind", "", 0))
		<-f.came
		if r := <-f.came; r.ID != "behind" || time.Until(r.Deadline) != 17*time.Second {
			t.Errorf("%s has %v left as another of 3 s before it on its connection ends", r.ID, time.Until(r.Deadline))
		}
		time.Sleep(10 * time.Second)
		if left := ask("later", "Fri, 01 Jan 2100 00:00:00 GMT"); left != 20*time.Second {
			t.Errorf("the last has %v", left)
		}
		stop()
		c.Close()
		<-ended
	})
}

// While clients are sent away a silent connection is closed, however long a header may take.
func TestSilentConnectionsInADrain(t *testing.T) {
	a, _ := newFront(10, served)
	a.server.ReadHeaderTimeout = time.Hour
	_, base, _ := serve(t, a)
	silent, err := testkit.Dial("tcp", base)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	eventually(t, "accepted", func() bool { return a.Connections() == 1 })
	if err := a.life.Evacuate(); err != nil {
		t.Fatal(err)
	}
	_ = silent.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}

// askReady requests /ready on a raw connection and reports whether the connection is kept.
func askReady(t *testing.T, c net.Conn) (status int, kept bool) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: b\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return resp.StatusCode, !resp.Close
}

// /ready is yes only where a server can be sent to and clients are not sent away. Once another process accepts, only
// a connection from before is answered: the test holds one, opened after the last step that closes connections.
func TestReady(t *testing.T) {
	a, f, base, _, _ := start(t, 10, served)
	var held net.Conn
	ask := func() int {
		if held == nil {
			held = dial(t, base)
		}
		status, kept := askReady(t, held)
		if !kept {
			held = nil
		}
		return status
	}
	for i, c := range []struct {
		do   func()
		want int
	}{
		{func() {}, 200},
		{func() { f.down.Store(true) }, 503},
		{func() { f.down.Store(false) }, 200},
		{func() { _ = a.life.Evacuate(); held = nil }, 503}, // idle connections are closed
		{func() { _ = a.life.Rejoin() }, 200},
		{func() { _ = a.life.HandOver() }, 200}, // another process accepts
	} {
		if c.do(); ask() != c.want {
			t.Errorf("step %d: not %d", i, c.want)
		}
	}
}

// A pass over the idle connections that began while clients were sent away closes none after that has ended.
func TestIdleConnectionsStayAfterADrain(t *testing.T) {
	a, _, base, _, _ := start(t, 10, served)
	held := dial(t, base)
	if status, kept := askReady(t, held); status != http.StatusOK || !kept {
		t.Fatalf("answered %d, kept %v", status, kept)
	}
	rests := func() bool {
		a.places.mu.Lock()
		defer a.places.mu.Unlock()
		for c := range a.places.conns {
			return c.stage == idle
		}
		return false
	}
	eventually(t, "idle", rests)
	a.places.closeIdleWhile(func() bool { return false })
	if status, _ := askReady(t, held); status != http.StatusOK {
		t.Fatalf("answered %d", status)
	}
	eventually(t, "idle again", rests)
	a.places.closeIdleWhile(func() bool { return true })
	_ = held.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := held.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("an idle connection is left open while clients are sent away: %v", err)
	}
}

// Once another process accepts, this one leaves new connections in the queue, and accepts them when it is alone again.
func TestAcceptsOnlyWhatIsItsOwn(t *testing.T) {
	a, _ := newFront(10, served)
	_, addr, _ := serve(t, a)
	eventually(t, "open", func() bool { return a.life.AnswerReady(true) })
	if err := a.life.HandOver(); err != nil {
		t.Fatal(err)
	}
	// A connection that it was about to accept at the time may still be accepted.
	eventually(t, "one is left in the queue", func() bool {
		c, err := testkit.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded)
	})
	a.life.TakeBack()
	req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/ready", nil)
	if status, _, _ := testkit.Do(t, req); status != 200 {
		t.Error(status)
	}
}
