package policy

import (
	"testing"
	"time"

	"molepaddle/internal/decide/settings"
)

func (r *harness) mustSendIncomplete(class int) (RequestID, Action) {
	r.t.Helper()
	r.id++
	a := find(r.handle(Event{Kind: EvRequest, Request: r.id, Class: class, LeftMs: 500_000, BodyIncomplete: true}), ActSend)
	if a == nil {
		r.t.Fatal("not sent")
	}
	return r.id, *a
}

// A request body that takes minutes to arrive uses none of its server's capacity and doesn't make the server
// unresponsive; the request's time begins with the last byte.
func TestIncompleteBodies(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	var ids []RequestID
	for range 50 { // far more than the server's window
		id, _ := r.mustSendIncomplete(1)
		ids = append(ids, id)
	}
	for range 200 {
		r.now += 100
		if a := find(r.tick(0), ActFail); a != nil {
			t.Fatal("failed while its body was incomplete:", a)
		}
		id, s := r.mustSend(0, 0)
		r.outcome(id, 0, s, OK, 20)
	}
	if s := r.b.servers[0]; s.state != Connected || len(s.inFlight) != 0 {
		t.Fatalf("state %d, %d attempts in flight", s.state, len(s.inFlight))
	}
	r.handle(Event{Kind: EvBodyComplete, Request: ids[0], Attempt: 0, LeftMs: 600})
	if s := r.b.servers[0]; len(s.inFlight) != 1 || r.b.inFlight != 1 {
		t.Fatalf("with the complete body: %d in flight at the server, %d in all", len(s.inFlight), r.b.inFlight)
	}
	if q := r.b.requests[ids[0]]; q.targetAt != r.now+300 || q.deadline != r.now+595 {
		t.Errorf("latency target in %v ms, deadline in %v ms", q.targetAt-r.now, q.deadline-r.now)
	}
	r.handle(Event{Kind: EvBodyComplete, Request: ids[0], Attempt: 0, LeftMs: 600}) // a repetition is ignored
	r.outcome(ids[0], 0, r.b.servers[0].id, OK, 30)
	if r.b.inFlight != 0 || r.b.requests[ids[0]] != nil {
		t.Error("the end of the attempt was not counted exactly once")
	}
}

