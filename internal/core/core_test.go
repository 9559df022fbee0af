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

// fakeTransport holds what it was told to carry.
type fakeTransport struct {
	started []*Attempt
	err     error // why nothing can be carried
}

type fakeEndpoint struct {
	t                *fakeTransport
	dial             string
	idleShut, retire int
}

func (f *fakeTransport) Endpoint(s *cluster.Server) Endpoint {
	return &fakeEndpoint{t: f, dial: s.Dial}
}
func (e *fakeEndpoint) Start(a *Attempt) error {
	e.t.started = append(e.t.started, a)
	return e.t.err
}
func (e *fakeEndpoint) CloseIdle() { e.idleShut++ }
func (e *fakeEndpoint) Retire()    { e.retire++ }

// fakeRoster notes what it is asked.
type fakeRoster struct {
	addr   string
	tell   func(News)
	asked  []string
	closed bool
}

func (f *fakeRoster) Fetch(bool)        { f.asked = append(f.asked, "fetch") }
func (f *fakeRoster) Watch(int64, bool) { f.asked = append(f.asked, "watch") }
func (f *fakeRoster) Close()            { f.closed = true }

// rig is a core that a test drives by hand; Run does not run.
type rig struct {
	*Core
	transport *fakeTransport
	rosters   []*fakeRoster
}

func addr(i int) cluster.Addr { return cluster.Addr{byte(i)} }

func server(i int, dial string, health cluster.Health, born float64) cluster.Server {
	return cluster.Server{Dial: dial, Entry: cluster.Entry{Server: addr(i), Health: health, SinceMs: born, Weight: 1}}
}

func listOf(seq int64, whole bool, servers ...cluster.Server) cluster.List {
	return cluster.List{Seq: seq, Complete: whole, Servers: servers}
}

