package core

import (
	"slices"
	"testing"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// joinFleet makes the core one of so many agents.
func (r *harness) joinFleet(t *testing.T, agents int) {
	t.Helper()
	o := fleet.Default()
	o.Agents = agents
	var err error
	if r.fleet, err = newFleetState(o, &r.set, 1, r.clock()); err != nil {
		t.Fatal(err)
	}
}

func (e *fakeEndpoint) Crowded(time.Time) { e.retired += 100 }

// A process that has just started gets no requests until the agent's delay has passed, and requests
// after it without an update from the roster. A drain listed in the meantime stays in effect.
func TestNewProcessIsDelayed(t *testing.T) {
	r := newHarness(t)
	r.joinFleet(t, 1000000) // the delay lasts almost always until the end of slow start
	now := r.clock()
	r.updateList(cluster.ListFull, &cluster.List{Seq: 2, Complete: true, Servers: []cluster.Server{
		server(1, "one", cluster.Ready, now-7900), server(2, "two", cluster.Ready, now-100)}})
	if r.Ready() {
		t.Fatal("a server that has just started is usable")
	}
	r.startRequest(2, "a")
	if n := len(r.transport.started); n != 0 {
		t.Fatalf("%d attempts before the end of the delay", n)
	}
	for end := time.Now().Add(10 * time.Second); !r.Ready() && time.Now().Before(end); {
		select {
		case in := <-r.inputs:
			r.handle(*in)
		case <-time.After(time.Second):
		}
	}
	r.startRequest(2, "b")
	n := len(r.transport.started)
	if n == 0 || slices.ContainsFunc(r.transport.started, func(a *Attempt) bool { return a.backend.addr != addr(1) }) {
		t.Fatalf("%d attempts after the delay, want some, all at server 1", n)
	}
	r.updateList(cluster.ListDelta, &cluster.List{Seq: 3, Servers: []cluster.Server{
		server(1, "one", cluster.Draining, now-7900)}})
	r.replan()
	if r.startRequest(2, "c"); r.Ready() || len(r.transport.started) != n {
		t.Error("the draining server is usable or got an attempt")
	}
}

// A change of the list keeps the servers that it does not name.
func TestMerge(t *testing.T) {
	r := newHarness(t)
	r.joinFleet(t, 100)
	names := func() (all []string) {
		for _, s := range r.list.Servers {
			all = append(all, s.Dial)
		}
		return all
	}
	r.updateList(cluster.ListFull, &cluster.List{Seq: 2, Complete: true, Servers: []cluster.Server{
		server(1, "one", cluster.Ready, 0), server(2, "two", cluster.Ready, 0)}})
	r.updateList(cluster.ListDelta, &cluster.List{Seq: 3, Servers: []cluster.Server{
		server(3, "three", cluster.Ready, 0), server(1, "other", cluster.Ready, 0)}})
	if got := names(); !slices.Equal(got, []string{"other", "two", "three"}) {
		t.Errorf("servers %q after a change", got)
	}
	r.updateList(cluster.ListDelta, &cluster.List{Seq: 4, Servers: []cluster.Server{server(2, "", cluster.Gone, 0)}})
	if got := names(); !slices.Equal(got, []string{"other", "three"}) || len(r.backends) != 2 {
		t.Errorf("servers %q after a removal, %d backends", got, len(r.backends))
	}
	r.updateList(cluster.ListFull, &cluster.List{Seq: 5, Complete: true, Servers: []cluster.Server{
		server(3, "three", cluster.Ready, 0)}})
	if got := names(); !slices.Equal(got, []string{"three"}) {
		t.Errorf("servers %q after a complete list", got)
	}
}

// In a fleet, a failed connect to a server that answers other attempts counts as Full.
func TestConnectFailureOfBusyServer(t *testing.T) {
	for _, c := range []struct {
		fleet bool
		other policy.Status
		want  policy.Status
	}{
		{true, policy.OK, policy.Full}, {true, policy.Full, policy.Full}, {true, policy.Error, policy.Full},
		{true, policy.Timeout, policy.ConnectFailed}, {true, policy.Reset, policy.ConnectFailed},
		{false, policy.OK, policy.ConnectFailed},
	} {
		r := newHarness(t, server(1, "one", cluster.Ready, 0))
		if c.fleet {
			r.joinFleet(t, 100)
		}
		r.startRequest(0, "a")
		r.startRequest(0, "b")
		if len(r.transport.started) != 2 {
			t.Fatal("expected two attempts")
		}
		a, b := r.transport.started[0], r.transport.started[1]
		b.started = b.started.Add(-time.Millisecond)
		r.checkConnectFailure(a, &Result{Status: c.other})
		res := Result{Status: policy.ConnectFailed}
		r.checkConnectFailure(b, &res)
		notified := a.backend.endpoint.(*fakeEndpoint).retired >= 100
		if res.Status != c.want || notified != (c.want == policy.Full) {
			t.Errorf("%+v: status %v, endpoint notified %v", c, res.Status, notified)
		}
	}
}

// In a fleet a watch is delayed. A delayed watch of a replaced roster is not started.
func TestDelayedWatch(t *testing.T) {
	r := newHarness(t, server(1, "one", cluster.Ready, 0))
	r.joinFleet(t, 1000000)
	r.set.Membership = "on_request"
	first := r.rosters[0]
	asked := len(first.asked)
	r.watching = false
	r.follow()
	r.follow()
	if len(first.asked) != asked {
		t.Fatalf("calls before the delay: %q", first.asked)
	}
	r.handle(input{kind: inWatch, gen: r.rosterGen})
	if got := first.asked[asked:]; !slices.Equal(got, []string{"watch"}) {
		t.Fatalf("calls after the delay: %q, want one watch", got)
	}
	old := r.rosterGen
	r.handle(input{kind: inSwitchRoster, addr: "second"})
	second := r.rosters[1]
	asked = len(second.asked)
	r.handle(input{kind: inWatch, gen: old})
	if len(second.asked) != asked {
		t.Errorf("a delayed watch of the former roster caused calls %q to the new one", second.asked[asked:])
	}
}

// A view of the fleet can only raise the number of agents above the configured one, so that an agent's part of the
// fleet's limits never grows.
func TestSetFleetSize(t *testing.T) {
	r := newHarness(t)
	r.joinFleet(t, 10)
	configured := r.set.Replicas
	for _, c := range []struct{ agents, want int }{{50, 50}, {configured - 1, configured}, {70, 70}} {
		r.handle(input{kind: inFleetSize, agents: c.agents, rank: 3})
		if r.set.Replicas != c.want {
			t.Errorf("%d agents by the view: %d replicas, want %d", c.agents, r.set.Replicas, c.want)
		}
	}
	if r.fleet.machine.SetFleetSize(70, 3) || !r.fleet.machine.SetFleetSize(5, 3) || r.fleet.machine.SetFleetSize(9, 4) {
		t.Error("the fleet state has another size or rank")
	}
	done := make(chan struct{})
	r.handle(input{kind: inSettings, table: settings.NewTable(r.set), done: done})
	if r.set.Replicas != 70 {
		t.Errorf("new settings discarded the view: %d replicas, want 70", r.set.Replicas)
	}
}
