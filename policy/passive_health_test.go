package policy

import (
	"testing"

	"molepaddle/internal/decide/calm"
	"molepaddle/internal/decide/cluster"
)

func TestHealthStateTransitions(t *testing.T) {
	set := testSettings()
	set.Replicas = 0 // the key isn't split
	r := newHarness(t, set, 4)
	id, s := r.mustSend(0, 7)
	srv := r.b.byAddr[s]
	if srv.state != Unknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", srv.state)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("served: state %d, want Connected", srv.state)
	}
	id, s2 := r.mustSend(0, 7)
	if s2 != s {
		t.Fatalf("key moved from %v to %v without a cause", s, s2)
	}
	actions := r.outcome(id, 0, s, Error, 5)
	if srv.state != Unhealthy {
		t.Fatalf("error: state %d, want Unhealthy", srv.state)
	}
	if find(actions, ActFetch) == nil {
		t.Error("a demotion did not force a refresh of the list")
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Errorf("the free request did not go on to another server: %+v", actions)
	}
	// While the server is Unhealthy its key goes to another server. After the hold time the next
	// request makes it pending, and a served answer makes it Connected.
	if _, s3 := r.mustSend(0, 7); s3 == s {
		t.Error("an Unhealthy server was chosen before the better tier")
	}
	r.now += r.b.unhealthyHold(srv) + 1
	id, s4 := r.mustSend(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the hold: state %d, sent to %v; want pending and the first send to check it", srv.state, s4)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("validated: state %d, want Connected", srv.state)
	}
}

func TestRejectionKeepsServerHealthy(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustSend(1, 7)
	actions := r.outcome(id, 0, s, Full, 1)
	if got := r.b.byAddr[s].state; got == Unhealthy {
		t.Error("full demoted the server")
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Errorf("a rejected request was not sent to another server: %+v", actions)
	}
}

func TestProbesValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.HealthChecks = true
	r := newHarness(t, set, 3)
	id, s := r.mustSend(0, 7)
	r.outcome(id, 0, s, Error, 5)
	r.now += 2 * r.b.unhealthyHold(r.b.byAddr[s])
	_, actions := r.startRequest(0, 7)
	if p := find(actions, ActProbe); p == nil || p.Server != s {
		t.Fatalf("no probe of the pending server: %+v", actions)
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its probe")
	}
	r.handle(Event{Kind: EvProbed, Server: s, Status: Timeout, LatencyMs: 100})
	if r.b.byAddr[s].state != Unhealthy {
		t.Error("a failed probe did not demote")
	}
	r.now += 10 * r.b.unhealthyHold(r.b.byAddr[s])
	r.startRequest(0, 8)
	r.handle(Event{Kind: EvProbed, Server: s, Status: OK, LatencyMs: 5})
	if r.b.byAddr[s].state != Connected {
		t.Error("a passed probe did not set Connected")
	}
}

// One agent and four servers: the first answers were fast (a few hot keys), and all later ones counted as
// overload, which limited the agent to one attempt per server permanently.
func TestSingleAgentLearnsNormalLatency(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		r := newHarness(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
			r.now += rtt
			r.outcome(id, 0, s, OK, rtt)
		}
		if grown := r.b.normalLatency.Unloaded > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the target, one at a time, normal latency is %.3f",
				agents, r.b.normalLatency.Unloaded)
		}
	}
}

// A few agents see most of the load, so a server that answers well within the latency target is not overloaded,
// however low the measured normal latency. Servers in slow start are slow before they are overloaded.
func TestLatencyLimitFallsWithTheAgents(t *testing.T) {
	limit := func(agents int, least float64) float64 {
		set := testSettings()
		set.Replicas = agents
		r := newHarness(t, set, 1)
		r.b.normalLatency.Unloaded = least
		return r.b.normalLatency.OverloadLimit(1)
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("limits: %.2f for one agent, want at least 0.3; %.2f for twenty, want at most 0.1", one, many)
	}
	if l := limit(1, 0.9); l != calm.MaxTargetFraction {
		t.Errorf("limit %.2f with a high normal latency, want %.2f", l, calm.MaxTargetFraction)
	}
	r := newHarness(t, testSettings(), 1)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	r.b.normalLatency.Unloaded = 0.2
	limitOf := func(i int) float64 { return r.b.normalLatency.OverloadLimit(r.b.slowStartFactor(r.b.byAddr[addr(i)])) }
	if starting, started := limitOf(1), limitOf(0); starting < 2*started {
		t.Errorf("limit %.2f of a server in slow start, %.2f of one past it", starting, started)
	}
}

// id08146: agents restarted one by one while the fleet was overloaded.
func TestOverloadAtTheStartIsNotNormalLatency(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range 50 {
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.now += 270
		r.outcome(id, 0, s, OK, 270)
	}
	if r.b.normalLatency.Unloaded > calm.MaxTargetFraction/2 {
		t.Errorf("answers at 0.9 of the latency target became the normal latency: %.2f", r.b.normalLatency.Unloaded)
	}
}

