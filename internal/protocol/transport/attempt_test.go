package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/testkit"
	"molepaddle/policy"
)

const never = time.Hour // for what a test does not let run out

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func testPool() *Transport {
	return New(Options{Dial: (&net.Dialer{}).DialContext, Timeout: never, Idle: never, Most: 100,
		Settle: time.Millisecond, Resting: 64})
}

func (p *Transport) endpoint(dial string) *endpoint {
	return p.Endpoint(&cluster.Server{Dial: dial}).(*endpoint)
}

// try is an attempt of a test, and how it ended.
type try struct {
	*core.Attempt
	e    *endpoint
	done chan core.Result
}

func newTry(e *endpoint, method string, timeout time.Duration) *try {
	r := &core.Request{ID: "id1", Message: core.Message{Method: method, Target: "/order/u1", Host: "backend.local"}}
	if method == http.MethodPost {
		r.Message.Body = []byte("body")
	}
	t := &try{e: e, done: make(chan core.Result, 2)}
	t.Attempt = core.NewAttempt(context.Background(), r, timeout, func(res core.Result) { t.done <- res })
	return t
}

func (t *try) run() core.Result {
	if err := t.e.Start(t.Attempt); err != nil {
		return t.FailedResult(err, false)
	}
	return <-t.done
}

// counted is a server that answers all it gets.
func counted(t *testing.T) string {
	return testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := testkit.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
}

// A library must not send a request again by itself when a kept connection breaks:
// that would be a second attempt that nobody decided.
func TestNoHiddenResend(t *testing.T) {
	for _, c := range []struct{ name, method, key string }{
		{"safe", http.MethodGet, ""}, {"keyed", http.MethodPost, "k1"}, {"unsafe", http.MethodPost, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var came atomic.Int32
			addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					if _, err := testkit.ReadRequest(r); err != nil {
						return
					}
					if came.Add(1) > 1 {
						return // breaks the kept connection under the second request
					}
					io.WriteString(conn, okAnswer)
				}
			})
			g := testPool().endpoint(addr)
			defer g.CloseIdle()
			for i, want := range []policy.Status{policy.OK, policy.Reset} {
				a := newTry(g, c.method, never)
				a.Request.Message.IdempotencyKey = c.key
				if got := a.run().Status; got != want {
					t.Fatalf("attempt %d ended %d, want %d", i, got, want)
				}
			}
			if n := came.Load(); n != 2 {
				t.Fatalf("the backend got %d requests of 2 attempts", n)
			}
		})
	}
}