// A request with an incomplete body has not run: it is retried while the body can still be sent from its start,
// and refused once a part is lost, which shows as spent attempts. With a complete body it is treated like any
// other request of its class.
func TestUnfinishedBodiesHaveNotRun(t *testing.T) {
	for _, c := range []struct {
		class    int
		complete bool
		spent    int
		want     ActionKind
	}{
		{1, false, 0, ActSend}, {1, false, 3, ActRefuse}, {1, true, 3, ActFail},
		{0, false, 3, ActRefuse}, {2, false, 3, ActRefuse}, {2, true, 3, ActFail},
	} {
		set := testSettings()
		set.Classes[2].DedupScope = settings.DedupCell
		r := newHarness(t, set, 5)
		id, a := r.mustSendIncomplete(c.class)
		st := ConnectFailed
		if c.complete {
			r.handle(Event{Kind: EvBodyComplete, Request: id, LeftMs: 600})
			st = Reset
		}
		got := r.handle(Event{Kind: EvOutcome, Request: id, Server: a.Server, Status: st, Attempts: c.spent})
		if find(got, c.want) == nil {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

// An answer that is relayed slowly uses none of its server's capacity, and its request causes no further
// actions.
func TestAnswersRelayed(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	for range 40 {
		id, _ := r.mustSend(0, 0)
		r.now += 20
		r.handle(Event{Kind: EvStarted, Request: id})
	}
	for range 100 {
		if got := r.tick(100); find(got, ActCancel) != nil || find(got, ActFail) != nil || find(got, ActRefuse) != nil {
			t.Fatalf("%+v", got)
		}
	}
	s := r.b.servers[0]
	if s.state > Unknown || len(s.inFlight) != 0 || r.b.inFlight != 0 {
		t.Fatalf("state %d, %d attempts in flight", s.state, len(s.inFlight))
	}
	if got := r.outcome(1, 0, s.id, Reset, 20); find(got, ActSend) != nil || find(got, ActFail) != nil {
		t.Errorf("after a broken answer: %+v", got)
	}
}

// Long answers that begin in time count as in time, however late they end, and don't close the throttle.
func TestAnswersRelayedInTimeCount(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	for i := range 40 {
		id, s := r.mustSend(0, 0)
		r.now += 20
		r.handle(Event{Kind: EvStarted, Request: id})
		r.now += 2000
		r.outcome(id, 0, s, OK, 20)
		r.now -= 1990
		if !r.b.throttle.Open(r.now) {
			t.Fatalf("throttle closed after %d answers", i)
		}
	}
}

// New settings keep the statistics of classes that stay, and open requests keep their class.
func TestUpdateSettings(t *testing.T) {
	set := testSettings()
	table := settings.NewTable(set)
	r := newHarness(t, table.Settings, 3)
	for range 50 {
		id, s := r.mustSend(1, 0)
		r.now += 100
		r.outcome(id, 0, s, OK, 90)
	}
	open, server := r.mustSend(1, 0)
	mean := r.b.answerTimes.Mean(1)
	next := set
	next.Classes = []settings.Class{set.Classes[0], set.Classes[1]}
	next.Classes[1].Idempotency = settings.Idempotent
	next.Limits.MaxAttempts = 2
	table, err := table.Next(next, time.Unix(1e9, 0))
	if err != nil {
		t.Fatal(err)
	}
	r.b.UpdateSettings(table.Settings, table.PreviousClass)
	number := table.Classes["once"]
	if number == 1 || r.b.answerTimes.Mean(number) != mean || r.b.answerTimes.Mean(1) != mean {
		t.Errorf("class %d takes %v, was %v", number, r.b.answerTimes.Mean(number), mean)
	}
	if got := r.outcome(open, 0, server, Reset, 20); find(got, ActFail) == nil {
		t.Errorf("an open request of a formerly single-shot class: %+v", got)
	}
	id, s := r.mustSend(number, 0)
	again := find(r.outcome(id, 0, s, Reset, 20), ActSend)
	if again == nil {
		t.Fatal("a new request of a class that is idempotent now was not retried")
	}
	if got := r.outcome(id, 1, again.Server, Reset, 20); find(got, ActSend) != nil {
		t.Errorf("a third attempt, at most 2 allowed: %+v", got)
	}
}

// Long answers of an unused server widen its window as they begin; none of them has to end first.
func TestStartedAnswersOpenTheWindow(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	var out []RequestID
	begun, most := 0, 0
	for range 150 {
		r.id++
		r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, LeftMs: 600})
		out = append(out, r.id)
	}
	for range 50 { // far fewer rounds than a window of two would need
		r.now += 3
		r.tick(0)
		n := len(r.b.servers[0].inFlight)
		most = max(most, n)
		for _, a := range append([]*attempt(nil), r.b.servers[0].inFlight...) {
			r.handle(Event{Kind: EvStarted, Request: a.r.id, Attempt: a.index})
			begun++
		}
	}
	if begun != len(out) || most <= firstWindow {
		t.Errorf("%d of %d answers began, at most %d attempts in flight", begun, len(out), most)
	}
}

// A request with an incomplete body may be sent to a slow server, since its time has not begun.
func TestIncompleteBodyIsSentToSlowServer(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	for range 60 {
		id, s := r.mustSend(0, 0)
		r.now += 2
		r.outcome(id, 0, s, OK, 2)
	}
	for range 3 { // the server is slow for a short time
		id, s := r.mustSend(0, 0)
		r.now += 250
		r.outcome(id, 0, s, OK, 250)
	}
	r.now += 1000
	if _, a := r.mustSendIncomplete(1); a.BeginMs < testSettings().Classes[1].LatencyTargetMs {
		t.Errorf("must begin within %v ms, want at least the latency target", a.BeginMs)
	}
}

// A request that finds no connection goes to the other servers at once and is then retried, with growing
// delays, until its latency target; it is refused when no time is left, and never before.
func TestNoConnectionIsRetried(t *testing.T) {
	for _, servers := range []int{1, 3} {
		r := newHarness(t, testSettings(), servers)
		id, s := r.mustSend(0, 0)
		came, attempts, refused := r.now, 1, 0.0
		acts := r.outcome(id, 0, s, NoConnection, 0)
		for refused == 0 {
			if a := find(acts, ActSend); a != nil {
				attempts++
				if at := r.now - came; (attempts <= servers) != (at == 0) {
					t.Fatalf("%d servers: attempt %d after %v ms", servers, attempts, at)
				}
				acts = r.outcome(id, attempts-1, a.Server, NoConnection, 0)
				continue
			}
			if find(acts, ActRefuse) != nil {
				refused = r.now - came
				break
			}
			acts = r.tick(5)
		}
		if target := testSettings().Classes[0].LatencyTargetMs; refused < target/2 || refused > target || attempts < 4 ||
			attempts > MaxUnconnectedAttempts {
			t.Errorf("%d servers: %d attempts, refused after %v ms of %v", servers, attempts, refused, target)
		}
	}
}

// An answer that arrives before its request is complete doesn't count in the server's answer times.
func TestAnswersBeforeTheBody(t *testing.T) {
	for _, started := range []bool{false, true} {
		r := newHarness(t, testSettings(), 1)
		id, s := r.mustSend(0, 0)
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
		lat, normalLatency := r.b.servers[0].latencyRatio, *r.b.normalLatency
		slow, _ := r.mustSendIncomplete(1)
		r.now += 60_000
		if started {
			r.handle(Event{Kind: EvStarted, Request: slow, Attempt: 0})
		}
		r.outcome(slow, 0, s, OK, 60_000)
		if r.b.servers[0].latencyRatio != lat || *r.b.normalLatency != normalLatency || r.b.requests[slow] != nil {
			t.Errorf("started %v: latency ratio %v, was %v", started, r.b.servers[0].latencyRatio, lat)
		}
	}
}
