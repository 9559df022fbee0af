package fcgifront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/decide/sharing"
	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/window"
	"molepaddle/internal/rig/testkit"
)

// fake is a stand-in for the core.
type fake struct {
	came   chan *core.Request
	answer func(context.Context, *core.Request) core.Answer
}

func (f *fake) Do(ctx context.Context, r *core.Request) core.Answer {
	f.came <- r
	return f.answer(ctx, r)
}
func (f *fake) Ready() bool { return true }

func served(_ context.Context, r *core.Request) core.Answer {
	return core.Answer{Outcome: core.Served, Body: []byte(r.ID + " " + string(r.Message.Body)), ContentType: "text/plain"}
}

func start(t *testing.T, answer func(context.Context, *core.Request) core.Answer, change ...func(*Options)) (*Front, *fake, string, func()) {
	t.Helper()
	class := func(name string, effect settings.Idempotency) settings.Class {
		return settings.Class{Name: name, LatencyTargetMs: 20000, ClientTimeoutMs: 30000, Idempotency: effect}
	}
	h := &fake{came: make(chan *core.Request, 1000), answer: answer}
	o := Options{Connections: 8, Requests: 60, Budget: window.NewBudget(8 << 20), Log: slog.New(slog.DiscardHandler),
		HeadWithin: 20 * time.Second, BodyWithin: 20 * time.Second, KeepIdle: time.Minute,
		View: intake.View{Classes: map[string]int{"look": 0, "send": 1, "order": 2}, Settings: &settings.Settings{Classes: []settings.Class{
			class("look", settings.Idempotent), class("send", settings.Deduplicated), class("order", settings.NonIdempotent)}}}}
	for _, c := range change {
		c(&o)
	}
	f := New(h, o)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, ln) }()
	end := sync.OnceFunc(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if held := o.Budget.Used(); held != 0 {
			t.Errorf("%d bytes of the budget are gone", held)
		}
	})
	t.Cleanup(func() {
		f.Close()
		end()
	})
	return f, h, ln.Addr().String(), end
}

// client is a web server's connection.
type client struct {
	t *testing.T
	*testkit.Web
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := testkit.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{t, testkit.NewWeb(c)}
}

type vars = map[string]string

var begun, whole = testkit.FastBegun, testkit.FastComplete

// order returns the params that a typical web server sends for a POST, and extra ones.
func order(length int, more vars) vars {
	v := vars{"REQUEST_METHOD": "POST", "REQUEST_URI": "/order/u1?x=1", "SERVER_NAME": "portal", "CONTENT_LENGTH": fmt.Sprint(length), "HTTP_PROXY": "evil"}
	for name, value := range more {
		v[name] = value
	}
	return v
}

func params(v vars) (out []byte) {
	for name, value := range v {
		out = fcgi.AppendPair(out, name, value)
	}
	return out
}

func (c *client) send(parts ...[]byte) {
	c.t.Helper()
	if _, err := c.Write(bytes.Join(parts, nil)); err != nil {
		c.t.Error(err)
	}
}

// next reads up to the next END_REQUEST or management record; id 0: a management record, or the connection ended.
func (c *client) next() (id uint16, text string, end fcgi.End) {
	id, text, end, err := c.Next()
	if err != nil {
		text = err.Error()
	}
	return id, text, end
}

func (c *client) expect(id uint16, prefix, suffix string) {
	c.t.Helper()
	got, text, end := c.next()
	if got != id || !strings.HasPrefix(text, prefix) || !strings.HasSuffix(text, suffix) || end != (fcgi.End{}) {
		c.t.Errorf("got %d %.200q %+v, want %d %q ... %q", got, text, end, id, prefix, suffix)
	}
}

