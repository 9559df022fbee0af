package ranking

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"molepaddle/policy"
)

// listed returns a list of n usable backends b0, b1 ...
func listed(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprint("b", i), Usable: true})
	}
	return list
}

// healthSince returns a Health that entered a state at since, through the regular transitions.
func healthSince(state policy.State, since float64) policy.Health {
	s := policy.NewHealth(since)
	switch state {
	case policy.Connected:
		s.Served(since)
	case policy.UnhealthyPending:
		s.Demote(since)
		s.Refresh(since, 0)
	case policy.Unhealthy:
		s.Demote(since)
	}
	return s
}

// ranked returns a Ranker for which each of n backends has served an attempt at 0.
func ranked(set RankerSettings, n int) *Ranker {
	r := NewRanker(set)
	r.SetEndpoints(0, listed(n))
	for _, l := range listed(n) {
		attempted(r, 0, l.ID, policy.OK)
	}
	return r
}

func attempted(r *Ranker, now float64, id string, how policy.Status) {
	r.AttemptStarted(id)
	r.AttemptEnded(now, id, how)
}

func (r *Ranker) ranking(now float64, key uint64) []string {
	return r.Rank(now, key, nil, 1.25, nil, nil)
}

func TestRankerFollowsEndpoints(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 2)
	r.AttemptStarted("b0")
	r.SetEndpoints(1, []Endpoint{{"b1", false}, {"b2", true}})
	c.Assert(r.ranking(1, 7), qt.DeepEquals, []string{"b2"})
	c.Assert(r.byID["b2"].Health, qt.Equals, policy.NewHealth(1))
	c.Assert(r.byID["b1"].State(), qt.Equals, policy.Connected) // state kept although it is not usable
	c.Assert(r.InFlight("b0"), qt.Equals, 1)                    // known until its attempt has ended
	r.AttemptEnded(2, "b0", policy.OK)
	r.SetEndpoints(2, []Endpoint{{"b1", true}})
	c.Assert(r.all, qt.HasLen, 1)
	c.Assert(r.byID, qt.HasLen, 1)
	r.AttemptStarted("b9") // unknown ids are ignored
	r.AttemptEnded(2, "b9", policy.Reset)
	r.TransferEnded(2, "b9", false)
	r.ProbeEnded(2, "b9", true)
	c.Assert(r.InFlight("b9"), qt.Equals, 0)
	r.SetEndpoints(3, nil)
	c.Assert(r.ranking(3, 7), qt.HasLen, 0)
}

func TestRankerDemotes(t *testing.T) {
	c := qt.New(t)
	for _, how := range []policy.Status{policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset} {
		r := ranked(RankerSettings{}, 3)
		c.Assert(r.ShouldRefetch(0), qt.IsFalse)
		first := r.ranking(0, 7)
		attempted(r, 10, first[0], how)
		// It was Connected: the refresh is immediate, and it becomes UnhealthyPending.
		c.Assert(r.byID[first[0]].Health, qt.Equals, healthSince(policy.UnhealthyPending, 10))
		c.Assert(r.ranking(10, 7), qt.DeepEquals, append(slices.Clone(first[1:]), first[0]))
		c.Assert(r.ShouldRefetch(10), qt.IsTrue)
		c.Assert(r.ShouldRefetch(10), qt.IsFalse)
		attempted(r, 20, first[0], how) // not Connected: no refresh
		c.Assert(r.byID[first[0]].Health, qt.Equals, healthSince(policy.Unhealthy, 20))
		c.Assert(r.ShouldRefetch(5000), qt.IsFalse)
		attempted(r, 30, first[0], policy.OK)
		c.Assert(r.ranking(30, 7), qt.DeepEquals, first)
	}
}

func TestRejectionDoesNotDemote(t *testing.T) {
	c := qt.New(t)
	for _, how := range []policy.Status{policy.Full, policy.Abandoned, policy.Cancelled, policy.NoConnection} {
		r := ranked(RankerSettings{}, 3)
		first := r.ranking(0, 7)
		attempted(r, 10, first[0], how)
		c.Assert(r.ranking(10, 7), qt.DeepEquals, first)
		c.Assert(r.InFlight(first[0]), qt.Equals, 0)
		c.Assert(r.ShouldRefetch(10), qt.IsFalse)
	}
}

