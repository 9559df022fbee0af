package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/calm"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

// rig drives one Balancer by hand.
type rig struct {
	t   *testing.T
	b   *Balancer
	now float64
	id  RequestID
}

func addr(i int) cluster.Addr { return cluster.Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() settings.Settings {
	s := settings.Settings{
		Classes: []settings.Class{
			{Name: "free", AimMs: 300, GiveUpMs: 1000, Effect: settings.Free, Credit: 1},
			{Name: "once", AimMs: 300, GiveUpMs: 1000, Effect: settings.SingleShot, Credit: 4},
			{Name: "keyed", AimMs: 300, GiveUpMs: 1000, Effect: settings.Guarded, Group: settings.GroupCell, KeyTTLMs: 500, Credit: 2},
		},
		Limits: settings.Limits{Cancelling: true, MaxAttempts: 3, MaxRetryAfterMs: 500, ParallelTries: true,
			ConnectTimeoutMs: 100},
		Contract: settings.Contract{AnswerSlackMs: 20, AskWithinMs: 8000, ColdFrom: 0.2, ColdMs: 10000, DrainGraceMs: 500,
			FallMultiple: 3, TipAfterMs: 1000},
		Membership: "pushed", Replicas: 3, RoundMs: 5, WorthBy: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newRig(t *testing.T, s settings.Settings, servers int) *rig {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]cluster.Entry, servers)
	for i := range entries {
		entries[i] = cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.list(cluster.ListCached, entries...)
	return r
}

func (r *rig) do(ev Event) []Action { return r.b.Handle(r.now, &ev, nil) }

func (r *rig) list(kind cluster.ListKind, entries ...cluster.Entry) []Action {
	return r.do(Event{Kind: EvList, List: kind, Entries: entries})
}

func (r *rig) ask(class int, key uint64) (RequestID, []Action) {
	r.id++
	return r.id, r.do(Event{Kind: EvRequest, Request: r.id, Class: class, Key: key, LeftMs: 600})
}

func (r *rig) outcome(id RequestID, try int, s cluster.Addr, st Status, rtt float64) []Action {
	return r.do(Event{Kind: EvOutcome, Request: id, Attempt: try, Server: s, Status: st, LatencyMs: rtt, Final: st == OK})
}

func find(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// sent asks once and returns where the request went.
func (r *rig) sent(class int, key uint64) (RequestID, cluster.Addr) {
	r.t.Helper()
	id, actions := r.ask(class, key)
	a := find(actions, ActSend)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// tick fires the running timer after ms.
func (r *rig) tick(ms float64) []Action {
	r.now += ms
	return r.do(Event{Kind: EvTimer, Token: tickToken})
}

func TestStateTransitions(t *testing.T) {
	set := testSettings()
	set.Replicas = 0 // the key stays whole
	r := newRig(t, set, 4)
	id, s := r.sent(0, 7)
	srv := r.b.byAddr[s]
	if srv.state != Unknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", srv.state)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("served: state %d, want Connected", srv.state)
	}
	id, s2 := r.sent(0, 7)
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
	// While it is Unhealthy its key goes elsewhere; after its hold the next
	// request makes it pending, and a served answer Connected.
	if _, s3 := r.sent(0, 7); s3 == s {
		t.Error("an Unhealthy server was chosen before the better tier")
	}
	r.now += r.b.unhealthyHold(srv) + 1
	id, s4 := r.sent(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the hold: state %d, sent to %v; want pending and the first send to check it", srv.state, s4)
	}
	r.now += 50
	r.outcome(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("validated: state %d, want Connected", srv.state)
	}
}

func TestFullDemotesNobody(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	id, s := r.sent(1, 7)
	actions := r.outcome(id, 0, s, Full, 1)
	if got := r.b.byAddr[s].state; got == Unhealthy {
		t.Error("full demoted the server")
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Errorf("a request that was turned away did not go elsewhere: %+v", actions)
	}
}

func TestProbesValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.Probing = true
	r := newRig(t, set, 3)
	id, s := r.sent(0, 7)
	r.outcome(id, 0, s, Error, 5)
	r.now += 2 * r.b.unhealthyHold(r.b.byAddr[s])
	_, actions := r.ask(0, 7)
	if p := find(actions, ActProbe); p == nil || p.Server != s {
		t.Fatalf("no probe of the pending server: %+v", actions)
	}
	if a := find(actions, ActSend); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its probe")
	}
	r.do(Event{Kind: EvProbed, Server: s, Status: Timeout, LatencyMs: 100})
	if r.b.byAddr[s].state != Unhealthy {
		t.Error("a failed probe did not demote")
	}
	r.now += 10 * r.b.unhealthyHold(r.b.byAddr[s])
	r.ask(0, 8)
	r.do(Event{Kind: EvProbed, Server: s, Status: OK, LatencyMs: 5})
	if r.b.byAddr[s].state != Connected {
		t.Error("a good probe did not set Connected")
	}
}

func TestEmptyTopTierPassesDown(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 2 {
		id, s := r.sent(1, 3)
		r.outcome(id, 0, s, Error, 5)
	}
	if _, s := r.sent(0, 3); s == (cluster.Addr{}) {
		t.Error("nothing was sent though Unhealthy servers are the only ones")
	}
}

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

func TestDrainingAndGoneGetNothing(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(0), Health: cluster.Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := r.sent(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.outcome(id, 0, s, OK, 20)
	}
	r.list(cluster.ListFull, cluster.Entry{Server: addr(0), Health: cluster.Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := r.sent(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a server that left the list")
		}
		r.outcome(id, 0, s, OK, 20)
	}
}

func TestEmptyListIsAnsweredInTime(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	id, actions := r.ask(1, 1)
	for range 130 {
		if a := find(actions, ActRefuse); a != nil {
			if a.Request != id {
				t.Fatalf("refused %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request with an empty list was never answered")
}

// A cold server gets no more than its share by ramp, even after a quiet time.
func TestColdServerBudget(t *testing.T) {
	r := newRig(t, testSettings(), 5)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(4), Health: cluster.Ready, Weight: 1, SinceMs: r.now - 10})
	got, all := 0, 2000
	for range all {
		r.now++
		id, s := r.sent(0, uint64(r.b.rng.Int64()))
		if s == addr(4) {
			got++
		}
		r.outcome(id, 0, s, OK, 20)
	}
	even := float64(all) / 4
	// Its answers are quick, so it earns more than at first: half of what would push it over.
	if limit := even * 0.36 * r.b.set.Contract.FallMultiple / 2 * 1.1; float64(got) > limit || got == 0 {
		t.Errorf("a cold server got %d of %d sends; want some, and at most %.0f", got, all, limit)
	}
}

// i86bcad: attempts that warm servers turned away were counted as what they take, and
// a storm of them let the agents push cold servers over.
func TestTurnedAwayAttemptsEarnNoColdCredit(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(4), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	cold := r.b.byAddr[addr(4)]
	for _, st := range []Status{Full, OK} {
		cold.slowStartCredit = -1
		id, s := r.sent(1, 7)
		r.outcome(id, 0, s, st, 20)
		if earned := cold.slowStartCredit > -1; earned != (st == OK) {
			t.Errorf("ending %d: cold credit went from -1 to %.3f", st, cold.slowStartCredit)
		}
	}
}

// i299663: 69 requests hinted as ten mean ones pushed a cold server over.
func TestColdServerIsChargedForCostlyRequests(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.b.needs.MeanHint = 50
	if c := r.b.cost(&request{hint: 1}); c != 1 {
		t.Errorf("a request hinted small costs %.2f mean ones, want 1", c)
	}
	if c := r.b.cost(&request{hint: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f, want 4", c)
	}
}

// seededRig is one of many agents, with the entries of ten warm servers that it is not told yet.
func seededRig(t *testing.T, seed uint64) (*rig, []cluster.Entry) {
	t.Helper()
	b, err := New(testSettings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	entries := make([]cluster.Entry, 10)
	for i := range entries {
		entries[i] = cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1}
	}
	return &rig{t: t, b: b, now: 1e6}, entries
}

// Many quiet agents: each earns a cold server a small part of one request. Together
// they are to send it what the parts add up to: neither nothing nor one each.
func TestManyQuietAgentsShareAColdServersCredit(t *testing.T) {
	got, agents, each := 0, 400, 20
	for seed := range agents {
		r, entries := seededRig(t, uint64(seed))
		entries[0].SinceMs = r.now
		r.list(cluster.ListFull, entries...)
		for range each {
			id, s := r.sent(0, r.b.rng.Uint64())
			if s == addr(0) {
				got++
			}
			r.outcome(id, 0, s, OK, 20)
		}
	}
	c := testSettings().Contract
	share := float64(agents*each) / 9 * c.ColdFrom * c.FallMultiple / 4
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("%d agents sent a cold server %d requests, want up to about %.0f", agents, got, share)
	}
}

// 36 of 60 servers were new and each had a quarter of what it could do, while the others were
// crowded: quick answers of cold servers earn them more, late ones less.
func TestColdAnswersSetTheirShare(t *testing.T) {
	sends := map[float64]int{}
	for _, rtt := range []float64{10, 450} {
		for seed := range 100 {
			r, entries := seededRig(t, uint64(seed))
			r.list(cluster.ListFull, entries...)
			for range 60 {
				id, s := r.sent(0, 0)
				r.outcome(id, 0, s, OK, 20)
			}
			for i := range 6 {
				entries[i].SinceMs = r.now
			}
			r.list(cluster.ListFull, entries...)
			for range 200 {
				r.now += 10
				id, s := r.sent(0, 0)
				took := 20.0
				if r.b.ramp(r.b.byAddr[s]) < 1 {
					sends[rtt]++
					took = rtt
				}
				r.outcome(id, 0, s, OK, took)
			}
		}
	}
	if quick, late := sends[10], sends[450]; float64(quick) < 1.3*float64(late) || late == 0 {
		t.Errorf("cold servers that answer at once had %d requests, late ones %d", quick, late)
	}
}

// A day with one agent and four servers: the first answers were quick (a few hot
// keys), and what came after counted as crowded at one attempt a server, for good.
func TestLoneAgentLearnsThatItsServersAreCalm(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := r.sent(0, uint64(r.b.rng.Int64()))
			r.now += rtt
			r.outcome(id, 0, s, OK, rtt)
		}
		if grown := r.b.normalLatency.Least > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the aim, one at a time, calm is %.3f", agents, r.b.normalLatency.Least)
		}
	}
}

