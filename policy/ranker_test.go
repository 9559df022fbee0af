package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// listed is a list of n usable backends b0, b1 ...
func listed(n int) (list []Listed) {
	for i := range n {
		list = append(list, Listed{ID: fmt.Sprint("b", i), Usable: true})
	}
	return list
}

// ranked is a Ranker that has served from each of n backends at 0.
func ranked(set RankerSettings, n int) *Ranker {
	r := NewRanker(set)
	r.List(0, listed(n))
	for _, l := range listed(n) {
		attempted(r, 0, l.ID, OK)
	}
	return r
}

func attempted(r *Ranker, now float64, id string, how Status) {
	r.Sent(id)
	r.Ended(now, id, how)
}

func (r *Ranker) ranking(now float64, key uint64) []string {
	return r.Rank(now, key, nil, 1.25, nil, nil)
}

func TestRankerFollowsTheList(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 2)
	r.Sent("b0")
	r.List(1, []Listed{{"b1", false}, {"b2", true}})
	c.Assert(r.ranking(1, 7), qt.DeepEquals, []string{"b2"})
	c.Assert(r.byID["b2"].Standing, qt.Equals, Standing{Unknown, 1})
	c.Assert(r.byID["b1"].state, qt.Equals, Connected) // kept though it is not usable
	c.Assert(r.Outstanding("b0"), qt.Equals, 1)        // known until its attempt is over
	r.Ended(2, "b0", OK)
	r.List(2, []Listed{{"b1", true}})
	c.Assert(r.all, qt.HasLen, 1)
	c.Assert(r.byID, qt.HasLen, 1)
	r.Sent("b9") // all of an unknown one is nothing
	r.Ended(2, "b9", Reset)
	r.Handover(2, "b9", false)
	r.Probed(2, "b9", true)
	c.Assert(r.Outstanding("b9"), qt.Equals, 0)
	r.List(3, nil)
	c.Assert(r.ranking(3, 7), qt.HasLen, 0)
}

func TestRankerDemotes(t *testing.T) {
	c := qt.New(t)
	for _, how := range []Status{Error, Timeout, ConnectFailed, Reset} {
		r := ranked(RankerSettings{}, 3)
		c.Assert(r.Refetch(0), qt.IsFalse)
		first := r.ranking(0, 7)
		attempted(r, 10, first[0], how)
		// Connected until then: the refresh is forced at once, and it awaits validation.
		c.Assert(r.byID[first[0]].Standing, qt.Equals, Standing{UnhealthyPending, 10})
		c.Assert(r.ranking(10, 7), qt.DeepEquals, append(slices.Clone(first[1:]), first[0]))
		c.Assert(r.Refetch(10), qt.IsTrue)
		c.Assert(r.Refetch(10), qt.IsFalse)
		attempted(r, 20, first[0], how) // not Connected: no refresh
		c.Assert(r.byID[first[0]].Standing, qt.Equals, Standing{Unhealthy, 20})
		c.Assert(r.Refetch(5000), qt.IsFalse)
		attempted(r, 30, first[0], OK)
		c.Assert(r.ranking(30, 7), qt.DeepEquals, first)
	}
}

func TestRankerDemotesNobodyForFull(t *testing.T) {
	c := qt.New(t)
	for _, how := range []Status{Full, Moot, Cancelled, NoWay} {
		r := ranked(RankerSettings{}, 3)
		first := r.ranking(0, 7)
		attempted(r, 10, first[0], how)
		c.Assert(r.ranking(10, 7), qt.DeepEquals, first)
		c.Assert(r.Outstanding(first[0]), qt.Equals, 0)
		c.Assert(r.Refetch(10), qt.IsFalse)
	}
}

// One that was out while the calls to it failed refreshes the others, too.
func TestRankerRefreshesAll(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{ProbeCap: 2}, 4)
	r.byID["b0"].Demote(5)
	r.byID["b1"].Demote(5)
	attempted(r, 10, "b2", Reset)
	c.Assert(r.Probes(nil), qt.DeepEquals, []string{"b0", "b1"}) // the cap
	c.Assert(r.Probes(nil), qt.HasLen, 0)
	r.Probed(12, "b1", false)
	c.Assert(r.Probes(nil), qt.DeepEquals, []string{"b2"})
	r.Probed(13, "b0", true)
	c.Assert(r.Probes(nil), qt.HasLen, 0) // each once
	c.Assert(r.byID["b0"].Standing, qt.Equals, Standing{Connected, 13})
	c.Assert(r.byID["b1"].Standing, qt.Equals, Standing{Unhealthy, 12})
	r.Ended(14, "b2", OK) // while its probe is out
	r.Probed(15, "b2", false)
	c.Assert(r.byID["b2"].Standing, qt.Equals, Standing{Connected, 14})
	r.Probed(16, "b0", false) // not asked
	c.Assert(r.byID["b0"].state, qt.Equals, Connected)
}