// How an attempt ended tells whether it has run; in doubt it may have.
func TestEndings(t *testing.T) {
	answer := func(text string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			if _, err := testkit.ReadRequest(r); err == nil {
				io.WriteString(c, text)
			}
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *bufio.Reader)
		want  policy.Status
	}{
		{"whole answer", answer(okAnswer), policy.OK},
		{"no answer", answer(""), policy.Reset},
		{"half an answer", answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), policy.Reset},
		{"half a chunked answer", answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), policy.Reset},
		{"answer to the connection's end", answer("HTTP/1.1 200 OK\r\n\r\ndone"), policy.OK},
		{"answer to a connection's reset", func(c net.Conn, r *bufio.Reader) {
			if _, err := testkit.ReadRequest(r); err == nil {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ndone")
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}, policy.Reset},
		{"answer too long", answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Reset},
		{"answer said to be huge", answer("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\ndone"), policy.Reset},
		{"error too long", answer("HTTP/1.1 500 No\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Reset},
		{"negative length", answer("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), policy.Reset},
		{"two lengths", answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"), policy.Reset},
		{"noise", answer("\x00\xff\x17noise\r\n\r\n"), policy.Reset},
		{"endless head", answer("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 40)), policy.Reset},
		{"spoilt 503", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx"), policy.Reset},
		{"1xx ahead", answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + okAnswer), policy.OK},
		{"1xx without end", answer(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 100) + okAnswer), policy.Reset},
		{"another protocol", answer("HTTP/1.1 101 Switching\r\n\r\n" + okAnswer), policy.Reset},
		{"error", answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"another success", answer("HTTP/1.1 204 No\r\n\r\n"), policy.Error},
		{"503 that may have run", answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"503 turned away", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"504 turned away", answer("HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"500 that says it was not started", answer("HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Error},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := testPool().endpoint(testkit.Raw(t, c.serve))
			defer g.CloseIdle()
			res := newTry(g, http.MethodPost, never).run()
			if res.Status != c.want {
				t.Fatalf("ended %d, want %d", res.Status, c.want)
			}
			if want := c.want == policy.OK; (string(res.Body) == "done") != want {
				t.Fatalf("body %q", res.Body)
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	p := testPool()
	if got := newTry(p.endpoint(addr), http.MethodPost, never).run().Status; got != policy.ConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
	if n := p.open; n != 0 {
		t.Fatalf("%d sockets counted as open", n)
	}
}

// brokenConn takes a part of each write and fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write(p []byte) (int, error) { return len(p) / 2, errors.New("broken") }

// What breaks before the last byte was written never ran.
func TestCutWrite(t *testing.T) {
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	p := testPool()
	plain := p.opt.Dial
	p.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		return brokenConn{c}, err
	}
	if got := newTry(p.endpoint(addr), http.MethodPost, never).run().Status; got != policy.ConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
}

// Giving an attempt up closes its connection before the outcome is known, so that
// the next attempt is never a second copy beside it.
func TestTimeoutClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	got := make(chan struct{})
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err != nil {
			return
		}
		close(got)
		_, err := r.ReadByte()
		closed <- err
	})
	p := testPool()
	a := newTry(p.endpoint(addr), http.MethodPost, never)
	done := make(chan core.Result)
	go func() { done <- a.run() }()
	<-got
	a.Cancel(context.DeadlineExceeded) // the time-out, without waiting for it
	if res := <-done; res.Status != policy.Timeout {
		t.Fatalf("ended %d, want timed out", res.Status)
	}
	if n := p.open; n != 0 {
		t.Fatalf("%d connections open at the outcome", n)
	}
	if err := <-closed; err == nil {
		t.Fatal("the backend read on instead of seeing the end")
	}
}

// A dial ends with its attempt: the transport would let it go on and keep what
// comes of it, a connection to a backend that was given up or drains.
func TestDialEndsWithAttempt(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		want  policy.Status
	}{
		{"time-out", context.DeadlineExceeded, policy.ConnectFailed},
		{"drain", core.ErrDrained, policy.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialling, ended := make(chan struct{}), make(chan struct{})
			p := testPool()
			p.opt.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			a := newTry(p.endpoint("127.0.0.1:1"), http.MethodPost, never)
			done := make(chan core.Result)
			go func() { done <- a.run() }()
			<-dialling
			a.Cancel(c.cause)
			if res := <-done; res.Status != c.want {
				t.Fatalf("ended %d, want %d", res.Status, c.want)
			}
			<-ended
		})
	}
}

// An attempt withdrawn while its connection comes up sends nothing on it.
func TestWithdrawnSendsNothing(t *testing.T) {
	read := make(chan int64, 1)
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		read <- n
	})
	p := testPool()
	var a *try
	plain := p.opt.Dial
	p.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		if !a.Withdraw(core.ErrDrained) {
			t.Error("could not be withdrawn before its first byte")
		}
		return c, err
	}
	a = newTry(p.endpoint(addr), http.MethodPost, never)
	if got := a.run().Status; !got.NeverRan() {
		t.Fatalf("ended %d, which may have run", got)
	}
	if n := <-read; n != 0 {
		t.Fatalf("the backend got %d bytes", n)
	}
}

// Without a socket left the attempt never ran, and its backend is not to blame.
func TestNoSocketLeft(t *testing.T) {
	p := testPool()
	p.opt.Most = 0
	if got := newTry(p.endpoint("127.0.0.1:1"), http.MethodPost, never).run().Status; got != policy.Full {
		t.Fatalf("ended %d, want turned away", got)
	}
}

