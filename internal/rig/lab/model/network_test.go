package model

import (
	"fmt"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/policy"
)

// seen is what agents were told, by its time since the start in ms.
type seen struct {
	outcomes []outcome
	lists    []float64
}

type outcome struct {
	at     float64
	status policy.Status
	server cluster.Addr
}

// count counts outcomes of a time.
func (s *seen) count(from, to float64, of ...policy.Status) (n, others int) {
	for _, o := range s.outcomes {
		if o.at < from || o.at > to {
			continue
		}
		hit := false
		for _, st := range of {
			hit = hit || o.status == st
		}
		if hit {
			n++
		} else {
			others++
		}
	}
	return n, others
}

// watcher notes what an agent's decider is told.
type watcher struct {
	choose.Decider
	s *seen
}

func (d watcher) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.EvOutcome:
		d.s.outcomes = append(d.s.outcomes, outcome{now - clockBase, ev.Status, ev.Server})
	case policy.EvList:
		if ev.List != cluster.ListFailed {
			d.s.lists = append(d.s.lists, now-clockBase)
		}
	}
	return d.Decider.Handle(now, ev, out)
}

// watched plays a scenario of one class with random choice, and gives what agents were told.
func watched(t *testing.T, servers, portal, events string) (*seen, *measure.Result) {
	t.Helper()
	s := parse(t, fmt.Sprintf(`
length = "6s"
network = {same = "1ms", jitter = 0.0}
limits = {attempts = 1, sockets = 1024}
roster = {notice = "200ms", silent = "600ms"}
[[server]]
kind = "s"
queue = 50
%s
[[class]]
name = "x"
work = "20ms"
aim = "400ms"
give_up = "400ms"
effect = "safe"
[[portal]]
%s
%s`, servers, portal, events))
	got := &seen{}
	r := play(t, s, Options{Seed: 1, NewDecider: func(index, zone int, seed uint64, truth choose.Truth) (choose.Decider, error) {
		d, err := choose.New("random", s.Settings(index, zone), seed, truth)
		return watcher{d, got}, err
	}})
	return got, r
}

func happens(kind, more string) string {
	return fmt.Sprintf("[[event]]\nat = \"2s\"\nkind = %q\n%s\n", kind, more)
}

// A machine that says nothing answers nothing: connects and requests time out, and when it is back
// what was sent to the old process is reset. One that crashes resets and refuses.
func TestSilenceAndCrash(t *testing.T) {
	got, _ := watched(t, "count = 1\nslots = 8", "rate = 100.0", happens("vanish", "share = 1.0\nfor = \"1s\""))
	if n, others := got.count(2003, 2590, policy.Timeout, policy.ConnectFailed, policy.Cancelled); n == 0 || others != 0 {
		t.Errorf("silent: %d timed out or had no connection, %d else", n, others)
	}
	got, _ = watched(t, "count = 1\nslots = 8", "rate = 100.0", happens("crash", "share = 1.0\nfor = \"1s\""))
	if n, _ := got.count(2000, 2010, policy.Reset); n == 0 {
		t.Error("crashed: nothing was reset")
	}
	if n, others := got.count(2003, 2990, policy.ConnectFailed, policy.Reset); n == 0 || others != 0 {
		t.Errorf("crashed: %d refused or reset, %d else", n, others)
	}
	if n, _ := got.count(4500, 6000, policy.OK); n < 50 {
		t.Errorf("back: %d served", n)
	}
}

// A server holds no more connections than it may.
func TestConnectionsAreBounded(t *testing.T) {
	got, r := watched(t, "count = 1\nslots = 1\nconnections = 2", "rate = 100.0\nagents = 8", "")
	if n, _ := got.count(0, 6000, policy.ConnectFailed); n == 0 || r.OpenMost != 2 {
		t.Errorf("%d refused, %d open at the most", n, r.OpenMost)
	}
}

// Work ends with its client, but where it runs on.
func TestLeavingClients(t *testing.T) {
	_, stops := watched(t, "count = 1\nslots = 100", "rate = 100.0\nleaves = 1.0\npatience = [0.02, 0.03]", "")
	_, runs := watched(t, "count = 1\nslots = 100\nruns_on = true", "rate = 100.0\nleaves = 1.0\npatience = [0.02, 0.03]", "")
	if a, b := stops.Servers[0].Work, runs.Servers[0].Work; !(a < b/2) || stops.Gone == 0 || stops.AfterEnd != 0 {
		t.Errorf("work %.4f, where it runs on %.4f, %d left", a, b, stops.Gone)
	}
}

// A request that its decider forgets is failed before its time is up.
func TestGuard(t *testing.T) {
	s := shipped(t, "calm", 6)
	r := play(t, s, Options{Seed: 1, NewDecider: func(int, int, uint64, choose.Truth) (choose.Decider, error) { return silent{}, nil }})
	if r.Failed != r.Tries || r.Tries == 0 {
		t.Errorf("%d of %d were failed", r.Failed, r.Tries)
	}
}

type silent struct{}

func (silent) Start(float64, []policy.Action) []policy.Action { return nil }
func (silent) Handle(float64, *policy.Event, []policy.Action) []policy.Action {
	return nil
}

// A roster that is down tells nothing; what it has to tell comes when it is back.
func TestRosterDown(t *testing.T) {
	got, _ := watched(t, "count = 4\nslots = 4", "rate = 50.0", happens("roster-down", "for = \"2s\"")+happens("drain", "server = \"s-1\""))
	before, after := 0, 0
	for _, at := range got.lists {
		if at > 2000 && at < 4000 {
			before++
		} else if at >= 4000 {
			after++
		}
	}
	if before != 0 || after == 0 {
		t.Errorf("%d lists while it was down, %d after", before, after)
	}
}

// A server that is replaced ends what it has; those that fail are all that are named, each for a
// share of its requests.
func TestReplaceAndFail(t *testing.T) {
	got, r := watched(t, "count = 3\nslots = 40", "rate = 900.0", happens("replace", "server = \"s-1\""))
	if n, others := got.count(2000, 6000, policy.Reset, policy.ConnectFailed); n != 0 || others == 0 || len(r.Servers) != 4 {
		t.Errorf("%d reset, %d else, %d servers", n, others, len(r.Servers))
	}
	got, _ = watched(t, "count = 4\nslots = 8", "rate = 150.0", happens("fail", "share = 0.5"))
	failing := map[cluster.Addr]bool{}
	for _, o := range got.outcomes {
		if o.status == policy.Error {
			failing[o.server] = true
		}
	}
	if n, others := got.count(2100, 6000, policy.Error); len(failing) != 4 || n < others/2 || n > 2*others {
		t.Errorf("%d servers fail, %d of %d requests", len(failing), n, n+others)
	}
}