func newRig(t *testing.T, servers ...cluster.Server) *rig {
	t.Helper()
	class := func(name string, effect settings.Effect) settings.Class {
		return settings.Class{Name: name, AimMs: 20000, GiveUpMs: 30000, Credit: 1, Effect: effect, Group: settings.GroupAll, KeyTTLMs: 20000}
	}
	set := settings.Settings{Membership: "pushed", Replicas: 1, RoundMs: 5, Weights: "nominal",
		Classes: []settings.Class{class("look", settings.Free), class("send", settings.Guarded), class("order", settings.SingleShot)},
		Limits:  settings.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 600, KeepaliveMs: 30000},
		Contract: settings.Contract{AskWithinMs: 10000, ColdFrom: 0.3, ColdMs: 8000, DrainGraceMs: 250,
			FallMultiple: 2.5, TipAfterMs: 1000}}
	r := &rig{transport: &fakeTransport{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	r.Core, err = New(ctx, Options{Settings: set, Seed: 1, Known: listOf(1, true, servers...), MaxOpen: 100, Queue: 16,
		Transport: r.transport, RosterAddr: "first", Log: slog.New(slog.DiscardHandler),
		NewRoster: func(addr string, tell func(News)) Roster {
			f := &fakeRoster{addr: addr, tell: tell}
			r.rosters = append(r.rosters, f)
			return f
		}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// answersOf holds where the answers to the tests' requests come.
var answersOf sync.Map

func answers(q *Request) chan Answer {
	c, _ := answersOf.Load(q)
	return c.(chan Answer)
}

// ask takes a request as Do does.
func (r *rig) ask(class int, id string) *Request {
	q := &Request{ID: id, Class: class, Deadline: time.Now().Add(time.Hour)}
	answers := make(chan Answer, 1)
	q.reply = func(a Answer) { answers <- a }
	answersOf.Store(q, answers)
	r.handle(input{kind: inRequest, req: q})
	return q
}

// told is the answer that a request has; there must be one.
func told(t *testing.T, q *Request) Answer {
	t.Helper()
	select {
	case a := <-answers(q):
		return a
	default:
		t.Fatal("no answer")
		return Answer{}
	}
}

// end lets an attempt end as its transport would, and the core hear of it.
func (r *rig) end(a *Attempt, res Result) {
	a.End(res)
	r.handle(*<-r.in)
}

func (r *rig) news(n News) { r.handle(input{kind: inNews, news: n, gen: r.rosterGen}) }

// The core speaks no protocol.
func TestImportsNoHTTP(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Skip("no go command: ", err)
	}
	if bytes.Contains(out, []byte("net/http\n")) {
		t.Fatal("the core depends on net/http")
	}
}

// An attempt goes out once, and what began is not withdrawn.
func TestAttemptBeginsOnce(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	defer a.Cancel(nil)
	if !a.Begin() || a.Begin() || a.Withdraw(nil) {
		t.Fatal("an attempt began twice or was withdrawn after it began")
	}
}

// What an attempt that got no answer says of itself, by its stage and the cause.
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
		{"cut", true, nil, io.EOF, true, policy.ConnectFailed},
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
		if got := a.Broken(c.err, c.cut).Status; got != c.want {
			t.Errorf("%s: ended %d, want %d", c.name, got, c.want)
		}
		if a.Begin() {
			t.Errorf("%s: a byte may still go out after the end", c.name)
		}
		a.Cancel(nil)
	}
}

// A repeat that may begin for a while only does not begin after it, never ran, and is of
// no use for a further try.
func TestLapsed(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	a.lapses = time.Now().Add(time.Hour)
	if !a.Begin() {
		t.Fatal("may not begin in time")
	}
	late := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	late.lapses = time.Now()
	if late.Begin() || late.Broken(io.EOF, false).Status != policy.Moot {
		t.Fatal("began after its time")
	}
}

// The account has a request that earned less than it could, once nothing of it is out, with what became of each of its
// attempts; none that was served in time, and none where nobody wants it.
func TestAccount(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
	var got []loss.Record
	r.ask(2, "nobody wants it")
	r.account = func(rec *loss.Record) { got = append(got, *rec) }
	done := func(id string, how ...Result) {
		t.Helper()
		from := len(r.transport.started)
		r.ask(2, id)
		for i, res := range how {
			a := r.transport.started[from+i]
			a.Begin()
			if res.Status == policy.Cancelled {
				a.Cancel(ErrCancelled)
			}
			r.end(a, res)
		}
	}
	done("in time", Result{Status: policy.OK})
	done("broken", Result{Status: policy.Error})
	done("elsewhere", Result{Status: policy.Full}, Result{Status: policy.Timeout})
	if len(got) != 2 || got[0].Outcome != "failed" || loss.Of(&got[0]) != loss.Struck || got[0].Worth != got[1].Worth || loss.Of(&got[1]) != loss.Unreached || len(got[1].Tries) != 2 {
		t.Fatalf("%+v", got)
	}
	if how := got[1].Tries[0].How; how != loss.Full || got[1].Tries[0].Server == got[1].Tries[1].Server || got[0].Valid() != nil {
		t.Errorf("%+v", got[1])
	}
}

// A zone that the module comes to doubt is told once, by its name, and again when it is doubted no more.
func TestDoubtsAreTold(t *testing.T) {
	r := newRig(t)
	var lines strings.Builder
	r.log, r.zoneNames = slog.New(slog.NewTextHandler(&lines, nil)), map[string]int{"east": 0, "west": 1}
	r.reach.Answered(0, 1)
	look := func(answered bool) {
		if answered {
			r.reach.Answered(1, 2)
		}
		for range 3 {
			r.reach.AddWaiting(1, 1, 4)
		}
		r.reach.Evaluate(3, 100)
		r.handle(input{kind: inTimer})
	}
	for _, answered := range []bool{false, false, true} {
		look(answered)
	}
	for _, zone := range []int{0, 0, 0, 1, 1, 1} {
		r.reach.AddWaiting(zone, 3, 4)
	}
	r.reach.Evaluate(4, 100)
	r.handle(input{kind: inTimer})
	if got := lines.String(); strings.Count(got, "own way may be cut") != 1 || strings.Count(got, "come last") != 2 || !strings.Contains(got, "zones=[west]") || !strings.Contains(got, "zones=[]") {
		t.Errorf("the log says %s", got)
	}
}

// A gate takes its time: what is withdrawn meanwhile, or lapses, does not begin though the gate opens in the end, and
// never ran; a gate that stays shut keeps it in.
func TestGateTakesItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		opens bool
		while func(a *Attempt)
		want  policy.Status
	}{
		"drained":  {true, func(a *Attempt) { a.Withdraw(ErrDrained) }, policy.Full},
		"lapsed":   {true, func(a *Attempt) { a.lapses = time.Now() }, policy.Moot},
		"shut":     {false, func(*Attempt) {}, policy.Moot},
		"and open": {true, func(*Attempt) {}, policy.Reset},
	} {
		var a *Attempt
		a = NewAttempt(t.Context(), &Request{Gate: func() bool { c.while(a); return c.opens }}, time.Hour, func(Result) {})
		if began := a.Begin(); began != (c.want == policy.Reset) {
			t.Errorf("%s: began %v", name, began)
		}
		if got := a.Broken(io.EOF, false).Status; got != c.want {
			t.Errorf("%s: it ended %d", name, got)
		}
	}
}

