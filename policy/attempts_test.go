package policy

import (
	"math"
	"testing"

	"molepaddle/internal/decide/budget"
)

func TestSingleShotIsNotRepeated(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		r := newHarness(t, testSettings(), 3)
		id, s := r.mustSend(1, 5)
		actions := r.outcome(id, 0, s, st, 50)
		if find(actions, ActSend) != nil || find(actions, ActRefuse) != nil || find(actions, ActFail) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustSend(1, 5)
	if actions := r.outcome(id, 0, s, ConnectFailed, 50); find(actions, ActSend) == nil {
		t.Errorf("an attempt that never ran was not retried: %+v", actions)
	}
}

func TestKeyedRetryStaysInGroupAndTTL(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	id, s := r.mustSend(2, 5)
	actions := r.outcome(id, 0, s, Error, 20)
	a := find(actions, ActSend)
	if a == nil || r.b.byAddr[a.Server].cell != r.b.byAddr[s].cell {
		t.Fatalf("a retry of a guarded request did not stay in its cell: %+v", actions)
	}
	r.now += 496 // within the key's 500 ms, but past the safety margin
	actions = r.outcome(id, 1, a.Server, Error, 20)
	if find(actions, ActSend) != nil || find(actions, ActFail) == nil && len(r.b.queue) == 0 {
		t.Errorf("a guarded request was retried after its key had expired: %+v", actions)
	}
}

// A client's retry of a request keeps the latency target of the first request.
func TestClientRetryKeepsLatencyTarget(t *testing.T) {
	r := newHarness(t, testSettings(), 1)
	id, s := r.mustSend(0, 5)
	r.now += 200
	r.handle(Event{Kind: EvDropped, Request: id})
	r.outcome(id, 0, s, Cancelled, 200)
	r.id++
	r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 5, LeftMs: 600, Retry: true})
	if q := r.b.requests[r.id]; q == nil || q.targetAt-r.now > 101 {
		t.Error("a retry was given the full latency target again")
	}
}

