package management

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/rig/testkit"
)

// startServer starts a server, and returns its lifecycle and address.
func startServer(t *testing.T) (*lifecycle.Machine, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := lifecycle.New()
	m.Open()
	d := New(m, func() bool { return true }, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- d.Serve(ln) }()
	t.Cleanup(func() {
		d.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m, ln.Addr().String()
}

// call sends a text unchanged, and returns the response and its body.
func call(t *testing.T, addr, text string) (*http.Response, string) {
	t.Helper()
	c, err := testkit.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func TestCalls(t *testing.T) {
	m, addr := startServer(t)
	ask := func(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for i, c := range []struct {
		do     func()
		text   string
		status int
		body   string
	}{
		{nil, ask("GET", "/api/ready"), 200, "ready\n"},
		{nil, ask("POST", "/api/evacuate"), 200, "evacuating\n"},
		{nil, ask("POST", "/api/evacuate"), 200, "evacuating\n"},
		{nil, ask("GET", "/api/ready"), 503, "evacuating\n"},
		{nil, ask("POST", "/api/rejoin"), 200, "ready\n"},
		{nil, ask("POST", "/api/rejoin"), 200, "ready\n"},
		{nil, "POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", 200, "evacuating\n"},
		{nil, "POST /api/rejoin HTTP/1.0\r\n\r\n", 200, "ready\n"},
		{nil, ask("GET", "/api/evacuate"), 405, ""},
		{nil, ask("POST", "/api/ready"), 405, ""},
		{nil, ask("GET", "/ready"), 404, ""},
		{nil, ask("GET", "/api/ready/"), 404, ""},
		{nil, "GET /api/ready HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 99<<10) + "\r\n\r\n", 431, ""},
		{nil, "noise\r\n\r\n", 400, ""},
		{func() { m.HandOver() }, ask("POST", "/api/evacuate"), 409, ""},
		{m.End, ask("POST", "/api/rejoin"), 409, ""},
		{nil, ask("GET", "/api/ready"), 503, "ending\n"},
	} {
		if c.do != nil {
			c.do()
		}
		resp, body := call(t, addr, c.text)
		if resp.StatusCode != c.status || c.body != "" && body != c.body || !resp.Close {
			t.Errorf("call %d: %d %q, close %v", i, resp.StatusCode, body, resp.Close)
		}
		if c.status == 405 && resp.Header.Get("Allow") == "" {
			t.Errorf("call %d: 405 without Allow", i)
		}
	}
}

// Clients that never complete a call, far more than MaxConnections of them, do not block others.
func TestSilentCallers(t *testing.T) {
	_, addr := startServer(t)
	for i := range 5 * MaxConnections {
		c, err := testkit.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /api/evac")
		}
		if resp, _ := call(t, addr, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != 200 {
			t.Fatal(i, resp.Status)
		}
	}
}