// A minute Unhealthy has the next request refresh, though no list comes, and a minute of that ranks healthy.
func TestRankerLapses(t *testing.T) {
	c := qt.New(t)
	r := NewRanker(RankerSettings{})
	r.List(0, listed(2))
	attempted(r, 0, "b0", ConnectFailed) // Unknown until then: no refresh
	c.Assert(r.ranking(59999, 7), qt.DeepEquals, []string{"b1", "b0"})
	c.Assert(r.Refetch(59999), qt.IsFalse)
	c.Assert(r.byID["b0"].state, qt.Equals, Unhealthy)
	c.Assert(r.ranking(60000, 7), qt.DeepEquals, []string{"b1", "b0"})
	c.Assert(r.Refetch(60000), qt.IsTrue)
	c.Assert(r.byID["b0"].Standing, qt.Equals, Standing{UnhealthyPending, 60000})
	c.Assert(r.Probes(nil), qt.HasLen, 0) // no cap, no probe
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

func TestRankerHandovers(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 2)
	fail := func(now float64) {
		r.Sent("b1")
		r.Handover(now, "b0", false)
		r.Ended(now, "b1", Full)
	}
	for range handoverLimit - 1 {
		fail(1)
	}
	attempted(r, 2, "b0", OK) // a prompt read says nothing of the way of its memory
	r.Handover(2, "b0", true)
	for range handoverLimit - 1 {
		fail(3)
	}
	c.Assert(r.byID["b0"].state, qt.Equals, Connected)
	fail(4)
	c.Assert(r.byID["b0"].Standing, qt.Equals, Standing{UnhealthyPending, 4})
	attempted(r, 5, "b0", OK)
	fail(6) // still none has succeeded
	c.Assert(r.byID["b0"].state, qt.Equals, UnhealthyPending)
	c.Assert(r.byID["b1"].state, qt.Equals, Connected)
	c.Assert(r.Outstanding("b1"), qt.Equals, 0)
	c.Assert(r.Outstanding("b0"), qt.Equals, 0)
}

// Costs come before the key in a tier, but not before the tier; near costs are one.
func TestRankerCosts(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{CostTolerance: 10}, 5)
	attempted(r, 1, "b4", Reset)
	costs := map[string]float64{"b0": 30, "b1": 100, "b2": 22, "b3": 31, "b4": 0}
	keyed := r.ranking(1, 7)
	got := r.Rank(1, 7, nil, 1.25, func(id string) float64 { return costs[id] }, nil)
	near := slices.DeleteFunc(slices.Clone(keyed), func(id string) bool { return id == "b1" || id == "b4" })
	c.Assert(got, qt.DeepEquals, append(near, "b1", "b4")) // 22, 30 and 31 are equal
	c.Assert(r.Rank(1, 7, func(id string) bool { return id == "b4" }, 1.25, nil, nil), qt.DeepEquals, []string{"b4"})
	none := r.Rank(1, 7, nil, 1.25, func(string) float64 { return math.NaN() }, nil)
	c.Assert(none, qt.DeepEquals, keyed)
}

