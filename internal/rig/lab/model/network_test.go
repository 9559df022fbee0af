package model

import (
	"fmt"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/policy"
)

// observed contains the outcomes and lists that agents received, with times in ms since the start.
type observed struct {
	outcomes []outcome
	lists    []float64
}

type outcome struct {
	at     float64
	status policy.Status
	server cluster.Addr
}

// count returns how many outcomes in a time span have one of the statuses, and how many have another.
func (s *observed) count(from, to float64, of ...policy.Status) (n, others int) {
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

// recordingDecider records the events that an agent's decider receives.
type recordingDecider struct {
	choose.Decider
	s *observed
}

func (d recordingDecider) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
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

// playObserved simulates a scenario of one class with the random chooser and returns the events that
// agents received.
func playObserved(t *testing.T, servers, portal, events string) (*observed, *measure.Result) {
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
	got := &observed{}
	r := play(t, s, Options{Seed: 1, NewDecider: func(index, zone int, seed uint64, truth choose.Truth) (choose.Decider, error) {
		d, err := choose.New("random", s.Settings(index, zone), seed, truth)
		return recordingDecider{d, got}, err
	}})
	return got, r
}

func eventTOML(kind, more string) string {
	return fmt.Sprintf("[[event]]\nat = \"2s\"\nkind = %q\n%s\n", kind, more)
}

// Requests and connects to a server that vanished time out, and when it is back requests to the old
// process are reset. A server that crashes resets its connections and refuses new ones.
func TestVanishedAndCrashedServers(t *testing.T) {
	got, _ := playObserved(t, "count = 1\nslots = 8", "rate = 100.0", eventTOML("vanish", "share = 1.0\nfor = \"1s\""))
	if n, others := got.count(2003, 2590, policy.Timeout, policy.ConnectFailed, policy.Cancelled); n == 0 || others != 0 {
		t.Errorf("vanished: %d timed out or had no connection, %d other", n, others)
	}
	got, _ = playObserved(t, "count = 1\nslots = 8", "rate = 100.0", eventTOML("crash", "share = 1.0\nfor = \"1s\""))
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

// A server accepts no more connections than its limit.
func TestConnectionsAreBounded(t *testing.T) {
	got, r := playObserved(t, "count = 1\nslots = 1\nconnections = 2", "rate = 100.0\nagents = 8", "")
	if n, _ := got.count(0, 6000, policy.ConnectFailed); n == 0 || r.OpenMost != 2 {
		t.Errorf("%d refused, %d open at the most", n, r.OpenMost)
	}
}

// Work stops when its client leaves, unless the server is configured to run it to the end.
func TestLeavingClients(t *testing.T) {
	_, stops := playObserved(t, "count = 1\nslots = 100", "rate = 100.0\nleaves = 1.0\npatience = [0.02, 0.03]", "")
	_, runs := playObserved(t, "count = 1\nslots = 100\nruns_on = true", "rate = 100.0\nleaves = 1.0\npatience = [0.02, 0.03]", "")
	if a, b := stops.Servers[0].Work, runs.Servers[0].Work; !(a < b/2) || stops.Gone == 0 || stops.AfterEnd != 0 {
		t.Errorf("work %.4f, where it runs on %.4f, %d left", a, b, stops.Gone)
	}
}

// A request that its decider never answers fails before its deadline.
func TestForgottenRequestFailsBeforeDeadline(t *testing.T) {
	s := shipped(t, "calm", 6)
	r := play(t, s, Options{Seed: 1, NewDecider: func(int, int, uint64, choose.Truth) (choose.Decider, error) { return silentDecider{}, nil }})
	if r.Failed != r.Tries || r.Tries == 0 {
		t.Errorf("%d of %d were failed", r.Failed, r.Tries)
	}
}

type silentDecider struct{}

func (silentDecider) Start(float64, []policy.Action) []policy.Action { return nil }
func (silentDecider) Handle(float64, *policy.Event, []policy.Action) []policy.Action {
	return nil
}

// A roster that is down sends no lists; pending changes arrive when it is back.
func TestRosterDown(t *testing.T) {
	got, _ := playObserved(t, "count = 4\nslots = 4", "rate = 50.0", eventTOML("roster-down", "for = \"2s\"")+eventTOML("drain", "server = \"s-1\""))
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

// A server that is replaced completes its requests. A fault that names no server affects all
// servers, each for a share of its requests.
func TestReplaceAndFail(t *testing.T) {
	got, r := playObserved(t, "count = 3\nslots = 40", "rate = 900.0", eventTOML("replace", "server = \"s-1\""))
	if n, others := got.count(2000, 6000, policy.Reset, policy.ConnectFailed); n != 0 || others == 0 || len(r.Servers) != 4 {
		t.Errorf("%d reset, %d else, %d servers", n, others, len(r.Servers))
	}
	got, _ = playObserved(t, "count = 4\nslots = 8", "rate = 150.0", eventTOML("fail", "share = 0.5"))
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
