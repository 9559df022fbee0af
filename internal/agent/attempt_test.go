package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/policy"
)

const never = time.Hour // for what a test does not let run out

// rawBackend hands each connection to serve; it ends with the test.
func rawBackend(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one whole request.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

func newDialer() *dialer {
	return &dialer{connect: (&net.Dialer{}).DialContext, timeout: never, idle: never, perHost: 4, most: 100}
}

// newAttempt makes an attempt as the loop does.
func newAttempt(tr *http.Transport, dial, method string, timeout time.Duration) *attempt {
	r := &request{method: method, url: &url.URL{Path: "/order/u1"}, host: "backend.local", wireID: "id1"}
	if method == http.MethodPost {
		r.body = []byte("body")
	}
	a := &attempt{req: r, transport: tr, dial: dial, started: time.Now()}
	ctx, cancel := context.WithCancelCause(context.Background())
	var stop context.CancelFunc
	a.ctx, stop = context.WithTimeout(ctx, timeout)
	a.cancel = func(cause error) { cancel(cause); stop() }
	return a
}

// A library must not send a request again by itself when a kept connection breaks:
// that would be a second attempt that nobody decided.
func TestNoHiddenResend(t *testing.T) {
	for _, c := range []struct{ name, method, key string }{
		{"safe", http.MethodGet, ""}, {"keyed", http.MethodPost, "k1"}, {"unsafe", http.MethodPost, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var came atomic.Int32
			addr := rawBackend(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					if _, err := readRequest(r); err != nil {
						return
					}
					if came.Add(1) > 1 {
						return // breaks the kept connection under the second request
					}
					io.WriteString(conn, okAnswer)
				}
			})
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			for i, want := range []policy.Status{policy.OK, policy.Reset} {
				a := newAttempt(tr, addr, c.method, never)
				a.req.idempotency = c.key
				if got := a.run().status; got != want {
					t.Fatalf("attempt %d ended %d, want %d", i, got, want)
				}
			}
			if n := came.Load(); n != 2 {
				t.Fatalf("the backend got %d requests of 2 attempts", n)
			}
		})
	}
}

// The connection itself stops a second copy, whatever the library above it does.
func TestOneConnectionPerAttempt(t *testing.T) {
	a := newAttempt(nil, "", http.MethodPost, never)
	defer a.cancel(nil)
	first, second := &conn{}, &conn{}
	a.conn.Store(first)
	if !a.begin(first) || !a.begin(first) {
		t.Fatal("the attempt's own connection was refused")
	}
	if a.begin(second) {
		t.Fatal("the attempt went out on a second connection")
	}
	if a.withdraw() {
		t.Fatal("an attempt that began was withdrawn")
	}
}

