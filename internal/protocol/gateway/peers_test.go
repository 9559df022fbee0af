package gateway_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/process/keys"
	"molepaddle/internal/protocol/gateway"
	"molepaddle/internal/protocol/linkwire"
	"molepaddle/internal/rig/testkit"
	"molepaddle/internal/rig/testkit/sites"
)

// liar is a near end that a test scripts frame by frame, usually with invalid input.
type liar struct {
	net.Conn
	r   *linkwire.Reader
	inc uint64
	now uint64 // latest reading of the far end's clock
}

// lastInc gives each liar its own incarnation.
var lastInc atomic.Uint64

func hello(name string) *linkwire.Hello {
	return &linkwire.Hello{Magic: linkwire.Magic, MinVersion: 1, MaxVersion: 1, Name: name,
		Incarnation: 1000 + lastInc.Add(1)}
}

// lie dials a far end and sends the Hello, if any.
func lie(t *testing.T, addr string, h *linkwire.Hello) *liar {
	t.Helper()
	c, err := testkit.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	l := &liar{Conn: c, r: linkwire.NewReader(bufio.NewReader(c))}
	if h != nil {
		l.say(t, h)
		if f, ok := l.next(t).(*linkwire.Hello); ok {
			l.inc, l.now = f.Incarnation, f.Now
		}
	}
	return l
}

func (l *liar) say(t *testing.T, f linkwire.Frame) {
	t.Helper()
	buf, err := linkwire.Append(nil, f)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = l.Write(buf)
}

// next returns the next frame other than a heartbeat, or nil if the far end has closed.
func (l *liar) next(t *testing.T) linkwire.Frame {
	t.Helper()
	_ = l.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		f, err := l.r.Next()
		if err != nil {
			if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
				t.Fatal("no frame received, and connection not closed")
			}
			return nil
		}
		if b, ok := f.(*linkwire.Beat); ok {
			l.now = b.Now
			continue
		}
		return f
	}
}

func (l *liar) offer(num uint64) *linkwire.Offer {
	return &linkwire.Offer{Number: num, Lease: l.lease(), MaxAttempts: 1, Class: "order", Effect: "single_shot",
		ID:     fmt.Sprint("lie", num),
		Method: "POST", Target: "/order/u1", Host: "h"}
}

func (l *liar) lease() linkwire.Lease {
	return linkwire.Lease{Incarnation: l.inc, Quote: l.now, Begin: 10e6, Life: 10e6}
}

// idle is a Handler that accepts requests and never starts them.
type idle struct{ dropped chan string }

func (i idle) Take(r *core.Request, _ func(core.Answer)) (drop func()) {
	return func() { i.dropped <- r.ID }
}

// A crossing that another gateway queries, and that has not begun, is fenced. The near end is told on
// its own link as well: the querying gateway may have timed out, and the near end sends no further
// query while that link is up.
func TestOwnWordReachesTheNearEnd(t *testing.T) {
	set := &settings.Settings{Classes: []settings.Class{{Name: "order", Idempotency: settings.NonIdempotent,
		ClientTimeoutMs: 10_000}}}
	took := idle{make(chan string, 1)}
	far := gateway.NewReceiver(gateway.ReceiverOptions{Name: "far", Core: took, Settings: set,
		Classes: map[string]int{"order": 0}, Peers: []string{"gw-a"}, Crossings: 10, Bytes: 1 << 20,
		Conns: 4, PerSecond: 100, Times: gateway.DefaultTimes(), Log: slog.New(slog.DiscardHandler)})
	ln := sites.Loopback(t)
	defer far.Close()
	defer ln.Close()
	go far.Serve(ln)
	h := hello("gw-a")
	l := lie(t, ln.Addr().String(), h)
	l.say(t, l.offer(1))
	for v, _ := far.Own("gw-a", h.Incarnation, 1); v != promises.NeverBegun; v, _ = far.Own("gw-a", h.Incarnation, 1) {
		runtime.Gosched() // until the offer has arrived
	}
	if f, ok := l.next(t).(*linkwire.Never); !ok || f.Number != 1 || f.Reason != linkwire.ReasonFenced {
		t.Errorf("the near end hears %+v", f)
	}
	if id := <-took.dropped; id != "lie1" {
		t.Errorf("dropped %q", id)
	}
}