// A request with the params of a typical web server is accepted and given an id; an id that it has is kept; all
// relevant params reach the core as over HTTP.
func TestTaken(t *testing.T) {
	_, h, addr, _ := start(t, served)
	c := dial(t, addr)
	c.send(whole(1, order(4, nil), "body"))
	id, text, _ := c.next()
	r := <-h.came
	if want := "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 37\r\n\r\n" + r.ID + " body"; id != 1 || text != want || len(r.ID) != 32 {
		t.Errorf("%d %q", id, text)
	}
	if m := r.Message; m.Method != "POST" || m.Target != "/order/u1?x=1" || m.Host != "portal" || r.Class != 2 || r.Key != intake.KeyOf("u1") || time.Until(r.Deadline) < 25*time.Second {
		t.Errorf("%+v", r)
	}
	c.send(whole(2, vars{"REQUEST_METHOD": "POST", "SCRIPT_NAME": "/send", "PATH_INFO": "/a b", "QUERY_STRING": "q", "HTTP_HOST": "h:1", "CONTENT_TYPE": "x/y",
		"HTTP_REQUEST_ID": "id7", "HTTP_IDEMPOTENCY_KEY": "k", "HTTP_REQUEST_TIMEOUT": "480m", "HTTP_CLIENT_RETRY": "1", "HTTP_WORK_HINT": "1500"}, "piece by piece"))
	c.expect(2, "Status: 200 OK", "id7 piece by piece")
	r = <-h.came
	if m := r.Message; m.Target != "/send/a%20b?q" || m.Host != "h:1" || m.ContentType != "x/y" || m.IdempotencyKey != "k" || !r.Retry || r.HintMs != 1.5 || time.Until(r.Deadline) > 480*time.Millisecond {
		t.Errorf("%+v", r)
	}
	// An id is free again as soon as its request has ended. A GET of /ready is answered too.
	for range 50 {
		c.send(whole(2, vars{"REQUEST_METHOD": "GET", "REQUEST_URI": "/look/x", "SERVER_NAME": "p"}, ""))
		c.expect(2, "Status: 200 OK", " ")
	}
	c.send(whole(9, vars{"REQUEST_METHOD": "GET", "REQUEST_URI": "/ready"}, ""))
	c.expect(9, "Status: 200 OK", "\r\n\r\n")
	// Params in records of one byte, the body before the end of the params.
	out := fcgi.AppendBegin(nil, 3, fcgi.Begin{Role: fcgi.Responder, Keep: true})
	for _, b := range params(order(3, vars{"HTTP_REQUEST_ID": "id8"})) {
		out = fcgi.Append(out, fcgi.Params, 3, []byte{b})
	}
	out = fcgi.AppendStream(out, fcgi.Stdin, 3, []byte("abc"))
	c.send(out, fcgi.Append(nil, fcgi.Stdin, 3, nil), fcgi.Append(nil, fcgi.Params, 3, nil))
	c.expect(3, "Status: 200 OK", "id8 abc")
	// Without KEEP_CONN the connection is closed after the answer.
	last := whole(4, order(1, nil), "x")
	last[10] = 0
	c.send(last)
	c.expect(4, "Status: 200 OK", " x")
	if id, text, _ := c.next(); id != 0 || text != "EOF" {
		t.Errorf("%d %q", id, text)
	}
}

