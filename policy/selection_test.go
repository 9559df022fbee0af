package policy

import (
	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A cap is c times the share of the attempts in flight plus the next one, rounded up, and at least 1.
func TestCap(t *testing.T) {
	c := qt.New(t)
	c.Assert(Cap(1, 0, 1.0/49), qt.Equals, 1.0)
	c.Assert(Cap(1, 8, 1.0/3), qt.Equals, 3.0)
	c.Assert(Cap(1, 9, 1.0/3), qt.Equals, 4.0)
	c.Assert(Cap(1.25, 9, 1.0/2), qt.Equals, 7.0)
	c.Assert(Cap(3, 99, 0.25), qt.Equals, 75.0)
}

func TestEmptyTopTierPassesDown(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 2 {
		id, s := r.mustSend(1, 3)
		r.outcome(id, 0, s, Error, 5)
	}
	if _, s := r.mustSend(0, 3); s == (cluster.Addr{}) {
		t.Error("nothing was sent though Unhealthy servers are the only ones")
	}
}

// i8d4be0, ifafc7b: queued requests that wait for their affinity servers must not delay other requests while
// other servers have capacity.
func TestWaitingForAffinityDoesNotBlockOthers(t *testing.T) {
	r := newHarness(t, testSettings(), 6)
	for range 30 {
		r.startRequest(0, 42) // one key: fills its two servers, further requests are queued
	}
	if len(r.b.queue) == 0 {
		t.Fatal("no request is queued, so the test checks nothing")
	}
	free := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := r.startRequest(0, key); find(actions, ActSend) != nil {
			free++
		}
	}
	if free == 0 {
		t.Error("requests for idle servers were queued behind a hot key")
	}
}

// Cross-zone requests cost time and money: the local zone gets more of the keys than
// its share of the servers, and all other servers are still used.
func TestLocalZoneIsPreferred(t *testing.T) {
	r := newHarness(t, testSettings(), 6) // servers alternate between zones 0 and 1; the agent is in zone 0
	own, used, all := 0, map[cluster.Addr]bool{}, 600
	for key := range uint64(all) {
		id, s := r.mustSend(0, arith.Mix(key+1))
		r.outcome(id, 0, s, OK, 20)
		used[s] = true
		if r.b.byAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(all); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("local zone got %.2f of the keys over %d servers, want about 0.6 over 6", share, len(used))
	}
}

// id753de: with many agents, each with one request in flight, a hot key put twenty times
// the mean load on one server. With few agents the cap suffices; a rare key isn't split.
func TestHotKeyIsSplitAcrossServers(t *testing.T) {
	for _, c := range []struct {
		agents, every int
		least, most   int
	}{
		{1000, 4, 5, 40},  // a quarter of the traffic, many agents: split
		{2, 4, 1, 1},      // the same with two agents: the cap suffices
		{1000, 150, 1, 1}, // rare key: stays cached on one server
	} {
		set := testSettings()
		set.Replicas = c.agents
		r := newHarness(t, set, 40)
		used := map[cluster.Addr]bool{}
		for i := range 1200 {
			r.now += 20
			key := uint64(1000 + i)
			if i%c.every == 0 {
				key = 7
			}
			id, s := r.mustSend(0, key)
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

// id753de: each of many agents with little traffic used each of hundreds of servers once a minute. Such an agent
// must keep to a subset that it uses often. The agents' subsets differ, so that each server gets its share; a
// busy agent uses all servers, and an Unhealthy server of the subset is replaced.
func TestLowTrafficAgentsUseASubset(t *testing.T) {
	for _, c := range []struct {
		gap         float64 // ms between requests
		least, most int
	}{{400, minSubset, 16}, {4, 50, 60}} {
		all := map[cluster.Addr]int{}
		for index := range 30 {
			set := testSettings()
			set.Limits.KeepaliveMs, set.Replicas, set.Index = 10000, 1000, index
			set.Prices.Handshake = 0.1
			r := newHarness(t, set, 60)
			r.b.demote(r.b.servers[0], true)
			used := map[cluster.Addr]bool{}
			for range 300 {
				r.now += c.gap
				r.b.servers[0].since = r.now // stays Unhealthy
				id, s := r.mustSend(0, r.b.rng.Uint64())
				r.outcome(id, 0, s, OK, 3)
				if used[s] = true; s == r.b.servers[0].id {
					t.Fatal("an Unhealthy server of the subset was not replaced")
				}
			}
			if len(used) < c.least || len(used) > c.most {
				t.Fatalf("one request per %.0f ms used %d servers, want %d to %d", c.gap, len(used), c.least, c.most)
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

// With a price on cross-zone requests, the local zone got half of the load that it could serve. It must get more
// while it answers as fast as the other zones, and less again when it is slower.
func TestLocalZoneGetsMoreWhileFast(t *testing.T) {
	set := testSettings()
	set.Prices.CrossZone = 0.08
	r := newHarness(t, set, 6)
	simulate := func(homeMs float64) float64 {
		own := 0
		for range 400 {
			r.now += 50
			id, s := r.mustSend(0, r.b.rng.Uint64())
			rtt := 20.0
			if r.b.byAddr[s].zone == 0 {
				own++
				rtt = homeMs
			}
			r.outcome(id, 0, s, OK, rtt)
		}
		return float64(own) / 400
	}
	simulate(20)
	if quick := simulate(20); quick < 0.8 {
		t.Errorf("the local zone is as fast as the other and got %.2f of the requests", quick)
	}
	simulate(40)
	if slow := simulate(40); slow > 0.7 {
		t.Errorf("the local zone takes twice as long as the other and got %.2f of the requests", slow)
	}
}

// i5db14f: machines whose speeds differ by a factor of 2.5 got equal shares, and the slow ones were overloaded.
// If the list has no weights, the answer times by machine type replace them.
func TestSlowKindOfMachineGetsLess(t *testing.T) {
	for _, weights := range []string{"off", "nominal"} {
		set := testSettings()
		set.Weights = weights
		r := newHarness(t, set, 0)
		var entries []cluster.Entry
		for i := range 8 {
			entries = append(entries, cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1, Kind: i % 2})
		}
		r.list(cluster.ListFull, entries...)
		slow := 0
		for i := range 1200 {
			r.now += 50
			id, s := r.mustSend(0, r.b.rng.Uint64())
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

// Found by the fuzzer: a keyed request before the first list crashed the agent.
func TestKeyedRequestBeforeTheFirstList(t *testing.T) {
	b, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0, nil)
	b.Handle(1, &Event{Kind: EvRequest, Request: 1, Class: 0, Key: 5, LeftMs: 600}, nil)
	b.Handle(2, &Event{Kind: EvTimer, Token: tickToken}, nil)
	list := []cluster.Entry{{Server: addr(1), Health: cluster.Ready, Weight: 1}}
	actions := b.Handle(3, &Event{Kind: EvList, List: cluster.ListFull, Entries: list}, nil)
	if a := find(actions, ActSend); a == nil || a.Request != 1 {
		t.Error("the request was not sent once there was a list")
	}
}