// A peer that violates the protocol gets an error or is disconnected, without effect on others.
func TestLiars(t *testing.T) {
	far := startFar(t, 1, 0)
	far.Ready(t)
	addr := far.Links.Addr().String()
	closed := func(t *testing.T, l *liar) {
		t.Helper()
		for {
			f := l.next(t)
			if f == nil {
				return
			}
			switch f.Kind() {
			case linkwire.KindBye, linkwire.KindNever, linkwire.KindEnded:
			default:
				t.Fatalf("it goes on with %+v", f)
			}
		}
	}
	t.Run("another version", func(t *testing.T) {
		l := lie(t, addr, nil)
		l.say(t, &linkwire.Hello{Magic: linkwire.Magic, MinVersion: 7, MaxVersion: 9, Name: "gw-a", Incarnation: 5})
		if f, ok := l.next(t).(*linkwire.Bye); !ok || !strings.Contains(f.Text, "version") {
			t.Errorf("it was told %+v", f)
		}
	})
	t.Run("another name", func(t *testing.T) {
		l := lie(t, addr, nil)
		l.say(t, hello("gw-x"))
		if f, ok := l.next(t).(*linkwire.Bye); !ok || !strings.Contains(f.Text, "gw-x") {
			t.Errorf("it was told %+v", f)
		}
	})
	t.Run("garbage", func(t *testing.T) {
		l := lie(t, addr, nil)
		io.WriteString(l, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		closed(t, l)
	})
	t.Run("a frame of 4 GB", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		l.Write([]byte{0xff, 0xff, 0xff, 0xff, 3})
		closed(t, l)
	})
	t.Run("silence", func(t *testing.T) { closed(t, lie(t, addr, nil)) })
	t.Run("silence after the greeting", func(t *testing.T) { closed(t, lie(t, addr, hello("gw-a"))) })
	t.Run("a number used twice", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		l.say(t, l.offer(1))
		if f, ok := l.next(t).(*linkwire.Ended); !ok || f.Result != linkwire.Served {
			t.Fatalf("the first came to %+v", f)
		}
		l.say(t, l.offer(1))
		closed(t, l)
	})
	t.Run("a clock reading in the future", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		f := l.offer(1)
		f.Lease.Quote += 1 << 40
		l.say(t, f)
		closed(t, l)
	})
	t.Run("a part without an offer", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		l.say(t, &linkwire.Part{Number: 9, Body: []byte("x")})
		closed(t, l)
	})
	t.Run("the far end's own frames", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		l.say(t, &linkwire.Never{Number: 9})
		closed(t, l)
	})
	never := func(t *testing.T, l *liar, why uint64) {
		t.Helper()
		if f, ok := l.next(t).(*linkwire.Never); !ok || f.Reason != why {
			t.Errorf("it was told %+v, want why %d", f, why)
		}
	}
	t.Run("rejected offers", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		for i, c := range []struct {
			why    uint64
			change func(*linkwire.Offer)
		}{
			{linkwire.ReasonUnknownClass, func(f *linkwire.Offer) { f.Class = "nothing" }},
			{linkwire.ReasonUnknownClass, func(f *linkwire.Offer) { f.Effect = "free" }},
			// without a key
			{linkwire.ReasonUnknownClass, func(f *linkwire.Offer) { f.Class, f.Effect = "send", "guarded" }},
			{linkwire.ReasonUnknownClass, func(f *linkwire.Offer) { f.Method = "GET" }},
			{linkwire.ReasonLeaseExpired, func(f *linkwire.Offer) { f.Lease.Begin, f.Lease.Life = 0, 0 }},
			{linkwire.ReasonLeaseExpired, func(f *linkwire.Offer) { f.Lease.Begin = 0 }},
			{linkwire.ReasonLeaseExpired, func(f *linkwire.Offer) { f.Lease.Incarnation++ }},
		} {
			f := l.offer(uint64(i + 1))
			c.change(f)
			l.say(t, f)
			never(t, l, c.why)
		}
	})
	t.Run("a fence overtakes its order", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		for i, ask := range []linkwire.Frame{&linkwire.Fence{Number: 21, Lease: l.lease()}, &linkwire.Cancel{Number: 22,
			Lease: l.lease()}} {
			l.say(t, ask)
			never(t, l, linkwire.ReasonFenced)
			l.say(t, l.offer(uint64(21+i)))
			never(t, l, linkwire.ReasonFenced)
		}
	})
	t.Run("a fence for another peer's crossing", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		l.say(t, l.offer(31))
		if _, ok := l.next(t).(*linkwire.Ended); !ok {
			t.Fatal("not served")
		}
		m := lie(t, addr, hello("gw-a")) // another process, with its own numbers
		m.say(t, &linkwire.Fence{Number: 31, Lease: m.lease()})
		never(t, m, linkwire.ReasonFenced)
		l.say(t, &linkwire.Fence{Number: 31, Lease: l.lease()})
		if f, ok := l.next(t).(*linkwire.Ended); !ok || f.Result != linkwire.Served {
			t.Errorf("its own fence was answered %+v", f)
		}
	})
	t.Run("a fence of an old process", func(t *testing.T) {
		l := lie(t, addr, hello("gw-a"))
		old := l.lease()
		old.Incarnation++
		l.say(t, &linkwire.Fence{Number: 41, Lease: old})
		if f, ok := l.next(t).(*linkwire.Unsure); !ok {
			t.Errorf("it was told %+v", f)
		}
	})
	for id, n := range far.Came() {
		if n > 1 || strings.HasPrefix(id, "lie2") {
			t.Errorf("%s came %d times", id, n)
		}
	}
}