// Few agents see most of the load: what answers well within the aim is not crowded,
// however low calm was taken. Cold servers are slower before they are.
func TestLeastLimitFallsWithTheAgents(t *testing.T) {
	limit := func(agents int, least float64) float64 {
		set := testSettings()
		set.Replicas = agents
		r := newRig(t, set, 1)
		r.b.normalLatency.Least = least
		return r.b.normalLatency.Limit(1)
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("least limits: %.2f for one agent, want about a third; %.2f for twenty, want little", one, many)
	}
	if l := limit(1, 0.9); l != calm.CrowdShare {
		t.Errorf("limit %.2f with a high calm, want %.2f", l, calm.CrowdShare)
	}
	r := newRig(t, testSettings(), 1)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	r.b.normalLatency.Least = 0.2
	if cold, warm := r.b.normalLatency.Limit(r.b.ramp(r.b.byAddr[addr(1)])), r.b.normalLatency.Limit(r.b.ramp(r.b.byAddr[addr(0)])); cold < 2*warm {
		t.Errorf("limit %.2f of a cold server, %.2f of a warm one", cold, warm)
	}
}

// id08146: agents restarted one by one while the fleet was crowded.
func TestACrowdAtTheStartIsNotTakenForCalm(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 50 {
		id, s := r.sent(0, uint64(r.b.rng.Int64()))
		r.now += 270
		r.outcome(id, 0, s, OK, 270)
	}
	if r.b.normalLatency.Least > calm.CrowdShare/2 {
		t.Errorf("answers in 0.9 of the aim were taken for calm: %.2f", r.b.normalLatency.Least)
	}
}