// Invalid requests get a 4xx in CGI form and do not reach the core; their connection serves the next request.
func TestBadInput(t *testing.T) {
	_, h, addr, _ := start(t, served)
	c := dial(t, addr)
	for name, b := range map[string]struct {
		raw    []byte
		status string
	}{
		"no class":              {whole(1, order(0, vars{"REQUEST_URI": "/nothing"}), ""), "404"},
		"no path":               {whole(1, order(0, vars{"REQUEST_URI": "nothing"}), ""), "400"},
		"a bad escape":          {whole(1, order(0, vars{"REQUEST_URI": "/order/%zz"}), ""), "400"},
		"a space":               {whole(1, order(0, vars{"REQUEST_URI": "/order/a b"}), ""), "400"},
		"another method":        {whole(1, order(0, vars{"REQUEST_METHOD": "GET"}), ""), "405"},
		"no method":             {whole(1, vars{"REQUEST_URI": "/order/x", "SERVER_NAME": "p"}, ""), "405"},
		"no host":               {whole(1, vars{"REQUEST_METHOD": "GET", "REQUEST_URI": "/look/x"}, ""), "400"},
		"no key":                {whole(1, order(0, vars{"REQUEST_URI": "/send/u"}), ""), "400"},
		"a bad timeout":         {whole(1, order(0, vars{"HTTP_REQUEST_TIMEOUT": "5s"}), ""), "400"},
		"a bad id":              {whole(1, order(0, vars{"HTTP_REQUEST_ID": "a b"}), ""), "400"},
		"a newline":             {whole(1, order(0, vars{"HTTP_HOST": "a\r\nX: y"}), ""), "400"},
		"a body for GET":        {whole(1, vars{"REQUEST_METHOD": "GET", "REQUEST_URI": "/look/x", "SERVER_NAME": "p"}, "body"), "400"},
		"a length that is none": {whole(1, order(0, vars{"CONTENT_LENGTH": "-1"}), ""), "400"},
		"a length over all":     {whole(1, order(0, vars{"CONTENT_LENGTH": "99999999999999999999"}), ""), "413"},
		"shorter than told":     {whole(1, order(9, nil), "body"), "400"},
		"longer than told":      {whole(1, order(3, nil), "body"), "400"},
		"two lengths": {func() []byte {
			out := fcgi.AppendBegin(nil, 1, fcgi.Begin{Role: fcgi.Responder, Keep: true})
			p := fcgi.AppendPair(params(order(4, nil)), "CONTENT_LENGTH", "4")
			return append(fcgi.Append(fcgi.Append(out, fcgi.Params, 1, p), fcgi.Params, 1, nil), fcgi.Append(nil, fcgi.Stdin, 1, nil)...)
		}(), "400"},
		"params cut short": {func() []byte {
			out := fcgi.AppendBegin(nil, 1, fcgi.Begin{Role: fcgi.Responder, Keep: true})
			return fcgi.Append(fcgi.Append(out, fcgi.Params, 1, []byte{5, 5, 'a'}), fcgi.Params, 1, nil)
		}(), "400"},
		"a megabyte of params": {whole(1, order(0, vars{"HTTP_COOKIE": strings.Repeat("c", 1<<20)}), ""), "431"},
	} {
		c.send(b.raw)
		id, text, end := c.next()
		if id != 1 || !strings.HasPrefix(text, "Status: "+b.status+" ") || end != (fcgi.End{}) {
			t.Errorf("%s: %d %q %+v", name, id, text, end)
		}
	}
	if len(h.came) > 0 {
		t.Errorf("%d were handed on", len(h.came))
	}
	// Records for no open request, for the connection, and with other roles.
	c.send(fcgi.Append(nil, fcgi.Stdin, 77, []byte("x")), fcgi.Append(nil, fcgi.AbortRequest, 5, nil), fcgi.AppendBegin(nil, 6, fcgi.Begin{Role: fcgi.Filter, Keep: true}))
	if id, _, end := c.next(); id != 6 || end.Status != fcgi.UnknownRole {
		t.Errorf("%d %+v", id, end)
	}
	c.send(fcgi.Append(nil, 42, 0, nil))
	if id, text, _ := c.next(); id != 0 || text != "*\x00\x00\x00\x00\x00\x00\x00" {
		t.Errorf("%d %q", id, text)
	}
	c.send(fcgi.Append(nil, fcgi.GetValues, 0, fcgi.AppendPair(fcgi.AppendPair(nil, fcgi.MpxsConn, ""), "OTHER", "")))
	if _, text, _ := c.next(); text != "\x0f\x01FCGI_MPXS_CONNS1" {
		t.Errorf("%q", text)
	}
	c.send(whole(1, order(2, nil), "ok"))
	c.expect(1, "Status: 200 OK", " ok")
	// An id that is begun twice, and bytes that are no record, close the connection.
	for _, raw := range [][]byte{append(begun(1, order(2, nil), ""), begun(1, order(2, nil), "")...), []byte("GET / HTTP/1.1\r\n\r\n")} {
		d := dial(t, addr)
		d.send(raw)
		if id, text, _ := d.next(); id != 0 {
			t.Errorf("%d %q", id, text)
		}
	}
}

