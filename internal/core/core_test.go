package core

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/loss"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// fakeTransport records the attempts that it is given.
type fakeTransport struct {
	started []*Attempt
	err     error // returned by Start
}

type fakeEndpoint struct {
	t                   *fakeTransport
	dial                string
	idleClosed, retired int
}

func (f *fakeTransport) Endpoint(s *cluster.Server) Endpoint {
	return &fakeEndpoint{t: f, dial: s.Dial}
}
func (e *fakeEndpoint) Start(a *Attempt) error {
	e.t.started = append(e.t.started, a)
	return e.t.err
}
func (e *fakeEndpoint) CloseIdle() { e.idleClosed++ }
func (e *fakeEndpoint) Retire()    { e.retired++ }

// fakeRoster records the calls that it gets.
type fakeRoster struct {
	addr   string
	tell   func(Update)
	asked  []string
	closed bool
}

func (f *fakeRoster) Fetch(bool)        { f.asked = append(f.asked, "fetch") }
func (f *fakeRoster) Watch(int64, bool) { f.asked = append(f.asked, "watch") }
func (f *fakeRoster) Close()            { f.closed = true }

// harness is a core whose inputs a test handles one by one, without Run.
type harness struct {
	*Core
	transport *fakeTransport
	rosters   []*fakeRoster
}

func addr(i int) cluster.Addr { return cluster.Addr{byte(i)} }

func server(i int, dial string, health cluster.Health, born float64) cluster.Server {
	return cluster.Server{Dial: dial, Entry: cluster.Entry{Server: addr(i), Health: health, SinceMs: born, Weight: 1}}
}

func listOf(seq int64, complete bool, servers ...cluster.Server) cluster.List {
	return cluster.List{Seq: seq, Complete: complete, Servers: servers}
}

