package live

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/model"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/scenario"
)

// TestMain runs the test binary as a faulty agent if LAB_AGENT is set.
func TestMain(m *testing.M) {
	switch os.Getenv("LAB_AGENT") {
	case "dies":
		os.Stderr.WriteString("what a pity\n")
		os.Exit(7)
	case "hangs":
		time.Sleep(time.Minute)
	case "garbage":
		serveGarbage()
	default:
		os.Exit(m.Run())
	}
}

// serveGarbage is an agent that reports ready and answers every other request with garbage.
func serveGarbage() {
	text, _ := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	var c struct{ Listen string }
	json.Unmarshal(text, &c)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		os.Exit(1)
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && req.URL.Path == "/ready" {
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
				return
			}
			conn.Write([]byte("\x00\x01what?\r\n\r\n"))
		}()
	}
}

// smallScenario returns a scenario of a few seconds.
func smallScenario(t *testing.T, rate string, events string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("small.toml", []byte(`version = 1
length = "2500ms"
zones = ["a", "b"]
limits = {sockets = 512}
roster = {notice = "100ms", silent = "300ms"}
rules = {cold = "1s"}
[[server]]
kind = "s"
count = 4
slots = 4
queue = 20
[[class]]
name = "look"
work = "8ms"
aim = "200ms"
effect = "safe"
[[class]]
name = "order"
work = "12ms"
aim = "300ms"
effect = "unsafe"
[[portal]]
agents = 2
retries = 1
backoff = "20ms"
rate = `+rate+"\n"+events))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Every kind of event runs over real sockets without a violated rule, and worth is close to that of the
// model.
func TestEventsLive(t *testing.T) {
	s := smallScenario(t, "200.0", `
[[event]]
at = "400ms"
kind = "crash"
server = "s-1"
for = "300ms"
[[event]]
at = "400ms"
kind = "fail"
server = "s-2"
share = 0.5
for = "500ms"
[[event]]
at = "600ms"
kind = "vanish"
server = "s-3"
for = "500ms"
[[event]]
at = "700ms"
kind = "replace"
server = "s-4"
[[event]]
at = "900ms"
kind = "restart-agents"
rate = 4.0
[[event]]
at = "1500ms"
kind = "kill-agents"
share = 0.5
[[event]]
at = "1600ms"
kind = "link-stalled"
zone = "a"
with = "b"
for = "200ms"
[[event]]
at = "1700ms"
kind = "roster-down"
for = "200ms"
[[event]]
at = "1800ms"
kind = "slow"
server = "s-1"
factor = 3.0
[[event]]
at = "1900ms"
kind = "drain"
server = "s-2"
for = "200ms"
`)
	var played *world
	r, err := Play(t.Context(), s, Options{Seed: 1, beforeStart: func(w *world) { played = w }})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if t.Failed() {
			played.mu.Lock()
			defer played.mu.Unlock()
			t.Logf("what became of agents:\n%s", strings.Join(played.agentHistory, "\n"))
		}
	}()
	m, err := model.Play(s, model.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("worth %.3f live, %.3f in the model", r.Worth, m.Worth)
	if r.Void != "" {
		t.Logf("it does not count: %s", r.Void) // violations by late messages do not count either
		for _, b := range r.Broken {
			if b.Rule == "an effect twice" {
				t.Error(b)
			}
		}
		return
	}
	if r.Breaches > 0 || math.Abs(r.Worth-m.Worth) > 0.15 || r.Served == 0 || len(r.Servers) != 5 {
		t.Errorf("%d breaches: %+v", r.Breaches, r.Broken)
	}
}

// An agent that exits, never becomes ready or answers garbage is reported.
func TestBadAgents(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for how, want := range map[string]string{"dies": `ended before it was ready: "what a pity"`, "hangs": "not ready after"} {
		t.Setenv("LAB_AGENT", how)
		if _, err := Play(t.Context(), smallScenario(t, "20.0", ""), Options{Seed: 1, Binary: self, ready: 400 * time.Millisecond}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", how, err)
		}
	}
	t.Setenv("LAB_AGENT", "garbage")
	r, err := Play(t.Context(), smallScenario(t, "20.0", ""), Options{Seed: 1, Binary: self})
	if err != nil || r.Served != 0 || r.Lost == 0 || r.Breaches < r.Lost {
		t.Errorf("garbage: %+v, %v", r, err)
	}
	if _, err := Play(t.Context(), smallScenario(t, "20.0", ""), Options{Chooser: "random", Binary: self}); err == nil {
		t.Error("a chooser was accepted for a process")
	}
	if _, err := Play(t.Context(), smallScenario(t, "20.0", ""), Options{Binary: "/nowhere"}); err == nil {
		t.Error("a missing binary was accepted")
	}
}

// A cancelled play returns the results so far, and leaves no goroutine and no open port.
func TestCancelledRun(t *testing.T) {
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(t.Context())
	var dial string
	r, err := Play(ctx, smallScenario(t, "200.0", ""), Options{Seed: 1, beforeStart: func(w *world) {
		dial = w.servers[0].dial
		time.AfterFunc(500*time.Millisecond, cancel)
	}})
	if !errors.Is(err, context.Canceled) || r == nil || r.Served == 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	if c, err := net.Dial("tcp", dial); err == nil {
		c.Close()
		t.Error("a server still listens")
	}
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before+2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// A play whose generator or fake servers were late is marked as void.
func TestLateRunsAreVoid(t *testing.T) {
	s := smallScenario(t, "200.0", "")
	r, err := Play(t.Context(), s, Options{Seed: 1, Tick: func(float64) { time.Sleep(100 * time.Millisecond) }})
	if err != nil || !strings.Contains(r.Void, "the generator was late") {
		t.Errorf("%q, %v", r.Void, err)
	}
	if got := voidReason(0.5, 30, 200); !strings.Contains(got, "a stand-in was late") {
		t.Errorf("said %q", got)
	}
	if got := voidReason(3.9, 3.9, 200); got != "" {
		t.Errorf("said %q", got)
	}
	if _, err := Play(t.Context(), smallScenario(t, "9000.0", ""), Options{}); err == nil {
		t.Error("a rate above the limit was accepted")
	}
}

// Baselines and the oracle can play over sockets.
func TestChoosersLive(t *testing.T) {
	for _, c := range []string{"peak-ewma", "oracle"} {
		s := smallScenario(t, "100.0", "")
		if err := s.Set("length", 1); err != nil {
			t.Fatal(err)
		}
		if r, err := Play(t.Context(), s, Options{Seed: 1, Chooser: c}); err != nil || r.Void == "" && (r.Breaches > 0 || r.Worth < 0.9) {
			t.Errorf("%s: %+v, %v", c, r, err)
		}
	}
}

// An attempt at a silent server ends when its client gives up, so the next attempt does not count as a
// second one at once.
func TestSilentAttemptEnds(t *testing.T) {
	ended := make(chan bool, 1)
	_, err := Play(t.Context(), smallScenario(t, "20.0", ""), Options{Seed: 1, beforeStart: func(w *world) {
		k := &clientRequest{Request: measure.Request{ID: "x", Deadline: 1e6}}
		w.mu.Lock()
		w.requests["x"] = k
		timelineHost{w}.StopServer(0, true)
		dial := w.servers[0].dial
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dial+"/look/u1", nil)
		req.Header.Set("Request-Id", "x")
		http.DefaultClient.Do(req)
		over := func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(k.attempts) == 1 && k.attempts[0].finished }
		for end := time.Now().Add(5 * time.Second); !over() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		ended <- over()
	}})
	if err != nil || !<-ended {
		t.Errorf("the attempt does not end: %v", err)
	}
}

