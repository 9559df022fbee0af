package subset

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"molepaddle/internal/decide/arith"
)

var measure = flag.Bool("subset.measure", false, "print load balance and churn for several subsetting algorithms")

// randomServers returns n servers in three zones, with machine weights of 1 to 3.
func randomServers(n int, seed uint64) []Server {
	rng := rand.New(rand.NewPCG(seed, 2))
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: rng.Uint64(), Zone: []int{0, 0, 1, 1, 1, 2}[rng.IntN(6)],
			Weight: []float64{1, 1.5, 3}[rng.IntN(3)]}
	}
	return servers
}

// subsetFunc returns the subset of an agent.
type subsetFunc func(index, agents int, servers []Server, n int) []Pick

func goldenRing(index, _ int, servers []Server, n int) []Pick {
	picks, size := Order(index, servers, n)
	return picks[:size]
}

// fullWeight returns picks that use each server by its full weight.
func fullWeight(servers []int) (out []Pick) {
	for _, k := range servers {
		out = append(out, Pick{Index: k, Fraction: 1})
	}
	return out
}

// rendezvous gives each agent the n servers of the highest weighted hash.
func rendezvous(index, _ int, servers []Server, n int) []Pick {
	score := make([]float64, len(servers))
	all := make([]int, len(servers))
	for i, s := range servers {
		u := float64(arith.Mix(s.ID^arith.Mix(uint64(index)+1))>>11) / (1 << 53)
		score[i], all[i] = -math.Log(u+1e-18), i
	}
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(score[x], score[y]) })
	return fullWeight(all[:n])
}

// deterministic is the subsetting of Google's SRE book: each round of agents shares out one shuffled
// list.
func deterministic(index, _ int, servers []Server, n int) []Pick {
	count := max(len(servers)/n, 1)
	all := make([]int, len(servers))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(servers[x].ID, servers[y].ID) })
	rng := rand.New(rand.NewPCG(uint64(index/count), 1))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return fullWeight(all[index%count*n:][:n])
}

// aperture is Finagle's deterministic aperture: the start of an agent's arc is proportional to its
// index.
func aperture(index, agents int, servers []Server, n int) []Pick {
	at := Positions(servers)
	all := make([]int, len(servers))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(at[x], at[y]) })
	first := int(float64(index) / float64(agents) * float64(len(all)))
	var out []int
	for k := range n {
		out = append(out, all[(first+k)%len(all)])
	}
	return fullWeight(out)
}

// spread computes the load of each server relative to its weight, with each agent's requests
// distributed by weight over its subset. It returns the highest and the lowest over the mean, and the
// most connections of a server.
func spread(choose subsetFunc, assumed int, rates []float64, servers []Server, n int) (most, least float64, conns int) {
	got, held := make([]float64, len(servers)), make([]int, len(servers))
	all := 0.0
	for i, r := range rates {
		picks := choose(i, assumed, servers, n)
		sum := 0.0
		for _, k := range picks {
			sum += weight(&servers[k.Index]) * k.Fraction
		}
		for _, k := range picks {
			got[k.Index] += r * weight(&servers[k.Index]) * k.Fraction / sum
			held[k.Index]++
		}
		all += r
	}
	weights := 0.0
	for i := range servers {
		weights += weight(&servers[i])
	}
	least = math.Inf(1)
	for i := range servers {
		x := got[i] / weight(&servers[i]) * weights / all
		most, least, conns = max(most, x), min(least, x), max(conns, held[i])
	}
	return most, least, conns
}

func equalRates(n int) []float64 {
	r := make([]float64, n)
	for i := range r {
		r[i] = 1
	}
	return r
}

// The load is even for any number of agents, and even if they assume a wrong one.
func TestLoadIsEven(t *testing.T) {
	for _, servers := range []int{3, 10, 30, 300} {
		for _, agents := range []int{50, 200, 2000} {
			z := Sizes{Agents: agents, PerServer: 400, MinServers: 12, MaxServers: 16}
			n := z.BaseSize(servers)
			if agents*n < 20*servers {
				continue // the load cannot be even with fewer than twenty agents per server
			}
			for _, assumed := range []int{agents / 2, agents, 2 * agents} {
				if most, least, _ := spread(goldenRing, assumed, equalRates(agents), randomServers(servers, 1),
					n); most > 1.15 || least < 0.85 {
					t.Errorf("%d agents, assumed %d, %d servers, %d each: load from %.3f to %.3f of the mean", agents,
						assumed, servers, n, least, most)
				}
			}
		}
	}
}