// An aborted request ends at once, also in the core; the others on its connection get their own answers, in any order;
// an abort that crosses the request's end has no effect.
func TestAbortOneOfMany(t *testing.T) {
	release, gone, hold := make(chan struct{}), make(chan string, 100), make(chan struct{}, 1)
	_, h, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		open := release
		if len(hold) > 0 {
			open = nil
		}
		select {
		case <-open:
			return served(ctx, r)
		case <-ctx.Done():
			gone <- r.ID
			return core.Answer{Outcome: core.ClientGone}
		}
	})
	c := dial(t, addr)
	for id := uint16(1); id <= 50; id++ {
		c.send(whole(id, order(4, vars{"HTTP_REQUEST_ID": fmt.Sprint("r", id)}), "body"))
		<-h.came
	}
	c.send(begun(60, order(100, nil), "half"), fcgi.Append(nil, fcgi.AbortRequest, 60, nil)) // incomplete
	c.expect(60, "", "")
	c.send(fcgi.Append(nil, fcgi.AbortRequest, 25, nil), fcgi.Append(nil, fcgi.AbortRequest, 25, nil))
	if id := <-gone; id != "r25" {
		t.Error(id)
	}
	c.expect(25, "", "")
	c.send(fcgi.Append(nil, fcgi.AbortRequest, 25, nil)) // crosses the request's end
	close(release)
	c.send(whole(25, order(4, vars{"HTTP_REQUEST_ID": "again"}), "more"))
	got := map[uint16]string{}
	for range 50 {
		id, text, _ := c.next()
		got[id] = text[strings.LastIndex(text, "\n")+1:]
	}
	for id := uint16(1); id <= 50; id++ {
		want := fmt.Sprintf("r%d body", id)
		if id == 25 {
			want = "again more"
		}
		if got[id] != want {
			t.Errorf("%d got %q", id, got[id])
		}
	}
	if len(gone) > 0 {
		t.Errorf("%s was ended as well", <-gone)
	}
	// A connection that ends cancels its open requests.
	hold <- struct{}{}
	d := dial(t, addr)
	d.send(whole(1, order(4, vars{"HTTP_REQUEST_ID": "left"}), "body"))
	<-h.came
	d.Close()
	if id := <-gone; id != "left" {
		t.Error(id)
	}
}

// An answer that its client aborts half way ends there; its connection serves the next request.
func TestAbortAnAnswer(t *testing.T) {
	budget := window.NewBudget(1 << 20)
	_, _, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		if string(r.Message.Body) == "short" {
			return served(ctx, r)
		}
		return core.Answer{Outcome: core.Served, Body: []byte("begun"), Stream: window.New(budget), Length: -1}
	})
	c := dial(t, addr)
	c.send(whole(1, order(0, nil), ""), fcgi.Append(nil, fcgi.AbortRequest, 1, nil), whole(2, order(5, nil), "short"))
	ends := map[uint16]bool{}
	for range 2 {
		id, text, end := c.next()
		if ends[id] = true; end != (fcgi.End{}) || id == 2 && !strings.HasSuffix(text, " short") {
			t.Errorf("%d %q %+v", id, text, end)
		}
	}
	for until := time.Now().Add(10 * time.Second); budget.Used() != 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	if !ends[1] || !ends[2] || budget.Used() != 0 || c.Stderr[1] != "" {
		t.Errorf("%v, %d held, %q", ends, budget.Used(), c.Stderr[1])
	}
}

// Requests above the limit are rejected as overloaded; the others are not affected.
func TestTooMany(t *testing.T) {
	release := make(chan struct{})
	_, h, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		<-release
		return served(ctx, r)
	}, func(o *Options) { o.Requests = 2 })
	c := dial(t, addr)
	c.send(whole(1, order(1, nil), "a"), whole(2, order(1, nil), "b"), whole(3, order(1, nil), "c"))
	if id, _, end := c.next(); id != 3 || end.Status != fcgi.Overloaded {
		t.Errorf("%d %+v", id, end)
	}
	<-h.came
	<-h.came
	close(release)
	c.next()
	c.next()
	c.send(whole(3, order(1, nil), "d"))
	c.expect(3, "Status: 200 OK", " d")
}

// text returns a long body.
func text(n int) string { return strings.Repeat("0123456789abcdef", n/16+1)[:n] }

// all reads a request's body to its end.
func all(ctx context.Context, r *core.Request) (string, error) {
	out := bytes.NewBuffer(bytes.Clone(r.Message.Body))
	if r.Message.Stream == nil {
		return out.String(), nil
	}
	for buf := make([]byte, 5000); ; {
		n, err := r.Message.Stream.Read(ctx, buf)
		out.Write(buf[:n])
		if err == io.EOF {
			return out.String(), nil
		} else if err != nil {
			return "", err
		}
	}
}