// i5d0607: a zone was lost and only cold servers were left.
func TestColdServersServeWhenTheWarmOnesFailed(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, s := r.sent(0, uint64(r.b.rng.Int64()))
		r.outcome(id, 0, s, OK, 20)
	}
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(2), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	r.b.byAddr[addr(2)].sentAt = 0
	for i := range 2 {
		r.b.demote(r.b.byAddr[addr(i)], true)
	}
	if _, s := r.sent(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the cold server", s)
	}
}

// i958eff: servers came back from silence cold, before the list told.
func TestReturnFromSilenceIsRamped(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	id, s := r.sent(0, 9)
	r.outcome(id, 0, s, ConnectFailed, 100)
	r.now += r.b.set.Contract.TipAfterMs + 500
	for key := uint64(9); ; key++ {
		id, to := r.sent(0, 9)
		r.now += 20
		r.outcome(id, 0, to, OK, 20)
		if to == s {
			break
		}
		if key > 50 {
			t.Fatal("the silent server was never checked again")
		}
	}
	if srv := r.b.byAddr[s]; r.b.ramp(srv) >= 0.5 {
		t.Errorf("a server back from silence is taken for warm: ramp %.2f", r.b.ramp(srv))
	}
}

// Hung servers stay Connected in the source's scheme; silence demotes them.
func TestHungServerIsLeft(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 200 { // learn what an answer takes
		id, s := r.sent(0, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, s, OK, 10)
	}
	_, s := r.sent(0, 9)
	for range 30 {
		if r.tick(10); r.b.byAddr[s].state == Unhealthy {
			return
		}
	}
	t.Error("a server that answers nothing for 300 ms was not demoted")
}

// learned has a rig know that an answer takes 10 ms.
func learned(t *testing.T, servers int) *rig {
	r := newRig(t, testSettings(), servers)
	for i := range 300 {
		id, s := r.sent(i%3, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, s, OK, 10)
	}
	return r
}

// Servers of one zone that answer nothing make the others of that zone doubtful: what must not run twice goes to another zone
// while any answers, one that may be repeated tries, seldom, and an answer ends it all at once.
func TestZoneOutOfReach(t *testing.T) {
	r := learned(t, 16)
	waiting := map[RequestID]cluster.Addr{}
	answer := func(class int) (tried bool) {
		id, actions := r.ask(class, uint64(r.b.rng.Int64()))
		a := find(actions, ActSend)
		if a == nil {
			return false // no room for now
		}
		if tried = r.b.byAddr[a.Server].zone == 1; tried {
			waiting[id] = a.Server
		} else {
			r.now++
			r.outcome(id, 0, a.Server, OK, 10)
		}
		return tried
	}
	for n := 0; !r.b.zoneSuspicion.Of(1); n++ {
		answer(0)
		if r.tick(5); n > 40 {
			t.Fatal("a zone that answers nothing is not doubted")
		}
	}
	fresh := 0
	for _, s := range r.b.servers {
		if s.zone == 1 && s.state <= Unknown {
			fresh++
		}
	}
	if fresh == 0 {
		t.Fatal("each was found silent by itself")
	}
	for range 100 {
		if answer(1) {
			t.Fatal("what must not run twice went to the doubted zone")
		}
	}
	tries := 0
	for end := r.now + 2000; r.now < end; r.tick(1) {
		if answer(0) {
			tries++
		}
	}
	if tries == 0 || tries > 6 {
		t.Errorf("the zone is tried %d times in seven aims", tries)
	}
	for id, s := range waiting {
		r.outcome(id, 0, s, Timeout, 600)
	}
	r.b.liftSuspicion(1)
	for _, s := range r.b.servers {
		if s.zone == 1 {
			if s.state == Unhealthy && s.unresponsive && s.since >= r.now-1000 {
				t.Errorf("what was held against %v stays", s.id)
			}
		}
	}
	before := tries
	for range 60 { // they are validated, one after the other
		if answer(0) {
			tries++
		}
	}
	if tries-before < 6 || r.b.zoneSuspicion.Of(1) {
		t.Errorf("after its answer the zone gets %d of 60", tries-before)
	}
}