// A request whose connection its agent closed at the same time is sent once more, on a new connection:
// another idle connection may be closing just as well.
func TestLostConnectionIsRetriedOnANewOne(t *testing.T) {
	s := smallScenario(t, "20.0", "")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	story := make(chan string, 1)
	_, err := Play(ctx, s, Options{Seed: 1, beforeStart: func(w *world) {
		defer cancel() // nothing else is asked
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Error(err)
			return
		}
		var both sync.WaitGroup // the first two connections are asked at once, so that both are kept
		both.Add(2)
		var came atomic.Int32
		host := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/keep" {
				both.Done()
				both.Wait()
				return
			}
			if kept, _ := r.Context().Value(connUseKey{}).(bool); kept {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(rw, r.Header.Get("Request-Id"), " x")
		}), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connUseKey{}, came.Add(1) <= 2)
		}}
		go host.Serve(ln)
		defer host.Close()
		a := &agentRun{name: "one that ends", listen: ln.Addr().String(), base: "http://" + ln.Addr().String(), client: newClient(s)}
		var asked sync.WaitGroup
		for range 2 {
			asked.Go(func() {
				if resp, err := a.client.Get(a.base + "/keep"); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
		asked.Wait()
		ask := slices.IndexFunc(w.plan, func(p law.Request) bool { return w.s.Classes[p.Class].Effect == "unsafe" && p.LeavesAfter == 0 })
		i := w.plan[ask].Agent
		w.mu.Lock()
		now := w.agents[i]
		w.agents[i] = a
		w.mu.Unlock()
		w.wg.Add(1)
		w.sendRequest(t.Context(), ask, 7)
		a.client.CloseIdleConnections()
		w.mu.Lock()
		w.agents[i] = now
		k := w.requests[fmt.Sprint("r", ask, ".7")]
		story <- k.Outcome.String() + ": " + k.History()
		w.mu.Unlock()
	}})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if s := <-story; !strings.HasPrefix(s, "served") || strings.Count(s, "asked once more") != 1 {
		t.Error(s)
	}
}