// After a streamed answer has started, no further attempt or answer is made for its request.
func TestNoActionsAfterStreamStarted(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streamed = true
	r := newHarness(t, set, 4)
	id, s := r.mustSend(0, 3)
	r.now += 30
	r.handle(Event{Kind: EvStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range r.tick(10) {
			if a.Request == id && a.Kind != ActTimer {
				t.Fatalf("action %+v for a request whose answer streams", a)
			}
		}
	}
	actions := r.handle(Event{
		Kind:      EvOutcome,
		Request:   id,
		Attempt:   0,
		Server:    s,
		Status:    Reset,
		LatencyMs: 2000,
		Final:     true,
	})
	if find(actions, ActSend) != nil || find(actions, ActFail) != nil || len(r.b.requests) != 0 {
		t.Errorf("after a broken stream: actions %+v, %d requests kept", actions, len(r.b.requests))
	}
}

// i86bcad, i5db14f: many agents each retried every rejected request and together kept the servers overloaded.
// Failures must reduce the number of attempts.
func TestFailuresThrottleTheAgent(t *testing.T) {
	for _, st := range []Status{OK, Full} {
		r := newHarness(t, testSettings(), 20)
		sends := 0
		for range 200 {
			r.now += 20
			id, actions := r.startRequest(0, r.b.rng.Uint64())
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

// i5db14f: a thousand agents that each used every server kept 400 connections per server
// open. Idle connections are closed if keeping them costs more than opening new ones.
func TestIdleConnectionsAreClosedWhereTheyCostMore(t *testing.T) {
	for _, c := range []struct {
		agents                int
		connection, handshake float64
		closes                bool
	}{{1000, 0.08, 0.08, true}, {5, 0.08, 0.08, false}, {1000, 0, 0.08, false}, {5, 0.08, 0, true}} {
		set := testSettings()
		set.Replicas, set.Prices.Connection, set.Prices.Handshake = c.agents, c.connection, c.handshake
		r := newHarness(t, set, 4)
		closed := 0
		for i := range 400 {
			r.now += 20
			id, s := r.mustSend(0, r.b.rng.Uint64())
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

// Each send limits the time until its first byte, since connecting may take long: any attempt must leave enough
// time for its work, and a keyed retry must begin before its key expires.
func TestSendLimitsStartTime(t *testing.T) {
	for class, want := range []bool{false, false, true} {
		set := testSettings()
		set.Classes[2].DedupTTLMs = 200
		r := newHarness(t, set, 4)
		id, first := r.mustSend(class, 5)
		r.now += 100
		a := find(r.outcome(id, 0, first, Reset, 100), ActSend)
		if class == 1 {
			if a != nil {
				t.Fatal("a single-shot request was retried")
			}
			continue
		}
		if a == nil {
			t.Fatalf("class %d: not retried", class)
		}
		req := r.b.requests[id]
		inTime := r.b.latestUseful(req) - r.b.minRemaining(req.attempts[1].s, req) - r.now
		left := set.Classes[2].DedupTTLMs - 100 - 2*set.RoundMs
		if (a.BeginMs == left) != want || !want && a.BeginMs != inTime || left >= inTime {
			t.Errorf("class %d: must begin within %v ms; the key expires in %v ms, the time left for the work is %v ms",
				class, a.BeginMs, left, inTime)
		}
	}
}

// A request that no server can answer in time is refused at once and never sent: with no time left, with too
// little time for its class, and as a retry that is too late.
func TestTooLittleTimeLeft(t *testing.T) {
	for _, left := range []float64{0, 0.001, 1, 30, math.NaN(), -5} {
		r := newHarness(t, testSettings(), 4)
		r.id++
		acts := r.handle(Event{Kind: EvRequest, Request: r.id, Class: 1, LeftMs: left})
		if find(acts, ActSend) != nil || find(acts, ActRefuse) == nil {
			t.Errorf("%v ms left: %+v", left, acts)
		}
	}
	r := newHarness(t, testSettings(), 4)
	id, s := r.mustSend(0, 5)
	r.now = r.b.requests[id].targetAt - 0.4*r.b.answerTimes.Mean(0)
	if acts := r.outcome(id, 0, s, Error, 100); find(acts, ActSend) != nil || find(acts, ActRefuse) == nil {
		t.Errorf("a retry without time: %+v", acts)
	}
}

// A server slower than the others gets no request whose remaining time suffices only for the others, and each
// send limits the time until its first byte.
func TestSlowServerNeedsMoreTime(t *testing.T) {
	set := testSettings()
	r := newHarness(t, set, 2)
	a, b := r.b.byAddr[addr(0)], r.b.byAddr[addr(1)]
	r.b.normalLatency.OverallMean, a.latencyRatio, b.latencyRatio = 0.1, 0.1, 0.9
	b.window, a.window = 9, 9
	need := r.b.answerTimes.Mean(0) / 2
	for range 20 {
		r.id++
		acts := r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: uint64(r.id), LeftMs: 4 * need})
		send := find(acts, ActSend)
		if send == nil {
			t.Fatalf("not sent: %+v", acts)
		}
		if send.Server != a.id {
			t.Fatal("sent to the server that can't answer in time")
		}
		if want := 4*need - set.RoundMs - need; math.Abs(send.BeginMs-want) > 1e-6 {
			t.Fatalf("must begin within %v ms, want %v", send.BeginMs, want)
		}
		r.outcome(r.id, 0, a.id, OK, need)
		a.latencyRatio, b.latencyRatio, r.b.normalLatency.OverallMean = 0.1, 0.9, 0.1
		need = r.b.answerTimes.Mean(0) / 2
	}
}

// In an outage in which all answers are errors, the number of retries stays a fraction of the number of
// requests, and requests without retry budget are answered at once.
func TestRetriesHaveABudget(t *testing.T) {
	set := testSettings()
	set.Replicas = 1
	r := newHarness(t, set, 40)
	sends, asked := 0, 0
	for range 1500 {
		r.now += 2
		r.id++
		asked++
		r.b.throttle = budget.NewThrottle(1) // the throttle is not under test and would stop all requests
		acts := r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: uint64(r.id), LeftMs: 600})
		for try := 0; ; try++ {
			send := find(acts, ActSend)
			if send == nil {
				break
			}
			sends++
			r.now += 0.1
			r.b.throttle = budget.NewThrottle(1)
			for _, s := range r.b.servers { // undo the demotions
				s.state, s.strikes = Connected, 0
			}
			acts = r.outcome(send.Request, try, send.Server, Error, 5)
			unanswered := find(acts, ActSend) == nil && find(acts, ActRefuse) == nil && find(acts, ActFail) == nil
			if unanswered && r.b.requests[send.Request] != nil && len(r.b.queue) == 0 {
				t.Fatalf("neither retried nor answered: %+v", acts)
			}
		}
	}
	if again := float64(sends-asked) / float64(asked); again < 0.1 || again > 0.35 {
		t.Errorf("%d attempts for %d requests", sends, asked)
	}
}

// An attempt that reached no server takes nothing from the retry budget.
func TestUnreachedServersUseNoRetryBudget(t *testing.T) {
	for _, st := range []Status{ConnectFailed, NoConnection, Full} {
		r := newHarness(t, testSettings(), 4)
		for r.b.retries.Acquire(0, r.now, 0) {
		}
		id, s := r.mustSend(0, 5)
		acts := r.outcome(id, 0, s, st, 1)
		if again := find(acts, ActSend) != nil; again != (st != Full) {
			t.Errorf("status %d with no budget left: retried %v", st, again)
		}
	}
}

// Requests refused at the same time get different retry-after times.
func TestRetryAfterIsSpread(t *testing.T) {
	r := newHarness(t, testSettings(), 0)
	least, most := math.Inf(1), 0.0
	for range 100 {
		r.id++
		acts := r.handle(Event{Kind: EvRequest, Request: r.id, LeftMs: 1})
		refuse := find(acts, ActRefuse)
		if refuse == nil {
			t.Fatalf("%+v", acts)
		}
		least, most = min(least, refuse.Ms), max(most, refuse.Ms)
	}
	if least < 250 || least > 300 || most > 500 || most < 450 {
		t.Errorf("retry-after times from %v to %v ms, want 250 to 500 spread out", least, most)
	}
}
