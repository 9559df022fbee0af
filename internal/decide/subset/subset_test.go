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

var measure = flag.Bool("subset.measure", false, "print how even the load is and what a change costs, for several ways to choose")

// fleet makes so many servers in three zones, of which the kinds of machine weigh 1 to 3.
func fleet(n int, seed uint64) []Server {
	rng := rand.New(rand.NewPCG(seed, 2))
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: rng.Uint64(), Zone: []int{0, 0, 1, 1, 1, 2}[rng.IntN(6)], Weight: []float64{1, 1.5, 3}[rng.IntN(3)]}
	}
	return servers
}

// chooser gives the servers that an agent keeps to.
type chooser func(index, agents int, servers []Server, n int) []Pick

func ring(index, _ int, servers []Server, n int) []Pick {
	picks, keep := Order(index, servers, n)
	return picks[:keep]
}

// whole are servers that an agent uses by their whole weight.
func whole(servers []int) (out []Pick) {
	for _, k := range servers {
		out = append(out, Pick{Index: k, Part: 1})
	}
	return out
}

// rendezvous gives each agent its n servers of the highest weighted hash.
func rendezvous(index, _ int, servers []Server, n int) []Pick {
	score := make([]float64, len(servers))
	all := make([]int, len(servers))
	for i, s := range servers {
		u := float64(arith.Mix(s.ID^arith.Mix(uint64(index)+1))>>11) / (1 << 53)
		score[i], all[i] = -math.Log(u+1e-18), i
	}
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(score[x], score[y]) })
	return whole(all[:n])
}

// deterministic is the subsetting of Google's SRE book: rounds of agents deal out a shuffled
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
	return whole(all[index%count*n:][:n])
}

// aperture is Finagle's: the agent's arc begins at its part of the ring.
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
	return whole(out)
}