// Adding or removing a server changes little of each subset, and the number of agents changes nothing.
func TestChangesMoveFewServers(t *testing.T) {
	const agents, servers, n = 500, 100, 16
	list := randomServers(servers, 3)
	for name, after := range map[string][]Server{
		"added":     append(slices.Clone(list), Server{ID: 99, Zone: 1, Weight: 1}),
		"removed":   slices.Delete(slices.Clone(list), 40, 41),
		"reordered": append(slices.Delete(slices.Clone(list), 40, 41), list[40]),
	} {
		changed := meanReplaced(goldenRing, agents, list, after, n)
		if limit := 2.0; changed > limit || name == "reordered" && changed > 0 {
			t.Errorf("%s: agents replace %.2f of %d servers on average", name, changed, n)
		}
	}
	for i := range agents {
		if !slices.Equal(goldenRing(i, 500, list, n), goldenRing(i, 1000, list, n)) {
			t.Fatal("the subset depends on the number of agents")
		}
	}
}

// meanReplaced returns how many servers of its subset an agent replaces on average after a change;
// removed servers are not counted.
func meanReplaced(choose subsetFunc, agents int, before, after []Server, n int) float64 {
	sum := 0
	there := map[uint64]bool{}
	for _, s := range after {
		there[s.ID] = true
	}
	for i := range agents {
		now := map[uint64]bool{}
		for _, k := range choose(i, agents, after, n) {
			now[after[k.Index].ID] = true
		}
		for _, k := range choose(i, agents, before, n) {
			if !now[before[k.Index].ID] && there[before[k.Index].ID] {
				sum++
			}
		}
	}
	return float64(sum) / float64(agents)
}

// Each subset contains servers of each zone by the weight of the zone, so that losing a zone leaves it
// the others.
func TestSubsetsSpanZones(t *testing.T) {
	list := randomServers(120, 5)
	total, byZone := 0.0, map[int]float64{}
	for i := range list {
		total += list[i].Weight
		byZone[list[i].Zone] += list[i].Weight
	}
	for agent := range 300 {
		sum, of := 0.0, map[int]float64{}
		for _, k := range goldenRing(agent, 300, list, 16) {
			sum += list[k.Index].Weight
			of[list[k.Index].Zone] += list[k.Index].Weight
		}
		for z, w := range byZone {
			if part := of[z] / sum; math.Abs(part-w/total) > 0.15 {
				t.Errorf("agent %d has %.2f of its weight in zone %d, want %.2f", agent, part, z, w/total)
			}
		}
	}
	// With a zone lost, the others share its load evenly: each agent uses the next servers in its order.
	left := slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return s.Zone == 1 })
	skip := func(index, agents int, _ []Server, n int) []Pick {
		var out []Pick
		picks, _ := Order(index, list, n)
		for _, p := range picks {
			if list[p.Index].Zone != 1 && len(out) < n {
				p.Index = slices.IndexFunc(left, func(s Server) bool { return s.ID == list[p.Index].ID })
				out = append(out, p)
			}
		}
		return out
	}
	if most, least, _ := spread(skip, 2000, equalRates(2000), left, 16); most > 1.35 || least < 0.65 {
		t.Errorf("with a zone lost the load is from %.2f to %.2f of the mean", least, most)
	}
}

// Every order contains each server once, also for invalid weights and duplicate ids.
func TestOrderIsComplete(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	for range 300 {
		n := rng.IntN(20)
		servers := make([]Server, n)
		for i := range servers {
			servers[i] = Server{ID: rng.Uint64N(12), Zone: rng.IntN(3) - 1,
				Weight: []float64{0, -1, math.NaN(), math.Inf(1), 1e-9, 5}[rng.IntN(6)]}
		}
		last, seen := 0.0, map[int]bool{}
		most := rng.IntN(25)
		picks, size := Order(rng.IntN(1<<30)-5, servers, most)
		if size > n || size == 0 && n > 0 {
			t.Fatalf("subset of %d from %d servers", size, n)
		}
		for _, p := range picks {
			if p.Rank <= last || p.Rank > 1 || !(p.Fraction >= minFraction && p.Fraction <= 1) || seen[p.Index] {
				t.Fatalf("%+v after rank %v", p, last)
			}
			last, seen[p.Index] = p.Rank, true
		}
		if len(seen) != n {
			t.Fatalf("%d of %d are ranked", len(seen), n)
		}
	}
}

func TestSizes(t *testing.T) {
	for _, c := range []struct {
		z             Sizes
		servers, want int
	}{
		{Sizes{Agents: 4, PerServer: 400, MinServers: 2, MaxServers: 16}, 12, 12},
		{Sizes{Agents: 200, PerServer: 400, MinServers: 2, MaxServers: 16}, 300, 16},
		{Sizes{Agents: 2000, PerServer: 400, MinServers: 2, MaxServers: 16}, 30, 5},
		{Sizes{Agents: 100000, PerServer: 400, MinServers: 2, MaxServers: 16}, 300, 2},
		{Sizes{Agents: 0, PerServer: 400, MinServers: 2, MaxServers: 16}, 300, 16},
		{Sizes{Agents: 10, PerServer: 0, MinServers: 2, MaxServers: 16}, 300, 16},
		{Sizes{}, 0, 1},
		{Sizes{Agents: 10, MinServers: 5, MaxServers: 16}, 3, 3},
	} {
		if got := c.z.BaseSize(c.servers); got != c.want {
			t.Errorf("%+v with %d servers: got %d, want %d", c.z, c.servers, got, c.want)
		}
	}
}