// proxyInTurn returns an address whose first connection is forwarded to the first listener, the second to
// the second one.
func proxyInTurn(t *testing.T, to ...string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for _, to := range to {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go func() { io.Copy(out, in); out.Close() }()
			go func() { io.Copy(in, out); in.Close() }()
		}
	}()
	return ln.Addr().String()
}

// A request that a killed agent had accepted is not sent again as if only its connection had been closed,
// also if its client still used the previous run of the agent at the same address.
func TestRequestOfKilledAgentIsNotResent(t *testing.T) {
	type came struct {
		sent    int
		outcome measure.Outcome
		story   string
	}
	told := make(chan came, 1)
	s := smallScenario(t, "20.0", "")
	for k := range s.Classes {
		s.Classes[k].GiveUp = scenario.Duration(20 * time.Second)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := Play(ctx, s, Options{Seed: 1, beforeStart: func(w *world) {
		defer cancel() // nothing else is asked
		ask := slices.IndexFunc(w.plan, func(p law.Request) bool { return w.s.Classes[p.Class].Effect == "unsafe" && p.LeavesAfter == 0 })
		i := int(w.plan[ask].Agent)
		w.mu.Lock()
		for n := range w.servers { // long enough for the kill to come first
			timelineHost{w}.AddFault(n, station.Fault{Slow: 1000, Until: 60000})
		}
		now := w.agents[i]
		before := &agentRun{name: "the run before", listen: now.listen, base: "http://" + proxyInTurn(t, now.listen, w.agents[1-i].listen), client: newClient(w.s)}
		w.agents[i] = before
		w.mu.Unlock()
		defer before.client.CloseIdleConnections()
		w.wg.Add(1)
		ended := make(chan struct{})
		go func() { defer close(ended); w.sendRequest(t.Context(), ask, 7) }()
		look := func() (c came) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if k := w.requests[fmt.Sprint("r", ask, ".7")]; k != nil {
				c = came{k.Attempts, k.Outcome, k.History()}
			}
			return c
		}
		for end := time.Now().Add(5 * time.Second); look().sent == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		w.mu.Lock()
		w.agents[i] = now
		timelineHost{w}.RestartAgent(i, true)
		w.mu.Unlock()
		<-ended
		told <- look()
	}})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if c := <-told; c.sent != 1 || c.outcome != measure.Gone {
		t.Errorf("sent %d times, %v: %s", c.sent, c.outcome, c.story)
	}
}