// A failed attempt at a Connected backend refreshes the others, too.
func TestRankerRefreshesAll(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{MaxProbes: 2}, 4)
	r.byID["b0"].Demote(5)
	r.byID["b1"].Demote(5)
	attempted(r, 10, "b2", policy.Reset)
	c.Assert(r.StartProbes(nil), qt.DeepEquals, []string{"b0", "b1"}) // limited by MaxProbes
	c.Assert(r.StartProbes(nil), qt.HasLen, 0)
	r.ProbeEnded(12, "b1", false)
	c.Assert(r.StartProbes(nil), qt.DeepEquals, []string{"b2"})
	r.ProbeEnded(13, "b0", true)
	c.Assert(r.StartProbes(nil), qt.HasLen, 0) // each is probed once
	c.Assert(r.byID["b0"].Health, qt.Equals, healthSince(policy.Connected, 13))
	c.Assert(r.byID["b1"].Health, qt.Equals, healthSince(policy.Unhealthy, 12))
	r.AttemptEnded(14, "b2", policy.OK) // while its probe is in flight
	r.ProbeEnded(15, "b2", false)
	c.Assert(r.byID["b2"].Health, qt.Equals, healthSince(policy.Connected, 14))
	r.ProbeEnded(16, "b0", false) // no probe is in flight
	c.Assert(r.byID["b0"].State(), qt.Equals, policy.Connected)
}

// After a minute in Unhealthy the next request refreshes without a new endpoint list; after a minute in
// UnhealthyPending a backend ranks as healthy.
func TestPendingTimesOut(t *testing.T) {
	c := qt.New(t)
	r := NewRanker(RankerSettings{})
	r.SetEndpoints(0, listed(2))
	attempted(r, 0, "b0", policy.ConnectFailed) // it was Unknown: no refresh
	c.Assert(r.ranking(59999, 7), qt.DeepEquals, []string{"b1", "b0"})
	c.Assert(r.ShouldRefetch(59999), qt.IsFalse)
	c.Assert(r.byID["b0"].State(), qt.Equals, policy.Unhealthy)
	c.Assert(r.ranking(60000, 7), qt.DeepEquals, []string{"b1", "b0"})
	c.Assert(r.ShouldRefetch(60000), qt.IsTrue)
	c.Assert(r.byID["b0"].Health, qt.Equals, healthSince(policy.UnhealthyPending, 60000))
	c.Assert(r.StartProbes(nil), qt.HasLen, 0) // MaxProbes is 0
	b0 := func(now float64) (first int) {
		for key := range uint64(200) {
			if r.ranking(now, key*0x9e3779b97f4a7c15)[0] == "b0" {
				first++
			}
		}
		return first
	}
	c.Assert(b0(119999), qt.Equals, 0)
	c.Assert(b0(120000) > 50, qt.IsTrue)
}

func TestFailedTransfersDemoteTheirSource(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 2)
	fail := func(now float64) {
		r.AttemptStarted("b1")
		r.TransferEnded(now, "b0", false)
		r.AttemptEnded(now, "b1", policy.Full)
	}
	for range maxFailedTransfers - 1 {
		fail(1)
	}
	attempted(r, 2, "b0", policy.OK) // a successful prefill doesn't reset the count of failed transfers
	r.TransferEnded(2, "b0", true)
	for range maxFailedTransfers - 1 {
		fail(3)
	}
	c.Assert(r.byID["b0"].State(), qt.Equals, policy.Connected)
	fail(4)
	c.Assert(r.byID["b0"].Health, qt.Equals, healthSince(policy.UnhealthyPending, 4))
	attempted(r, 5, "b0", policy.OK)
	fail(6) // still no transfer has succeeded
	c.Assert(r.byID["b0"].State(), qt.Equals, policy.UnhealthyPending)
	c.Assert(r.byID["b1"].State(), qt.Equals, policy.Connected)
	c.Assert(r.InFlight("b1"), qt.Equals, 0)
	c.Assert(r.InFlight("b0"), qt.Equals, 0)
}

