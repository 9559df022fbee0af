package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/cluster"
	rec "molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/window"
	"molepaddle/internal/rig/testkit"
	"molepaddle/policy"
)

func fastPool(early bool) *Transport {
	p := testPool()
	p.opt.FastCGI = &FastCGI{Serves: func(*cluster.Server) bool { return true }, Early: early, Params: [][2]string{{"SCRIPT_FILENAME", "/srv/orders.php"}}}
	return p
}

// Each way that a request ends proves no more than the protocol lets it prove; a request that ended successfully
// leaves its connection for reuse.
func TestFastCGIEndings(t *testing.T) {
	const ok = "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"
	record := func(t rec.Type, id uint16, text string) []byte { return rec.Append(nil, t, id, []byte(text)) }
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	for name, c := range map[string]struct {
		answer []byte
		want   policy.Status
		kept   bool
	}{
		"served":                   {testkit.FastAnswer(ok, rec.End{}), policy.OK, true},
		"served, with a Status":    {testkit.FastAnswer("Status: 200 fine\n\ndone", rec.End{}), policy.OK, true},
		"no length":                {testkit.FastAnswer("A: b\r\n\r\ndone", rec.End{}), policy.OK, true},
		"STDERR beside it":         {join(record(rec.Stderr, 1, "warning"), testkit.FastAnswer(ok, rec.End{})), policy.OK, true},
		"of the connection, first": {join(record(rec.UnknownType, 0, "12345678"), testkit.FastAnswer(ok, rec.End{})), policy.OK, true},
		"byte for byte": {func() (out []byte) {
			for i := range len(ok) {
				out = append(out, record(rec.Stdout, 1, ok[i:i+1])...)
			}
			return rec.AppendEnd(out, 1, rec.End{})
		}(), policy.OK, true},
		"overloaded":                   {rec.AppendEnd(nil, 1, rec.End{Status: rec.Overloaded}), policy.Full, true},
		"one at a time":                {rec.AppendEnd(nil, 1, rec.End{Status: rec.CantMux}), policy.Full, true},
		"turned away":                  {testkit.FastAnswer("Status: 503 full\r\nNot-Started: 1\r\n\r\n", rec.End{}), policy.Full, true},
		"another role":                 {rec.AppendEnd(nil, 1, rec.End{Status: rec.UnknownRole}), policy.Error, true},
		"overloaded, with output":      {testkit.FastAnswer("A: b\r\n", rec.End{Status: rec.Overloaded}), policy.Error, true},
		"overloaded, with STDERR":      {join(record(rec.Stderr, 1, "x"), rec.AppendEnd(nil, 1, rec.End{Status: rec.Overloaded})), policy.Error, true},
		"application failed":           {testkit.FastAnswer(ok, rec.End{App: 1}), policy.Error, true},
		"failed with no output":        {rec.AppendEnd(nil, 1, rec.End{App: 255}), policy.Error, true},
		"an error":                     {testkit.FastAnswer("Status: 500 oh\r\n\r\ntext", rec.End{}), policy.Error, true},
		"503 that may have run":        {testkit.FastAnswer("Status: 503 full\r\n\r\n", rec.End{}), policy.Error, true},
		"turned away, then failed":     {testkit.FastAnswer("Status: 503 full\r\nNot-Started: 1\r\n\r\n", rec.End{App: 1}), policy.Error, true},
		"a redirect":                   {testkit.FastAnswer("Location: /x\r\n\r\n", rec.End{}), policy.Error, true},
		"no output":                    {rec.AppendEnd(nil, 1, rec.End{}), policy.Reset, false},
		"no end of the head":           {testkit.FastAnswer("Status: 200", rec.End{}), policy.Reset, false},
		"a malformed head":             {testkit.FastAnswer("no head\r\n\r\nx", rec.End{}), policy.Reset, false},
		"two Statuses":                 {testkit.FastAnswer("Status: 200\r\nStatus: 503\r\nNot-Started: 1\r\n\r\n", rec.End{}), policy.Reset, false},
		"invalid Status":               {testkit.FastAnswer("Status: 99\r\n\r\n", rec.End{}), policy.Reset, false},
		"two lengths":                  {testkit.FastAnswer("Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone", rec.End{}), policy.Reset, false},
		"shorter than told":            {testkit.FastAnswer("Content-Length: 5\r\n\r\ndone", rec.End{}), policy.Reset, false},
		"longer than told":             {testkit.FastAnswer("Content-Length: 3\r\n\r\ndone", rec.End{}), policy.Reset, false},
		"of another id":                {join(record(rec.Stdout, 2, ok), testkit.FastAnswer(ok, rec.End{})), policy.Reset, false},
		"what only clients send":       {join(record(rec.Stdin, 1, ""), testkit.FastAnswer(ok, rec.End{})), policy.Reset, false},
		"an END_REQUEST of seven":      {record(rec.EndRequest, 1, "1234567"), policy.Reset, false},
		"HTTP":                         {[]byte(okAnswer), policy.Reset, false},
		"a head without end":           {rec.AppendStream(nil, rec.Stdout, 1, []byte("A: "+strings.Repeat("x", 70_000))), policy.Reset, false},
		"an answer longer than any":    {testkit.FastAnswer("Content-Length: 33554433\r\n\r\n", rec.End{}), policy.Reset, false},
		"END_REQUEST before the body":  {join(record(rec.Stdout, 1, "Content-Length: 4\r\n\r\n"), rec.AppendEnd(nil, 1, rec.End{})), policy.Reset, false},
		"more behind its END_REQUEST":  {join(testkit.FastAnswer(ok, rec.End{}), record(rec.Stdout, 1, "late")), policy.OK, false},
		"END_REQUEST and another's id": {join(testkit.FastAnswer(ok, rec.End{}), rec.AppendEnd(nil, 9, rec.End{})), policy.OK, false},
	} {
		p := fastPool(false)
		e := p.endpoint(testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := testkit.FastRequest(r); err != nil {
					return
				}
				if _, err := conn.Write(c.answer); err != nil || !c.kept {
					return
				}
			}
		}))
		res := newTry(e, http.MethodPost, never).run()
		if res.Status != c.want || res.Status == policy.OK && string(res.Body) != "done" {
			t.Errorf("%s: ended %d, %q", name, res.Status, res.Body)
		}
		if kept := p.idle.Len() == 1; kept != c.kept {
			t.Errorf("%s: kept %v", name, kept)
		}
		p.Close()
	}
}

