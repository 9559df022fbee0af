package policy

import (
	"math"
	"testing"

	"molepaddle/internal/decide/budget"
)

func TestSingleShotIsNotRepeated(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		r := newRig(t, testSettings(), 3)
		id, s := r.sent(1, 5)
		actions := r.outcome(id, 0, s, st, 50)
		if find(actions, ActSend) != nil || find(actions, ActRefuse) != nil || find(actions, ActFail) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	r := newRig(t, testSettings(), 3)
	id, s := r.sent(1, 5)
	if actions := r.outcome(id, 0, s, ConnectFailed, 50); find(actions, ActSend) == nil {
		t.Errorf("an attempt that never ran was not repeated: %+v", actions)
	}
}

func TestGuardedStaysInItsGroupAndTime(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	id, s := r.sent(2, 5)
	actions := r.outcome(id, 0, s, Error, 20)
	a := find(actions, ActSend)
	if a == nil || r.b.byAddr[a.Server].cell != r.b.byAddr[s].cell {
		t.Fatalf("a guarded repeat did not stay in its cell: %+v", actions)
	}
	r.now += 496 // just inside the 500 ms less the margin
	actions = r.outcome(id, 1, a.Server, Error, 20)
	if find(actions, ActSend) != nil || find(actions, ActFail) == nil && len(r.b.queue) == 0 {
		t.Errorf("a guarded repeat went out after its time: %+v", actions)
	}
}

// The client's retry of a request that can't be in time is judged by the client's time.
func TestRetryKeepsTheClientsTime(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	id, s := r.sent(0, 5)
	r.now += 200
	r.do(Event{Kind: EvDropped, Request: id})
	r.outcome(id, 0, s, Cancelled, 200)
	r.id++
	r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 5, LeftMs: 600, Retry: true})
	if q := r.b.requests[r.id]; q == nil || q.targetAt-r.now > 101 {
		t.Error("a retry was given the whole aim again")
	}
}

// A started stream belongs to the client: nothing more is sent or answered for it.
func TestStartedStreamIsLeftAlone(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streamed = true
	r := newRig(t, set, 4)
	id, s := r.sent(0, 3)
	r.now += 30
	r.do(Event{Kind: EvStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range r.tick(10) {
			if a.Request == id && a.Kind != ActTimer {
				t.Fatalf("action %+v for a request whose answer streams", a)
			}
		}
	}
	actions := r.do(Event{
		Kind:      EvOutcome,
		Request:   id,
		Attempt:   0,
		Server:    s,
		Status:    Reset,
		LatencyMs: 2000,
		Final:     true,
	})
	if find(actions, ActSend) != nil || find(actions, ActFail) != nil || len(r.b.requests) != 0 {
		t.Errorf("a stream that broke: %+v, %d requests kept", actions, len(r.b.requests))
	}
}

// i86bcad, i5db14f: each of many agents retried every rejected request, and all together kept the servers
// too full to serve any. What fails leaves less to send.
func TestFailuresThrottleTheAgent(t *testing.T) {
	for _, st := range []Status{OK, Full} {
		r := newRig(t, testSettings(), 20)
		sends := 0
		for range 200 {
			r.now += 20
			id, actions := r.ask(0, r.b.rng.Uint64())
			for try := 0; ; try++ {
				a := find(actions, ActSend)
				if a == nil || a.Request != id {
					break
				}
				sends++
				actions = r.outcome(id, try, a.Server, st, 5)
			}
		}
		if served := st == OK; served && sends != 200 || !served && (sends > 40 || sends < 5) {
			t.Errorf("ending %d: 200 requests over 4 s became %d attempts", st, sends)
		}
	}
}

// i5db14f: a thousand agents that each met every server kept 400 connections a server
// open. They are closed where their price is above that of opening them again.
func TestIdleConnectionsAreClosedWhereTheyCostMore(t *testing.T) {
	for _, c := range []struct {
		agents                int
		connection, handshake float64
		closes                bool
	}{{1000, 0.08, 0.08, true}, {5, 0.08, 0.08, false}, {1000, 0, 0.08, false}, {5, 0.08, 0, true}} {
		set := testSettings()
		set.Replicas, set.Prices.Connection, set.Prices.Handshake = c.agents, c.connection, c.handshake
		r := newRig(t, set, 4)
		closed := 0
		for i := range 400 {
			r.now += 20
			id, s := r.sent(0, r.b.rng.Uint64())
			if a := find(r.outcome(id, 0, s, OK, 10), ActClose); a != nil && i >= 200 {
				if closed++; a.Server != s {
					t.Fatalf("closed %v, want the idle %v", a.Server, s)
				}
			}
		}
		if c.closes != (closed > 150) || !c.closes && closed > 50 {
			t.Errorf("%+v: %d of 200 idle connections closed", c, closed)
		}
	}
}

// A keyed retry must be sent within its key's memory, and any attempt with the time left that its work needs;
// each send says until when it may begin: getting a connection may take longer.
func TestRetriesHaveALatestBegin(t *testing.T) {
	for class, want := range []bool{false, false, true} {
		set := testSettings()
		set.Classes[2].DedupTTLMs = 200
		r := newRig(t, set, 4)
		id, first := r.sent(class, 5)
		r.now += 100
		a := find(r.outcome(id, 0, first, Reset, 100), ActSend)
		if class == 1 {
			if a != nil {
				t.Fatal("an unsafe request was sent again")
			}
			continue
		}
		if a == nil {
			t.Fatalf("class %d: not sent again", class)
		}
		req := r.b.requests[id]
		inTime := r.b.latestUseful(req) - r.b.minRemaining(req.attempts[1].s, req) - r.now
		left := set.Classes[2].DedupTTLMs - 100 - 2*set.RoundMs
		if (a.BeginMs == left) != want || !want && a.BeginMs != inTime || left >= inTime {
			t.Errorf("class %d: to begin within %v ms, %v are left of the key's memory, %v of the time",
				class, a.BeginMs, left, inTime)
		}
	}
}

// What no server can answer in time is refused at once and never sent: with no time left, with too little for
// the class, and as a retry that comes too late.
func TestTooLittleTimeLeft(t *testing.T) {
	for _, left := range []float64{0, 0.001, 1, 30, math.NaN(), -5} {
		r := newRig(t, testSettings(), 4)
		r.id++
		acts := r.do(Event{Kind: EvRequest, Request: r.id, Class: 1, LeftMs: left})
		if find(acts, ActSend) != nil || find(acts, ActRefuse) == nil {
			t.Errorf("%v ms left: %+v", left, acts)
		}
	}
	r := newRig(t, testSettings(), 4)
	id, s := r.sent(0, 5)
	r.now = r.b.requests[id].targetAt - 0.4*r.b.needs.Mean(0)
	if acts := r.outcome(id, 0, s, Error, 100); find(acts, ActSend) != nil || find(acts, ActRefuse) == nil {
		t.Errorf("a retry without time: %+v", acts)
	}
}

// A server that answers later than the others gets no request with the time that is enough for them, and each
// send says until when it may begin.
func TestASlowServerNeedsMoreTime(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 2)
	a, b := r.b.byAddr[addr(0)], r.b.byAddr[addr(1)]
	r.b.normalLatency.FleetMean, a.latencyRatio, b.latencyRatio = 0.1, 0.1, 0.9
	b.window, a.window = 9, 9
	need := r.b.needs.Mean(0) / 2
	for range 20 {
		r.id++
		acts := r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: uint64(r.id), LeftMs: 4 * need})
		send := find(acts, ActSend)
		if send == nil {
			t.Fatalf("not sent: %+v", acts)
		}
		if send.Server != a.id {
			t.Fatal("sent where it can't end in time")
		}
		if want := 4*need - set.RoundMs - need; math.Abs(send.BeginMs-want) > 1e-6 {
			t.Fatalf("may begin within %v ms, want %v", send.BeginMs, want)
		}
		r.outcome(r.id, 0, a.id, OK, need)
		a.latencyRatio, b.latencyRatio, r.b.normalLatency.FleetMean = 0.1, 0.9, 0.1
		need = r.b.needs.Mean(0) / 2
	}
}