// Within a tier, costs take precedence over the key; costs within the tolerance are equal.
func TestRankerCosts(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{CostTolerance: 10}, 5)
	attempted(r, 1, "b4", policy.Reset)
	costs := map[string]float64{"b0": 30, "b1": 100, "b2": 22, "b3": 31, "b4": 0}
	keyed := r.ranking(1, 7)
	got := r.Rank(1, 7, nil, 1.25, func(id string) float64 { return costs[id] }, nil)
	near := slices.DeleteFunc(slices.Clone(keyed), func(id string) bool { return id == "b1" || id == "b4" })
	c.Assert(got, qt.DeepEquals, append(near, "b1", "b4")) // 22, 30 and 31 are equal
	c.Assert(r.Rank(1, 7, func(id string) bool { return id == "b4" }, 1.25, nil, nil), qt.DeepEquals, []string{"b4"})
	none := r.Rank(1, 7, nil, 1.25, func(string) float64 { return math.NaN() }, nil)
	c.Assert(none, qt.DeepEquals, keyed)
}

// Keys spread evenly, and only the keys of a removed backend move.
func TestRankerKeepsKeys(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 8)
	preferred, count := map[uint64]string{}, map[string]int{}
	for key := range uint64(4000) {
		preferred[key] = r.ranking(0, key*0x9e3779b97f4a7c15)[0]
		count[preferred[key]]++
	}
	for id, n := range count {
		c.Assert(n > 400 && n < 600, qt.IsTrue, qt.Commentf("%s has %d of 4000 keys", id, n))
	}
	r.SetEndpoints(1, listed(7))
	for key, id := range preferred {
		if now := r.ranking(1, key*0x9e3779b97f4a7c15)[0]; id != "b7" {
			c.Assert(now, qt.Equals, id)
		}
	}
}

func TestRankAllocatesNothing(t *testing.T) {
	r := ranked(RankerSettings{}, 100)
	out := make([]string, 0, 100)
	cost := func(id string) float64 { return float64(id[len(id)-1] % 3) }
	among := func(id string) bool { return id != "b3" }
	n := testing.AllocsPerRun(100, func() { out = r.Rank(1, 7, among, 1.25, cost, out[:0]) })
	qt.Assert(t, n, qt.Equals, 0.0)
}

func BenchmarkRank(b *testing.B) {
	r := ranked(RankerSettings{}, 200)
	var out []string
	for i := range b.N {
		out = r.Rank(1, uint64(i)*0x9e3779b97f4a7c15, nil, 1.25, nil, out[:0])
	}
}

// allStatuses are the possible results of an attempt.
var allStatuses = []policy.Status{policy.OK, policy.Full, policy.Error, policy.Timeout, policy.ConnectFailed,
	policy.Reset, policy.Abandoned, policy.Cancelled, policy.NoConnection}

func anyUnhealthy(r *Ranker) bool {
	return slices.ContainsFunc(r.all, func(b *backend) bool { return b.State() == policy.Unhealthy })
}