// The last guard answers should Run never do, and its request is given up; a full queue
// does not hold the answer back.
func TestGuard(t *testing.T) {
	r := newRig(t)
	for len(r.in) < cap(r.in)-1 {
		r.in <- &input{kind: inTimer}
	}
	if got := r.Do(t.Context(), &Request{ID: "a", Deadline: time.Now().Add(20 * time.Millisecond)}); got.Outcome != Overdue {
		t.Fatalf("answered %+v", got)
	}
	for n := cap(r.in) - 1; n > 0; n-- {
		<-r.in
	}
	if first, second := <-r.in, <-r.in; first.kind != inRequest || second.kind != inDropped {
		t.Fatalf("the core was told %d, %d", first.kind, second.kind)
	}
}

// Do returns at once when the client leaves, and the attempt is given up.
func TestClientLeaves(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan Answer)
	go func() { done <- r.Do(ctx, &Request{ID: "a", Class: 2, Deadline: time.Now().Add(time.Hour)}) }()
	r.handle(*<-r.in)
	a := r.transport.started[0]
	a.Begin()
	leave()
	if got := <-done; got.Outcome != Gone {
		t.Fatalf("answered %+v", got)
	}
	r.handle(*<-r.in)
	if context.Cause(a.Context()) != ErrCancelled {
		t.Fatal("its attempt goes on")
	}
	r.end(a, a.Broken(io.EOF, false))
	if len(r.requests) != 0 || len(r.byAddr[addr(1)].attempts) != 0 {
		t.Fatal("something of the request is left")
	}
}

// A panic costs its one input.
func TestPanic(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	r.handle(input{kind: inRequest, req: nil})
	r.ask(0, "a")
	if len(r.transport.started) != 1 {
		t.Fatal("nothing goes on after a panic")
	}
}

// One final answer each, also where the outcome comes after it.
func TestOneAnswer(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	q := r.ask(2, "a")
	a := r.transport.started[0]
	a.Begin()
	r.end(a, Result{Status: policy.OK, Body: []byte("done"), ContentType: "x"})
	if got := told(t, q); got.Outcome != Served || string(got.Body) != "done" || got.ContentType != "x" {
		t.Fatalf("answered %+v", got)
	}
	if again := r.ask(2, "a"); told(t, again).Outcome != Repeated || len(r.transport.started) != 1 {
		t.Fatal("an id that came before was sent again")
	}
	late := r.ask(2, "b")
	r.handle(input{kind: inDropped, req: late})
	r.end(r.transport.started[1], Result{Status: policy.OK})
	if len(answers(late)) != 0 || len(r.requests) != 0 {
		t.Fatal("an answer after its client had left")
	}
	lost := r.ask(2, "c")
	a = r.transport.started[2]
	a.Begin()
	r.end(a, a.Broken(io.EOF, false))
	if got := told(t, lost); got.Outcome != Failed {
		t.Fatalf("what may have run was answered %+v", got)
	}
}