// i958eff: servers came back restarted, in slow start, before the list showed it.
func TestReturnAfterUnresponsivenessIsSlowStart(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	id, s := r.mustSend(0, 9)
	r.outcome(id, 0, s, ConnectFailed, 100)
	r.now += r.b.set.Contract.OverloadAfterMs + 500
	for key := uint64(9); ; key++ {
		id, to := r.mustSend(0, 9)
		r.now += 20
		r.outcome(id, 0, to, OK, 20)
		if to == s {
			break
		}
		if key > 50 {
			t.Fatal("the unresponsive server was never validated again")
		}
	}
	if srv := r.b.byAddr[s]; r.b.slowStartFactor(srv) >= 0.5 {
		t.Errorf("a server that came back is not in slow start: factor %.2f", r.b.slowStartFactor(srv))
	}
}

// A hung server, which ends no attempt, must be demoted and not stay Connected.
func TestHungServerIsDemoted(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range 200 { // learn the mean answer time
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, s, OK, 10)
	}
	_, s := r.mustSend(0, 9)
	for range 30 {
		if r.tick(10); r.b.byAddr[s].state == Unhealthy {
			return
		}
	}
	t.Error("a server that answers nothing for 300 ms was not demoted")
}

// Unresponsive servers of one zone make the zone suspected. Requests that must not run twice then go to other
// zones, idempotent requests try the zone at a low rate, and an answer ends the suspicion at once.
func TestZoneOutOfReach(t *testing.T) {
	r := newWarmHarness(t, 16)
	waiting := map[RequestID]cluster.Addr{}
	answer := func(class int) (tried bool) {
		id, actions := r.startRequest(class, uint64(r.b.rng.Int64()))
		a := find(actions, ActSend)
		if a == nil {
			return false // no capacity for now
		}
		if tried = r.b.byAddr[a.Server].zone == 1; tried {
			waiting[id] = a.Server
		} else {
			r.now++
			r.outcome(id, 0, a.Server, OK, 10)
		}
		return tried
	}
	for n := 0; !r.b.zoneSuspicion.IsSuspected(1); n++ {
		answer(0)
		if r.tick(5); n > 40 {
			t.Fatal("a zone that answers nothing is not suspected")
		}
	}
	fresh := 0
	for _, s := range r.b.servers {
		if s.zone == 1 && s.state <= Unknown {
			fresh++
		}
	}
	if fresh == 0 {
		t.Fatal("the servers of the zone were all demoted one by one")
	}
	for range 100 {
		if answer(1) {
			t.Fatal("a single-shot request went to the suspected zone")
		}
	}
	tries := 0
	for end := r.now + 2000; r.now < end; r.tick(1) {
		if answer(0) {
			tries++
		}
	}
	if tries == 0 || tries > 6 {
		t.Errorf("the zone was tried %d times in seven latency targets, want 1 to 6", tries)
	}
	for id, s := range waiting {
		r.outcome(id, 0, s, Timeout, 600)
	}
	r.b.liftSuspicion(1)
	for _, s := range r.b.servers {
		if s.zone == 1 {
			if s.state == Unhealthy && s.unresponsive && s.since >= r.now-1000 {
				t.Errorf("server %v is still Unhealthy", s.id)
			}
		}
	}
	before := tries
	for range 60 { // the servers are validated one after the other
		if answer(0) {
			tries++
		}
	}
	if tries-before < 6 || r.b.zoneSuspicion.IsSuspected(1) {
		t.Errorf("after its answer the zone got %d of 60 requests", tries-before)
	}
}

// A server that failed often stays Unhealthy for long while others can take its requests, but is tried again
// at once while they are full.
func TestFailingServerIsTriedAgainWhileOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newHarness(t, testSettings(), 4)
		bad := r.b.byAddr[addr(0)]
		for range 3 {
			r.b.enter(bad, Connected)
			r.b.demote(bad, false)
		}
		if full {
			for range 40 { // more than the windows of the others
				r.startRequest(0, 0)
			}
		}
		r.now += r.b.minLatencyTarget + 1
		r.startRequest(0, 0)
		if tried := bad.state == UnhealthyPending; tried != full {
			t.Errorf("others full: %v; failing server tried after one latency target: %v", full, tried)
		}
	}
}

// Failures common to all servers, as in a network that breaks connections, cost none of them a strike or window.
// A server that fails more than the others is demoted.
func TestFailuresOfTheWholeFleetCostNoStrike(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	end := func(id RequestID, s cluster.Addr, st Status) {
		r.now += 20
		r.outcome(id, 0, s, st, 20)
	}
	failed := map[cluster.Addr]int{}
	for i := range 600 {
		id, s := r.mustSend(1, 0)
		if i%12 == 0 {
			end(id, s, Reset)
			failed[s]++
		} else {
			end(id, s, OK)
		}
	}
	if len(failed) < 6 {
		t.Fatalf("only %d of the servers failed", len(failed))
	}
	id, s := r.mustSend(1, 0)
	srv := r.b.byAddr[s]
	strikes, window := srv.strikes, srv.window
	end(id, s, Reset)
	if srv.state != UnhealthyPending || srv.strikes != strikes || srv.window != window {
		t.Fatalf("state %d, strikes %d to %d, window %v to %v", srv.state, strikes, srv.strikes, window, srv.window)
	}
	srv.failureShare = 0.5
	r.b.enter(srv, Connected)
	r.b.recordOutcome(&attempt{s: srv}, Reset, 20)
	if srv.state != Unhealthy || srv.strikes != strikes+1 {
		t.Fatalf("half of its attempts fail: state %d, strikes %d to %d", srv.state, strikes, srv.strikes)
	}
}