// South's rough days: a server that failed often rests long while others can take
// its requests, but is tried again at once while they are full.
func TestFailingServerIsTriedAgainWhileOthersAreFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newRig(t, testSettings(), 4)
		bad := r.b.byAddr[addr(0)]
		for range 3 {
			r.b.enter(bad, Connected)
			r.b.demote(bad, false)
		}
		if full {
			for range 40 { // more than the other windows hold
				r.ask(0, 0)
			}
		}
		r.now += r.b.minLatencyTarget + 1
		r.ask(0, 0)
		if tried := bad.state == UnhealthyPending; tried != full {
			t.Errorf("others full: %v; failing server tried after one aim: %v", full, tried)
		}
	}
}

// Failures that all servers share, as of a network that breaks connections, cost none of
// them a strike, its window or its hold; one that fails more than the others is demoted.
func TestFailuresOfTheWholeFleetCostNoStrike(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	end := func(id RequestID, s cluster.Addr, st Status) {
		r.now += 20
		r.outcome(id, 0, s, st, 20)
	}
	failed := map[cluster.Addr]int{}
	for i := range 600 {
		id, s := r.sent(1, 0)
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
	id, s := r.sent(1, 0)
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
		t.Fatalf("fails half of all: state %d, strikes %d to %d", srv.state, strikes, srv.strikes)
	}
}

// Kyushu's and south's failing servers: what must not run twice would be lost on a
// server that is only being checked.
func TestSingleShotDoesNotCheckAServer(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	bad := r.b.byAddr[addr(0)]
	r.b.enter(bad, UnhealthyPending)
	free, once := 0, 0
	for range 200 {
		r.now += 10
		for class, n := range []*int{&free, &once} {
			id, s := r.sent(class, uint64(r.b.rng.Int64()))
			if s == bad.id {
				*n++
			}
			r.outcome(id, 0, s, OK, 5)
			r.b.enter(bad, UnhealthyPending)
		}
	}
	if free == 0 || once > 0 {
		t.Errorf("a pending server was checked by %d free and %d single shot requests; want some and none", free, once)
	}
}

// i8d4be0, ifafc7b: held requests that wait for their key's servers must not
// keep others from servers that have room.
func TestWaitingForAKeyBlocksNobody(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	for range 30 {
		r.ask(0, 42) // one key: fills its two servers, the rest are held
	}
	if len(r.b.queue) == 0 {
		t.Fatal("nothing is held; the test does not test what it says")
	}
	free := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := r.ask(0, key); find(actions, ActSend) != nil {
			free++
		}
	}
	if free == 0 {
		t.Error("requests for idle servers were held behind a crowded key")
	}
}

func TestCrowdedWindowShrinks(t *testing.T) {
	set := testSettings()
	set.Replicas = 20 // many, as on ie9df20: each sees little of the load
	r := newRig(t, set, 1)
	srv := r.b.servers[0]
	for range 300 { // long enough to know the calm answer time
		id, s := r.sent(0, 1)
		r.now += 20
		r.outcome(id, 0, s, OK, 20)
	}
	grown := srv.window
	for range 200 {
		if id, actions := r.ask(0, 1); find(actions, ActSend) != nil {
			r.now += 140
			r.outcome(id, 0, srv.id, OK, 140)
		}
		r.now += 10
	}
	if srv.window >= grown {
		t.Errorf("answers took seven times as long and the window went from %.2f to %.2f", grown, srv.window)
	}
	// ie9df20: with many agents one attempt of each keeps a tipped server busy.
	if srv.window >= 1 {
		t.Errorf("a tipped server is not left to rest: window %.2f", srv.window)
	}
}

// The client's retry of a hopeless request is judged by the client's time.
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

func TestListIsFollowedAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := find(b.Start(0, nil), ActTimer)
	if first == nil || first.Ms > set.Contract.AskWithinMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if find(b.Handle(first.Ms, &Event{Kind: EvTimer, Token: first.Token}, nil), ActFollow) == nil {
		t.Fatal("the timer did not subscribe")
	}
	for range 8 {
		again := find(b.Handle(first.Ms, &Event{Kind: EvList, List: cluster.ListFailed}, nil), ActTimer)
		if again == nil || again.Ms > set.Contract.AskWithinMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", again)
		}
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for key, spoil := range map[string]func(*settings.Settings){
		"classes":             func(s *settings.Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *settings.Settings) { s.Classes[0].AimMs = math.NaN() },
		"classes[1].giveUpMs": func(s *settings.Settings) { s.Classes[1].GiveUpMs = -1 },
		"classes[0].effect":   func(s *settings.Settings) { s.Classes[0].Effect = "maybe" },
		"classes[2].group":    func(s *settings.Settings) { s.Classes[2].Group = "moon" },
		"contract.coldMs":     func(s *settings.Settings) { s.Contract.ColdMs = -5 },
		"prices.handshake":    func(s *settings.Settings) { s.Prices.Handshake = math.NaN() },
		"limits.keepaliveMs":  func(s *settings.Settings) { s.Limits.KeepaliveMs = math.Inf(1) },
		"membershipMode":      func(s *settings.Settings) { s.Membership = "" },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), key) {
			t.Errorf("spoilt %s: error %v does not name it", key, err)
		}
	}
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func ExampleBalancer() {
	settings := settings.Settings{
		Classes:    []settings.Class{{Name: "read", AimMs: 200, GiveUpMs: 800, Effect: settings.Free, Credit: 1}},
		Limits:     settings.Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []cluster.Entry{{Server: cluster.Addr{10, 0, 0, 1, 0x1f, 0x90}, Health: cluster.Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EvList, List: cluster.ListFull, Entries: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: 1, Key: 7, LeftMs: 800}, nil) {
		if a.Kind == ActSend {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// i452d3e: windows that grew before calm was known crowded the servers, and the
// crowded time became the measure of calm.
func TestNoWindowGrowsBeforeCalmIsKnown(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 50 - 1 {
		id, s := r.sent(0, r.b.rng.Uint64())
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
			if id, actions := r.ask(0, r.b.rng.Uint64()); find(actions, ActSend) != nil {
				ids, tos = append(ids, id), append(tos, find(actions, ActSend).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.outcome(ids[i], 0, tos[i], OK, 20)
		}
	}
	if w := max(r.b.servers[0].window, r.b.servers[1].window); w <= firstWindow {
		t.Errorf("no window grew once calm was known: %.2f", w)
	}
}

// i7e1314: the class of least worth was starved though the worst class counts.
func TestWorstClassCountsAmongHeld(t *testing.T) {
	set := testSettings()
	set.Objective = settings.Objective{Whole: 0.5, WorstClass: 0.5}
	r := newRig(t, set, 2)
	once, free := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // of class 1 all are served, of class 0 none
		r.b.classValue.Asked(0)
		r.b.classValue.Asked(1)
		r.b.classValue.Won(1)
	}
	with := r.b.value(free) / r.b.value(once)
	for range 2000 { // and now the other way round
		r.b.classValue.Asked(0)
		r.b.classValue.Asked(1)
		r.b.classValue.Won(0)
	}
	if without := r.b.value(free) / r.b.value(once); with <= without {
		t.Errorf("the starved class weighs %.2f, when served well %.2f", with, without)
	}
}

// Crossing zones costs time and a price: of many keys more stay in the own zone
// than its servers' part, and still most other servers are used.
func TestOwnZoneIsPreferredByKey(t *testing.T) {
	r := newRig(t, testSettings(), 6) // zones 0 and 1 in turn; this agent is in 0
	own, used, all := 0, map[cluster.Addr]bool{}, 600
	for key := range uint64(all) {
		id, s := r.sent(0, arith.Mix(key+1))
		r.outcome(id, 0, s, OK, 20)
		used[s] = true
		if r.b.byAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(all); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("own zone got %.2f of the keys over %d servers, want about 0.6 over 6", share, len(used))
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
	actions := r.do(Event{Kind: EvOutcome, Request: id, Attempt: 0, Server: s, Status: Reset, LatencyMs: 2000, Final: true})
	if find(actions, ActSend) != nil || find(actions, ActFail) != nil || len(r.b.requests) != 0 {
		t.Errorf("a stream that broke: %+v, %d requests kept", actions, len(r.b.requests))
	}
}

// id753de: with many agents, each with one request out, a popular key put twenty times
// the mean on one server. Few agents leave it to the cap; a rare key stays whole.
func TestPopularKeyIsSplitWhereTheCapIsBlind(t *testing.T) {
	for _, c := range []struct {
		agents, every int
		least, most   int
	}{
		{1000, 4, 5, 40},  // a quarter of the traffic, many agents: spread
		{2, 4, 1, 1},      // the same, two agents: the cap sees enough
		{1000, 150, 1, 1}, // rare: its server keeps it warm
	} {
		set := testSettings()
		set.Replicas = c.agents
		r := newRig(t, set, 40)
		used := map[cluster.Addr]bool{}
		for i := range 1200 {
			r.now += 20
			key := uint64(1000 + i)
			if i%c.every == 0 {
				key = 7
			}
			id, s := r.sent(0, key)
			if key == 7 && i > 128 {
				used[s] = true
			}
			r.outcome(id, 0, s, OK, 20)
		}
		if len(used) < c.least || len(used) > c.most {
			t.Errorf("%d agents, one request in %d: the key used %d servers, want %d to %d",
				c.agents, c.every, len(used), c.least, c.most)
		}
	}
}

// i86bcad, i5db14f: each of many agents sent every refused or full request on, and all
// together kept the servers too full to serve any. What fails leaves less to send.
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

// id753de: a quiet agent of many met each of hundreds of servers once a minute. It keeps
// to a subset it meets often; agents' subsets differ, so that each server has its share;
// a busy agent uses the whole fleet, and what is down in the subset is replaced.
func TestQuietAgentsKeepToASubset(t *testing.T) {
	for _, c := range []struct {
		gap         float64 // ms between requests
		least, most int
	}{{400, minSubset, 16}, {4, 50, 60}} {
		all := map[cluster.Addr]int{}
		for index := range 30 {
			set := testSettings()
			set.Limits.KeepaliveMs, set.Replicas, set.Index = 10000, 1000, index
			set.Prices.Handshake = 0.1
			r := newRig(t, set, 60)
			r.b.demote(r.b.servers[0], true)
			used := map[cluster.Addr]bool{}
			for range 300 {
				r.now += c.gap
				r.b.servers[0].since = r.now // stays Unhealthy
				id, s := r.sent(0, r.b.rng.Uint64())
				r.outcome(id, 0, s, OK, 3)
				if used[s] = true; s == r.b.servers[0].id {
					t.Fatal("an Unhealthy server of the subset was not replaced")
				}
			}
			if len(used) < c.least || len(used) > c.most {
				t.Fatalf("a request each %.0f ms used %d servers, want %d to %d", c.gap, len(used), c.least, c.most)
			}
			for s := range used {
				all[s]++
			}
		}
		if len(all) < 58 {
			t.Errorf("30 agents used %d of 60 servers together", len(all))
		}
	}
}

// id753de: a quiet agent checked each slow server again after one aim, with a request.
func TestQuietAgentHoldsAFailedServerLonger(t *testing.T) {
	for _, probing := range []bool{false, true} {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Limits.Probing = 10000, probing
		r := newRig(t, set, 20)
		var s cluster.Addr
		for range 60 {
			r.now += 500
			var id RequestID
			id, s = r.sent(0, r.b.rng.Uint64())
			r.outcome(id, 0, s, OK, 20)
		}
		r.b.demote(r.b.byAddr[s], true)
		if hold := r.b.unhealthyHold(r.b.byAddr[s]); probing != (hold < 1000) {
			t.Errorf("probing %v: held for %.0f ms, two requests a second over 20 servers", probing, hold)
		}
	}
}

// Olive's quiet day: with a price on crossing, the own zone was given half of what it
// could serve. It gets more while it answers as fast as the rest, and gives it back.
func TestOwnZoneGetsMoreWhileItIsQuick(t *testing.T) {
	set := testSettings()
	set.Prices.CrossZone = 0.08
	r := newRig(t, set, 6)
	play := func(homeMs float64) float64 {
		own := 0
		for range 400 {
			r.now += 50
			id, s := r.sent(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.byAddr[s].zone == 0 {
				own++
				rtt = homeMs
			}
			r.outcome(id, 0, s, OK, rtt)
		}
		return float64(own) / 400
	}
	play(20)
	if quick := play(20); quick < 0.8 {
		t.Errorf("the own zone is as fast as the rest and got %.2f", quick)
	}
	play(40)
	if slow := play(40); slow > 0.7 {
		t.Errorf("the own zone is twice as slow as the rest and got %.2f", slow)
	}
}

// i5db14f: machines 2.5 times apart got equal shares, and the small ones choked. Where
// the list tells no weights a kind's answer times do.
func TestSlowKindOfMachineGetsLess(t *testing.T) {
	for _, weights := range []string{"off", "nominal"} {
		set := testSettings()
		set.Weights = weights
		r := newRig(t, set, 0)
		var entries []cluster.Entry
		for i := range 8 {
			entries = append(entries, cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1, Kind: i % 2})
		}
		r.list(cluster.ListFull, entries...)
		slow := 0
		for i := range 1200 {
			r.now += 50
			id, s := r.sent(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.byAddr[s].kind == 1 {
				rtt = 50
				if i >= 600 {
					slow++
				}
			}
			r.outcome(id, 0, s, OK, rtt)
		}
		if even := slow > 250; even != (weights == "nominal") {
			t.Errorf("weights %q: the slow half of the fleet got %d of 600 requests", weights, slow)
		}
	}
}

// Legal but odd values must not poison what is learned, and each request is answered once.
func TestOddValuesAreSurvived(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
	r := newRig(t, testSettings(), 3)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(9), Health: cluster.Gone}, cluster.Entry{Server: addr(1), Health: cluster.Draining})
	final := map[RequestID]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActRefuse || a.Kind == ActFail {
				final[a.Request]++
			}
		}
	}
	for i, x := range odd {
		r.list(cluster.ListDelta, cluster.Entry{Server: addr(2), Health: cluster.Ready, Weight: x, SinceMs: x})
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			r.id++
			actions := r.do(Event{Kind: EvRequest, Request: r.id, Class: class, Tenant: -i, Key: 5, LeftMs: x, HintMs: x, HasHint: true})
			count(actions)
			if a := find(actions, ActSend); a != nil {
				r.now++
				st := []Status{OK, Error, Timeout}[i%3]
				final[r.id] += map[Status]int{OK: 1}[st]
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, -1, a.Server, st, x))
			}
		}
	}
	for range 300 {
		r.now += 10
		count(r.do(Event{Kind: EvTimer, Token: tickToken}))
		for id := RequestID(1); id <= r.id; id++ { // what went out again ends too
			if q := r.b.requests[id]; q != nil && q.inFlight > 0 {
				a := q.attempts[len(q.attempts)-1]
				count(r.outcome(id, a.index, a.s.id, Timeout, 10))
			}
		}
	}
	for id := RequestID(1); id <= r.id; id++ {
		if final[id] > 1 || final[id] == 0 && r.b.requests[id] == nil {
			t.Errorf("request %d has %d final answers", id, final[id])
		}
	}
	if x := r.b.normalLatency.Fleet + r.b.needs.MeanHint + r.b.needs.Of(0, 5) + r.b.normalLatency.Least + r.b.needs.Mean(0); math.IsNaN(x) || math.IsInf(x, 0) {
		t.Errorf("odd values poisoned the means: %v", x)
	}
}