// The request goes on unchanged.
func TestOutgoing(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- req
		io.WriteString(c, okAnswer)
	})
	a := newTry(testPool().endpoint(addr), http.MethodPost, never)
	a.Request.Message.Target = "/order/a%2Fb%20c?x=1&y=%2f"
	a.Request.Message.IdempotencyKey = "k1"
	if res := a.run(); res.Status != policy.OK {
		t.Fatalf("ended %d", res.Status)
	}
	req := <-got
	body, _ := io.ReadAll(req.Body)
	if req.RequestURI != "/order/a%2Fb%20c?x=1&y=%2f" || req.Method != http.MethodPost || string(body) != "body" ||
		req.Header.Get("Request-Id") != "id1" || req.Header.Get("Idempotency-Key") != "k1" || req.Host != "backend.local" {
		t.Fatalf("the backend got %v %s body %q %v", req.Method, req.RequestURI, body, req.Header)
	}
	if got := req.Header.Get("Request-Timeout"); !strings.HasSuffix(got, "m") || len(got) != len("3599999m") {
		t.Fatalf("Request-Timeout %q of an hour", got)
	}
}

// What HTTP has no room for is not sent, and never ran.
func TestUnsendable(t *testing.T) {
	for name, spoil := range map[string]func(m *core.Message){
		"method": func(m *core.Message) { m.Method = "" },
		"target": func(m *core.Message) { m.Target = "/order/u1 HTTP/1.1\r\nX: y" },
		"space":  func(m *core.Message) { m.Target = "/order /u1" },
		"host":   func(m *core.Message) { m.Host = "a\r\nb" },
		"key":    func(m *core.Message) { m.IdempotencyKey = "k\nRequest-Id: id2" },
		"type":   func(m *core.Message) { m.ContentType = "a\x00b" },
	} {
		read := make(chan int64, 1)
		addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
			n, _ := io.Copy(io.Discard, r)
			read <- n
		})
		a := newTry(testPool().endpoint(addr), http.MethodPost, never)
		spoil(&a.Request.Message)
		if res := a.run(); !res.Status.NeverRan() {
			t.Errorf("%s: ended %d", name, res.Status)
		}
		if n := <-read; n != 0 {
			t.Errorf("%s: %d bytes went out", name, n)
		}
	}
}

// What a backend sends beyond an answer must not answer the next request: whether it
// comes with the answer or behind it, the connection is not used again.
func TestSurplusAnswersNothing(t *testing.T) {
	for _, c := range []struct{ name, surplus string }{
		{"second copy", strings.Replace(okAnswer, "done", "gone", 1)}, {"noise", "\x00noise"},
	} {
		for _, apart := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, apart), func(t *testing.T) {
				sent := make(chan struct{}, 100)
				addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
					for {
						if _, err := testkit.ReadRequest(r); err != nil {
							return
						}
						if apart {
							io.WriteString(conn, okAnswer)
							io.WriteString(conn, c.surplus)
						} else {
							io.WriteString(conn, okAnswer+c.surplus)
						}
						sent <- struct{}{}
					}
				})
				g := testPool().endpoint(addr)
				defer g.CloseIdle()
				var wg sync.WaitGroup
				side := 8 // attempts that wait for each other's connections
				if apart {
					side = 1 // each begins when the surplus of the last was written
				}
				for range side {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for range 50 {
							res := newTry(g, http.MethodPost, never).run()
							if res.Status != policy.OK || string(res.Body) != "done" {
								t.Errorf("ended %d %q", res.Status, res.Body)
							}
							<-sent // written whole, and so seen
						}
					}()
				}
				wg.Wait()
			})
		}
	}
}

// A connection that has ended or brings what nobody asked for is not used again.
func TestStaleConnections(t *testing.T) {
	var came atomic.Int32
	closed := make(chan struct{}, 10)
	addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err == nil {
			came.Add(1)
			io.WriteString(conn, okAnswer)
			conn.Close()
			closed <- struct{}{}
		}
	})
	g := testPool().endpoint(addr)
	for i := range 20 {
		if res := newTry(g, http.MethodPost, never).run(); res.Status != policy.OK {
			t.Fatalf("attempt %d ended %d", i, res.Status)
		}
		<-closed
	}
}