// Under any sequence of events, a Ranker orders by tier and respects the load cap, returns each backend once, has at
// most MaxProbes probes in flight, and returns all backends to the first tier in bounded time.
func TestRankerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := RankerSettings{
			MaxProbes:            rapid.IntRange(0, 3).Draw(t, "probes"),
			PendingTimeoutMs:     1000,
			UnhealthyHoldMs:      3000,
			MinRefetchIntervalMs: 500,
			CostTolerance:        5,
		}
		r := NewRanker(set)
		now, asked := 0.0, math.Inf(-1)
		usable, out, probing := map[string]bool{}, map[string]int{}, map[string]bool{}
		id := func() string { return fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "id")) }
		stateOf := func(id string) (policy.State, bool) {
			if b := r.byID[id]; b != nil {
				return b.State(), true
			}
			return 0, false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "ms"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				clear(usable)
				var list []Endpoint
				for i := range 10 {
					if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
						l := Endpoint{fmt.Sprint("b", i), rapid.IntRange(0, 4).Draw(t, "usable") > 0}
						usable[l.ID] = l.Usable
						list = append(list, l)
					}
				}
				r.SetEndpoints(now, list)
				for x, n := range out {
					if r.InFlight(x) != n {
						t.Fatalf("%s has %d attempts in flight after a list, want %d", x, r.InFlight(x), n)
					}
				}
			case 1, 2:
				if x := id(); r.byID[x] != nil {
					r.AttemptStarted(x)
					out[x]++
				}
			case 3, 4:
				x := id()
				if out[x] == 0 {
					break
				}
				was, _ := stateOf(x)
				how := rapid.SampledFrom(allStatuses).Draw(t, "how")
				r.AttemptEnded(now, x, how)
				out[x]--
				is, _ := stateOf(x)
				switch how {
				case policy.OK:
					if is != policy.Connected {
						t.Fatalf("served, but in state %d", is)
					}
				case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
					if is < policy.UnhealthyPending || was != policy.Connected && is != policy.Unhealthy {
						t.Fatalf("failed attempt led from state %d to %d", was, is)
					}
					if was == policy.Connected && anyUnhealthy(r) {
						t.Fatal("a refresh leaves one Unhealthy")
					}
				default:
					if is != was {
						t.Fatalf("attempt status %d led from state %d to %d", how, was, is)
					}
				}
			case 5:
				for _, x := range r.StartProbes(nil) {
					if s, _ := stateOf(x); probing[x] || !usable[x] || s != policy.UnhealthyPending {
						t.Fatalf("%s is to be probed in state %d", x, s)
					}
					probing[x] = true
				}
				if len(probing) > set.MaxProbes {
					t.Fatalf("%d probes in flight", len(probing))
				}
			case 6:
				x := id()
				was, _ := stateOf(x)
				ok := rapid.Bool().Draw(t, "ok")
				r.ProbeEnded(now, x, ok)
				is, _ := stateOf(x)
				want := map[bool]policy.State{true: policy.Connected, false: policy.Unhealthy}[ok]
				if probing[x] && was == policy.UnhealthyPending {
					if is != want {
						t.Fatalf("probe result %v led to state %d", ok, is)
					}
				} else if is != was {
					t.Fatalf("a stale probe result led from state %d to %d", was, is)
				}
				delete(probing, x)
			}
			if r.ShouldRefetch(now) {
				if now-asked < set.MinRefetchIntervalMs {
					t.Fatal("the endpoint list is refetched too often")
				}
				asked = now
			}
			ordered(t, r, now, usable, out)
		}
		// With no further events but requests, all backends return to the first tier.
		r.Rank(now+set.UnhealthyHoldMs, 1, nil, 1, nil, nil)
		now += set.UnhealthyHoldMs + set.PendingTimeoutMs
		r.Rank(now, 1, nil, 1, nil, nil)
		for _, b := range r.all {
			if b.Tier(now, set.PendingTimeoutMs) != 0 {
				t.Fatalf("%s stays in state %d", b.id, b.State())
			}
		}
	})
}

