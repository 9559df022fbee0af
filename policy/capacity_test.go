package policy

import (
	"cmp"
	"math/rand/v2"
	"testing"

	"molepaddle/internal/decide/calm"
	"molepaddle/internal/decide/cluster"
)

// A server in slow start gets no more than its share, even after a time without requests.
func TestSlowStartBudget(t *testing.T) {
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
	if limit := even * 0.36 * r.b.set.Contract.OverloadFactor / 2 * 1.1; float64(got) > limit || got == 0 {
		t.Errorf("a cold server got %d of %d sends; want some, and at most %.0f", got, all, limit)
	}
}

// i86bcad: attempts that servers past slow start rejected were counted as what they serve, and a storm of
// them let the agents overload those in slow start.
func TestRejectedAttemptsEarnNoSlowStartCredit(t *testing.T) {
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

// i299663: 69 requests hinted as ten mean ones overloaded a server in slow start.
func TestSlowStartIsChargedForCostlyRequests(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.b.needs.MeanHint = 50
	if c := r.b.cost(&request{hint: 1}); c != 1 {
		t.Errorf("a request hinted small costs %.2f mean ones, want 1", c)
	}
	if c := r.b.cost(&request{hint: 200}); c != 4 {
		t.Errorf("a request hinted at four times the mean costs %.2f, want 4", c)
	}
}

// Many agents with few requests: each earns a server in slow start a small part of one request. Together they
// are to send it what the parts add up to: neither nothing nor one each.
func TestManyQuietAgentsShareSlowStartCredit(t *testing.T) {
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
	share := float64(agents*each) / 9 * c.SlowStartFraction * c.OverloadFactor / 4
	if float64(got) > share*1.3 || float64(got) < share*0.2 {
		t.Errorf("%d agents sent a cold server %d requests, want up to about %.0f", agents, got, share)
	}
}

// 36 of 60 servers were new and each had a quarter of what it could serve, while the others were overloaded:
// quick answers of servers in slow start earn them more, late ones less.
func TestSlowStartAnswersSetTheirShare(t *testing.T) {
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

// i5d0607: a zone was lost and only servers in slow start were left.
func TestSlowStartServersServeWhenTheOthersFailed(t *testing.T) {
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

// ifa5a01: the fleet doubled, and agents with few requests, each sending to a subset, earned the new servers
// the credit of all servers' share: they idled while the old ones were overloaded.
func TestSlowStartCreditCountsTheSubset(t *testing.T) {
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

// Where all servers are in slow start, nothing tells a share. Requests are served all the same, by all agents
// together at no more than about two at a time and server.
func TestAllServersInSlowStart(t *testing.T) {
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
		expect := 300 * calm.MaxTargetFraction / 2 // the mean answer time that is taken for granted at first
		if most := 3 * servers * 1000 / expect * 2; sent == 0 || float64(sent) > most {
			t.Errorf("%d agents: %d sent in a second, want some and at most %.0f", agents, sent, most)
		}
	}
}

// A server in slow start that has answered nothing gets one request at a time, whatever its first window.
func TestUnresponsiveServerInSlowStart(t *testing.T) {
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

// Nor do cancels free capacity on it: whether it has answered nothing or slowly, requests that are cancelled
// at once come no faster than the latency target, or twice its own answer time, allows.
func TestCancelsFreeNoCapacityInSlowStart(t *testing.T) {
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
		if most := int(3000/cmp.Or(rtt/2, set.Classes[0].LatencyTargetMs)) + 1; sent > most || sent < most/3 {
			t.Errorf("answer time %v: %d sent in 3 s, at most %d", rtt, sent, most)
		}
	}
}
