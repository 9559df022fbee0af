package fleet

import (
	"cmp"
	"math"
	"strings"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

func set(index, agents int) *settings.Settings {
	s := &settings.Settings{Index: index, Replicas: agents}
	s.Contract.ColdMs, s.Contract.AskWithinMs = 8000, 10000
	return s
}

func machine(t testing.TB, o Options, index, agents int) *Machine {
	t.Helper()
	m, err := New(o, set(index, agents), uint64(index), 1000)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func list(n int, born float64) []cluster.Entry {
	entries := make([]cluster.Entry, n)
	for i := range entries {
		entries[i] = cluster.Entry{Server: cluster.Addr{byte(i), byte(i >> 8), 7}, Zone: i % 3, Health: cluster.Ready, SinceMs: born}
	}
	return entries
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for key, change := range map[string]func(*Options){
		"agents":      func(o *Options) { o.Agents = -1 },
		"connections": func(o *Options) { o.Connections = 0 },
		"least":       func(o *Options) { o.Least = 0 },
		"most":        func(o *Options) { o.Most = 1 },
		"connects":    func(o *Options) { o.Connects = math.NaN() },
		"questions":   func(o *Options) { o.Questions = 0 },
		"probes":      func(o *Options) { o.Probes = -1 },
	} {
		o := Default()
		change(&o)
		if _, err := New(o, set(0, 10), 1, 0); err == nil || !strings.HasPrefix(err.Error(), key+": ") {
			t.Errorf("%s: said %v", key, err)
		}
	}
}

// All is ranked, draining servers are not, and the agent keeps to its share.
func TestPlan(t *testing.T) {
	m := machine(t, Default(), 7, 2000)
	entries := list(30, 0)
	entries[3].Health = cluster.Draining
	least, wake := m.Plan(5000, entries)
	if least < 4 || least > 7 || wake != 0 { // 400 connections of 29 servers to 2,000 agents: 4.8, and one more
		t.Errorf("it keeps to %d, to be looked at again at %v", least, wake)
	}
	ranks := map[float64]bool{}
	for i, e := range entries {
		if (e.Rank > 0) != (i != 3) || ranks[e.Rank] {
			t.Errorf("server %d has rank %v", i, e.Rank)
		}
		ranks[e.Rank] = true
	}
	// Of the servers at the ends of its arc an agent uses a part.
	lowest := 1.0
	for i := range 50 {
		entries := list(30, 0)
		machine(t, Default(), i, 2000).Plan(5000, entries)
		for _, e := range entries {
			if lowest = min(lowest, cmp.Or(e.Weight, 1)); e.Weight < 0 || e.Weight > 1 {
				t.Errorf("weight %v", e.Weight)
			}
		}
	}
	if lowest < 0.1 || lowest > 0.3 {
		t.Errorf("the least part is %v", lowest)
	}
	if least, _ := m.Plan(5000, nil); least != 0 {
		t.Errorf("of no servers it keeps to %d", least)
	}
}

// A process that has just started takes the agents one after the other, at the set rate; each
// keeps its turn when the list comes again, and another process has turns of its own.
func TestTurns(t *testing.T) {
	const agents, born, now = 2000, 100000, 100100.0
	o := Default()
	perSecond, waited, changed := map[int]int{}, 0, 0
	for i := range agents {
		m := machine(t, o, i, agents)
		entries := list(2, 0)
		entries[1].SinceMs = born
		_, wake := m.Plan(now, entries)
		if entries[0].Health != cluster.Ready {
			t.Fatal("an old process waits")
		}
		at := now
		if entries[1].Health != cluster.Ready {
			if at = wake; wake <= now || wake > born+8000 {
				t.Fatalf("agent %d waits until %v", i, wake)
			}
			waited++
		}
		perSecond[int((at-born)/1000)]++
		again := list(2, 0)
		again[1].SinceMs = born
		if _, same := m.Plan(now+1, again); same != wake && wake > now+1 {
			t.Fatalf("its turn was at %v and is at %v", wake, same)
		}
		again[1].Health = cluster.Ready
		if _, then := m.Plan(at, again); then != 0 || again[1].Health != cluster.Ready {
			t.Fatalf("its turn does not come: %v", then)
		}
		other := list(2, 0)
		other[1].SinceMs = born + 50
		if _, next := m.Plan(now, other); math.Abs(next-wake) > 51 {
			changed++
		}
	}
	for s, n := range perSecond {
		if s < 7 && n > 130 { // 100 a second; those that would wait past the cold time come at its end
			t.Errorf("%d agents come in second %d", n, s)
		}
	}
	if waited < agents/2 || changed < agents/3 {
		t.Errorf("%d wait, %d otherwise for another process", waited, changed)
	}
	m := machine(t, o, 5, 1)
	entries := list(1, born)
	if _, wake := m.Plan(now, entries); wake != 0 || entries[0].Health != cluster.Ready {
		t.Error("a lone agent waits for nobody")
	}
}

// Trouble widens at once and is over after a while.
func TestTroubleWidens(t *testing.T) {
	m := machine(t, Default(), 7, 2000)
	before, _ := m.Plan(5000, list(30, 0))
	for range 3 {
		m.Refused(6000)
	}
	wide, wake := m.Plan(6000, list(30, 0))
	if wide < 2*before-2 || wake != 7000 {
		t.Errorf("%d servers, then %d, again at %v", before, wide, wake)
	}
	for now := 7000.0; m.Calm(now) || now < 30000; now += 1000 {
	}
	if after, wake := m.Plan(30000, list(30, 0)); after != before || wake != 0 {
		t.Errorf("in the end %d, again at %v", after, wake)
	}
}

// A watch that has ended is begun anew at a moment of each agent's own, and nobody goes without for
// longer than the contract allows.
func TestFollow(t *testing.T) {
	for _, agents := range []int{1, 2000, 1000000} {
		perSecond := map[int]int{}
		for i := range min(agents, 2000) {
			m := machine(t, Default(), i, agents)
			wait := m.Follow(5000, 4000)
			if wait < 0 || wait > 1000*float64(agents)/200 || 5000+wait > 4000+10000 {
				t.Fatalf("%d agents: the watch is put off by %v", agents, wait)
			}
			if m.Follow(20000, 4000) != 0 {
				t.Fatal("it has gone without for too long already")
			}
			perSecond[int(wait/1000)]++
		}
		if agents == 2000 {
			for s, n := range perSecond {
				if n > 330 { // 7.75 s are left for 2,000
					t.Errorf("%d follow in second %d", n, s)
				}
			}
		}
	}
}

// All agents together ask a server's health no more often than set, where each asks again as
// soon as it is answered.
func TestProbes(t *testing.T) {
	const agents, seconds = 2000, 100
	n := 0
	for i := range agents {
		m := machine(t, Default(), i, agents)
		entries := list(30, 0)
		m.Plan(5000, entries)
		if entries[0].Rank > 0.2 { // who keeps to it
			continue
		}
		for now := m.Probe(); now < seconds*1000; now += m.Probe() {
			n++
		}
	}
	if rate := float64(n) / seconds; rate > 12 || rate < 1 {
		t.Errorf("%.1f probes a second", rate)
	}
}
