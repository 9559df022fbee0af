package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/process/config"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit"
)

func parse(t testing.TB, c map[string]any) *config.Config {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	out, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// start serves an agent until the test ends; stop shuts it down as SIGTERM does.
func start(t *testing.T, c map[string]any) (a *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	return startOn(t, c, Network{})
}

func startOn(t *testing.T, c map[string]any, network Network) (a *Agent, base string, stop func(), ended chan error) {
	t.Helper()
	a, err := New(parse(t, c), operator.Default(), network, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	base, stop, ended = serveOn(t, a)
	return a, base, stop, ended
}

// serveOn serves an agent on loopback until the test ends.
func serveOn(t *testing.T, a *Agent) (base string, stop func(), ended chan error) {
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
	return "http://" + ln.Addr().String(), stop, ended
}

// countingBackend starts a backend that answers each request with status and sends its id to came.
func countingBackend(t *testing.T, status int, notStarted bool) (addr string, came chan string) {
	came = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("Request-Id")
		if notStarted {
			w.Header().Set("Not-Started", "1")
		}
		w.WriteHeader(status)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), came
}

// unusedRegistry is a registry address that is never asked: lists are pushed in these settings.
const unusedRegistry = "127.0.0.1:1"

func TestRequestsAreServed(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	_, base, _, _ := start(t, testkit.Config(unusedRegistry, addr))
	for _, class := range []string{"look", "send", "order"} {
		if status, body, _ := testkit.Do(t, testkit.Call(base, class)); status != 200 || body != "done" {
			t.Fatalf("%s: got %d %q", class, status, body)
		}
	}
	ready, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
	if status, _, _ := testkit.Do(t, ready); status != 200 {
		t.Fatalf("/ready: %d", status)
	}
}

// A request that may have run is retried only where its class allows it. A request that was rejected may be sent
// to another backend in any class.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		class      string
		status     int
		notStarted bool
		attempts   int
		answer     int
	}{
		{"order", 500, false, 1, http.StatusBadGateway},
		{"order", 503, false, 1, http.StatusBadGateway},
		{"order", 503, true, 3, http.StatusServiceUnavailable},
		{"send", 500, false, 3, http.StatusServiceUnavailable},
		{"look", 503, false, 3, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(c.class, c.status, c.notStarted), func(t *testing.T) {
			var addrs []string
			var came []chan string
			for range 5 {
				addr, ids := countingBackend(t, c.status, c.notStarted)
				addrs, came = append(addrs, addr), append(came, ids)
			}
			_, base, _, _ := start(t, testkit.Config(unusedRegistry, addrs...))
			status, _, head := testkit.Do(t, testkit.Call(base, c.class))
			if status != c.answer {
				t.Errorf("answered %d, want %d", status, c.answer)
			}
			wait, err := strconv.ParseFloat(head.Get("Retry-After"), 64)
			if want := status == http.StatusServiceUnavailable; (err == nil && wait >= 0.3 && wait <= 0.6) != want {
				t.Errorf("Retry-After %q with %d", head.Get("Retry-After"), status)
			}
			attempts := 0
			for _, ids := range came {
				attempts += len(ids) // each was counted before it was answered
			}
			if attempts != c.attempts {
				t.Errorf("%d attempts, want %d", attempts, c.attempts)
			}
		})
	}
}

// A truncated answer of a backend is not forwarded, not even in part.
func TestTruncatedAnswerFails(t *testing.T) {
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")
		}
	})
	_, base, _, _ := start(t, testkit.Config(unusedRegistry, addr))
	if status, body, _ := testkit.Do(t, testkit.Call(base, "order")); status != http.StatusBadGateway || body != "" {
		t.Fatalf("got %d %q", status, body)
	}
}

// Requests over the number of client connections are refused at once. Requests that waited for a connection would
// be lost.
func TestMoreRequestsThanConnections(t *testing.T) {
	release := make(chan struct{})
	open := sync.OnceFunc(func() { close(release) })
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	t.Cleanup(open) // before the backend closes, also when the test fails
	c := testkit.Config(unusedRegistry, s.Listener.Addr().String())
	c["limits"].(map[string]any)["sockets"] = config.MinSockets
	_, base, _, _ := start(t, c)
	const over = 20
	asked := maxOpenRequests(config.MinSockets) + over
	if asked <= clientSockets(config.MinSockets) {
		t.Fatal("too few requests: all fit into the client connections")
	}
	answers := make(chan int, asked)
	for range asked {
		go func() {
			// A connection that is silent for 30 ms, as on a busy machine, may be closed. Its client sends the
			// request again; one that had been accepted would get 409.
			call := testkit.Call(base, "order")
			resp, err := new(http.Transport).RoundTrip(call)
			for again := 0; err != nil && again < 20; again++ {
				same := testkit.Call(base, "order")
				same.Header.Set("Request-Id", call.Header.Get("Request-Id"))
				resp, err = new(http.Transport).RoundTrip(same)
			}
			if err != nil {
				t.Error(err)
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	soon := time.After(10 * time.Second) // the policy's own time-out is 15 s here
	for range over {
		select {
		case status := <-answers:
			if status != http.StatusServiceUnavailable {
				t.Errorf("answered %d while the backend holds all, want 503", status)
			}
		case <-soon:
			t.Fatal("not refused at once")
		}
	}
	open()
	for range asked - over {
		if status := <-answers; status != 200 {
			t.Errorf("answered %d, want 200", status)
		}
	}
}

// The attempt of a client that has disconnected is cancelled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	addr := testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err != nil {
			return
		}
		close(got)
		r.ReadByte()
		close(ended)
	})
	_, base, _, _ := start(t, testkit.Config(unusedRegistry, addr))
	ctx, cancel := context.WithCancel(context.Background())
	go testkit.Client.Do(testkit.Call(base, "order").WithContext(ctx))
	<-got
	cancel()
	<-ended
}

