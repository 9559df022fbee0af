package policy

import (
	"testing"
	"time"

	"molepaddle/internal/decide/settings"
)

func (r *rig) coming(class int) (RequestID, Action) {
	r.t.Helper()
	r.id++
	a := find(r.do(Event{Kind: EvRequest, Request: r.id, Class: class, LeftMs: 500_000, Coming: true}), ActSend)
	if a == nil {
		r.t.Fatal("not sent")
	}
	return r.id, *a
}

// A body that comes for minutes takes none of its server's capacity, doesn't make it unresponsive, and its
// time begins with its last byte.
func TestIncompleteBodies(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	var ids []RequestID
	for range 50 { // far more than the server's window
		id, _ := r.coming(1)
		ids = append(ids, id)
	}
	for range 200 {
		r.now += 100
		if a := find(r.tick(0), ActFail); a != nil {
			t.Fatal("failed while it came:", a)
		}
		id, s := r.sent(0, 0)
		r.outcome(id, 0, s, OK, 20)
	}
	if s := r.b.servers[0]; s.state != Connected || len(s.inFlight) != 0 {
		t.Fatalf("state %d, %d out", s.state, len(s.inFlight))
	}
	r.do(Event{Kind: EvBodyComplete, Request: ids[0], Attempt: 0, LeftMs: 600})
	if s := r.b.servers[0]; len(s.inFlight) != 1 || r.b.inFlight != 1 {
		t.Fatalf("%d out, %d in flight once it is whole", len(s.inFlight), r.b.inFlight)
	}
	if q := r.b.requests[ids[0]]; q.targetAt != r.now+300 || q.deadline != r.now+595 {
		t.Errorf("aim in %v, deadline in %v", q.targetAt-r.now, q.deadline-r.now)
	}
	r.do(Event{Kind: EvBodyComplete, Request: ids[0], Attempt: 0, LeftMs: 600}) // again: nothing
	r.outcome(ids[0], 0, r.b.servers[0].id, OK, 30)
	if r.b.inFlight != 0 || r.b.requests[ids[0]] != nil {
		t.Error("its end is not counted once")
	}
}