// Found by the fuzzer: a keyed request ahead of the first list crashed the agent.
func TestKeyedRequestBeforeTheFirstList(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	b.Handle(1, &Event{Kind: EvRequest, Request: 1, Class: 0, Key: 5, LeftMs: 600}, nil)
	b.Handle(2, &Event{Kind: EvTimer, Token: tickToken}, nil)
	list := []cluster.Entry{{Server: addr(1), Health: cluster.Ready, Weight: 1}}
	if a := find(b.Handle(3, &Event{Kind: EvList, List: cluster.ListFull, Entries: list}, nil), ActSend); a == nil || a.Request != 1 {
		t.Error("the request was not sent once there was a list")
	}
}

// ifa5a01: the fleet doubled, and quiet agents, each sending to a subset, earned the new
// servers the credit of a whole fleet's share: they idled while the old ones were crowded.
func TestColdCreditIsReckonedByTheSubset(t *testing.T) {
	earned := func(keepalive float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepalive, 0.1
		r := newRig(t, set, 64)
		r.list(cluster.ListDelta, cluster.Entry{Server: addr(99), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
		cold := r.b.byAddr[addr(99)]
		cold.slowStartCredit = 0
		r.b.earnSlowStartCredit(r.b.byAddr[addr(0)], 1)
		return cold.slowStartCredit
	}
	if whole, part := earned(0), earned(10000); part < 3.5*whole || whole <= 0 {
		t.Errorf("credit earned: %.5f sending to 65 servers, %.5f to 16 of them; want four times", whole, part)
	}
}

// The clock may start anywhere, and a request may come with no time left: it is still
// answered, once, and ordinary ones are served as ever.
func TestClockStartsAnywhereAndNoTimeLeft(t *testing.T) {
	for _, start := range []float64{-1e7, 0, 1e13} {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: start}
		b.Start(start, nil)
		r.list(cluster.ListCached, cluster.Entry{Server: addr(0), Health: cluster.Ready, Weight: 1}, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1})
		for _, left := range []float64{0, -5, 600} {
			r.id++
			finals, actions := 0, r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 3, LeftMs: left})
			a := find(actions, ActSend)
			if (a != nil) != (left > 0) {
				t.Fatalf("clock %v, %v ms left: sent %v", start, left, a != nil)
			}
			if a != nil {
				r.now += 20
				r.outcome(r.id, 0, a.Server, OK, 20)
				finals++
			}
			for range 3 {
				for _, a := range append(actions, r.tick(10)...) {
					if a.Request == r.id && (a.Kind == ActRefuse || a.Kind == ActFail) {
						finals++
					}
				}
				actions = nil
			}
			if finals != 1 || r.b.requests[r.id] != nil {
				t.Errorf("clock %v, %v ms left: %d final answers", start, left, finals)
			}
		}
	}
}