// With TLS, a link comes up only for a certificate of the authority with the expected name.
// Certificates and routes change under load, and no request is lost.
func TestCertificatesChangeUnderLoad(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(keys.Generate(dir, []string{"gw-a", "gw-b", "gw-z"}, time.Hour))
	tlsOf := func(name string) string {
		return fmt.Sprintf("[gateway.keys]\nca = %q\ncert = %q\nkey = %q\n", filepath.Join(dir, "ca.pem"),
			filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
	}
	ln := sites.Loopback(t)
	far := sites.Start(t, sites.Options{Servers: 2, Links: ln, Operator: sites.Operator(t,
		"[gateway]\nname = \"gw-b\"\npeers = [\"gw-a\"]\nlisten = %q\n%s%s", ln.Addr().String(), times, tlsOf("gw-b"))})
	file := func(route string) string {
		return fmt.Sprintf("[gateway]\nname = \"gw-a\"\n%s%s[[gateway.site]]\nname = \"b\"\n[[gateway.site.peer]]\nname = \"gw-b\"\naddress = %q\n%s", times, tlsOf("gw-a"), ln.Addr().String(), route)
	}
	near := sites.Start(t, sites.Options{Servers: 1, Operator: sites.Operator(t, "%s",
		file("[[gateway.route]]\nto = [\"b\"]\n"))})
	near.Ready(t)
	sites.Eventually(t, "it crosses", func() bool {
		return sites.Ask(context.Background(), near.Base, "order", 2*time.Second, nil).Status == 200 &&
			len(far.Came()) > 0
	})
	stop, done := make(chan struct{}), make(chan []sites.Answer)
	go func() { done <- load(near.Base, 5*time.Millisecond, 2*time.Second, []string{"order", "look"}, stop) }()
	for i := range 6 {
		must(keys.Generate(dir, []string{"gw-a", "gw-b"}, time.Hour))
		route := "[[gateway.route]]\nclass = \"order\"\nto = [\"b\", \"own\"]\n"
		if i%2 == 1 {
			route = "[[gateway.route]]\nshare = 0.5\nto = [\"b\"]\n"
		}
		must(near.Agent.Reload(near.Conf, sites.Operator(t, "%s", file(route))))
		must(far.Agent.Reload(far.Conf, sites.Operator(t, "[gateway]\nname = \"gw-b\"\npeers = [\"gw-a\"]\nlisten = %q\n%s%s", ln.Addr().String(), times, tlsOf("gw-b"))))
		n, m := len(near.Came()), len(far.Came())
		sites.Eventually(t, "both sites are used", func() bool {
			return len(near.Came()) > n+20 &&
				len(far.Came()) > m+20
		})
	}
	if err := near.Agent.Reload(near.Conf, sites.Operator(t, "%s",
		file("[[gateway.route]]\nclass = \"nothing\"\nto = [\"b\"]\n"))); err == nil || !strings.Contains(err.Error(),
		"route[0].class") {
		t.Errorf("a class that does not exist: %v", err)
	}
	close(stop)
	answers := <-done
	came := far.Came()
	for id, n := range near.Came() {
		came[id] += n
	}
	served, refused, failed, broken := judge(t, came, answers...)
	unanswered(t, came, answers)
	if served < 100 {
		t.Errorf("%d served, %d refused, %d failed, %d without an answer", served, refused, failed, broken)
	}
	// A certificate with another name or of another authority is rejected.
	other := t.TempDir()
	must(keys.Generate(other, []string{"gw-a"}, time.Hour))
	must(keys.Generate(dir, []string{"gw-old"}, time.Millisecond))
	for name, f := range map[string]keys.Files{
		"another name": {CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "gw-z.pem"),
			Key: filepath.Join(dir, "gw-z.key")},
		"another authority": {CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(other, "gw-a.pem"),
			Key: filepath.Join(other, "gw-a.key")},
	} {
		store, err := keys.Load(f)
		must(err)
		c, err := testkit.Dial("tcp", ln.Addr().String())
		must(err)
		secure := tls.Client(c, store.ClientConfig("gw-b"))
		buf, _ := linkwire.Append(nil, hello("gw-a"))
		_, _ = secure.Write(buf)
		_ = secure.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, err := linkwire.NewReader(secure).Next()
		if _, bye := got.(*linkwire.Bye); err == nil && !bye {
			t.Errorf("%s: let in with %+v", name, got)
		}
		c.Close()
	}
	if _, err := keys.Load(keys.Files{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "gw-old.pem"),
		Key: filepath.Join(dir, "gw-old.key")}); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("a certificate past its end: %v", err)
	}
}

