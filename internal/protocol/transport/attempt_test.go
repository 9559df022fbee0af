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

const never = time.Hour // a time-out that no test reaches

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func testPool() *Transport {
	return New(Options{Dial: (&net.Dialer{}).DialContext, Timeout: never, Idle: never, Most: 100,
		Settle: time.Millisecond, Resting: 64})
}

func (p *Transport) endpoint(dial string) *endpoint {
	return p.Endpoint(&cluster.Server{Dial: dial}).(*endpoint)
}

// try is an attempt under test and its result.
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

// counted is a server that answers every request and counts them.
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

// No library layer may resend a request when a kept connection breaks: that would be an attempt that the core did not
// start.
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

// The result states whether the request may have been executed; without proof that it was not, it may have been.
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

// brokenConn accepts a part of each write and fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write(p []byte) (int, error) { return len(p) / 2, errors.New("broken") }

// A request whose write fails before its last byte was never executed.
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

// Cancelling an attempt closes its connection before the result is reported, so that the next attempt never runs
// beside it.
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
	a.Cancel(context.DeadlineExceeded) // simulates the time-out
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

// A dial ends with its attempt. http.Transport would let it continue and keep the connection, to a backend that was
// given up or is draining.
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

// An attempt withdrawn while its connection is dialled sends nothing on it.
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

// If no socket is left, the attempt was never executed, and its backend is not to blame.
func TestNoSocketLeft(t *testing.T) {
	p := testPool()
	p.opt.Most = 0
	if got := newTry(p.endpoint("127.0.0.1:1"), http.MethodPost, never).run().Status; got != policy.Full {
		t.Fatalf("ended %d, want turned away", got)
	}
}

// The request is forwarded unchanged.
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

// A request that can't be expressed in HTTP is not sent and was never executed.
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

// Surplus bytes after an answer must not answer the next request: the connection is not reused, whether they arrive
// with the answer or after it.
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
				side := 8 // concurrent attempts
				if apart {
					side = 1 // each starts once the surplus of the previous answer is written
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
							<-sent // the surplus is written completely, so it is visible
						}
					}()
				}
				wg.Wait()
			})
		}
	}
}

// A connection that was closed or has unread bytes is not reused.
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

// All connections share one limit: at the limit the longest idle one is closed for a new one.
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
	if p.open != 2 || len(groups[0].idle) != 0 || len(groups[1].idle) != 1 || len(groups[2].idle) != 1 {
		t.Fatalf("%d open, idle %d %d %d", p.open, len(groups[0].idle), len(groups[1].idle), len(groups[2].idle))
	}
	groups[1].Retire()
	if p.open != 1 || p.idle.Len() != 1 {
		t.Fatalf("%d open after a backend has gone", p.open)
	}
	p.opt.Idle = 0
	p.sweep()
	if p.open != 0 || p.idle.Len() != 0 || p.sweeping {
		t.Fatalf("%d open after all were idle too long", p.open)
	}
}

// A panic in an attempt is a result: if it had not begun, it was never executed.
func TestAttemptPanic(t *testing.T) {
	p := testPool()
	p.opt.Dial = func(context.Context, string, string) (net.Conn, error) { panic("boom") }
	if res := newTry(p.endpoint("127.0.0.1:1"), http.MethodPost, never).run(); res.Status != policy.ConnectFailed {
		t.Fatalf("ended %d", res.Status)
	}
}

// Idle connections to a server at its connection limit are closed sooner; one that is in use again stays.
func TestCrowdedServerGetsConnectionsBack(t *testing.T) {
	p := testPool()
	p.opt.Idle = 10 * time.Millisecond * overloadedIdleDivisor
	p.sweeping = true // prevents the sweep, which would close it later
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
	// A connection used since is not closed for an earlier idle period.
	p.opt.Idle = time.Hour
	newTry(e, http.MethodGet, never).run()
	p.mu.Lock()
	c := e.idle[0]
	earlier := c.since.Add(-time.Second)
	p.mu.Unlock()
	if e.closeIfIdle(c, earlier); open() != 1 {
		t.Error("it was used since")
	}
}

// The server is told the remaining time less the return time measured from handshakes. If less than a millisecond
// remains, nothing is sent, and the connection is kept.
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
	if e.margin == (budget.Margin{}) || <-got < "3590000m" {
		t.Error("a handshake teaches", e.margin.ReturnTime())
	}
	for range 50 {
		e.margin.Observe(100 * time.Millisecond)
	}
	if res := newTry(e, http.MethodGet, 10*time.Second).run(); res.Status != policy.OK {
		t.Fatal(res.Status)
	}
	text := <-got
	left, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	if err != nil || left > 9950 || left < 5000 {
		t.Errorf("told %q of 10 s with a way back of %v", text, e.margin.ReturnTime())
	}
	if res := newTry(e, http.MethodGet, 900*time.Microsecond).run(); !res.Status.NeverRan() {
		t.Errorf("ended %d, which may have run", res.Status)
	}
	if len(got) != 0 || p.idle.Len() != 1 {
		t.Errorf("%d sent with no time left, %d connections kept", len(got), p.idle.Len())
	}
}

// The answer to HEAD is complete without the body that its length describes, and its connection is kept.
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
	if res := newTry(p.endpoint(addr), http.MethodHead, never).run(); res.Status != policy.OK || res.Length != 3221225472 || len(res.Body) != 0 || p.idle.Len() != 1 {
		t.Fatalf("ended %d, length %d, %d kept", res.Status, res.Length, p.idle.Len())
	}
}