func TestWidth(t *testing.T) {
	w := NewWidth(5)
	refuse := func(now float64, n int) (widened int) {
		for range n {
			if w.ObserveRejection(now) {
				widened++
			}
		}
		return widened
	}
	if refuse(1, 2) != 0 || refuse(5, 2) != 0 || w.Factor() != 1 {
		t.Error("widened by two rejections per second")
	}
	if refuse(5.1, 1) != 1 || w.Factor() != 2 || w.Tick(5.2) {
		t.Error("not widened by three rejections in a second")
	}
	if refuse(6, 30) != 2 || w.Factor() != maxFactor {
		t.Errorf("factor %d", w.Factor())
	}
	steps, now := 0, 6.0
	for ; w.Factor() > 1 && now < 100; now += 0.5 {
		if w.Tick(now) {
			steps++
		}
	}
	if steps != 3 || now < 6+3*7.5 || now > 6+3*12.5+2 {
		t.Errorf("narrowed in %d steps until %v", steps, now)
	}
	if w.Tick(1000) {
		t.Error("narrowed below the base size")
	}
	// Agents narrow at different times.
	ends := map[float64]bool{}
	for i := range 50 {
		w := NewWidth(i)
		for range 3 {
			w.ObserveRejection(0)
		}
		now := 7.0
		for !w.Tick(now) {
			now += 0.01
		}
		ends[math.Round(now*100)] = true
	}
	if len(ends) < 40 {
		t.Errorf("narrowed at only %d different times", len(ends))
	}
}

// A thousand agents that share one newly started server connect at no more than the rate, and no delay
// exceeds its bound.
func TestConnectDelay(t *testing.T) {
	z := Sizes{Agents: 1000, PerServer: 400, MinServers: 1, MaxServers: 16}
	for _, salt := range []uint64{1, 2, 99} {
		perSecond := map[int]int{}
		for i := range 1000 {
			h := ConnectDelay(i, salt, &z, 1, 50, 60)
			if h < 0 || h > 20 {
				t.Fatalf("agent %d waits %v s", i, h)
			}
			perSecond[int(h)]++
		}
		for s, n := range perSecond {
			if n > 60 {
				t.Errorf("%d connect in second %d", n, s)
			}
		}
	}
	if ConnectDelay(3, 1, &z, 1, 50, 2) > 2 || ConnectDelay(3, 1, &z, 1, 0, 9) != 0 ||
		ConnectDelay(3, 1, &Sizes{Agents: 1}, 1, 50, 9) != 0 || ConnectDelay(3, 1, &z, 0, 50, 9) != 0 {
		t.Error("delay out of bounds")
	}
}

func TestMeasureChoosers(t *testing.T) {
	if !*measure {
		t.Skip("needs -subset.measure")
	}
	ways := []struct {
		name   string
		choose subsetFunc
	}{{"golden ring", goldenRing}, {"Finagle's aperture", aperture}, {"deterministic (SRE)", deterministic},
		{"rendezvous", rendezvous}}
	fmt.Println("| agents | servers | each | algorithm | max, min load over mean | assumed twice | assumed half | ten carry half | max connections | replaced per agent after one change |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range []struct{ agents, servers int }{{200, 12}, {2000, 12}, {2000, 30}, {2000, 300}, {10000, 300},
		{100000, 300}} {
		z := Sizes{Agents: size.agents, PerServer: 400, MinServers: 2, MaxServers: 16}
		n := z.BaseSize(size.servers)
		servers := randomServers(size.servers, 1)
		replaced := slices.Clone(servers)
		replaced[size.servers/2] = Server{ID: 77, Zone: servers[size.servers/2].Zone,
			Weight: servers[size.servers/2].Weight}
		heavy := equalRates(size.agents)
		for i := range 10 {
			heavy[i*size.agents/10] = float64(size.agents) / 10
		}
		for _, w := range ways {
			rates := equalRates(size.agents)
			if size.agents > 10000 && w.name != "golden ring" {
				continue // each agent sorts all servers here
			}
			most, least, conns := spread(w.choose, size.agents, rates, servers, n)
			double, _, _ := spread(w.choose, 2*size.agents, rates, servers, n)
			half, _, _ := spread(w.choose, size.agents/2, rates, servers, n)
			// Agents with a high rate use all servers, the others their subsets.
			wide := func(i, a int, s []Server, n int) []Pick {
				if heavy[i] > 1 {
					n = len(s)
				}
				return w.choose(i, a, s, n)
			}
			tens, _, _ := spread(wide, size.agents, heavy, servers, n)
			fmt.Printf("| %d | %d | %d | %s | %.3f, %.3f | %.3f | %.3f | %.3f | %d | %.2f |\n", size.agents,
				size.servers, n, w.name, most, least, double, half, tens, conns,
				meanReplaced(w.choose, min(size.agents, 2000), servers, replaced, n))
		}
	}
}