// A near end closes links to a far gateway with an unexpected name, or which violates the protocol.
func TestFarLiar(t *testing.T) {
	ln := sites.Loopback(t)
	defer ln.Close()
	var mu sync.Mutex
	came := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			came++
			k := came
			mu.Unlock()
			switch k % 4 {
			case 0: // another gateway's name
				h := hello("gw-c")
				h.Crossings = 10
				buf, _ := linkwire.Append(nil, h)
				c.Write(buf)
			case 1:
				io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n\r\n")
			case 2: // an answer without an offer
				h := hello("gw-b")
				h.Crossings = 10
				buf, _ := linkwire.Append(nil, h)
				buf, _ = linkwire.Append(buf, &linkwire.Ended{Number: 5, Result: linkwire.Served, Size: 2,
					Body: []byte("no")})
				buf, _ = linkwire.Append(buf, &linkwire.Offer{Number: 1, MaxAttempts: 1, Class: "order",
					Effect: "single_shot", ID: "x", Method: "POST", Target: "/"})
				c.Write(buf)
			case 3:
				buf, _ := linkwire.Append(nil, &linkwire.Bye{Text: "go away"})
				c.Write(buf)
			}
			go func() { io.Copy(io.Discard, c); c.Close() }()
		}
	}()
	near := sites.Start(t, sites.Options{Operator: nearFile(t, ln.Addr().String(), "links = 1\n")})
	sites.Eventually(t, "each lie is told", func() bool { mu.Lock(); defer mu.Unlock(); return came >= 8 })
	if a := sites.Ask(context.Background(), near.Base, "order", 300*time.Millisecond, nil); a.Status == 200 {
		t.Errorf("served %q by a liar", a.Body)
	}
}
