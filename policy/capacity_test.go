package policy

import (
	"cmp"
	"math/rand/v2"
	"testing"

	"molepaddle/internal/decide/calm"
	"molepaddle/internal/decide/cluster"
)

// A server in slow start gets no more than its share of the requests, even after a time without requests.
func TestSlowStartBudget(t *testing.T) {
	r := newHarness(t, testSettings(), 5)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(4), Health: cluster.Ready, Weight: 1, SinceMs: r.now - 10})
	got, all := 0, 2000
	for range all {
		r.now++
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		if s == addr(4) {
			got++
		}
		r.outcome(id, 0, s, OK, 20)
	}
	even := float64(all) / 4
	// Its answers are fast, so its share grows: to half of the load that would overload it.
	if limit := even * 0.36 * r.b.set.Contract.OverloadFactor / 2 * 1.1; float64(got) > limit || got == 0 {
		t.Errorf("a server in slow start got %d of %d sends, want some and at most %.0f", got, all, limit)
	}
}

// i86bcad: attempts rejected by servers past slow start were counted as served, and during a retry storm the
// agents overloaded the servers in slow start.
func TestRejectedAttemptsEarnNoSlowStartCredit(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(4), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	starting := r.b.byAddr[addr(4)]
	for _, st := range []Status{Full, OK} {
		starting.slowStartCredit = -1
		id, s := r.mustSend(1, 7)
		r.outcome(id, 0, s, st, 20)
		if earned := starting.slowStartCredit > -1; earned != (st == OK) {
			t.Errorf("status %d: slow-start credit went from -1 to %.3f", st, starting.slowStartCredit)
		}
	}
}

// i299663: 69 requests, each hinted at ten times the mean work, overloaded a server in slow start.
func TestSlowStartIsChargedForCostlyRequests(t *testing.T) {
	r := newHarness(t, testSettings(), 3)
	r.b.answerTimes.MeanHint = 50
	if c := r.b.cost(&request{hint: 1}); c != 1 {
		t.Errorf("a request with a small hint costs %.2f mean requests, want 1", c)
	}
	if c := r.b.cost(&request{hint: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f mean requests, want 4", c)
	}
}

// Each of many agents with little traffic earns a server in slow start a fraction of a request. Together they
// must send it about the sum of the fractions, neither no request nor one each.
func TestManyLowTrafficAgentsShareSlowStartCredit(t *testing.T) {
	got, agents, each := 0, 400, 20
	for seed := range agents {
		r, entries := newSeededHarness(t, uint64(seed))
		entries[0].SinceMs = r.now
		r.list(cluster.ListFull, entries...)
		for range each {
			id, s := r.mustSend(0, r.b.rng.Uint64())
			if s == addr(0) {
				got++
			}
			r.outcome(id, 0, s, OK, 20)
		}
	}
	c := testSettings().Contract
	share := float64(agents*each) / 9 * c.SlowStartFraction * c.OverloadFactor / 4
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("%d agents sent a server in slow start %d requests, want up to about %.0f", agents, got, share)
	}
}

// With 36 of 60 servers new, each got a quarter of the load that it could serve, while the others were
// overloaded. Fast answers of servers in slow start must raise their share, late ones lower it.
func TestSlowStartAnswersSetTheirShare(t *testing.T) {
	sends := map[float64]int{}
	for _, rtt := range []float64{10, 450} {
		for seed := range 100 {
			r, entries := newSeededHarness(t, uint64(seed))
			r.list(cluster.ListFull, entries...)
			for range 60 {
				id, s := r.mustSend(0, 0)
				r.outcome(id, 0, s, OK, 20)
			}
			for i := range 6 {
				entries[i].SinceMs = r.now
			}
			r.list(cluster.ListFull, entries...)
			for range 200 {
				r.now += 10
				id, s := r.mustSend(0, 0)
				took := 20.0
				if r.b.slowStartFactor(r.b.byAddr[s]) < 1 {
					sends[rtt]++
					took = rtt
				}
				r.outcome(id, 0, s, OK, took)
			}
		}
	}
	if quick, late := sends[10], sends[450]; float64(quick) < 1.3*float64(late) || late == 0 {
		t.Errorf("fast servers in slow start got %d requests, late ones %d", quick, late)
	}
}