// Long bodies and answers are forwarded completely, with or without a declared length, many at once on one connection.
func TestLong(t *testing.T) {
	budget := window.NewBudget(8 << 20)
	_, _, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		body, err := all(ctx, r)
		if err != nil {
			return core.Answer{Outcome: core.Refused, RetryAfter: 1500 * time.Millisecond}
		}
		rest := window.New(budget)
		go func() {
			rest.Write(ctx, []byte(body))
			rest.End(nil)
		}()
		length := int64(len(body)) + 5
		if r.ID == "r3" {
			length = -1
		}
		return core.Answer{Outcome: core.Served, Body: []byte("long:"), Stream: rest, Length: length}
	})
	c := dial(t, addr)
	want := map[uint16]string{}
	var outs [][]byte
	for id := uint16(1); id <= 6; id++ {
		body := text(int(id) * 150_001)
		want[id] = "long:" + body
		v := order(len(body), vars{"HTTP_REQUEST_ID": fmt.Sprint("r", id)})
		if id%2 == 0 {
			delete(v, "CONTENT_LENGTH")
		}
		outs = append(outs, whole(id, v, body))
	}
	go func() { // one record of each request in turn
		for more := true; more; {
			more = false
			for i, out := range outs {
				if len(out) == 0 {
					continue
				}
				h, _ := fcgi.ParseHeader([fcgi.HeaderLen]byte(out[:fcgi.HeaderLen]))
				n := fcgi.HeaderLen + h.Length + h.Padding
				c.Write(out[:n])
				outs[i], more = out[n:], true
			}
		}
	}()
	for range 6 {
		id, got, end := c.next()
		head, body, _ := strings.Cut(got, "\r\n\r\n")
		if body != want[id] || end.App != 0 || strings.Contains(head, "Content-Length") != (id != 3) {
			t.Errorf("%d: %q, %d bytes of %d, %+v", id, head, len(body), len(want[id]), end)
		}
	}
	if budget.Used() != 0 {
		t.Errorf("%d held", budget.Used())
	}
}

// A request whose server does not read its body is answered 503 once its share of the buffer is full, if other requests
// share the connection, and the others are answered. Alone on its connection it is paused, and nothing is lost.
func TestSlowBodyGivesWay(t *testing.T) {
	release := make(chan struct{})
	f, h, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		if r.ID != "slow" {
			return served(ctx, r)
		}
		<-release
		body, err := all(ctx, r)
		if err != nil {
			return core.Answer{Outcome: core.Refused}
		}
		return core.Answer{Outcome: core.Served, Body: []byte(fmt.Sprint(len(body)))}
	})
	const size = 2 << 20
	alone := dial(t, addr)
	sent := make(chan struct{})
	go func() {
		alone.Write(whole(1, order(size, vars{"HTTP_REQUEST_ID": "slow"}), text(size)))
		close(sent)
	}()
	<-h.came
	shared := dial(t, addr)
	shared.send(begun(2, order(4, nil), "")) // shares the connection and arrives slowly
	go shared.Write(whole(1, order(size, vars{"HTTP_REQUEST_ID": "slow"}), text(size)))
	<-h.came
	if used := f.opt.Budget.Used(); used > 2*(sharing.MaxBuffered+core.MaxBody+window.Size)+4096 {
		t.Errorf("%d bytes are held", used)
	}
	shared.send(fcgi.Append(nil, fcgi.Stdin, 2, []byte("fine")), fcgi.Append(nil, fcgi.Stdin, 2, nil))
	shared.expect(2, "Status: 200 OK", " fine")
	close(release)
	shared.expect(1, "Status: 503", "\r\n\r\n")
	alone.expect(1, "Status: 200 OK", fmt.Sprint(size))
	<-sent
}

// A request that is not complete in time is answered 408, and the others on its connection are not affected.
func TestLate(t *testing.T) {
	_, h, addr, _ := start(t, served, func(o *Options) { o.HeadWithin, o.BodyWithin = 100*time.Millisecond, 100*time.Millisecond })
	c := dial(t, addr)
	c.send(fcgi.AppendBegin(nil, 1, fcgi.Begin{Role: fcgi.Responder, Keep: true}), begun(2, order(9, nil), "half"))
	for range 2 {
		if id, text, _ := c.next(); id < 1 || id > 2 || !strings.HasPrefix(text, "Status: 408 ") {
			t.Errorf("%d %q", id, text)
		}
	}
	c.send(fcgi.Append(nil, fcgi.Stdin, 2, []byte("late")), whole(1, order(2, nil), "ok"))
	c.expect(1, "Status: 200 OK", " ok")
	if r := <-h.came; string(r.Message.Body) != "ok" {
		t.Error("handed on:", r.ID)
	}
}