func newHarness(t *testing.T, servers ...cluster.Server) *harness {
	t.Helper()
	class := func(name string, effect settings.Idempotency) settings.Class {
		return settings.Class{Name: name, LatencyTargetMs: 20000, ClientTimeoutMs: 30000, Value: 1, Idempotency: effect,
			DedupScope: settings.DedupAll, DedupTTLMs: 20000}
	}
	set := settings.Settings{Membership: "pushed", Replicas: 1, RoundMs: 5, Weights: "nominal",
		Classes: []settings.Class{class("look", settings.Idempotent), class("send", settings.Deduplicated),
			class("order", settings.NonIdempotent)},
		Limits: settings.Limits{Cancellation: true, MaxAttempts: 3, MaxRetryAfterMs: 600, KeepaliveMs: 30000},
		Contract: settings.Contract{MaxPollIntervalMs: 10000, SlowStartFraction: 0.3, SlowStartMs: 8000, DrainGraceMs: 250,
			OverloadFactor: 2.5, OverloadAfterMs: 1000}}
	r := &harness{transport: &fakeTransport{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	r.Core, err = New(ctx, Options{Settings: set, Seed: 1, InitialList: listOf(1, true, servers...), MaxOpen: 100,
		QueueLength: 16,
		Transport:   r.transport, RosterAddr: "first", Log: slog.New(slog.DiscardHandler),
		NewRoster: func(addr string, tell func(Update)) Roster {
			f := &fakeRoster{addr: addr, tell: tell}
			r.rosters = append(r.rosters, f)
			return f
		}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// answerChannels maps each request of a test to the channel of its answer.
var answerChannels sync.Map

func answersTo(q *Request) chan Answer {
	c, _ := answerChannels.Load(q)
	return c.(chan Answer)
}

// startRequest starts a request as Do does.
func (r *harness) startRequest(class int, id string) *Request {
	q := &Request{ID: id, Class: class, Deadline: time.Now().Add(time.Hour)}
	answers := make(chan Answer, 1)
	q.reply = func(a Answer) { answers <- a }
	answerChannels.Store(q, answers)
	r.handle(input{kind: inRequest, req: q})
	return q
}

// mustAnswer returns the answer of a request, which must exist.
func mustAnswer(t *testing.T, q *Request) Answer {
	t.Helper()
	select {
	case a := <-answersTo(q):
		return a
	default:
		t.Fatal("no answer")
		return Answer{}
	}
}

// endAttempt ends an attempt as its transport would, and lets the core handle the result.
func (r *harness) endAttempt(a *Attempt, res Result) {
	a.End(res)
	r.handle(*<-r.inputs)
}

func (r *harness) sendUpdate(n Update) { r.handle(input{kind: inUpdate, update: n, gen: r.rosterGen}) }

// The core must not depend on a protocol.
func TestImportsNoHTTP(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Skip("no go command: ", err)
	}
	if bytes.Contains(out, []byte("net/http\n")) {
		t.Fatal("the core depends on net/http")
	}
}

// An attempt begins at most once, and can't be withdrawn after it began.
func TestAttemptBeginsOnce(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	defer a.Cancel(nil)
	if !a.Begin() || a.Begin() || a.Withdraw(nil) {
		t.Fatal("an attempt began twice or was withdrawn after it began")
	}
}

// The status of an attempt without an answer depends on its stage and on the cause.
func TestBroken(t *testing.T) {
	for _, c := range []struct {
		name  string
		begun bool
		cause error
		err   error
		cut   bool
		want  policy.Status
	}{
		{"not begun", false, nil, io.EOF, false, policy.ConnectFailed},
		{"no socket", false, nil, ErrNoSocket, false, policy.Full},
		{"drained before it began", false, ErrDrained, io.EOF, false, policy.Full},
		{"drained after it began", true, ErrDrained, io.EOF, false, policy.Timeout},
		{"cancelled", true, ErrCancelled, io.EOF, false, policy.Cancelled},
		{"incomplete request", true, nil, io.EOF, true, policy.ConnectFailed},
		{"timed out", true, context.DeadlineExceeded, io.EOF, false, policy.Timeout},
		{"broken", true, nil, io.EOF, false, policy.Reset},
	} {
		a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
		if c.begun {
			a.Begin()
		}
		if c.cause != nil {
			a.Cancel(c.cause)
		}
		if got := a.FailedResult(c.err, c.cut).Status; got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
		if a.Begin() {
			t.Errorf("%s: the attempt may begin after its end", c.name)
		}
		a.Cancel(nil)
	}
}

// An attempt does not begin after its latest start. It then never ran and is not retried.
func TestBeginAfterTimeLimit(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	a.beginBy = time.Now().Add(time.Hour)
	if !a.Begin() {
		t.Fatal("the attempt may not begin before its latest start")
	}
	late := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	late.beginBy = time.Now()
	if late.Begin() || late.FailedResult(io.EOF, false).Status != policy.Abandoned {
		t.Fatal("the attempt began after its latest start, or its status is wrong")
	}
}

// A request that earned less than its full value is reported, once none of its attempts is in flight, with the result
// of each attempt. Requests served in time are not reported, and none is without a ReportLoss function.
func TestLossRecords(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
	var got []loss.Record
	r.startRequest(2, "not reported")
	r.reportLoss = func(rec *loss.Record) { got = append(got, *rec) }
	done := func(id string, how ...Result) {
		t.Helper()
		from := len(r.transport.started)
		r.startRequest(2, id)
		for i, res := range how {
			a := r.transport.started[from+i]
			a.Begin()
			if res.Status == policy.Cancelled {
				a.Cancel(ErrCancelled)
			}
			r.endAttempt(a, res)
		}
	}
	done("in time", Result{Status: policy.OK})
	done("broken", Result{Status: policy.Error})
	done("retried", Result{Status: policy.Full}, Result{Status: policy.Timeout})
	if len(got) != 2 || got[0].Outcome != "failed" || loss.CauseOf(&got[0]) != loss.ErroredOnce || got[0].Value != got[1].Value ||
		loss.CauseOf(&got[1]) != loss.TimedOutOnce || len(got[1].Attempts) != 2 {
		t.Fatalf("%+v", got)
	}
	if how := got[1].Attempts[0].Ending; how != loss.Rejected || got[1].Attempts[0].Server == got[1].Attempts[1].Server ||
		got[0].Validate() != nil {
		t.Errorf("%+v", got[1])
	}
}

// A zone that becomes suspected is logged once, by its name, and the end of the suspicion is logged as well.
func TestSuspectedZonesAreLogged(t *testing.T) {
	r := newHarness(t)
	var lines strings.Builder
	r.log, r.zoneNames = slog.New(slog.NewTextHandler(&lines, nil)), map[string]int{"east": 0, "west": 1}
	r.reachability.Answered(0, 1)
	look := func(answered bool) {
		if answered {
			r.reachability.Answered(1, 2)
		}
		for range 3 {
			r.reachability.AddWaiting(1, 1, 4)
		}
		r.reachability.Evaluate(3, 100)
		r.handle(input{kind: inTimer})
	}
	for _, answered := range []bool{false, false, true} {
		look(answered)
	}
	for _, zone := range []int{0, 0, 0, 1, 1, 1} {
		r.reachability.AddWaiting(zone, 3, 4)
	}
	r.reachability.Evaluate(4, 100)
	r.handle(input{kind: inTimer})
	if got := lines.String(); strings.Count(got, "agent may be cut off from the network") != 1 ||
		strings.Count(got, "unreachable are used last") != 2 || !strings.Contains(got, "zones=[west]") ||
		!strings.Contains(got, "zones=[]") {
		t.Errorf("the log says %s", got)
	}
}

// An attempt that is withdrawn, or whose latest start passes, while its gate blocks does not begin even if the gate
// opens, and never ran. Neither does one whose gate returns false.
func TestSlowGate(t *testing.T) {
	for name, c := range map[string]struct {
		opens bool
		while func(a *Attempt)
		want  policy.Status
	}{
		"drained":  {true, func(a *Attempt) { a.Withdraw(ErrDrained) }, policy.Full},
		"too late": {true, func(a *Attempt) { a.beginBy = time.Now() }, policy.Abandoned},
		"closed":   {false, func(*Attempt) {}, policy.Abandoned},
		"open":     {true, func(*Attempt) {}, policy.Reset},
	} {
		var a *Attempt
		a = NewAttempt(t.Context(), &Request{Gate: func() bool { c.while(a); return c.opens }}, time.Hour,
			func(Result) {})
		if began := a.Begin(); began != (c.want == policy.Reset) {
			t.Errorf("%s: began %v", name, began)
		}
		if got := a.FailedResult(io.EOF, false).Status; got != c.want {
			t.Errorf("%s: wrong status %d", name, got)
		}
	}
}

// Do returns at the deadline even if Run never runs, and drops its request; a full queue
// does not delay it.
func TestDoReturnsWithoutRun(t *testing.T) {
	r := newHarness(t)
	for len(r.inputs) < cap(r.inputs)-1 {
		r.inputs <- &input{kind: inTimer}
	}
	if got := r.Do(t.Context(), &Request{ID: "a",
		Deadline: time.Now().Add(20 * time.Millisecond)}); got.Outcome != DeadlineExceeded {
		t.Fatalf("answered %+v", got)
	}
	for n := cap(r.inputs) - 1; n > 0; n-- {
		<-r.inputs
	}
	if first, second := <-r.inputs, <-r.inputs; first.kind != inRequest || second.kind != inDropped {
		t.Fatalf("the inputs are of kinds %d and %d, want a request and its drop", first.kind, second.kind)
	}
}

// Do returns at once when the client disconnects, and the attempt is cancelled.
func TestClientDisconnects(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan Answer)
	go func() { done <- r.Do(ctx, &Request{ID: "a", Class: 2, Deadline: time.Now().Add(time.Hour)}) }()
	r.handle(*<-r.inputs)
	a := r.transport.started[0]
	a.Begin()
	leave()
	if got := <-done; got.Outcome != ClientGone {
		t.Fatalf("answered %+v", got)
	}
	r.handle(*<-r.inputs)
	if context.Cause(a.Context()) != ErrCancelled {
		t.Fatal("the attempt was not cancelled")
	}
	r.endAttempt(a, a.FailedResult(io.EOF, false))
	if len(r.requests) != 0 || len(r.byAddr[addr(1)].attempts) != 0 {
		t.Fatal("the request or its attempt was not removed")
	}
}

// A panic affects only the input that caused it.
func TestPanicLosesOneInput(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	r.handle(input{kind: inRequest, req: nil})
	r.startRequest(0, "a")
	if len(r.transport.started) != 1 {
		t.Fatal("the request after a panic was not sent")
	}
}

// Each request gets exactly one final answer, even if an attempt ends later.
func TestSingleAnswer(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	q := r.startRequest(2, "a")
	a := r.transport.started[0]
	a.Begin()
	r.endAttempt(a, Result{Status: policy.OK, Body: []byte("done"), ContentType: "x"})
	if got := mustAnswer(t, q); got.Outcome != Served || string(got.Body) != "done" || got.ContentType != "x" {
		t.Fatalf("answered %+v", got)
	}
	if again := r.startRequest(2, "a"); mustAnswer(t, again).Outcome != Duplicate || len(r.transport.started) != 1 {
		t.Fatal("a duplicate id was sent")
	}
	late := r.startRequest(2, "b")
	r.handle(input{kind: inDropped, req: late})
	r.endAttempt(r.transport.started[1], Result{Status: policy.OK})
	if len(answersTo(late)) != 0 || len(r.requests) != 0 {
		t.Fatal("a request was answered after its client had disconnected, or was not removed")
	}
	lost := r.startRequest(2, "c")
	a = r.transport.started[2]
	a.Begin()
	r.endAttempt(a, a.FailedResult(io.EOF, false))
	if got := mustAnswer(t, lost); got.Outcome != Failed {
		t.Fatalf("a request that may have run was answered %+v", got)
	}
}

// Attempts that have not begun when their server drains end at once, in order, and their
// requests go to other servers. A later report of their transport changes nothing.
func TestDrainEndsWhatHasNotBegun(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	q := r.startRequest(2, "a")
	first := r.transport.started[0]
	r.sendUpdate(Update{Kind: Changed, List: listOf(2, false, server(1, "a", cluster.Draining, 0),
		server(2, "b", cluster.Ready, 0))})
	if first.Begin() || !errors.Is(context.Cause(first.Context()), ErrDrained) {
		t.Fatal("the attempt may still begin at the drained server")
	}
	if len(r.transport.started) != 2 || r.transport.started[1].backend.addr != addr(2) {
		t.Fatal("the request was not retried at the other server")
	}
	r.endAttempt(first, first.FailedResult(io.EOF, false))
	second := r.transport.started[1]
	second.Begin()
	r.endAttempt(second, Result{Status: policy.OK})
	if mustAnswer(t, q).Outcome != Served || len(r.backends) != 1 || len(r.requests) != 0 {
		t.Fatal("not served by the other server, or the first server or the request was not removed")
	}
}

// An excluded server gets no requests although the roster lists it as ready, now or later. When the exclusion ends it
// is used again, unless the roster lists it as draining.
func TestExclude(t *testing.T) {
	for _, many := range []bool{false, true} {
		r := newHarness(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
		if many {
			var err error
			if r.fleet, err = newFleetState(fleetOptions(), &r.set, 1, r.clock()); err != nil {
				t.Fatal(err)
			}
		}
		go r.Run()
		to := func() map[cluster.Addr]bool {
			r.Endpoints() // returns when all earlier inputs are handled
			r.mu.Lock()
			defer r.mu.Unlock()
			usable := map[cluster.Addr]bool{}
			for _, b := range r.backends {
				usable[b.addr] = b.usable
			}
			return usable
		}
		expectUsable := func(when string, want ...int) {
			t.Helper()
			usable := to()
			for i := 1; i <= 2; i++ {
				if usable[addr(i)] != slices.Contains(want, i) {
					t.Errorf("fleet %v, %s: %v, want %v", many, when, usable, want)
				}
			}
		}
		news := func(l cluster.List) {
			r.post(input{kind: inUpdate, update: Update{Kind: Changed, List: l}, gen: r.rosterGen})
		}
		r.Exclude([]cluster.Addr{addr(1)})
		expectUsable("server 1 excluded", 2)
		news(listOf(2, false, server(1, "a", cluster.Ready, 0)))
		expectUsable("listed as ready again", 2)
		news(listOf(3, true, server(1, "a", cluster.Ready, 5), server(2, "b", cluster.Ready, 0)))
		expectUsable("complete list with a new process", 2)
		r.Exclude(nil)
		expectUsable("no server excluded", 1, 2)
		news(listOf(4, false, server(2, "b", cluster.Draining, 0)))
		r.Exclude([]cluster.Addr{addr(2)})
		r.Exclude(nil)
		expectUsable("draining by the roster", 1)
		if k := r.Endpoints(); len(k.List.Servers) != 2 || k.List.Servers[0].Health != cluster.Ready {
			t.Errorf("the snapshot differs from the roster's list: %+v", k.List)
		}
	}
}

func fleetOptions() fleet.Options { o := fleet.Default(); o.Agents = 1; return o }

// An attempt for which Start returns an error has ended before any other input is handled, and never ran.
func TestStartError(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	r.transport.err = ErrNoSocket
	q := r.startRequest(2, "a")
	for range 1000 {
		if len(answersTo(q)) > 0 {
			break
		}
		r.handle(input{kind: inTimer, token: 1})
	}
	if got := len(r.transport.started); got < 1 || got > 3 {
		t.Fatalf("%d attempts", got)
	}
	for _, a := range r.transport.started {
		if a.Begin() || a.Context().Err() == nil || !a.ended {
			t.Fatal("an attempt has not ended")
		}
	}
}

// A probe is sent once as a request without an id, the Decider gets its result, and the probe
// of a drained server is cancelled.
func TestProbes(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	r.probe(addr(1))
	r.probe(addr(2)) // not listed: ends at once
	r.handle(input{kind: inTimer})
	if len(r.transport.started) != 1 {
		t.Fatalf("%d probes sent", len(r.transport.started))
	}
	a := r.transport.started[0]
	if a.Request.ID != "" || a.Request.Message.Target != probeTarget || a.Deadline().IsZero() {
		t.Fatalf("sent %+v", a.Request)
	}
	a.Begin()
	r.endAttempt(a, Result{Status: policy.OK})
	b := r.byAddr[addr(1)]
	if len(b.probes) != 0 || len(b.attempts) != 0 {
		t.Fatal("the probe was not removed")
	}
	r.probe(addr(1))
	r.sendUpdate(Update{Kind: Changed, List: listOf(2, false, server(1, "a", cluster.Draining, 0))})
	if second := r.transport.started[1]; second.Begin() || !errors.Is(context.Cause(second.Context()), ErrDrained) {
		t.Fatal("the probe of a drained server was not cancelled")
	}
}

// Fetches that the Balancer requests after failures are not made, whether a watch is running or scheduled: the
// fetches of all agents would overload the roster.
func TestFailuresCauseNoFetch(t *testing.T) {
	for _, watching := range []bool{true, false} {
		r := newHarness(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
		if !watching {
			r.sendUpdate(Update{Kind: WatchEnded, Err: errors.New("overbooked")})
		}
		asked := len(r.rosters[0].asked)
		r.actions = append(r.actions[:0], policy.Action{Kind: policy.ActFetch}, policy.Action{Kind: policy.ActFetch})
		r.execute()
		if got := r.rosters[0].asked[asked:]; len(got) != 0 {
			t.Errorf("watching %v: unexpected calls %q", watching, got)
		}
	}
}

// Lists apply in the order of their versions, from fetches and watches alike.
func TestListOrder(t *testing.T) {
	r := newHarness(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
	usable := func(i int) bool { b := r.byAddr[addr(i)]; return b != nil && b.usable }
	r.sendUpdate(Update{Kind: Changed, List: listOf(5, false, server(0, "a", cluster.Draining, 0))})
	if usable(0) || !usable(1) {
		t.Fatal("the change of version 5 was not applied")
	}
	ready := server(0, "a", cluster.Ready, 0)
	r.sendUpdate(Update{Kind: Changed, List: listOf(4, false, ready)})
	r.sendUpdate(Update{Kind: Fetched, List: listOf(3, true, ready)})
	if usable(0) || !usable(1) {
		t.Fatal("an older version was applied")
	}
	r.sendUpdate(Update{Kind: Fetched, List: listOf(6, true, ready)})
	if !usable(0) || usable(1) || r.seq != 6 {
		t.Fatal("the complete list of version 6 was not applied")
	}
	if len(r.backends) != 1 || len(r.byAddr) != 1 {
		t.Fatalf("%d servers kept, one is listed", len(r.backends))
	}
	r.sendUpdate(Update{Kind: Changed, List: listOf(7, false, server(0, "", cluster.Gone, 0))})
	if len(r.backends) != 0 || r.Ready() {
		t.Fatal("the removed server was kept")
	}
}

// A new process or address of a server gets new connections; the server's state is kept.
func TestNewProcessNewConnections(t *testing.T) {
	r := newHarness(t, server(0, "a", cluster.Ready, 0))
	b := r.byAddr[addr(0)]
	before := b.endpoint.(*fakeEndpoint)
	r.sendUpdate(Update{Kind: Changed, List: listOf(2, false, server(0, "a", cluster.Ready, 0))})
	if b.endpoint != before {
		t.Fatal("connections were closed although nothing changed")
	}
	r.startRequest(2, "a")
	waits := r.transport.started[0]
	for i, s := range []cluster.Server{server(0, "b", cluster.Ready, 0), server(0, "b", cluster.Ready, 7)} {
		r.sendUpdate(Update{Kind: Changed, List: listOf(int64(3+i), false, s)})
		now := b.endpoint.(*fakeEndpoint)
		if r.byAddr[addr(0)] != b || now == before || now.dial != s.Dial || before.retired != 1 {
			t.Fatal("the old connections were kept")
		}
		before = now
	}
	if !errors.Is(context.Cause(waits.Context()), ErrDrained) || waits.Begin() {
		t.Fatal("an attempt that had not begun may still begin at the old address")
	}
}

// A machine that is gone answers on none of its connections: after a time-out the idle
// connections to it are closed.
func TestTimeoutDropsIdle(t *testing.T) {
	r := newHarness(t, server(0, "a", cluster.Ready, 0))
	r.startRequest(2, "a")
	a := r.transport.started[0]
	a.Begin()
	r.endAttempt(a, Result{Status: policy.Timeout})
	if n := r.byAddr[addr(0)].endpoint.(*fakeEndpoint).idleClosed; n != 1 {
		t.Fatalf("idle connections closed %d times", n)
	}
}

// A new roster is watched and fetched from at once. Late updates of the old one are ignored, the
// new one's versions may be lower, and servers stay known in the meantime.
func TestSwitchRoster(t *testing.T) {
	r := newHarness(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
	r.seq = 41
	before := r.byAddr[addr(0)].endpoint
	r.handle(input{kind: inSwitchRoster, addr: "second"})
	old, next := r.rosters[0], r.rosters[1]
	if !old.closed || next.addr != "second" || len(next.asked) != 2 {
		t.Fatalf("calls to the new roster: %v", next.asked)
	}
	drains := server(0, "a", cluster.Draining, 0)
	old.tell(Update{Kind: Changed, List: listOf(42, false, drains)})
	old.tell(Update{Kind: WatchEnded, Err: io.EOF})
	old.tell(Update{Kind: Fetched, List: listOf(42, true, drains)})
	for range 3 {
		r.handle(*<-r.inputs)
	}
	if !r.watching || !r.byAddr[addr(0)].usable || r.byAddr[addr(0)].endpoint != before {
		t.Fatal("a late update of the old roster was applied")
	}
	next.tell(Update{Kind: Changed, List: listOf(3, false, drains)})
	r.handle(*<-r.inputs)
	if r.byAddr[addr(0)] != nil || r.seq != 3 {
		t.Fatal("the update of the new roster was not applied")
	}
	if r.handle(input{kind: inSwitchRoster, addr: "second"}); len(r.rosters) != 2 {
		t.Fatal("the same roster was taken for a new one")
	}
}

// A load report with a missing or invalid value is rejected completely.
func TestReport(t *testing.T) {
	got := report("TEXT util=0.61, qps=7, eps=0, other=x", []string{"qps", "util", "eps"})
	if len(got) != 3 || got[0] != 7 || got[1] != 0.61 || got[2] != 0 {
		t.Fatalf("got %v", got)
	}
	for _, bad := range []string{"", "JSON {}", "TEXT qps=much, util=1", "TEXT qps=1", "TEXT qps=NaN, util=1",
		"TEXT qps=+Inf, util=1", "TEXT qps=-1, util=1", "TEXT qps=1, qps=2, util=1", "TEXT qps, util=1"} {
		if got := report(bad, []string{"qps", "util"}); got != nil {
			t.Fatalf("%q gave %v", bad, got)
		}
	}
}

// Ids are remembered for the retention time and removed afterwards.
func TestIDExpiry(t *testing.T) {
	m, now := newIDSet(time.Second), time.Now()
	if !m.add("a", now) || m.add("a", now.Add(900*time.Millisecond)) || m.add("a", now.Add(1500*time.Millisecond)) {
		t.Fatal("a known id was taken for new")
	}
	if !m.add("b", now.Add(2*time.Second)) || !m.add("a", now.Add(4*time.Second)) || len(m.recent)+len(m.older) > 2 {
		t.Fatal("an expired id was kept")
	}
}

// Any load report yields either all requested values, each finite and not negative, or nil.
func FuzzReport(f *testing.F) {
	for _, text := range []string{"TEXT qps=1, util=0.5", "TEXT qps=1e39, util=1", "TEXT util=-0,qps=0x1p4",
		"TEXT ,=,qps", "qps=1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := report(text, []string{"qps", "util"})
		if got != nil && len(got) != 2 {
			t.Fatalf("%d values", len(got))
		}
		for _, x := range got {
			if !(x >= 0) || math.IsInf(float64(x), 0) {
				t.Fatalf("%q gave %v", text, got)
			}
		}
	})
}

// After a request passed to Take is dropped, done is called once, when none of its attempts is in
// flight. Its gate decides whether an attempt begins, and MaxAttempts limits its attempts.
func TestTakeAndDrop(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
	open := true
	var answers []Answer
	take := func(id string, tries int) (*Request, func()) {
		q := &Request{ID: id, Class: 2, Deadline: time.Now().Add(time.Hour), MaxAttempts: tries, Deduplicated: true,
			Gate: func() bool { return open }}
		drop := r.Take(q, func(a Answer) { answers = append(answers, a) })
		r.handle(*<-r.inputs)
		return q, func() { drop(); r.handle(*<-r.inputs) }
	}
	_, drop := take("a", 0)
	a := r.transport.started[0]
	if !a.Begin() || a.AttemptsLeft != 3 {
		t.Fatalf("the attempt does not begin with an open gate, or %d attempts are left, want 3", a.AttemptsLeft)
	}
	drop()
	if len(answers) != 0 {
		t.Fatalf("answered %+v while an attempt is in flight", answers)
	}
	r.endAttempt(a, a.FailedResult(io.EOF, false))
	if len(answers) != 1 || answers[0].Outcome != ClientGone || !answers[0].Ran || answers[0].Attempts != 1 {
		t.Fatalf("answered %+v at the end of the attempt", answers)
	}
	answers, open = nil, false
	_, _ = take("a", 1) // the same id again: Deduplicated is set
	a = r.transport.started[1]
	if a.Begin() || a.AttemptsLeft != 1 {
		t.Fatalf("the attempt begins with a closed gate, or %d attempts are left, want 1", a.AttemptsLeft)
	}
	r.endAttempt(a, a.FailedResult(io.EOF, false))
	if len(answers) != 1 || answers[0].Ran || answers[0].Outcome != Refused {
		t.Fatalf("a request that never ran was answered %+v", answers)
	}
	answers, open = nil, true
	_, _ = take("b", 3)
	a = r.transport.started[2]
	a.Begin()
	r.endAttempt(a, Result{Status: policy.Full, ExtraAttempts: 2}) // a gateway made three attempts of it
	if len(answers) != 1 || answers[0].Outcome != Refused || answers[0].Attempts != 3 || len(r.transport.started) != 3 {
		t.Fatalf("answered %+v after the maximum number of attempts", answers)
	}
}

// An answer that arrives at the deadline, or as the client disconnects, is returned: an answered
// request never counts as DeadlineExceeded or ClientGone.
func TestAnswerWinsOverTimeout(t *testing.T) {
	r := newHarness(t)
	go r.Run()
	for !r.running.Load() {
		runtime.Gosched()
	}
	gone, leave := context.WithCancel(t.Context())
	leave()
	for i := range 200 {
		ctx, left := t.Context(), time.Duration(0) // the guard is due at once
		if i%2 == 1 {
			ctx, left = gone, time.Hour
		}
		q := &Request{ID: strconv.Itoa(i), Deadline: time.Now().Add(left)}
		r.mu.Lock()
		r.ids.add(q.ID, time.Now()) // a duplicate, which is answered at once
		r.mu.Unlock()
		if got := r.Do(ctx, q); got.Outcome != Duplicate {
			t.Fatalf("request %d: %+v", i, got)
		}
	}
}

// The time-out sent to a server is the attempt's time left less the time for the way back. With less than
// a millisecond for the server the attempt is withdrawn and never ran.
func TestServerTimeout(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	if left, ok := a.ServerTimeout(10 * time.Minute); !ok || left > 50*time.Minute || left < 49*time.Minute ||
		!a.Begin() {
		t.Errorf("server time-out %v, %v", left, ok)
	}
	late := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	late.deadline = time.Now().Add(900 * time.Microsecond)
	if _, ok := late.ServerTimeout(0); ok || late.Begin() ||
		late.FailedResult(io.EOF, false).Status != policy.Abandoned {
		t.Error("the attempt may begin with no time left, or its status is wrong")
	}
}

// If the settings forbid cancelling, an attempt that has begun continues, and OnAbandoned is called once
// when its request is over. It is not called for a cancelled attempt.
func TestOnAbandoned(t *testing.T) { synctest.Test(t, testOnAbandoned) }

func testOnAbandoned(t *testing.T) {
	r := newHarness(t, server(1, "a", cluster.Ready, 0))
	called := make(chan int, 9)
	for i, c := range []struct{ begun, cancelled bool }{{true, false}, {true, true}} {
		q := r.startRequest(2, strconv.Itoa(i))
		a := r.transport.started[len(r.transport.started)-1]
		a.OnAbandoned = func() { called <- i }
		if c.begun {
			a.Begin()
		}
		if c.cancelled {
			a.Cancel(ErrCancelled)
		}
		q.answered = true
		r.stopUnsent(q)
		q.answered = false
		r.pending = nil
	}
	synctest.Wait()
	if got := <-called; got != 0 {
		t.Errorf("OnAbandoned was called for attempt %d, want 0", got)
	}
	if len(called) != 0 {
		t.Errorf("OnAbandoned was called for attempt %d as well", <-called)
	}
}

// A second process that restores a snapshot knows the same ids, including those recorded after the snapshot,
// and each id expires in time.
func TestIDHandover(t *testing.T) {
	set := settings.Settings{Classes: []settings.Class{{ClientTimeoutMs: 1000}}}
	old, next, at := NewIDs(&set), NewIDs(&set), time.Now()
	for _, id := range []string{"a", "b", "a-longer-id-of-more-than-eight"} {
		old.add(id, at)
	}
	at = at.Add(2 * time.Second)
	old.add("c", at)
	next.Restore(old.Copy(at), at)
	old.add("d", at)
	next.AddHashes(old.TakeRecorded(), at)
	for _, id := range []string{"a", "b", "a-longer-id-of-more-than-eight", "c", "d"} {
		if next.add(id, at) {
			t.Errorf("%q is new to the second process", id)
		}
	}
	if !next.add("e", at) || !next.add("a-longer-id-of-more-than-eighu", at) || len(old.TakeRecorded()) != 0 {
		t.Error("an id that was never added is known, or a hash was recorded twice")
	}
	old.StopRecording()
	if old.add("f", at); len(old.TakeRecorded()) != 0 {
		t.Error("an id was recorded after StopRecording")
	}
	next.add("g", at.Add(3*time.Second))
	if !next.add("a", at.Add(6*time.Second)) {
		t.Error("an id did not expire")
	}
}