// A drained server is sent nothing that had not begun: those attempts end at once, in
// their order, and go elsewhere; what their transport tells later changes nothing.
func TestDrainEndsWhatHasNotBegun(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	q := r.ask(2, "a")
	first := r.transport.started[0]
	r.news(News{Kind: Changed, List: listOf(2, false, server(1, "a", cluster.Draining, 0), server(2, "b", cluster.Ready, 0))})
	if first.Begin() || !errors.Is(context.Cause(first.Context()), ErrDrained) {
		t.Fatal("the attempt may still go to the drained server")
	}
	if len(r.transport.started) != 2 || r.transport.started[1].backend.addr != addr(2) {
		t.Fatal("it did not go on to the other server")
	}
	r.end(first, first.Broken(io.EOF, false))
	second := r.transport.started[1]
	second.Begin()
	r.end(second, Result{Status: policy.OK})
	if told(t, q).Outcome != Served || len(r.backends) != 1 || len(r.requests) != 0 {
		t.Fatal("not served by the other, or something is left of the first")
	}
}

// A server that is to be left alone gets nothing, though the roster calls it ready; what it lists later changes nothing
// in that; it is sent to again when it may be, unless the roster's word stands against it.
func TestLeftAlone(t *testing.T) {
	for _, many := range []bool{false, true} {
		r := newRig(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
		if many {
			var err error
			if r.part, err = newPart(fleetOptions(), &r.set, 1, r.clock()); err != nil {
				t.Fatal(err)
			}
		}
		go r.Run()
		to := func() map[cluster.Addr]bool {
			r.Known() // what came before has been handled
			r.mu.Lock()
			defer r.mu.Unlock()
			usable := map[cluster.Addr]bool{}
			for _, b := range r.backends {
				usable[b.addr] = b.usable
			}
			return usable
		}
		holds := func(when string, want ...int) {
			t.Helper()
			usable := to()
			for i := 1; i <= 2; i++ {
				if usable[addr(i)] != slices.Contains(want, i) {
					t.Errorf("fleet %v, %s: %v, want %v", many, when, usable, want)
				}
			}
		}
		news := func(l cluster.List) {
			r.post(input{kind: inNews, news: News{Kind: Changed, List: l}, gen: r.rosterGen})
		}
		r.LeaveAlone([]cluster.Addr{addr(1)})
		holds("one is left alone", 2)
		news(listOf(2, false, server(1, "a", cluster.Ready, 0)))
		holds("the roster says again that it is ready", 2)
		news(listOf(3, true, server(1, "a", cluster.Ready, 5), server(2, "b", cluster.Ready, 0)))
		holds("a whole list has it as another process", 2)
		r.LeaveAlone(nil)
		holds("nobody is", 1, 2)
		news(listOf(4, false, server(2, "b", cluster.Draining, 0)))
		r.LeaveAlone([]cluster.Addr{addr(2)})
		r.LeaveAlone(nil)
		holds("the roster's drain holds beside", 1)
		if k := r.Known(); len(k.List.Servers) != 2 || k.List.Servers[0].Health != cluster.Ready {
			t.Errorf("what is told of the list is not the roster's: %+v", k.List)
		}
	}
}

func fleetOptions() fleet.Options { o := fleet.Default(); o.Agents = 1; return o }

// What can't be carried has ended before anything else happens, and never ran.
func TestNotCarried(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	r.transport.err = ErrNoSocket
	q := r.ask(2, "a")
	for range 1000 {
		if len(answers(q)) > 0 {
			break
		}
		r.handle(input{kind: inTimer, token: 1})
	}
	if got := len(r.transport.started); got < 1 || got > 3 {
		t.Fatalf("%d attempts", got)
	}
	for _, a := range r.transport.started {
		if a.Begin() || a.Context().Err() == nil || !a.ended {
			t.Fatal("an attempt goes on")
		}
	}
}

// A probe goes out once as a request without an id, the module hears how it ended, and a
// drained server's is given up.
func TestProbes(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	r.probe(addr(1))
	r.probe(addr(2)) // not listed: told at once
	r.handle(input{kind: inTimer})
	if len(r.transport.started) != 1 {
		t.Fatalf("%d probes sent", len(r.transport.started))
	}
	a := r.transport.started[0]
	if a.Request.ID != "" || a.Request.Message.Target != probeTarget || a.Deadline().IsZero() {
		t.Fatalf("sent %+v", a.Request)
	}
	a.Begin()
	r.end(a, Result{Status: policy.OK})
	b := r.byAddr[addr(1)]
	if len(b.probes) != 0 || len(b.attempts) != 0 {
		t.Fatal("a probe is left")
	}
	r.probe(addr(1))
	r.news(News{Kind: Changed, List: listOf(2, false, server(1, "a", cluster.Draining, 0))})
	if second := r.transport.started[1]; second.Begin() || !errors.Is(context.Cause(second.Context()), ErrDrained) {
		t.Fatal("a drained server is probed")
	}
}

// A fleet whose servers fail asks its roster for nothing but the watches: one each, whatever the
// Balancer wishes to be refreshed, and none beside one that is out or due.
func TestFailuresAskTheRosterForNothing(t *testing.T) {
	for _, watching := range []bool{true, false} {
		r := newRig(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
		if !watching {
			r.news(News{Kind: WatchEnded, Err: errors.New("overbooked")})
		}
		asked := len(r.rosters[0].asked)
		r.actions = append(r.actions[:0], policy.Action{Kind: policy.ActFetch}, policy.Action{Kind: policy.ActFetch})
		r.act()
		if got := r.rosters[0].asked[asked:]; len(got) != 0 {
			t.Errorf("watched %v: it was asked %q", watching, got)
		}
	}
}

// Lists apply in the order of their versions, whichever way they come.
func TestListOrder(t *testing.T) {
	r := newRig(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
	usable := func(i int) bool { b := r.byAddr[addr(i)]; return b != nil && b.usable }
	r.news(News{Kind: Changed, List: listOf(5, false, server(0, "a", cluster.Draining, 0))})
	if usable(0) || !usable(1) {
		t.Fatal("the change of version 5 was not applied")
	}
	ready := server(0, "a", cluster.Ready, 0)
	r.news(News{Kind: Changed, List: listOf(4, false, ready)})
	r.news(News{Kind: Fetched, List: listOf(3, true, ready)})
	if usable(0) || !usable(1) {
		t.Fatal("an older version was applied")
	}
	r.news(News{Kind: Fetched, List: listOf(6, true, ready)})
	if !usable(0) || usable(1) || r.seq != 6 {
		t.Fatal("the whole list of version 6 was not applied")
	}
	if len(r.backends) != 1 || len(r.byAddr) != 1 {
		t.Fatalf("%d servers kept, one is listed", len(r.backends))
	}
	r.news(News{Kind: Changed, List: listOf(7, false, server(0, "", cluster.Gone, 0))})
	if len(r.backends) != 0 || r.Ready() {
		t.Fatal("the server that is gone was kept")
	}
}

// A new process or address gets new connections; the server stays the same.
func TestNewProcessNewConnections(t *testing.T) {
	r := newRig(t, server(0, "a", cluster.Ready, 0))
	b := r.byAddr[addr(0)]
	before := b.endpoint.(*fakeEndpoint)
	r.news(News{Kind: Changed, List: listOf(2, false, server(0, "a", cluster.Ready, 0))})
	if b.endpoint != before {
		t.Fatal("connections thrown away though nothing changed")
	}
	r.ask(2, "a")
	waits := r.transport.started[0]
	for i, s := range []cluster.Server{server(0, "b", cluster.Ready, 0), server(0, "b", cluster.Ready, 7)} {
		r.news(News{Kind: Changed, List: listOf(int64(3+i), false, s)})
		now := b.endpoint.(*fakeEndpoint)
		if r.byAddr[addr(0)] != b || now == before || now.dial != s.Dial || before.retire != 1 {
			t.Fatal("the old connections were kept")
		}
		before = now
	}
	if !errors.Is(context.Cause(waits.Context()), ErrDrained) || waits.Begin() {
		t.Fatal("an attempt that had not begun may still go to the old address")
	}
}

// A machine that vanished is silent on all its connections: after a time-out none that
// stands idle is used again.
func TestTimeoutDropsIdle(t *testing.T) {
	r := newRig(t, server(0, "a", cluster.Ready, 0))
	r.ask(2, "a")
	a := r.transport.started[0]
	a.Begin()
	r.end(a, Result{Status: policy.Timeout})
	if n := r.byAddr[addr(0)].endpoint.(*fakeEndpoint).idleShut; n != 1 {
		t.Fatalf("idle connections closed %d times", n)
	}
}

// A new roster is watched and asked at once, late words of the old one change nothing,
// and its versions may start lower. Servers stay known meanwhile.
func TestTurnTo(t *testing.T) {
	r := newRig(t, server(0, "a", cluster.Ready, 0), server(1, "b", cluster.Ready, 0))
	r.seq = 41
	before := r.byAddr[addr(0)].endpoint
	r.handle(input{kind: inTurn, addr: "second"})
	old, next := r.rosters[0], r.rosters[1]
	if !old.closed || next.addr != "second" || len(next.asked) != 2 {
		t.Fatalf("asked %v", next.asked)
	}
	drains := server(0, "a", cluster.Draining, 0)
	old.tell(News{Kind: Changed, List: listOf(42, false, drains)})
	old.tell(News{Kind: WatchEnded, Err: io.EOF})
	old.tell(News{Kind: Fetched, List: listOf(42, true, drains)})
	for range 3 {
		r.handle(*<-r.in)
	}
	if !r.watching || !r.byAddr[addr(0)].usable || r.byAddr[addr(0)].endpoint != before {
		t.Fatal("a late word of the old roster counted")
	}
	next.tell(News{Kind: Changed, List: listOf(3, false, drains)})
	r.handle(*<-r.in)
	if r.byAddr[addr(0)] != nil || r.seq != 3 {
		t.Fatal("the new roster was not heard")
	}
	if r.handle(input{kind: inTurn, addr: "second"}); len(r.rosters) != 2 {
		t.Fatal("the same roster was taken for a new one")
	}
}

// A load report is believed whole or not at all.
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

// Ids are forgotten in time, but not before.
func TestIDMemory(t *testing.T) {
	m, now := newIDMemory(time.Second), time.Now()
	if !m.add("a", now) || m.add("a", now.Add(900*time.Millisecond)) || m.add("a", now.Add(1500*time.Millisecond)) {
		t.Fatal("an id that is known was taken for new")
	}
	if !m.add("b", now.Add(2*time.Second)) || !m.add("a", now.Add(4*time.Second)) || len(m.now)+len(m.before) > 2 {
		t.Fatal("an old id was kept")
	}
}

// Whatever a server says of its load is all of the values that were asked for, each finite
// and not negative, or nothing.
func FuzzReport(f *testing.F) {
	for _, text := range []string{"TEXT qps=1, util=0.5", "TEXT qps=1e39, util=1", "TEXT util=-0,qps=0x1p4", "TEXT ,=,qps", "qps=1"} {
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

// A request that was taken and dropped is told so when nothing of it is out any more, and
// once; its gate has the last word on every first byte, and its attempts are its own number.
func TestTake(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0), server(2, "b", cluster.Ready, 0))
	open := true
	var told []Answer
	take := func(id string, tries int) (*Request, func()) {
		q := &Request{ID: id, Class: 2, Deadline: time.Now().Add(time.Hour), Tries: tries, Crossed: true, Gate: func() bool { return open }}
		drop := r.Take(q, func(a Answer) { told = append(told, a) })
		r.handle(*<-r.in)
		return q, func() { drop(); r.handle(*<-r.in) }
	}
	_, drop := take("a", 0)
	a := r.transport.started[0]
	if !a.Begin() || a.Left != 3 {
		t.Fatalf("an open gate holds it, or %d attempts are left", a.Left)
	}
	drop()
	if len(told) != 0 {
		t.Fatalf("told %+v while an attempt is out", told)
	}
	r.end(a, a.Broken(io.EOF, false))
	if len(told) != 1 || told[0].Outcome != Gone || !told[0].Ran || told[0].Attempts != 1 {
		t.Fatalf("told %+v at its end", told)
	}
	told, open = nil, false
	_, _ = take("a", 1) // the same id again: who brings it knows
	a = r.transport.started[1]
	if a.Begin() || a.Left != 1 {
		t.Fatalf("a closed gate lets it out, or %d attempts are left", a.Left)
	}
	r.end(a, a.Broken(io.EOF, false))
	if len(told) != 1 || told[0].Ran || told[0].Outcome != Refused {
		t.Fatalf("told %+v of what never ran", told)
	}
	told, open = nil, true
	_, _ = take("b", 3)
	a = r.transport.started[2]
	a.Begin()
	r.end(a, Result{Status: policy.Full, Spent: 2}) // a gateway made three attempts of it
	if len(told) != 1 || told[0].Outcome != Refused || told[0].Attempts != 3 || len(r.transport.started) != 3 {
		t.Fatalf("told %+v after as many attempts as there may be", told)
	}
}

// What is known when the time is up or the client leaves in the same moment is told: no request that
// was answered counts as overdue or gone.
func TestKnownAnswersAreTold(t *testing.T) {
	r := newRig(t)
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
		r.ids.add(q.ID, time.Now()) // it came before: answered as it comes
		r.mu.Unlock()
		if got := r.Do(ctx, q); got.Outcome != Repeated {
			t.Fatalf("try %d: %+v", i, got)
		}
	}
}

// A server is told less than the attempt's time by the way back; with less than a millisecond for it
// the attempt is withdrawn, and never ran.
func TestTell(t *testing.T) {
	a := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	if left, ok := a.Tell(10 * time.Minute); !ok || left > 50*time.Minute || left < 49*time.Minute || !a.Begin() {
		t.Errorf("told %v, %v", left, ok)
	}
	late := NewAttempt(t.Context(), &Request{}, time.Hour, func(Result) {})
	late.deadline = time.Now().Add(900 * time.Microsecond)
	if _, ok := late.Tell(0); ok || late.Begin() || late.Broken(io.EOF, false).Status != policy.Moot {
		t.Error("something may be written with no time left")
	}
}

// Where cancels are not allowed, what has begun goes on, and its transport is told once that nobody
// waits; what it was cancelled for or has ended is not.
func TestUnwanted(t *testing.T) { synctest.Test(t, unwanted) }

func unwanted(t *testing.T) {
	r := newRig(t, server(1, "a", cluster.Ready, 0))
	told := make(chan int, 9)
	for i, c := range []struct{ begun, cancelled bool }{{true, false}, {true, true}} {
		q := r.ask(2, strconv.Itoa(i))
		a := r.transport.started[len(r.transport.started)-1]
		a.Unwanted = func() { told <- i }
		if c.begun {
			a.Begin()
		}
		if c.cancelled {
			a.Cancel(ErrCancelled)
		}
		q.answered = true
		r.unsend(q)
		q.answered = false
		r.todo = nil
	}
	synctest.Wait()
	if got := <-told; got != 0 {
		t.Errorf("attempt %d is told that nobody waits", got)
	}
	if len(told) != 0 {
		t.Errorf("attempt %d too", <-told)
	}
}

// What one process knows of ids another knows too, also what is noted after it was copied; and each
// is forgotten in its time.
func TestIDsOfAnotherProcess(t *testing.T) {
	set := settings.Settings{Classes: []settings.Class{{GiveUpMs: 1000}}}
	old, next, at := NewIDs(&set), NewIDs(&set), time.Now()
	for _, id := range []string{"a", "b", "a-longer-id-of-more-than-eight"} {
		old.add(id, at)
	}
	at = at.Add(2 * time.Second)
	old.add("c", at)
	next.Adopt(old.Copy(at), at)
	old.add("d", at)
	next.Note(old.Since(), at)
	for _, id := range []string{"a", "b", "a-longer-id-of-more-than-eight", "c", "d"} {
		if next.add(id, at) {
			t.Errorf("%q is new to the second process", id)
		}
	}
	if !next.add("e", at) || !next.add("a-longer-id-of-more-than-eighu", at) || len(old.Since()) != 0 {
		t.Error("what nobody has sent is known")
	}
	old.Unfollow()
	if old.add("f", at); len(old.Since()) != 0 {
		t.Error("noted for nobody")
	}
	next.add("g", at.Add(3*time.Second))
	if !next.add("a", at.Add(6*time.Second)) {
		t.Error("known for ever")
	}
}