// An answer that is cut at any byte counts as a request that may have been executed; only a complete answer is
// trusted.
func TestFastCGICutAtEveryByte(t *testing.T) {
	whole := rec.Append(nil, rec.Stderr, 1, []byte("note"))
	whole = append(whole, testkit.FastAnswer("Status: 200 OK\r\nContent-Length: 4\r\n\r\ndone", rec.End{})...)
	var cut atomic.Int64
	p := fastPool(false)
	e := p.endpoint(testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, _, err := testkit.FastRequest(r); err == nil {
			conn.Write(whole[:cut.Load()])
		}
	}))
	for n := range len(whole) + 1 {
		cut.Store(int64(n))
		// The last three bytes of END_REQUEST are reserved, but still read.
		want := policy.Reset
		if n == len(whole) {
			want = policy.OK
		}
		if res := newTry(e, http.MethodPost, never).run(); res.Status != want {
			t.Errorf("cut after %d of %d bytes: ended %d", n, len(whole), res.Status)
		}
	}
}

// A request that was not written completely was never executed; with servers that start at the end of PARAMS this no
// longer holds once PARAMS has been written.
func TestFastCGIWrittenInPart(t *testing.T) {
	probe := newTry(fastPool(false).endpoint("x"), http.MethodPost, never)
	const left = never - time.Second // has as many digits as the remaining time
	all, _, err := (&overFastCGI{opt: &FastCGI{}}).request(nil, probe.Attempt, left)
	if err != nil {
		t.Fatal(err)
	}
	_, begins, _ := (&overFastCGI{opt: &FastCGI{Early: true}}).request(nil, probe.Attempt, left)
	for _, early := range []bool{false, true} {
		for n := range len(all) {
			p := fastPool(early)
			p.opt.FastCGI.Params = nil
			p.opt.Dial = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					io.CopyN(io.Discard, far, int64(n))
					far.Close()
				}()
				return near, nil
			}
			want := policy.ConnectFailed
			if early && n >= begins {
				want = policy.Reset
			}
			a := newTry(p.endpoint("x"), http.MethodPost, time.Hour)
			if res := a.run(); res.Status != want {
				t.Fatalf("early %v, %d of %d bytes: ended %d", early, n, len(all), res.Status)
			}
		}
	}
}

// The standard library's FastCGI server receives every request correctly, with bodies and answers of all lengths, over
// a single connection.
func TestFastCGIWithTheStandardLibrary(t *testing.T) {
	ln, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	var conns atomic.Int64
	counting := &countedListener{ln, &conns}
	go fcgi.Serve(counting, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		w.Header().Set("Server-Load", "TEXT queue=2")
		fmt.Fprintf(w, "%s %s %s %s %s %s %v %d ", r.Method, r.URL.RequestURI(), r.URL.Path, r.Host, r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), err, len(body))
		io.Copy(w, bytes.NewReader(body))
	}))
	t.Cleanup(func() { ln.Close() })
	p := fastPool(false)
	p.opt.Settle = 0
	p.opt.Budget = window.NewBudget(1 << 20)
	e := p.endpoint("unix:" + ln.Addr().String())
	for _, n := range []int{0, 1, 7, 300, 40_000, maxBody} {
		a := newTry(e, http.MethodPost, time.Minute)
		a.Request.Message = core.Message{Method: http.MethodPost, Target: "/order/a%20b?q=1", Host: "orders.local:81", IdempotencyKey: "k1",
			Body: bytes.Repeat([]byte("b"), n)}
		res := a.run()
		want := fmt.Sprintf("POST /order/a%%20b?q=1 /order/a b orders.local:81 id1 k1 <nil> %d ", n) + strings.Repeat("b", n)
		if n == maxBody { // answered with more than maxBody
			if res.Status != policy.Reset {
				t.Errorf("%d bytes: %d", n, res.Status)
			}
			continue
		}
		if res.Status != policy.OK || string(res.Body) != want || res.Load != "TEXT queue=2" {
			t.Errorf("%d bytes: %d %.100q", n, res.Status, res.Body)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

type countedListener struct {
	net.Listener
	n *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}
