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

// inFleet makes the rig's core one of so many agents.
func (r *rig) inFleet(t *testing.T, agents int) {
	t.Helper()
	o := fleet.Default()
	o.Agents = agents
	var err error
	if r.part, err = newPart(o, &r.set, 1, r.clock()); err != nil {
		t.Fatal(err)
	}
}

func (e *fakeEndpoint) Crowded(time.Time) { e.retire += 100 }

// A process that has just started gets nothing before the agent's turn, and something after,
// with no word from the roster; a drain in between holds.
func TestTurnAtANewProcess(t *testing.T) {
	r := newRig(t)
	r.inFleet(t, 1000000) // its turn is the end of the cold time, with hardly an exception
	now := r.clock()
	r.learn(cluster.ListFull, &cluster.List{Seq: 2, Complete: true, Servers: []cluster.Server{server(1, "one", cluster.Ready, now-7900), server(2, "two", cluster.Ready, now-100)}})
	if r.Ready() {
		t.Fatal("both have just started")
	}
	r.ask(2, "a")
	if n := len(r.transport.started); n != 0 {
		t.Fatalf("%d attempts before the turn", n)
	}
	for end := time.Now().Add(10 * time.Second); !r.Ready() && time.Now().Before(end); {
		select {
		case in := <-r.in:
			r.handle(*in)
		case <-time.After(time.Second):
		}
	}
	r.ask(2, "b")
	n := len(r.transport.started)
	if n == 0 || slices.ContainsFunc(r.transport.started, func(a *Attempt) bool { return a.backend.addr != addr(1) }) {
		t.Fatalf("%d attempts after the turn", n)
	}
	r.learn(cluster.ListDelta, &cluster.List{Seq: 3, Servers: []cluster.Server{server(1, "one", cluster.Draining, now-7900)}})
	r.replan()
	if r.ask(2, "c"); r.Ready() || len(r.transport.started) != n {
		t.Error("it drains")
	}
}

// A change of the list keeps the rest of it.
func TestMerge(t *testing.T) {
	r := newRig(t)
	r.inFleet(t, 100)
	names := func() (all []string) {
		for _, s := range r.list.Servers {
			all = append(all, s.Dial)
		}
		return all
	}
	r.learn(cluster.ListFull, &cluster.List{Seq: 2, Complete: true, Servers: []cluster.Server{server(1, "one", cluster.Ready, 0), server(2, "two", cluster.Ready, 0)}})
	r.learn(cluster.ListDelta, &cluster.List{Seq: 3, Servers: []cluster.Server{server(3, "three", cluster.Ready, 0), server(1, "other", cluster.Ready, 0)}})
	if got := names(); !slices.Equal(got, []string{"other", "two", "three"}) {
		t.Errorf("%q", got)
	}
	r.learn(cluster.ListDelta, &cluster.List{Seq: 4, Servers: []cluster.Server{server(2, "", cluster.Gone, 0)}})
	if got := names(); !slices.Equal(got, []string{"other", "three"}) || len(r.backends) != 2 {
		t.Errorf("%q, %d servers", got, len(r.backends))
	}
	r.learn(cluster.ListFull, &cluster.List{Seq: 5, Complete: true, Servers: []cluster.Server{server(3, "three", cluster.Ready, 0)}})
	if got := names(); !slices.Equal(got, []string{"three"}) {
		t.Errorf("%q", got)
	}
}

// A connect that fails while the server answers others means that it is full.
func TestFullByConnect(t *testing.T) {
	for _, c := range []struct {
		fleet bool
		other policy.Status
		want  policy.Status
	}{
		{true, policy.OK, policy.Full}, {true, policy.Full, policy.Full}, {true, policy.Error, policy.Full},
		{true, policy.Timeout, policy.ConnectFailed}, {true, policy.Reset, policy.ConnectFailed}, {false, policy.OK, policy.ConnectFailed},
	} {
		r := newRig(t, server(1, "one", cluster.Ready, 0))
		if c.fleet {
			r.inFleet(t, 100)
		}
		r.ask(0, "a")
		r.ask(0, "b")
		if len(r.transport.started) != 2 {
			t.Fatal("both are out")
		}
		a, b := r.transport.started[0], r.transport.started[1]
		b.started = b.started.Add(-time.Millisecond)
		r.crowded(a, &Result{Status: c.other})
		res := Result{Status: policy.ConnectFailed}
		r.crowded(b, &res)
		told := a.backend.endpoint.(*fakeEndpoint).retire >= 100
		if res.Status != c.want || told != (c.want == policy.Full) {
			t.Errorf("%+v: it is %v, and the transport was told: %v", c, res.Status, told)
		}
	}
}

// What may wait is put off, and does not come of a roster that is asked no more.
func TestPutOff(t *testing.T) {
	r := newRig(t, server(1, "one", cluster.Ready, 0))
	r.inFleet(t, 1000000)
	r.set.Membership = "on_request"
	first := r.rosters[0]
	asked := len(first.asked)
	r.watching = false
	r.follow()
	r.follow()
	if len(first.asked) != asked {
		t.Fatalf("it was asked %q", first.asked)
	}
	r.handle(input{kind: inWatch, gen: r.rosterGen})
	if got := first.asked[asked:]; !slices.Equal(got, []string{"watch"}) {
		t.Fatalf("it was asked %q", got)
	}
	old := r.rosterGen
	r.handle(input{kind: inTurn, addr: "second"})
	second := r.rosters[1]
	asked = len(second.asked)
	r.handle(input{kind: inWatch, gen: old})
	if len(second.asked) != asked {
		t.Errorf("the new roster was asked %q", second.asked[asked:])
	}
}

// A view of the fleet makes an agent's part smaller, never larger than it was told.
func TestCrowd(t *testing.T) {
	r := newRig(t)
	r.inFleet(t, 10)
	told := r.set.Replicas
	for _, c := range []struct{ agents, want int }{{50, 50}, {told - 1, told}, {70, 70}} {
		r.handle(input{kind: inCrowd, agents: c.agents, rank: 3})
		if r.set.Replicas != c.want {
			t.Errorf("%d agents by the view: shared by %d, want %d", c.agents, r.set.Replicas, c.want)
		}
	}
	if r.part.machine.SetFleetSize(70, 3) || !r.part.machine.SetFleetSize(5, 3) || r.part.machine.SetFleetSize(9, 4) {
		t.Error("the part in the fleet has not followed")
	}
	done := make(chan struct{})
	r.handle(input{kind: inSettings, table: settings.NewTable(r.set), done: done})
	if r.set.Replicas != 70 {
		t.Errorf("other settings forget the view: %d", r.set.Replicas)
	}
}