// The connections share one bound: at the limit the longest idle is closed for a new one.
func TestLongestIdleMakesRoom(t *testing.T) {
	p := testPool()
	p.opt.Most = 2
	var groups []*endpoint
	for range 3 {
		addr := counted(t)
		groups = append(groups, p.endpoint(addr))
	}
	for _, g := range groups {
		if res := newTry(g, http.MethodPost, never).run(); res.Status != policy.OK {
			t.Fatalf("ended %d", res.Status)
		}
	}
	if p.open != 2 || len(groups[0].spare) != 0 || len(groups[1].spare) != 1 || len(groups[2].spare) != 1 {
		t.Fatalf("%d open, idle %d %d %d", p.open, len(groups[0].spare), len(groups[1].spare), len(groups[2].spare))
	}
	groups[1].Retire()
	if p.open != 1 || p.spare.Len() != 1 {
		t.Fatalf("%d open after a backend has gone", p.open)
	}
	p.opt.Idle = 0
	p.sweep()
	if p.open != 0 || p.spare.Len() != 0 || p.sweeping {
		t.Fatalf("%d open after all were idle too long", p.open)
	}
}

// A panic in an attempt is an outcome: what had not begun never ran.
func TestAttemptPanic(t *testing.T) {
	p := testPool()
	p.opt.Dial = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	if res := newTry(p.endpoint("127.0.0.1:1"), http.MethodPost, never).run(); res.Status != policy.ConnectFailed {
		t.Fatalf("ended %d", res.Status)
	}
}

// A crowded server has its idle connections back sooner; one that is in use again stays.
func TestCrowdedServerGetsConnectionsBack(t *testing.T) {
	p := testPool()
	p.opt.Idle = 10 * time.Millisecond * soonPart
	p.sweeping = true // not by the sweep, which would close it later
	e := p.endpoint(counted(t))
	open := func() int { p.mu.Lock(); defer p.mu.Unlock(); return p.open }
	e.Crowded(time.Now().Add(time.Hour))
	if res := newTry(e, http.MethodGet, never).run(); res.Status != policy.OK || open() != 1 {
		t.Fatalf("%+v, %d open", res, open())
	}
	for end := time.Now().Add(20 * time.Second); open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is kept")
		}
	}
	// One that was used since is not closed for an earlier rest.
	p.opt.Idle = time.Hour
	newTry(e, http.MethodGet, never).run()
	p.mu.Lock()
	c := e.spare[0]
	earlier := c.since.Add(-time.Second)
	p.mu.Unlock()
	if e.giveBack(c, earlier); open() != 1 {
		t.Error("it was used since")
	}
}

// The server is told the time that is left less the way back, as handshakes have shown it, and nothing
// is sent that has no millisecond for it: then the connection stays for the next.
func TestServersAreToldTheTimeLeft(t *testing.T) {
	got := make(chan string, 4)
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := testkit.ReadRequest(r)
			if err != nil {
				return
			}
			got <- req.Header.Get("Request-Timeout")
			io.WriteString(c, okAnswer)
		}
	})
	p := testPool()
	p.opt.Settle = 0 // one connection is enough
	e := p.endpoint(addr)
	if res := newTry(e, http.MethodGet, time.Hour).run(); res.Status != policy.OK {
		t.Fatal(res.Status)
	}
	if e.way == (budget.Margin{}) || <-got < "3590000m" {
		t.Error("a handshake teaches", e.way.ReturnTime())
	}
	for range 50 {
		e.way.Observe(100 * time.Millisecond)
	}
	if res := newTry(e, http.MethodGet, 10*time.Second).run(); res.Status != policy.OK {
		t.Fatal(res.Status)
	}
	text := <-got
	left, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	if err != nil || left > 9950 || left < 5000 {
		t.Errorf("told %q of 10 s with a way back of %v", text, e.way.ReturnTime())
	}
	if res := newTry(e, http.MethodGet, 900*time.Microsecond).run(); !res.Status.NeverRan() {
		t.Errorf("ended %d, which may have run", res.Status)
	}
	if len(got) != 0 || p.spare.Len() != 1 {
		t.Errorf("%d sent with no time left, %d connections kept", len(got), p.spare.Len())
	}
}

// The answer to HEAD is whole without what its length names, and keeps its connection.
func TestHead(t *testing.T) {
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := testkit.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n")
		}
	})
	p := testPool()
	if res := newTry(p.endpoint(addr), http.MethodHead, never).run(); res.Status != policy.OK || res.Length != 3221225472 || len(res.Body) != 0 || p.spare.Len() != 1 {
		t.Fatalf("ended %d, length %d, %d kept", res.Status, res.Length, p.spare.Len())
	}
}