// i5d0607: a zone failed and only servers in slow start were left.
func TestSlowStartServersServeWhenTheOthersFailed(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, s := r.mustSend(0, uint64(r.b.rng.Int64()))
		r.outcome(id, 0, s, OK, 20)
	}
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(2), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	r.b.byAddr[addr(2)].sentAt = 0
	for i := range 2 {
		r.b.demote(r.b.byAddr[addr(i)], true)
	}
	if _, s := r.mustSend(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the server in slow start", s)
	}
}

// ifa5a01: the fleet doubled, and agents with little traffic, each sending to a subset, computed the credit of
// new servers from the weight of all servers. The new servers idled while the old ones were overloaded.
func TestSlowStartCreditCountsTheSubset(t *testing.T) {
	earned := func(keepalive float64) float64 {
		set := testSettings()
		set.Limits.KeepaliveMs, set.Prices.Handshake = keepalive, 0.1
		r := newHarness(t, set, 64)
		r.list(cluster.ListDelta, cluster.Entry{Server: addr(99), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
		starting := r.b.byAddr[addr(99)]
		starting.slowStartCredit = 0
		r.b.earnSlowStartCredit(r.b.byAddr[addr(0)], 1)
		return starting.slowStartCredit
	}
	if all, subset := earned(0), earned(10000); subset < 3.5*all || all <= 0 {
		t.Errorf("credit earned: %.5f sending to 65 servers, %.5f to 16 of them; want four times", all, subset)
	}
}

// If all servers are in slow start, their share can't be derived from others. Requests are still served, with
// no more than about two in flight per server by all agents together.
func TestAllServersInSlowStart(t *testing.T) {
	for _, agents := range []int{1, 4, 40} {
		const servers = 3
		sent := 0
		for i := range agents {
			set := testSettings()
			set.Replicas, set.Index = agents, i
			r := newHarness(t, set, 0)
			r.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
			var all []cluster.Entry
			for j := range servers {
				all = append(all, cluster.Entry{Server: addr(j), Health: cluster.Ready, Weight: 1, SinceMs: r.now - 10})
			}
			r.list(cluster.ListFull, all...)
			var out []Action
			for range 1000 / 5 { // one second: a request every 5 ms, at most one answer per step
				_, actions := r.startRequest(0, 0)
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
		expect := 300 * calm.MaxTargetFraction / 2 // initial estimate of the mean answer time, ms
		if most := 3 * servers * 1000 / expect * 2; sent == 0 || float64(sent) > most {
			t.Errorf("%d agents: %d sent in a second, want some and at most %.0f", agents, sent, most)
		}
	}
}

// A server in slow start that has not answered yet gets one request at a time, whatever its initial window.
func TestUnresponsiveServerInSlowStart(t *testing.T) {
	r := newHarness(t, testSettings(), 0)
	r.list(cluster.ListCached, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
	s := r.b.byAddr[addr(1)]
	sent := 0
	for range 50 {
		r.now += r.b.answerTimes.Mean(0) / 4
		if _, acts := r.startRequest(0, 0); find(acts, ActSend) != nil {
			sent++
		}
		if len(s.inFlight) > 1 {
			t.Fatalf("%d in flight at a server in slow start that never answered", len(s.inFlight))
		}
	}
	if sent != 1 {
		t.Errorf("%d attempts sent, want 1", sent)
	}
}

// Cancelled attempts free no capacity at a server in slow start: attempts that are cancelled at once are sent
// no faster than one per latency target if it has not answered yet, or one per half of its answer time.
func TestCancelledAttemptsFreeNoCapacityInSlowStart(t *testing.T) {
	for _, rtt := range []float64{0, 200} {
		set := testSettings()
		set.Replicas = 1
		r := newHarness(t, set, 0)
		r.list(cluster.ListCached, cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1, SinceMs: r.now})
		s := r.b.byAddr[addr(1)]
		if s.rtt = rtt; rtt > 0 {
			s.state, s.lastContact, s.sentAt = Connected, r.now, r.now
		}
		sent, began := 0, r.now
		for r.now < began+3000 {
			r.now += 5
			id, acts := r.startRequest(0, 0)
			if find(acts, ActSend) == nil {
				r.handle(Event{Kind: EvDropped, Request: id})
				continue
			}
			sent++
			r.handle(Event{Kind: EvDropped, Request: id})
			r.outcome(id, 0, addr(1), Cancelled, 1)
		}
		if most := int(3000/cmp.Or(rtt/2, set.Classes[0].LatencyTargetMs)) + 1; sent > most || sent < most/3 {
			t.Errorf("answer time %v: %d sent in 3 s, at most %d", rtt, sent, most)
		}
	}
}