// How an attempt ended tells whether it has run; in doubt it may have.
func TestEndings(t *testing.T) {
	answer := func(text string) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
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
		{"answer of unknown length", answer("HTTP/1.1 200 OK\r\n\r\ndone"), policy.Reset},
		{"answer too long", answer("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), policy.Error},
		{"error", answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"another success", answer("HTTP/1.1 204 No\r\n\r\n"), policy.Error},
		{"503 that may have run", answer("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), policy.Error},
		{"503 turned away", answer("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"504 turned away", answer("HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Full},
		{"500 that says it was not started", answer("HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), policy.Error},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newDialer().newTransport()
			defer tr.CloseIdleConnections()
			res := newAttempt(tr, rawBackend(t, c.serve), http.MethodPost, never).run()
			if res.status != c.want {
				t.Fatalf("ended %d, want %d", res.status, c.want)
			}
			if want := c.want == policy.OK; (string(res.body) == "done") != want {
				t.Fatalf("body %q", res.body)
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
	d := newDialer()
	if got := newAttempt(d.newTransport(), addr, http.MethodPost, never).run().status; got != policy.ConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
	if n := d.open.Load(); n != 0 {
		t.Fatalf("%d sockets counted as open", n)
	}
}

// brokenConn takes a part of each write and fails.
type brokenConn struct{ net.Conn }

func (brokenConn) Write(p []byte) (int, error) { return len(p) / 2, errors.New("broken") }

// What breaks before the last byte was written never ran.
func TestCutWrite(t *testing.T) {
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	d := newDialer()
	plain := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		return brokenConn{c}, err
	}
	if got := newAttempt(d.newTransport(), addr, http.MethodPost, never).run().status; got != policy.ConnectFailed {
		t.Fatalf("ended %d, want could-not-connect", got)
	}
}

// Giving an attempt up closes its connection before the outcome is known, so that
// the next attempt is never a second copy beside it.
func TestTimeoutClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	got := make(chan struct{})
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		close(got)
		_, err := r.ReadByte()
		closed <- err
	})
	d := newDialer()
	a := newAttempt(d.newTransport(), addr, http.MethodPost, never)
	done := make(chan result)
	go func() { done <- a.run() }()
	<-got
	a.cancel(context.DeadlineExceeded) // the time-out, without waiting for it
	if res := <-done; res.status != policy.Timeout {
		t.Fatalf("ended %d, want timed out", res.status)
	}
	if n := d.open.Load(); n != 0 {
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
		{"drain", errDrained, policy.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialling, ended := make(chan struct{}), make(chan struct{})
			d := newDialer()
			d.connect = func(ctx context.Context, _, _ string) (net.Conn, error) {
				close(dialling)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			}
			a := newAttempt(d.newTransport(), "127.0.0.1:1", http.MethodPost, never)
			done := make(chan result)
			go func() { done <- a.run() }()
			<-dialling
			a.cancel(c.cause)
			if res := <-done; res.status != c.want {
				t.Fatalf("ended %d, want %d", res.status, c.want)
			}
			<-ended
		})
	}
}

// An attempt withdrawn while its connection comes up sends nothing on it.
func TestWithdrawnSendsNothing(t *testing.T) {
	read := make(chan int64, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		read <- n
	})
	d := newDialer()
	var a *attempt
	plain := d.connect
	d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := plain(ctx, network, addr)
		if !a.withdraw() {
			t.Error("could not be withdrawn before its first byte")
		}
		return c, err
	}
	a = newAttempt(d.newTransport(), addr, http.MethodPost, never)
	if got := a.run().status; !got.NeverRan() {
		t.Fatalf("ended %d, which may have run", got)
	}
	if n := <-read; n != 0 {
		t.Fatalf("the backend got %d bytes", n)
	}
}

// Without a socket left the attempt never ran, and its backend is not to blame.
func TestNoSocketLeft(t *testing.T) {
	d := newDialer()
	d.most = 0
	if got := newAttempt(d.newTransport(), "127.0.0.1:1", http.MethodPost, never).run().status; got != policy.Full {
		t.Fatalf("ended %d, want turned away", got)
	}
}

// The request goes on unchanged.
func TestOutgoing(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr := rawBackend(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- req
		io.WriteString(c, okAnswer)
	})
	a := newAttempt(newDialer().newTransport(), addr, http.MethodPost, never)
	a.req.url, _ = url.ParseRequestURI("/order/a%2Fb%20c?x=1&y=%2f")
	a.req.idempotency = "k1"
	if res := a.run(); res.status != policy.OK {
		t.Fatalf("ended %d", res.status)
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

func TestReport(t *testing.T) {
	got := report("TEXT util=0.61, qps=7", []string{"qps", "util", "eps"})
	if len(got) != 3 || got[0] != 7 || got[1] != 0.61 || got[2] != 0 {
		t.Fatalf("got %v", got)
	}
	for _, bad := range []string{"", "JSON {}", "TEXT qps=much"} {
		if got := report(bad, []string{"qps"}); got != nil {
			t.Fatalf("%q gave %v", bad, got)
		}
	}
}