// An agent that may have few requests open refuses what it can't hold at once, the
// least valuable first, and never what is already out.
func TestOpenCapRefusesAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.OpenCap = 4
	r := newRig(t, s, 1)
	sent, refused := 0, 0
	for range 10 {
		_, actions := r.ask(0, 0)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				sent++
			case ActRefuse:
				refused++
			case ActFail:
				t.Error("failed what never ran")
			}
		}
	}
	if sent == 0 || sent >= 4 || refused != 6 {
		t.Errorf("sent %d and refused %d of 10, want some sent and 6 refused", sent, refused)
	}
}

// A keyed repeat must go out within its window, and any attempt with the time left that its work
// needs; whoever sends it is told so: coming to a connection may take longer.
func TestRepeatsHaveALastMoment(t *testing.T) {
	for class, want := range []bool{false, false, true} {
		set := testSettings()
		set.Classes[2].KeyTTLMs = 200
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
		if left := set.Classes[2].KeyTTLMs - 100 - 2*set.RoundMs; (a.BeginMs == left) != want || !want && a.BeginMs != inTime || left >= inTime {
			t.Errorf("class %d: to begin within %v ms, %v are left of the window, %v of the time", class, a.BeginMs, left, inTime)
		}
	}
}

// Where all servers are cold, none has a warm one to go by. Requests are served all the
// same, by all agents together at no more than about two at a time and server.
func TestAllServersCold(t *testing.T) {
	for _, agents := range []int{1, 4, 40} {
		const servers = 3
		sent := 0
		for i := range agents {
			set := testSettings()
			set.Replicas, set.Index = agents, i
			r := newRig(t, set, 0)
			r.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
			var all []cluster.Entry
			for j := range servers {
				all = append(all, cluster.Entry{Server: addr(j), Health: cluster.Ready, Weight: 1, SinceMs: r.now - 10})
			}
			r.list(cluster.ListFull, all...)
			var out []Action
			for range 1000 / 5 { // for a second, asked all the time, answered after 20 ms
				_, actions := r.ask(0, 0)
				actions = append(actions, r.tick(5)...)
				if len(out) > 0 {
					actions = append(actions, r.outcome(out[0].Request, 0, out[0].Server, OK, 20)...)
					out = out[1:]
				}
				for _, a := range actions {
					if a.Kind == ActSend {
						sent++
						out = append(out, a)
					}
				}
			}
		}
		expect := 300 * calm.CrowdShare / 2 // the mean answer time that is taken for granted at first
		if most := 3 * servers * 1000 / expect * 2; sent == 0 || float64(sent) > most {
			t.Errorf("%d agents: %d sent in a second, want some and at most %.0f", agents, sent, most)
		}
	}
}

// What no server can end in time is answered at once and never sent: with no time left, with some
// that is too little for the class, and as a retry that comes too late.
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