// Keys spread evenly, and of a backend that goes only its own keys move.
func TestRankerKeepsKeys(t *testing.T) {
	c := qt.New(t)
	r := ranked(RankerSettings{}, 8)
	home, count := map[uint64]string{}, map[string]int{}
	for key := range uint64(4000) {
		home[key] = r.ranking(0, key*0x9e3779b97f4a7c15)[0]
		count[home[key]]++
	}
	for id, n := range count {
		c.Assert(n > 400 && n < 600, qt.IsTrue, qt.Commentf("%s has %d of 4000 keys", id, n))
	}
	r.List(1, listed(7))
	for key, id := range home {
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

// Whatever happens to it, a Ranker keeps the tiers in order and its caps, gives each backend once, has no
// more validations under way than it may, and has everyone back in the first tier in bounded time.
func TestRankerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := RankerSettings{ProbeCap: rapid.IntRange(0, 3).Draw(t, "probes"), LapseMs: 1000, RefetchMs: 3000,
			LeastMs: 500, CostTolerance: 5}
		r := NewRanker(set)
		now, asked := 0.0, math.Inf(-1)
		usable, out, probing := map[string]bool{}, map[string]int{}, map[string]bool{}
		id := func() string { return fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "id")) }
		held := func(id string) (State, bool) {
			if b := r.byID[id]; b != nil {
				return b.state, true
			}
			return 0, false
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "ms"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				clear(usable)
				var list []Listed
				for i := range 10 {
					if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
						l := Listed{fmt.Sprint("b", i), rapid.IntRange(0, 4).Draw(t, "usable") > 0}
						usable[l.ID] = l.Usable
						list = append(list, l)
					}
				}
				r.List(now, list)
				for x, n := range out {
					if r.Outstanding(x) != n {
						t.Fatalf("%s has %d out after a list, not %d", x, r.Outstanding(x), n)
					}
				}
			case 1, 2:
				if x := id(); r.byID[x] != nil {
					r.Sent(x)
					out[x]++
				}
			case 3, 4:
				x := id()
				if out[x] == 0 {
					break
				}
				was, _ := held(x)
				how := rapid.SampledFrom([]Status{OK, Full, Error, Timeout, ConnectFailed, Reset, Moot, Cancelled, NoWay}).Draw(t, "how")
				r.Ended(now, x, how)
				out[x]--
				is, _ := held(x)
				switch how {
				case OK:
					if is != Connected {
						t.Fatalf("served and held in state %d", is)
					}
				case Error, Timeout, ConnectFailed, Reset:
					if is < UnhealthyPending || was != Connected && is != Unhealthy {
						t.Fatalf("failed in state %d and is in %d", was, is)
					}
					if was == Connected && slices.ContainsFunc(r.all, func(b *backend) bool { return b.state == Unhealthy }) {
						t.Fatal("a refresh leaves one Unhealthy")
					}
				default:
					if is != was {
						t.Fatalf("ending %d led from state %d to %d", how, was, is)
					}
				}
			case 5:
				for _, x := range r.Probes(nil) {
					if s, _ := held(x); probing[x] || !usable[x] || s != UnhealthyPending {
						t.Fatalf("%s is to be probed in state %d", x, s)
					}
					probing[x] = true
				}
				if len(probing) > set.ProbeCap {
					t.Fatalf("%d probes at once", len(probing))
				}
			case 6:
				x := id()
				was, _ := held(x)
				ok := rapid.Bool().Draw(t, "ok")
				r.Probed(now, x, ok)
				is, _ := held(x)
				if want := map[bool]State{true: Connected, false: Unhealthy}[ok]; probing[x] && was == UnhealthyPending {
					if is != want {
						t.Fatalf("probed %v: state %d", ok, is)
					}
				} else if is != was {
					t.Fatalf("a validation that nobody awaits led from state %d to %d", was, is)
				}
				delete(probing, x)
			}
			if r.Refetch(now) {
				if now-asked < set.LeastMs {
					t.Fatal("the list is asked for too often")
				}
				asked = now
			}
			ordered(t, r, now, usable, out)
		}
		// It ends well: with nothing more to happen but requests, all rank first.
		r.Rank(now+set.RefetchMs, 1, nil, 1, nil, nil)
		now += set.RefetchMs + set.LapseMs
		r.Rank(now, 1, nil, 1, nil, nil)
		for _, b := range r.all {
			if b.Tier(now, set.LapseMs) != 0 {
				t.Fatalf("%s stays in state %d", b.id, b.state)
			}
		}
	})
}

// ordered ranks for some request and checks the order by the design's words.
func ordered(t *rapid.T, r *Ranker, now float64, usable map[string]bool, out map[string]int) {
	key, c := rapid.Uint64().Draw(t, "key"), rapid.Float64Range(1, 3).Draw(t, "c")
	left := fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "left out"))
	order := r.Rank(now, key, func(id string) bool { return id != left }, c, nil, nil)
	inflight, size, seen := 0, map[int]int{}, map[string]bool{}
	for _, id := range order {
		if seen[id] || id == left || !usable[id] {
			t.Fatalf("%s is ranked", id)
		}
		seen[id] = true
		inflight += out[id]
		size[r.byID[id].Tier(now, r.set.LapseMs)]++
	}
	for id, ok := range usable {
		if ok && id != left && !seen[id] {
			t.Fatalf("%s is not ranked", id) // no tier waits, the last passes down too
		}
	}
	over := func(id string) bool {
		n := float64(size[r.byID[id].Tier(now, r.set.LapseMs)])
		return float64(out[id]) >= Cap(c, inflight, 1/n)
	}
	for i := 1; i < len(order); i++ {
		x, y := r.byID[order[i-1]], r.byID[order[i]]
		switch tx, ty := x.Tier(now, r.set.LapseMs), y.Tier(now, r.set.LapseMs); {
		case tx > ty:
			t.Fatalf("tier %d before %d", tx, ty)
		case tx < ty:
		case over(x.id) && !over(y.id):
			t.Fatalf("%s is at its cap and comes before %s", x.id, y.id)
		case over(x.id) == over(y.id) && Rendezvous(key, x.hash, 1) > Rendezvous(key, y.hash, 1):
			t.Fatalf("%s comes before %s, which is nearer the key", x.id, y.id)
		}
	}
	// Of c of 1 and more there is always one under its cap in the first tier, if nothing is in flight elsewhere.
	if len(size) == 1 && len(order) > 0 && over(order[0]) {
		t.Fatal("all are at their caps")
	}
}

// A cap is the share of what is in flight with the next, times c, rounded up; never under one.
func TestCap(t *testing.T) {
	c := qt.New(t)
	c.Assert(Cap(1, 0, 1.0/49), qt.Equals, 1.0)
	c.Assert(Cap(1, 8, 1.0/3), qt.Equals, 3.0)
	c.Assert(Cap(1, 9, 1.0/3), qt.Equals, 4.0)
	c.Assert(Cap(1.25, 9, 1.0/2), qt.Equals, 7.0)
	c.Assert(Cap(3, 99, 0.25), qt.Equals, 75.0)
}