// ordered ranks the backends for a random request and checks the order against the rules of Rank.
func ordered(t *rapid.T, r *Ranker, now float64, usable map[string]bool, out map[string]int) {
	key, c := rapid.Uint64().Draw(t, "key"), rapid.Float64Range(1, 3).Draw(t, "c")
	left := fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "left out"))
	order := r.Rank(now, key, func(id string) bool { return id != left }, c, nil, nil)
	inflight, size, seen := 0, map[int]int{}, map[string]bool{}
	for _, id := range order {
		if seen[id] || id == left || !usable[id] {
			t.Fatalf("%s is ranked, but excluded, unusable or repeated", id)
		}
		seen[id] = true
		inflight += out[id]
		size[r.byID[id].Tier(now, r.settings.PendingTimeoutMs)]++
	}
	for id, ok := range usable {
		if ok && id != left && !seen[id] {
			t.Fatalf("%s is not ranked", id) // each tier falls through to the next
		}
	}
	over := func(id string) bool {
		n := float64(size[r.byID[id].Tier(now, r.settings.PendingTimeoutMs)])
		return float64(out[id]) >= policy.Cap(c, inflight, 1/n)
	}
	for i := 1; i < len(order); i++ {
		x, y := r.byID[order[i-1]], r.byID[order[i]]
		switch tx, ty := x.Tier(now, r.settings.PendingTimeoutMs), y.Tier(now, r.settings.PendingTimeoutMs); {
		case tx > ty:
			t.Fatalf("tier %d before %d", tx, ty)
		case tx < ty:
		case over(x.id) && !over(y.id):
			t.Fatalf("%s is at its cap and comes before %s", x.id, y.id)
		case over(x.id) == over(y.id) && policy.Rendezvous(key, x.hash, 1) > policy.Rendezvous(key, y.hash, 1):
			t.Fatalf("%s comes before %s, which has a lower score", x.id, y.id)
		}
	}
	// If c is at least 1 and nothing is in flight in other tiers, the first tier always has a backend under its cap.
	if len(size) == 1 && len(order) > 0 && over(order[0]) {
		t.Fatal("all are at their caps")
	}
}

func TestPreferredBackendIsTheHashsFirst(t *testing.T) {
	c := qt.New(t)
	r := NewRanker(RankerSettings{})
	all := func(string) bool { return true }
	c.Assert(r.PreferredBackend(0, 1, all), qt.Equals, "")
	r.SetEndpoints(0, []Endpoint{
		{ID: "a", Usable: true},
		{ID: "b", Usable: true},
		{ID: "c", Usable: true},
		{ID: "draining"},
	})
	for key := range uint64(200) {
		preferred := r.PreferredBackend(0, key, all)
		c.Assert(preferred, qt.Equals, r.Rank(0, key, nil, math.Inf(1), nil, nil)[0], qt.Commentf("key %d", key))
		second := r.PreferredBackend(0, key, func(id string) bool { return id != preferred })
		c.Assert(second, qt.Equals, r.Rank(0, key, nil, math.Inf(1), nil, nil)[1], qt.Commentf("key %d", key))
	}
	r.AttemptStarted("a")
	r.AttemptEnded(0, "a", policy.Reset)
	for key := range uint64(50) {
		c.Assert(r.PreferredBackend(1, key, all), qt.Not(qt.Equals), "a", qt.Commentf("it is in a worse tier"))
	}
}

// While a backend is ejected, a successful attempt of this proxy doesn't raise its tier; the ejection expires on its
// own.
func TestRankerEjects(t *testing.T) {
	c := qt.New(t)
	for _, restored := range []bool{true, false} {
		r := ranked(RankerSettings{PendingTimeoutMs: 1000, UnhealthyHoldMs: 1000}, 3)
		r.Eject(0, "b1", 5000)
		for now := 0.0; now < 5000; now += 500 {
			r.AttemptStarted("b1")
			r.AttemptEnded(now, "b1", policy.OK)
			c.Assert(r.Rank(now, 7, nil, 1, nil, nil)[2], qt.Equals, "b1")
			c.Assert(r.PreferredBackend(now, 7, func(id string) bool { return id != "b0" }), qt.Equals, "b2")
		}
		alone := r.Rank(4000, 7, func(id string) bool { return id == "b1" }, 1, nil, nil)
		c.Assert(alone, qt.DeepEquals, []string{"b1"}, qt.Commentf("an empty tier falls through to the next"))
		if restored {
			r.Restore(4500, "b1")
			c.Assert(r.PreferredBackend(4500, 7, func(id string) bool { return id == "b1" }), qt.Equals, "b1")
		}
		r.Eject(5000, "b2", 5000)
		first := map[string]bool{}
		for key := range uint64(200) {
			first[r.PreferredBackend(6100, key, func(string) bool { return true })] = true
		}
		c.Assert(first["b1"], qt.IsTrue)
		r.Eject(0, "unknown", 1)
		r.Restore(0, "unknown")
	}
}