// A server that answers later than the others is not begun on with the time that is enough for them,
// and each send tells until when it may begin.
func TestASlowServerNeedsMoreTime(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 2)
	a, b := r.b.byAddr[addr(0)], r.b.byAddr[addr(1)]
	r.b.normalLatency.Fleet, a.latencyRatio, b.latencyRatio = 0.1, 0.1, 0.9
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
		a.latencyRatio, b.latencyRatio, r.b.normalLatency.Fleet = 0.1, 0.9, 0.1
		need = r.b.needs.Mean(0) / 2
	}
}

// In an outage in which all is answered by errors, retries are a part of what comes, not its double,
// and those without budget are answered at once.
func TestRetriesHaveABudget(t *testing.T) {
	set := testSettings()
	set.Replicas = 1
	r := newRig(t, set, 40)
	sends, asked := 0, 0
	for range 1500 {
		r.now += 2
		r.id++
		asked++
		r.b.throttle = budget.NewThrottle(1) // left out here: it would hold all back
		acts := r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: uint64(r.id), LeftMs: 600})
		for try := 0; ; try++ {
			send := find(acts, ActSend)
			if send == nil {
				break
			}
			sends++
			r.now += 0.1
			r.b.throttle = budget.NewThrottle(1)
			for _, s := range r.b.servers { // none is held for its failures
				s.state, s.strikes = Connected, 0
			}
			acts = r.outcome(send.Request, try, send.Server, Error, 5)
			if find(acts, ActSend) == nil && find(acts, ActRefuse) == nil && find(acts, ActFail) == nil && r.b.requests[send.Request] != nil && len(r.b.queue) == 0 {
				t.Fatalf("neither sent again nor answered: %+v", acts)
			}
		}
	}
	if again := float64(sends-asked) / float64(asked); again < 0.1 || again > 0.35 {
		t.Errorf("%d attempts for %d requests", sends, asked)
	}
}

// An attempt that reached no server takes nothing from the budget of retries.
func TestUnreachedServersCostNoRetry(t *testing.T) {
	for _, st := range []Status{ConnectFailed, NoWay, Full} {
		r := newRig(t, testSettings(), 4)
		for r.b.retries.Take(0, r.now, 0) {
		}
		id, s := r.sent(0, 5)
		acts := r.outcome(id, 0, s, st, 1)
		if again := find(acts, ActSend) != nil; again != (st != Full) {
			t.Errorf("status %d with no budget left: sent again %v", st, again)
		}
	}
}

// Those that are refused in one moment are not all told to come back in one.
func TestAdviceIsSpread(t *testing.T) {
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

// A cold server that has answered nothing gets one request at a time, whatever its first window.
func TestAColdServerThatSaysNothing(t *testing.T) {
	r := newRig(t, testSettings(), 0)
	r.list(cluster.ListCached, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	s := r.b.byAddr[addr(1)]
	sent := 0
	for range 50 {
		r.now += r.b.needs.Mean(0) / 4
		if _, acts := r.ask(0, 0); find(acts, ActSend) != nil {
			sent++
		}
		if len(s.inFlight) > 1 {
			t.Fatalf("%d out on a cold server that never answered", len(s.inFlight))
		}
	}
	if sent != 1 {
		t.Errorf("%d sent", sent)
	}
}

// Nor do cancels make room on it: whether it has answered nothing or slowly, requests that are
// cancelled at once come no faster than an aim, or twice its own answer time, allows.
func TestCancelsMakeNoRoomOnAColdServer(t *testing.T) {
	for _, rtt := range []float64{0, 200} {
		set := testSettings()
		set.Replicas = 1
		r := newRig(t, set, 0)
		r.list(cluster.ListCached, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
		s := r.b.byAddr[addr(1)]
		if s.rtt = rtt; rtt > 0 {
			s.state, s.lastContact, s.sentAt = Connected, r.now, r.now
		}
		sent, began := 0, r.now
		for r.now < began+3000 {
			r.now += 5
			id, acts := r.ask(0, 0)
			if find(acts, ActSend) == nil {
				r.do(Event{Kind: EvDropped, Request: id})
				continue
			}
			sent++
			r.do(Event{Kind: EvDropped, Request: id})
			r.outcome(id, 0, addr(1), Cancelled, 1)
		}
		if most := int(3000/cmp.Or(rtt/2, set.Classes[0].AimMs)) + 1; sent > most || sent < most/3 {
			t.Errorf("answer time %v: %d sent in 3 s, at most %d", rtt, sent, most)
		}
	}
}

// A crowd of clients that leave in time says nothing of the servers: the next is sent at once. Those
// that leave after their aim have waited too long, and hold the agent back as failures do.
func TestACrowdThatLeavesBlamesNobody(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newRig(t, testSettings(), 16)
		type out struct {
			id RequestID
			s  cluster.Addr
		}
		var all []out
		for i := range 24 {
			id, acts := r.ask(1, uint64(i))
			if a := find(acts, ActSend); a != nil {
				all = append(all, out{id, a.Server})
			}
		}
		if r.now += 20; late {
			r.now += 400
		}
		for _, o := range all {
			r.do(Event{Kind: EvDropped, Request: o.id})
		}
		for _, o := range all {
			r.outcome(o.id, 0, o.s, Cancelled, 20)
		}
		_, acts := r.ask(1, 99)
		if len(all) < 10 || (find(acts, ActSend) == nil) != late {
			t.Errorf("late %v: %d had been sent, then %+v", late, len(all), acts)
		}
	}
}