// An answer that breaks off ends with an application status; without a length and with no other request on the
// connection, the connection is closed.
func TestBrokenAnswer(t *testing.T) {
	budget := window.NewBudget(1 << 20)
	_, _, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		rest := window.New(budget)
		rest.End(io.ErrUnexpectedEOF)
		length := int64(100)
		if r.ID == "untold" {
			length = -1
		}
		return core.Answer{Outcome: core.Served, Body: []byte("begun"), Stream: rest, Length: length}
	})
	c := dial(t, addr)
	c.send(whole(1, order(0, nil), ""))
	if id, text, end := c.next(); id != 1 || !strings.HasSuffix(text, "begun") || end.App != 1 || c.Stderr[1] == "" {
		t.Errorf("%d %q %+v", id, text, end)
	}
	c.send(whole(1, order(0, vars{"HTTP_REQUEST_ID": "untold"}), ""))
	if id, text, _ := c.next(); id != 0 {
		t.Errorf("%d %q", id, text)
	}
}

// During a graceful shutdown open requests on a shared connection are answered, and so are requests that begin on
// it meanwhile; then it is closed. Idle connections are closed at once.
func TestLeaves(t *testing.T) {
	release := make(chan struct{})
	f, h, addr, end := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		if string(r.Message.Body) == "wait" {
			<-release
		}
		return served(ctx, r)
	})
	idle, c := dial(t, addr), dial(t, addr)
	c.send(whole(1, order(4, nil), "wait"))
	<-h.came
	ended := make(chan struct{})
	go func() {
		end()
		close(ended)
	}()
	if id, _, _ := idle.next(); id != 0 {
		t.Error("an idle connection is served on")
	}
	c.send(whole(2, order(4, nil), "more"))
	c.expect(2, "Status: 200 OK", " more")
	close(release)
	c.expect(1, "Status: 200 OK", " wait")
	if id, text, _ := c.next(); id != 0 || text != "EOF" {
		t.Errorf("%d %q", id, text)
	}
	<-ended
	if n := f.Connections(); n != 0 {
		t.Errorf("%d connections", n)
	}
}

// Only allowed addresses may connect, and never more connections than the limit; an idle one is closed to make room.
func TestPlaces(t *testing.T) {
	release := make(chan struct{})
	_, h, addr, _ := start(t, func(ctx context.Context, r *core.Request) core.Answer {
		<-release
		return served(ctx, r)
	}, func(o *Options) { o.Connections = 2 })
	busy, idle := dial(t, addr), dial(t, addr)
	busy.send(whole(1, order(1, nil), "a"))
	<-h.came
	third := dial(t, addr)
	third.send(whole(1, order(1, nil), "b"))
	<-h.came
	if id, _, _ := idle.next(); id != 0 {
		t.Error("no room was made")
	}
	if id, _, _ := dial(t, addr).next(); id != 0 {
		t.Error("a fourth was served")
	}
	close(release)
	busy.expect(1, "Status: 200 OK", " a")
	third.expect(1, "Status: 200 OK", " b")
	_, _, addr, _ = start(t, served, func(o *Options) { o.Allowed = func(net.IP) bool { return false } })
	if id, _, _ := dial(t, addr).next(); id != 0 {
		t.Error("who is not allowed was served")
	}
}

// For any input on a connection the front end survives and holds no memory for it in the end.
func FuzzConn(f *testing.F) {
	f.Add(whole(1, order(4, nil), "body"))
	f.Add(append(begun(1, order(4, nil), "bo"), fcgi.Append(nil, fcgi.AbortRequest, 1, nil)...))
	f.Add(fcgi.Append(nil, fcgi.GetValues, 0, fcgi.AppendPair(nil, fcgi.MaxReqs, "")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		budget := window.NewBudget(1 << 20)
		class := settings.Class{Name: "order", LatencyTargetMs: 1, ClientTimeoutMs: 1, Idempotency: settings.NonIdempotent}
		front := New(&fake{came: make(chan *core.Request, 1000), answer: served}, Options{Connections: 1, Requests: 4, Budget: budget, Log: slog.New(slog.DiscardHandler),
			HeadWithin: time.Minute, BodyWithin: time.Minute, KeepIdle: time.Minute,
			View: intake.View{Classes: map[string]int{"order": 0}, Settings: &settings.Settings{Classes: []settings.Class{class}}}})
		near, far := net.Pipe()
		c := newConn(front, far)
		front.admit(c)
		go io.Copy(io.Discard, near)
		go func() {
			near.Write(raw)
			near.Close()
		}()
		c.read()
		for end := time.Now().Add(5 * time.Second); (budget.Used() != 0 || front.Taken() != 0) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if budget.Used() != 0 || front.Taken() != 0 || front.Connections() != 0 {
			t.Fatalf("%d bytes, %d requests, %d connections are left", budget.Used(), front.Taken(), front.Connections())
		}
	})
}