// A request whose body is incomplete has not run: it goes to another server while nothing of it is lost, and
// is refused once a part is. Complete, it is as any other of its class.
func TestUnfinishedBodiesHaveNotRun(t *testing.T) {
	for _, c := range []struct {
		class int
		whole bool
		spent int
		want  ActionKind
	}{
		{1, false, 0, ActSend}, {1, false, 3, ActRefuse}, {1, true, 3, ActFail},
		{0, false, 3, ActRefuse}, {2, false, 3, ActRefuse}, {2, true, 3, ActFail},
	} {
		set := testSettings()
		set.Classes[2].DedupScope = settings.DedupCell
		r := newRig(t, set, 5)
		id, a := r.coming(c.class)
		st := ConnectFailed
		if c.whole {
			r.do(Event{Kind: EvBodyComplete, Request: id, LeftMs: 600})
			st = Reset
		}
		got := r.do(Event{Kind: EvOutcome, Request: id, Server: a.Server, Status: st, Tries: c.spent})
		if find(got, c.want) == nil {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

// An answer that is relayed slowly takes none of its server's capacity, and nothing more is done for its
// request.
func TestAnswersRelayed(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	for range 40 {
		id, _ := r.sent(0, 0)
		r.now += 20
		r.do(Event{Kind: EvStarted, Request: id})
	}
	for range 100 {
		if got := r.tick(100); find(got, ActCancel) != nil || find(got, ActFail) != nil || find(got, ActRefuse) != nil {
			t.Fatalf("%+v", got)
		}
	}
	s := r.b.servers[0]
	if s.state > Unknown || len(s.inFlight) != 0 || r.b.inFlight != 0 {
		t.Fatalf("state %d, %d out", s.state, len(s.inFlight))
	}
	if got := r.outcome(1, 0, s.id, Reset, 20); find(got, ActSend) != nil || find(got, ActFail) != nil {
		t.Errorf("a broken answer: %+v", got)
	}
}

// Long answers that begin in time count as served in time, however late they end: they don't close the
// throttle.
func TestAnswersRelayedInTimeCount(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	for i := range 40 {
		id, s := r.sent(0, 0)
		r.now += 20
		r.do(Event{Kind: EvStarted, Request: id})
		r.now += 2000
		r.outcome(id, 0, s, OK, 20)
		r.now -= 1990
		if !r.b.throttle.Open(r.now) {
			t.Fatal("closed after", i)
		}
	}
}

// New settings keep what was learned of classes that stay, and open requests their class.
func TestTurn(t *testing.T) {
	set := testSettings()
	table := settings.NewTable(set)
	r := newRig(t, table.Settings, 3)
	for range 50 {
		id, s := r.sent(1, 0)
		r.now += 100
		r.outcome(id, 0, s, OK, 90)
	}
	open, server := r.sent(1, 0)
	mean := r.b.needs.Mean(1)
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
	if number == 1 || r.b.needs.Mean(number) != mean || r.b.needs.Mean(1) != mean {
		t.Errorf("class %d takes %v, was %v", number, r.b.needs.Mean(number), mean)
	}
	if got := r.outcome(open, 0, server, Reset, 20); find(got, ActFail) == nil {
		t.Errorf("an open request of what was unsafe: %+v", got)
	}
	id, s := r.sent(number, 0)
	again := find(r.outcome(id, 0, s, Reset, 20), ActSend)
	if again == nil {
		t.Fatal("a new one of what is safe now is not tried again")
	}
	if got := r.outcome(id, 1, again.Server, Reset, 20); find(got, ActSend) != nil {
		t.Errorf("a third attempt of two: %+v", got)
	}
}

// Long answers that begin at once at a server that nobody has used widen its window as they begin: which of
// them have ended says nothing of it.
func TestStartedAnswersOpenTheWindow(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	var out []RequestID
	begun, most := 0, 0
	for range 150 {
		r.id++
		r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, LeftMs: 600})
		out = append(out, r.id)
	}
	for range 50 { // far fewer turns than a window of two would need
		r.now += 3
		r.tick(0)
		n := len(r.b.servers[0].inFlight)
		most = max(most, n)
		for _, a := range append([]*attempt(nil), r.b.servers[0].inFlight...) {
			r.do(Event{Kind: EvStarted, Request: a.r.id, Attempt: a.index})
			begun++
		}
	}
	if begun != len(out) || most <= firstWindow {
		t.Errorf("%d of %d have begun, %d at once at the most", begun, len(out), most)
	}
}

// However slow its server has become, a request whose body is incomplete may be sent: its time has not begun.
func TestSlowServersTakeBodies(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	for range 60 {
		id, s := r.sent(0, 0)
		r.now += 2
		r.outcome(id, 0, s, OK, 2)
	}
	for range 3 { // a moment in which it is slow
		id, s := r.sent(0, 0)
		r.now += 250
		r.outcome(id, 0, s, OK, 250)
	}
	r.now += 1000
	if _, a := r.coming(1); a.BeginMs < testSettings().Classes[1].LatencyTargetMs {
		t.Errorf("it has to begin within %v ms", a.BeginMs)
	}
}

// A request that finds no connection goes to the other servers at once, then is retried until its latency
// target, less and less often; it is refused once there is no time left, and never before.
func TestNoConnectionIsRetried(t *testing.T) {
	for _, servers := range []int{1, 3} {
		r := newRig(t, testSettings(), servers)
		id, s := r.sent(0, 0)
		came, asked, refused := r.now, 1, 0.0
		acts := r.outcome(id, 0, s, NoWay, 0)
		for refused == 0 {
			if a := find(acts, ActSend); a != nil {
				asked++
				if at := r.now - came; (asked <= servers) != (at == 0) {
					t.Fatalf("%d servers: asked for the %d. time after %v ms", servers, asked, at)
				}
				acts = r.outcome(id, asked-1, a.Server, NoWay, 0)
				continue
			}
			if find(acts, ActRefuse) != nil {
				refused = r.now - came
				break
			}
			acts = r.tick(5)
		}
		if aim := testSettings().Classes[0].LatencyTargetMs; refused < aim/2 || refused > aim || asked < 4 || asked > MostTries {
			t.Errorf("%d servers: asked %d times, refused after %v ms of %v", servers, asked, refused, aim)
		}
	}
}

// An answer that comes before its request is complete says nothing of how long its server takes.
func TestAnswersBeforeTheBody(t *testing.T) {
	for _, started := range []bool{false, true} {
		r := newRig(t, testSettings(), 1)
		id, s := r.sent(0, 0)
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
		lat, calm := r.b.servers[0].latencyRatio, *r.b.normalLatency
		slow, _ := r.coming(1)
		r.now += 60_000
		if started {
			r.do(Event{Kind: EvStarted, Request: slow, Attempt: 0})
		}
		r.outcome(slow, 0, s, OK, 60_000)
		if r.b.servers[0].latencyRatio != lat || *r.b.normalLatency != calm || r.b.requests[slow] != nil {
			t.Errorf("begun %v: %v, was %v", started, r.b.servers[0].latencyRatio, lat)
		}
	}
}