// load adds up what comes to each server, as a part of its weight, with agents' requests
// spread by weight over what they keep to; it gives the most and the least over the mean, and
// how many connections the server with the most of them has.
func load(choose chooser, told int, rates []float64, servers []Server, n int) (most, least float64, conns int) {
	got, held := make([]float64, len(servers)), make([]int, len(servers))
	all := 0.0
	for i, r := range rates {
		picks := choose(i, told, servers, n)
		sum := 0.0
		for _, k := range picks {
			sum += weight(&servers[k.Index]) * k.Part
		}
		for _, k := range picks {
			got[k.Index] += r * weight(&servers[k.Index]) * k.Part / sum
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

func even(n int) []float64 {
	r := make([]float64, n)
	for i := range r {
		r[i] = 1
	}
	return r
}

// The load is even whatever the number of agents, and whatever they were told that it is.
func TestLoadIsEven(t *testing.T) {
	for _, servers := range []int{3, 10, 30, 300} {
		for _, agents := range []int{50, 200, 2000} {
			z := Sizes{Agents: agents, PerServer: 400, Least: 12, Most: 16}
			n := z.Base(servers)
			if agents*n < 20*servers {
				continue // fewer than twenty agents a server can't be even
			}
			for _, told := range []int{agents / 2, agents, 2 * agents} {
				if most, least, _ := load(ring, told, even(agents), fleet(servers, 1), n); most > 1.15 || least < 0.85 {
					t.Errorf("%d agents, told %d, %d servers, %d each: from %.3f to %.3f of the mean", agents, told, servers, n, least, most)
				}
			}
		}
	}
}

// A server that comes or goes changes little for anybody, and so does an agent.
func TestAChangeCostsLittle(t *testing.T) {
	const agents, servers, n = 500, 100, 16
	list := fleet(servers, 3)
	for name, after := range map[string][]Server{
		"one comes":   append(slices.Clone(list), Server{ID: 99, Zone: 1, Weight: 1}),
		"one goes":    slices.Delete(slices.Clone(list), 40, 41),
		"another way": append(slices.Delete(slices.Clone(list), 40, 41), list[40]),
	} {
		changed := moved(ring, agents, list, after, n)
		if limit := 2.0; changed > limit || name == "another way" && changed > 0 {
			t.Errorf("%s: %.2f of %d servers are others, on the mean", name, changed, n)
		}
	}
	for i := range agents {
		if !slices.Equal(ring(i, 500, list, n), ring(i, 1000, list, n)) {
			t.Fatal("the number of agents moves an agent")
		}
	}
}

// moved is how many of its servers an agent has to give up after a change, on the mean; those
// that went are not counted.
func moved(choose chooser, agents int, before, after []Server, n int) float64 {
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

// Each subset has of each zone what is the zone's, so that the loss of one leaves it the rest.
func TestZonesAreSpanned(t *testing.T) {
	list := fleet(120, 5)
	total, byZone := 0.0, map[int]float64{}
	for i := range list {
		total += list[i].Weight
		byZone[list[i].Zone] += list[i].Weight
	}
	for agent := range 300 {
		sum, of := 0.0, map[int]float64{}
		for _, k := range ring(agent, 300, list, 16) {
			sum += list[k.Index].Weight
			of[list[k.Index].Zone] += list[k.Index].Weight
		}
		for z, w := range byZone {
			if part := of[z] / sum; math.Abs(part-w/total) > 0.15 {
				t.Errorf("agent %d keeps %.2f of its weight in zone %d, which has %.2f", agent, part, z, w/total)
			}
		}
	}
	// With a zone lost, the rest share its load evenly, each agent with those next in line.
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
	if most, least, _ := load(skip, 2000, even(2000), left, 16); most > 1.35 || least < 0.65 {
		t.Errorf("with a zone lost the load is from %.2f to %.2f of the mean", least, most)
	}
}

// Every order names every server once, whatever the servers are like.
func TestOrderIsWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	for range 300 {
		n := rng.IntN(20)
		servers := make([]Server, n)
		for i := range servers {
			servers[i] = Server{ID: rng.Uint64N(12), Zone: rng.IntN(3) - 1, Weight: []float64{0, -1, math.NaN(), math.Inf(1), 1e-9, 5}[rng.IntN(6)]}
		}
		last, seen := 0.0, map[int]bool{}
		most := rng.IntN(25)
		picks, keep := Order(rng.IntN(1<<30)-5, servers, most)
		if keep > n || keep == 0 && n > 0 {
			t.Fatalf("it keeps to %d of %d", keep, n)
		}
		for _, p := range picks {
			if p.Rank <= last || p.Rank > 1 || !(p.Part >= leastPart && p.Part <= 1) || seen[p.Index] {
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
		{Sizes{Agents: 4, PerServer: 400, Least: 2, Most: 16}, 12, 12},
		{Sizes{Agents: 200, PerServer: 400, Least: 2, Most: 16}, 300, 16},
		{Sizes{Agents: 2000, PerServer: 400, Least: 2, Most: 16}, 30, 5},
		{Sizes{Agents: 100000, PerServer: 400, Least: 2, Most: 16}, 300, 2},
		{Sizes{Agents: 0, PerServer: 400, Least: 2, Most: 16}, 300, 16},
		{Sizes{Agents: 10, PerServer: 0, Least: 2, Most: 16}, 300, 16},
		{Sizes{}, 0, 1},
		{Sizes{Agents: 10, Least: 5, Most: 16}, 3, 3},
	} {
		if got := c.z.Base(c.servers); got != c.want {
			t.Errorf("%+v of %d servers: %d, not %d", c.z, c.servers, got, c.want)
		}
	}
}

func TestWidth(t *testing.T) {
	w := NewWidth(5)
	refuse := func(now float64, n int) (widened int) {
		for range n {
			if w.Refused(now) {
				widened++
			}
		}
		return widened
	}
	if refuse(1, 2) != 0 || refuse(5, 2) != 0 || w.Factor() != 1 {
		t.Error("two refusals now and then are no trouble")
	}
	if refuse(5.1, 1) != 1 || w.Factor() != 2 || w.Calm(5.2) {
		t.Error("three in a second are")
	}
	if refuse(6, 30) != 2 || w.Factor() != widest {
		t.Errorf("it is %d times as wide", w.Factor())
	}
	steps, now := 0, 6.0
	for ; w.Factor() > 1 && now < 100; now += 0.5 {
		if w.Calm(now) {
			steps++
		}
	}
	if steps != 3 || now < 6+3*7.5 || now > 6+3*12.5+2 {
		t.Errorf("narrowed in %d steps until %v", steps, now)
	}
	if w.Calm(1000) {
		t.Error("it is narrow")
	}
	// They don't move in step.
	ends := map[float64]bool{}
	for i := range 50 {
		w := NewWidth(i)
		for range 3 {
			w.Refused(0)
		}
		now := 7.0
		for !w.Calm(now) {
			now += 0.01
		}
		ends[math.Round(now*100)] = true
	}
	if len(ends) < 40 {
		t.Errorf("%d different times", len(ends))
	}
}

// A thousand agents that keep to one server that has just started come no faster than the
// rate, whatever the moment, and none waits longer than the bound.
func TestHold(t *testing.T) {
	z := Sizes{Agents: 1000, PerServer: 400, Least: 1, Most: 16}
	for _, salt := range []uint64{1, 2, 99} {
		perSecond := map[int]int{}
		for i := range 1000 {
			h := Hold(i, salt, &z, 1, 50, 60)
			if h < 0 || h > 20 {
				t.Fatalf("agent %d waits %v s", i, h)
			}
			perSecond[int(h)]++
		}
		for s, n := range perSecond {
			if n > 60 {
				t.Errorf("%d come in second %d", n, s)
			}
		}
	}
	if Hold(3, 1, &z, 1, 50, 2) > 2 || Hold(3, 1, &z, 1, 0, 9) != 0 || Hold(3, 1, &Sizes{Agents: 1}, 1, 50, 9) != 0 || Hold(3, 1, &z, 0, 50, 9) != 0 {
		t.Error("out of its bounds")
	}
}

func TestMeasureChoosers(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	ways := []struct {
		name   string
		choose chooser
	}{{"golden ring", ring}, {"Finagle's aperture", aperture}, {"deterministic (SRE)", deterministic}, {"rendezvous", rendezvous}}
	fmt.Println("| agents | servers | each | way | most, least of the mean | told twice | told half | ten carry half | connections at one | one replaced: moved of each agent's |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range []struct{ agents, servers int }{{200, 12}, {2000, 12}, {2000, 30}, {2000, 300}, {10000, 300}, {100000, 300}} {
		z := Sizes{Agents: size.agents, PerServer: 400, Least: 2, Most: 16}
		n := z.Base(size.servers)
		servers := fleet(size.servers, 1)
		replaced := slices.Clone(servers)
		replaced[size.servers/2] = Server{ID: 77, Zone: servers[size.servers/2].Zone, Weight: servers[size.servers/2].Weight}
		heavy := even(size.agents)
		for i := range 10 {
			heavy[i*size.agents/10] = float64(size.agents) / 10
		}
		for _, w := range ways {
			rates := even(size.agents)
			if size.agents > 10000 && w.name != "golden ring" {
				continue // each agent sorts all servers here
			}
			most, least, conns := load(w.choose, size.agents, rates, servers, n)
			double, _, _ := load(w.choose, 2*size.agents, rates, servers, n)
			half, _, _ := load(w.choose, size.agents/2, rates, servers, n)
			// Who carries much keeps to all; the rest to their subsets.
			wide := func(i, a int, s []Server, n int) []Pick {
				if heavy[i] > 1 {
					n = len(s)
				}
				return w.choose(i, a, s, n)
			}
			tens, _, _ := load(wide, size.agents, heavy, servers, n)
			fmt.Printf("| %d | %d | %d | %s | %.3f, %.3f | %.3f | %.3f | %.3f | %d | %.2f |\n", size.agents, size.servers, n, w.name, most, least, double, half, tens, conns,
				moved(w.choose, min(size.agents, 2000), servers, replaced, n))
		}
	}
}
