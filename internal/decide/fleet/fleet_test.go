package fleet

import (
	"cmp"
	"math"
	"strings"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

func testSettings(index, agents int) *settings.Settings {
	s := &settings.Settings{Index: index, Replicas: agents}
	s.Contract.SlowStartMs, s.Contract.MaxPollIntervalMs = 8000, 10000
	return s
}

func newPlanner(t testing.TB, o Options, index, agents int) *Planner {
	t.Helper()
	m, err := New(o, testSettings(index, agents), uint64(index), 1000)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func readyEntries(n int, born float64) []cluster.Entry {
	entries := make([]cluster.Entry, n)
	for i := range entries {
		entries[i] = cluster.Entry{Server: cluster.Addr{byte(i), byte(i >> 8), 7}, Zone: i % 3, Health: cluster.Ready,
			SinceMs: born}
	}
	return entries
}

func TestValidateNamesTheKey(t *testing.T) {
	for key, change := range map[string]func(*Options){
		"agents":      func(o *Options) { o.Agents = -1 },
		"connections": func(o *Options) { o.Connections = 0 },
		"least":       func(o *Options) { o.MinServers = 0 },
		"most":        func(o *Options) { o.MaxServers = 1 },
		"connects":    func(o *Options) { o.ConnectRate = math.NaN() },
		"questions":   func(o *Options) { o.PollRate = 0 },
		"probes":      func(o *Options) { o.ProbeRate = -1 },
	} {
		o := Default()
		change(&o)
		if _, err := New(o, testSettings(0, 10), 1, 0); err == nil || !strings.HasPrefix(err.Error(), key+": ") {
			t.Errorf("%s: error %v does not name the key", key, err)
		}
	}
}

// Every ready server is ranked, draining ones are not, and the size of the subset follows from the
// limits.
func TestPlan(t *testing.T) {
	m := newPlanner(t, Default(), 7, 2000)
	entries := readyEntries(30, 0)
	entries[3].Health = cluster.Draining
	least, wake := m.Plan(5000, entries)
	// 400 connections * 29 servers / 2,000 agents = 5.8 servers per agent. Its arc, a stretch of the ring of servers,
	// covers one less, since it shares the servers at both ends with its neighbours; it may touch up to 7.
	if least < 4 || least > 7 || wake != 0 {
		t.Errorf("subset of %d, to be computed again at %v", least, wake)
	}
	ranks := map[float64]bool{}
	for i, e := range entries {
		if (e.Rank > 0) != (i != 3) || ranks[e.Rank] {
			t.Errorf("server %d has rank %v", i, e.Rank)
		}
		ranks[e.Rank] = true
	}
	// An agent uses a fraction of the servers at the ends of its arc.
	lowest := 1.0
	for i := range 50 {
		entries := readyEntries(30, 0)
		newPlanner(t, Default(), i, 2000).Plan(5000, entries)
		for _, e := range entries {
			if lowest = min(lowest, cmp.Or(e.Weight, 1)); e.Weight < 0 || e.Weight > 1 {
				t.Errorf("weight %v", e.Weight)
			}
		}
	}
	if lowest < 0.1 || lowest > 0.3 {
		t.Errorf("the lowest fraction is %v", lowest)
	}
	if least, _ := m.Plan(5000, nil); least != 0 {
		t.Errorf("subset of %d from no servers", least)
	}
}

// Agents connect to a newly started process spread over time, at the configured rate. Each keeps
// its time when the list is received again, and has a different one for another process.
func TestConnectsToNewProcessAreSpread(t *testing.T) {
	const agents, born, now = 2000, 100000, 100100.0
	o := Default()
	perSecond, waited, changed := map[int]int{}, 0, 0
	for i := range agents {
		m := newPlanner(t, o, i, agents)
		entries := readyEntries(2, 0)
		entries[1].SinceMs = born
		_, wake := m.Plan(now, entries)
		if entries[0].Health != cluster.Ready {
			t.Fatal("an old process is delayed")
		}
		at := now
		if entries[1].Health != cluster.Ready {
			if at = wake; wake <= now || wake > born+8000 {
				t.Fatalf("agent %d waits until %v", i, wake)
			}
			waited++
		}
		perSecond[int((at-born)/1000)]++
		again := readyEntries(2, 0)
		again[1].SinceMs = born
		if _, same := m.Plan(now+1, again); same != wake && wake > now+1 {
			t.Fatalf("connect time changed from %v to %v", wake, same)
		}
		again[1].Health = cluster.Ready
		if _, then := m.Plan(at, again); then != 0 || again[1].Health != cluster.Ready {
			t.Fatalf("still delayed at its connect time, until %v", then)
		}
		other := readyEntries(2, 0)
		other[1].SinceMs = born + 50
		if _, next := m.Plan(now, other); math.Abs(next-wake) > 51 {
			changed++
		}
	}
	for s, n := range perSecond {
		if s < 7 && n > 130 { // 100 per second; delays beyond the slow-start time are cut to it
			t.Errorf("%d agents connect in second %d", n, s)
		}
	}
	if waited < agents/2 || changed < agents/3 {
		t.Errorf("%d agents are delayed, %d differently for another process", waited, changed)
	}
	m := newPlanner(t, o, 5, 1)
	entries := readyEntries(1, born)
	if _, wake := m.Plan(now, entries); wake != 0 || entries[0].Health != cluster.Ready {
		t.Error("a single agent is delayed")
	}
}

// Rejections widen the subset at once; it narrows after a while without any.
func TestRejectionsWidenSubset(t *testing.T) {
	m := newPlanner(t, Default(), 7, 2000)
	before, _ := m.Plan(5000, readyEntries(30, 0))
	for range 3 {
		m.ObserveRejection(6000)
	}
	wide, wake := m.Plan(6000, readyEntries(30, 0))
	if wide < 2*before-2 || wake != 7000 {
		t.Errorf("subset of %d, then %d, to be computed again at %v", before, wide, wake)
	}
	for now := 7000.0; m.Tick(now) || now < 30000; now += 1000 {
	}
	if after, wake := m.Plan(30000, readyEntries(30, 0)); after != before || wake != 0 {
		t.Errorf("subset of %d at the end, to be computed again at %v", after, wake)
	}
}

// A watch that has ended is restarted at a different time by each agent, and never later than the
// contract allows.
func TestPollDelay(t *testing.T) {
	for _, agents := range []int{1, 2000, 1000000} {
		perSecond := map[int]int{}
		for i := range min(agents, 2000) {
			m := newPlanner(t, Default(), i, agents)
			wait := m.PollDelay(5000, 4000)
			if wait < 0 || wait > 1000*float64(agents)/200 || 5000+wait > 4000+10000 {
				t.Fatalf("%d agents: the watch is delayed by %v", agents, wait)
			}
			if m.PollDelay(20000, 4000) != 0 {
				t.Fatal("delayed although the last update is already too old")
			}
			perSecond[int(wait/1000)]++
		}
		if agents == 2000 {
			for s, n := range perSecond {
				if n > 330 { // 7.75 s are left for 2,000
					t.Errorf("%d polls in second %d", n, s)
				}
			}
		}
	}
}

// All agents together check a server at about the configured rate of 10 per second, if each schedules
// the next check when one is answered. As delays are random, up to 12 are accepted.
func TestProbeRate(t *testing.T) {
	const agents, seconds = 2000, 100
	n := 0
	for i := range agents {
		m := newPlanner(t, Default(), i, agents)
		entries := readyEntries(30, 0)
		m.Plan(5000, entries)
		if entries[0].Rank > 0.2 { // not in its subset
			continue
		}
		for now := m.ProbeDelay(); now < seconds*1000; now += m.ProbeDelay() {
			n++
		}
	}
	if rate := float64(n) / seconds; rate > 12 || rate < 1 {
		t.Errorf("%.1f health checks per second", rate)
	}
}