// A client disconnects while it receives an answer without Content-Length, from a server that has stopped sending.
// The attempt ends with the client, not with the server's time-out.
func TestClientDisconnectsDuringAnswer(t *testing.T) {
	ended := make(chan struct{})
	_, base, _, _ := start(t, testkit.Config(unusedRegistry, testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe first part")
		io.Copy(io.Discard, r)
		close(ended)
	})))
	resp, err := testkit.Client.Do(testkit.Call(base, "look"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	left := time.Now()
	resp.Body.Close()
	select {
	case <-ended:
		if took := time.Since(left); took > 4*time.Second { // the server's time-out ends it after five
			t.Error("the attempt went on for", took)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the attempt goes on")
	}
}

const change = `{"seq":2,"whole":false,"hosts":[{"host":"s-0","dial":"127.0.0.1:1","health":"draining"}]}`

// After a watch of the registry ends, the next one is started.
func TestEndedWatchIsRestarted(t *testing.T) {
	asked := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		fmt.Fprintln(w, change)
	}))
	t.Cleanup(s.Close)
	c := testkit.Config(s.Listener.Addr().String(), "127.0.0.1:1")
	set := c["settings"].(map[string]any)
	set["membershipMode"] = "on_request"
	set["contract"].(map[string]any)["askWithinMs"] = 10
	start(t, c)
	if q := <-asked; q != "follow=1&since=1" {
		t.Fatalf("asked %q", q)
	}
	if q := <-asked; q != "follow=1&since=2" {
		t.Fatalf("asked again %q", q)
	}
}

// A server that starts draining while the agent connects to it gets no request; the request goes to another.
func TestDrainWhileDialling(t *testing.T) {
	good, came := countingBackend(t, 200, false)
	release := make(chan struct{})
	lines := make(chan string, 1)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case line := <-lines:
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
			<-release
		case <-release:
		}
	}))
	t.Cleanup(list.Close)
	t.Cleanup(func() { close(release) })
	c := testkit.Config(list.Listener.Addr().String(), "127.0.0.1:1")
	set := c["settings"].(map[string]any)
	set["membershipMode"] = "on_request"
	set["contract"].(map[string]any)["askWithinMs"] = 10
	dialling := make(chan struct{})
	_, base, _, _ := startOn(t, c, Network{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr != "127.0.0.1:1" {
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		close(dialling)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	answered := make(chan int, 1)
	go func() {
		resp, err := testkit.Client.Do(testkit.Call(base, "order"))
		if err != nil {
			t.Error(err)
			close(answered)
			return
		}
		answered <- resp.StatusCode
	}()
	<-dialling
	text, _ := json.Marshal(map[string]any{"seq": 2, "hosts": []any{testkit.Host(0, "127.0.0.1:1", "draining"), testkit.Host(1, good, "ready")}})
	lines <- string(text)
	if status := <-answered; status != 200 {
		t.Fatalf("answered %d", status)
	}
	<-came
}

// A second request with the id of an open one is refused, and the first is sent once.
func TestIDOfAnOpenRequest(t *testing.T) {
	got, release := make(chan string, 10), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get("Request-Id")
		<-release
	}))
	t.Cleanup(s.Close)
	_, base, _, _ := start(t, testkit.Config(unusedRegistry, s.Listener.Addr().String()))
	first, again := testkit.Call(base, "order"), testkit.Call(base, "order")
	again.Header.Set("Request-Id", first.Header.Get("Request-Id"))
	served := make(chan int, 1)
	go func() {
		resp, err := new(http.Transport).RoundTrip(first)
		if err != nil {
			t.Error(err)
			close(served)
			return
		}
		served <- resp.StatusCode
	}()
	<-got
	if status, _, _ := testkit.Do(t, again); status != http.StatusConflict {
		t.Errorf("answered %d", status)
	}
	close(release)
	if status := <-served; status != 200 || len(got) > 0 {
		t.Errorf("the first was answered %d; %d more attempts", status, len(got))
	}
}

// Clients are served at all listeners, and all listeners close with the agent.
func TestSeveralListeners(t *testing.T) {
	addr, _ := countingBackend(t, 200, false)
	a, err := New(parse(t, testkit.Config(unusedRegistry, addr)), operator.Default(), Network{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	path := t.TempDir() + "/s"
	var all []net.Listener
	for _, at := range [][2]string{{"tcp", "127.0.0.1:0"}, {"tcp", "127.0.0.1:0"}, {"unix", path}} {
		ln, err := net.Listen(at[0], at[1])
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, ln)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.Serve(ctx, all...) }()
	for _, ln := range all {
		client := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			return testkit.Dial(ln.Addr().Network(), ln.Addr().String())
		}}
		resp, err := client.RoundTrip(testkit.Call("http://agent", "order"))
		if err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: %v, %v", ln.Addr(), resp, err)
			continue
		}
		resp.Body.Close()
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, ln := range all {
		if c, err := testkit.Dial(ln.Addr().Network(), ln.Addr().String()); err == nil {
			c.Close()
			t.Errorf("%s still listens", ln.Addr())
		}
	}
}