// In an outage in which all answers are errors, retries are a part of the requests, not as many again, and
// those without budget are answered at once.
func TestRetriesHaveABudget(t *testing.T) {
	set := testSettings()
	set.Replicas = 1
	r := newRig(t, set, 40)
	sends, asked := 0, 0
	for range 1500 {
		r.now += 2
		r.id++
		asked++
		r.b.throttle = budget.NewThrottle(1) // not part of this test: it would hold all back
		acts := r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: uint64(r.id), LeftMs: 600})
		for try := 0; ; try++ {
			send := find(acts, ActSend)
			if send == nil {
				break
			}
			sends++
			r.now += 0.1
			r.b.throttle = budget.NewThrottle(1)
			for _, s := range r.b.servers { // none stays Unhealthy for its failures
				s.state, s.strikes = Connected, 0
			}
			acts = r.outcome(send.Request, try, send.Server, Error, 5)
			unanswered := find(acts, ActSend) == nil && find(acts, ActRefuse) == nil && find(acts, ActFail) == nil
			if unanswered && r.b.requests[send.Request] != nil && len(r.b.queue) == 0 {
				t.Fatalf("neither sent again nor answered: %+v", acts)
			}
		}
	}
	if again := float64(sends-asked) / float64(asked); again < 0.1 || again > 0.35 {
		t.Errorf("%d attempts for %d requests", sends, asked)
	}
}

// An attempt that reached no server takes nothing from the retry budget.
func TestUnreachedServersCostNoRetry(t *testing.T) {
	for _, st := range []Status{ConnectFailed, NoWay, Full} {
		r := newRig(t, testSettings(), 4)
		for r.b.retries.Acquire(0, r.now, 0) {
		}
		id, s := r.sent(0, 5)
		acts := r.outcome(id, 0, s, st, 1)
		if again := find(acts, ActSend) != nil; again != (st != Full) {
			t.Errorf("status %d with no budget left: sent again %v", st, again)
		}
	}
}

// Those that are refused in one moment are not all advised to come back in one.
func TestRetryAfterIsSpread(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	least, most := math.Inf(1), 0.0
	for range 100 {
		r.id++
		acts := r.do(Event{Kind: EvRequest, Request: r.id, LeftMs: 1})
		refuse := find(acts, ActRefuse)
		if refuse == nil {
			t.Fatalf("%+v", acts)
		}
		least, most = min(least, refuse.Ms), max(most, refuse.Ms)
	}
	if least < 250 || least > 300 || most > 500 || most < 450 {
		t.Errorf("advised from %v to %v ms of 500", least, most)
	}
}