// A request that must not run twice is not used to validate a server, where it could be lost.
func TestSingleShotDoesNotValidateAServer(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	bad := r.b.byAddr[addr(0)]
	r.b.enter(bad, UnhealthyPending)
	free, once := 0, 0
	for range 200 {
		r.now += 10
		for class, n := range []*int{&free, &once} {
			id, s := r.mustSend(class, uint64(r.b.rng.Int64()))
			if s == bad.id {
				*n++
			}
			r.outcome(id, 0, s, OK, 5)
			r.b.enter(bad, UnhealthyPending)
		}
	}
	if free == 0 || once > 0 {
		t.Errorf("a pending server got %d free and %d single-shot requests, want some and none", free, once)
	}
}

func TestOverloadedWindowShrinks(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // as in ie9df20: each of many agents sees little of the load
	r := newHarness(t, set, 1)
	srv := r.b.servers[0]
	for range 300 { // learn the normal latency
		id, s := r.mustSend(0, 1)
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
	}
	grown := srv.window
	for range 200 {
		if id, actions := r.startRequest(0, 1); find(actions, ActSend) != nil {
			r.now += 140
			r.outcome(id, 0, srv.id, OK, 140)
		}
		r.now += 10
	}
	if srv.window >= grown {
		t.Errorf("answers took seven times as long and the window went from %.2f to %.2f", grown, srv.window)
	}
	// ie9df20: with many agents one attempt of each is enough to keep a server overloaded.
	if srv.window >= 1 {
		t.Errorf("an overloaded server has window %.2f, want less than 1", srv.window)
	}
}

// i452d3e: windows that grew before the normal latency was known overloaded the servers, and the latency under
// overload became the normal latency.
func TestNoWindowGrowsBeforeNormalLatencyIsKnown(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 50 - 1 {
		id, s := r.mustSend(0, r.b.rng.Uint64())
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
		if w := r.b.byAddr[s].window; w > firstWindow {
			t.Fatalf("window %.2f", w)
		}
	}
	var ids []RequestID
	var tos []cluster.Addr
	for range 40 {
		ids, tos = ids[:0], tos[:0]
		for range 3 {
			if id, actions := r.startRequest(0, r.b.rng.Uint64()); find(actions, ActSend) != nil {
				ids, tos = append(ids, id), append(tos, find(actions, ActSend).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.outcome(ids[i], 0, tos[i], OK, 20)
		}
	}
	if w := max(r.b.servers[0].window, r.b.servers[1].window); w <= firstWindow {
		t.Errorf("no window grew once the normal latency was known: %.2f", w)
	}
}

// id753de: an agent with little traffic used a request to validate each slow server again after one latency
// target.
func TestLowTrafficAgentKeepsServerUnhealthyLonger(t *testing.T) {
	for _, probing := range []bool{false, true} {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Limits.HealthChecks = 10000, probing
		r := newHarness(t, set, 20)
		var s cluster.Addr
		for range 60 {
			r.now += 500
			var id RequestID
			id, s = r.mustSend(0, r.b.rng.Uint64())
			r.outcome(id, 0, s, OK, 20)
		}
		r.b.demote(r.b.byAddr[s], true)
		if hold := r.b.unhealthyHold(r.b.byAddr[s]); probing != (hold < 1000) {
			t.Errorf("probing %v: Unhealthy for %.0f ms at two requests per second over 20 servers", probing, hold)
		}
	}
}

// Clients that disconnect in time are no sign of failing servers: the next request is sent at once. Clients that
// disconnect after their latency target have waited too long and throttle the agent as failures do.
func TestClientDisconnectsInTimeAreNotFailures(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newHarness(t, testSettings(), 16)
		type out struct {
			id RequestID
			s  cluster.Addr
		}
		var all []out
		for i := range 24 {
			id, acts := r.startRequest(1, uint64(i))
			if a := find(acts, ActSend); a != nil {
				all = append(all, out{id, a.Server})
			}
		}
		if r.now += 20; late {
			r.now += 400
		}
		for _, o := range all {
			r.handle(Event{Kind: EvDropped, Request: o.id})
		}
		for _, o := range all {
			r.outcome(o.id, 0, o.s, Cancelled, 20)
		}
		_, acts := r.startRequest(1, 99)
		if len(all) < 10 || (find(acts, ActSend) == nil) != late {
			t.Errorf("late %v: after %d attempts sent: %+v", late, len(all), acts)
		}
	}
}
