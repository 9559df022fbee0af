package replication

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	oneSeed = flag.Uint64("replication.seed", 0, "run only this seed, with a trace")
	oneCase = flag.String("replication.case", "", "with -replication.seed: the test case")
	nSeeds  = flag.Int("replication.seeds", 60, "number of seeds for each case of the randomized tests")
)

// restartSoon starts a machine again within 1.6 s.
func (s *sim) restartSoon(b *simNode) {
	d := 100*ms + s.upTo(1500*ms)
	s.after(d, func() { s.start(b) })
}

// loseDisk kills a machine and erases its disk, unless that exceeds the tolerated losses.
func (s *sim) loseDisk(b *simNode) bool {
	if s.wiped >= s.survive.Nodes || s.now < s.bootUntil {
		return false
	}
	s.wiped++
	s.kill(b)
	b.disk = PersistentState{}
	s.logf("wiped %s", b.addr)
	return true
}

// loseZone erases the disks of all machines of a zone; sometimes all other machines lose power at the same time.
func (s *sim) loseZone(zone string) {
	all := s.rng.IntN(2) == 0
	for _, o := range s.nodes {
		if o.zone == zone || all {
			s.kill(o)
			s.restartSoon(o)
		}
		if o.zone == zone {
			s.logf("wiped %s", o.addr)
			o.disk = PersistentState{}
		}
	}
}

// losePower kills all machines; some also lose their disk.
func (s *sim) losePower() {
	for _, i := range s.rng.Perm(len(s.nodes)) {
		o := s.nodes[i]
		if o.removed {
			continue
		}
		s.kill(o)
		if s.rng.IntN(3) == 0 {
			s.loseDisk(o)
		}
		s.restartSoon(o)
	}
}

// partition cuts one machine or a random half off, in both directions or one.
func (s *sim) partition(b *simNode, lasting time.Duration) {
	side := map[string]bool{b.addr: true}
	if s.rng.IntN(2) == 0 {
		for _, o := range s.nodes {
			side[o.addr] = side[o.addr] || s.rng.IntN(2) == 0
		}
	}
	way := s.rng.IntN(3)
	s.logf("cut off %v way %d for %v", side, way, lasting)
	for _, x := range s.nodes {
		for _, y := range s.nodes {
			if side[x.addr] != side[y.addr] && (way == 0 || side[x.addr] == (way == 1)) {
				s.cuts[[2]string{x.addr, y.addr}] = s.now + lasting
			}
		}
	}
}

// fault injects one random fault at a random machine.
func (s *sim) fault() {
	l := s.live()
	if len(l) == 0 {
		return
	}
	b := l[s.rng.IntN(len(l))]
	if s.healthyPrimary() != nil && (!s.repairFirst || s.converged()) {
		s.wiped = 0
	}
	if s.survive.Zones > 0 && s.rng.IntN(4) == 0 && s.healthyPrimary() != nil && s.now >= s.bootUntil {
		s.loseZone(b.zone)
		return
	}
	lasting := 200*ms + s.upTo(4*time.Second)
	switch s.rng.IntN(11) {
	case 0, 1:
		s.kill(b)
		s.restartSoon(b)
	case 2:
		s.losePower()
	case 3, 4:
		if s.loseDisk(b) {
			s.restartSoon(b)
		}
	case 5:
		s.logf("freeze %s for %v", b.addr, lasting)
		b.frozen = s.now + lasting
	case 6: // one link, one direction
		o := s.nodes[s.rng.IntN(len(s.nodes))]
		s.logf("cut %s to %s for %v", b.addr, o.addr, lasting)
		s.cuts[[2]string{b.addr, o.addr}] = s.now + lasting
	case 7, 8:
		s.partition(b, lasting)
	case 9:
		s.logf("slow disk %s for %v", b.addr, lasting)
		b.slow = s.now + lasting
	case 10: // replaced at a new address
		if s.loseDisk(b) {
			b.removed = true
			n := s.add(fmt.Sprintf("10.0.%d.2:7000", len(s.nodes)), b.zone)
			s.logf("replaced by %s", n.addr)
			s.restartSoon(n)
		}
	}
}

// storm runs a schedule of random faults with random writes and reads, and checks the recovery.
func storm(seed uint64, n, seeds int, sv FailureTolerance, trace bool) error {
	s := newSim(seed, n, seeds, sv)
	s.trace = trace
	var clients func()
	clients = func() {
		if s.rng.IntN(2) == 0 {
			s.write()
		} else {
			s.read()
		}
		s.after(s.upTo(150*ms), clients)
	}
	s.storm(seed, clients)
	return s.err
}

// stormEnd is when the faults end.
const stormEnd = 40 * time.Second

// storm runs a schedule of random faults with these clients, then ends all faults and checks the recovery.
func (s *sim) storm(seed uint64, clients func()) {
	s.smallLog = seed%2 == 0
	s.loss, s.dup = 0.03*float64(seed%3), 0.02*float64(seed%2)
	if s.highLatency = seed%4 == 3; s.highLatency {
		s.delay, s.loss = 150*ms, 0.15
	}
	for _, b := range s.nodes {
		s.after(s.upTo(300*ms), func() { s.start(b) })
	}
	const end = stormEnd
	var faults func()
	faults = func() {
		if s.now < end {
			s.fault()
			gap := 3 * time.Second
			if s.highLatency {
				gap = 600 * ms
			}
			s.after(100*ms+s.upTo(gap), faults)
		}
	}
	s.after(300*ms, clients)
	s.after(300*ms+s.upTo(8*time.Second), faults)
	s.runUntil(end, nil)
	// End all faults.
	s.logf("faults end")
	s.loss, s.dup, s.delay = 0, 0, 10*ms
	clear(s.cuts)
	for _, b := range s.nodes {
		b.slow, b.frozen = 0, min(b.frozen, s.now)
		if b.m == nil {
			s.start(b)
		}
	}
	if !s.runUntil(end+10*time.Second, s.converged) && s.err == nil {
		for _, b := range s.nodes {
			if b.m != nil {
				s.logf("%s %+v candidacy %+v replica %+v", b.addr, b.m.Status(), b.m.candidacy, b.m.replica)
			}
		}
		s.fail("not converged 10 s after the faults ended")
	}
	s.checkRecovered()
}

// checkRecovered checks that writes and reads are answered again and that no acknowledged change is lost.
func (s *sim) checkRecovered() {
	acked, confirms := s.ackedMax, s.confirms
	if s.err == nil && !s.runUntil(
		s.now+5*time.Second, func() bool { return s.ackedMax > acked && s.confirms > confirms },
	) {
		s.fail("no write and read are answered within 5 s after the faults ended")
	}
	// All acknowledged changes are in the record.
	if s.err == nil {
		p := s.healthyPrimary()
		if p == nil {
			p = s.target()
		}
		for body, seq := range s.acked {
			if p.app.log[seq-1] != body {
				s.fail("%q, acknowledged as %d, is lost", body, seq)
			}
		}
	}
}

// TestStorm runs random faults with many seeds: no acknowledged change is lost, only one primary commits in an epoch,
// records never diverge, reads are never stale, and the core recovers after the faults.
func TestStorm(t *testing.T) {
	cases := []struct{ n, seeds, nodes, zones int }{
		{1, 1, 0, 0}, {2, 2, 0, 0}, {3, 3, 0, 0}, {3, 3, 1, 0}, {4, 3, 1, 0}, {5, 3, 1, 0}, {5, 3, 2, 0}, {8, 3, 2, 0},
		{9, 3, 1, 0}, {3, 3, 0, 1}, {6, 3, 0, 1},
	}
	for _, c := range cases {
		name := fmt.Sprintf("%d-%d-%d-%d", c.n, c.seeds, c.nodes, c.zones)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sv := FailureTolerance{Nodes: c.nodes, Zones: c.zones}
			if *oneSeed != 0 {
				if *oneCase == name {
					qt.Assert(t, storm(*oneSeed, c.n, c.seeds, sv, true), qt.IsNil)
				}
				return
			}
			for seed := uint64(1); seed <= uint64(*nSeeds); seed++ {
				if err := storm(seed, c.n, c.seeds, sv, false); err != nil {
					t.Fatalf("seed %d (-replication.seed %d -replication.case %s): %v", seed, seed, name, err)
				}
			}
		})
	}
}

// startAndConverge starts the machines in an order and waits until all are members.
func startAndConverge(t *testing.T, s *sim, order []int, gap time.Duration) {
	t.Helper()
	for i, j := range order {
		s.after(time.Duration(i)*gap, func() { s.start(s.nodes[j]) })
	}
	ok := s.runUntil(s.now+time.Duration(len(order))*gap+10*time.Second, s.converged)
	qt.Assert(t, s.err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("not converged"))
}

func TestStartInAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		for _, n := range []int{1, 2, 3, 4, 5, 8, 9} {
			s := newSim(seed, n, 3, FailureTolerance{Nodes: min(1, (n-1)/2)})
			startAndConverge(t, s, s.rng.Perm(n), s.upTo(200*ms))
		}
	}
}

// TestBootstrapFormsOneSystem: seeds that are restarted during the bootstrap, and one that starts much later, form a
// single system; a machine with Bootstrap set that isn't a seed joins it.
func TestBootstrapFormsOneSystem(t *testing.T) {
	c := qt.New(t)
	s := newSim(7, 4, 3, FailureTolerance{Nodes: 1})
	s.bootUntil = time.Hour
	s.start(s.nodes[3])
	s.start(s.nodes[0])
	s.runUntil(2*time.Second, nil)
	c.Assert(s.nodes[0].m.Status().Epoch, qt.Equals, uint64(0))
	c.Assert(s.nodes[3].m.Status().Role, qt.Equals, NonMember)
	s.kill(s.nodes[0])
	s.start(s.nodes[1])
	s.runUntil(4*time.Second, nil)
	s.start(s.nodes[0])
	c.Assert(s.runUntil(8*time.Second, func() bool { return s.leader() != nil }), qt.IsTrue)
	// The last seed starts with Bootstrap still set; the system formed without it remains.
	s.writeTo(s.leader())
	s.runUntil(9*time.Second, nil)
	c.Assert(s.ackedMax, qt.Equals, uint64(1))
	s.start(s.nodes[2])
	c.Assert(s.runUntil(20*time.Second, s.converged), qt.IsTrue)
	c.Assert(s.err, qt.IsNil)
	c.Assert(len(s.healthyPrimary().m.view.Members), qt.Equals, 4)
	c.Assert(s.healthyPrimary().app.log, qt.HasLen, 1)
}

// TestWipedWitnessHasNoVote: with the primary lost and the witness's disk erased, the witness neither votes under its
// former identity nor bootstraps a new system.
func TestWipedWitnessHasNoVote(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 3, 3, FailureTolerance{Nodes: 1})
	startAndConverge(t, s, []int{0, 1, 2}, 0)
	s.bootUntil = 0
	p := s.healthyPrimary()
	view := p.m.Status().View
	var witness *simNode
	for _, b := range s.nodes {
		if b.m.Status().Role == Witness {
			witness = b
		}
	}
	c.Assert(witness, qt.IsNotNil)
	s.kill(p)
	s.kill(witness)
	witness.disk = PersistentState{}
	s.start(witness)
	s.runUntil(s.now+20*time.Second, nil)
	c.Assert(s.err, qt.IsNil)
	for _, b := range s.live() {
		st := b.m.Status()
		c.Assert(st.Epoch, qt.Equals, view.Epoch)
		c.Assert(st.Role, qt.Not(qt.Equals), Primary)
	}
	c.Assert(witness.m.Status().Role, qt.Equals, NonMember)
	c.Assert(witness.disk.Vote.Promised, qt.Equals, Ballot{})
	// The core recovers once the primary is back with its disk.
	s.start(p)
	c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue)
}

// TestMemberReplaced: a machine is lost permanently and replaced at a new address; then the core tolerates another
// loss.
func TestMemberReplaced(t *testing.T) {
	for i := range 3 {
		c := qt.New(t)
		s := newSim(uint64(i), 3, 3, FailureTolerance{Nodes: 1})
		startAndConverge(t, s, []int{0, 1, 2}, 0)
		s.bootUntil = 0
		s.writeTo(s.healthyPrimary())
		s.runUntil(s.now+time.Second, nil)
		c.Assert(s.ackedMax, qt.Equals, uint64(1))
		old := s.nodes[i]
		s.kill(old)
		old.removed = true
		s.start(s.add("10.0.9.2:7000", "z0"))
		c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue)
		c.Assert(s.healthyPrimary().m.view.Members, qt.HasLen, 3)
		s.writeTo(s.healthyPrimary())
		s.runUntil(s.now+time.Second, nil)
		c.Assert(s.ackedMax, qt.Equals, uint64(2))
		p := s.healthyPrimary()
		s.kill(p)
		p.disk = PersistentState{}
		c.Assert(s.runUntil(s.now+3*time.Second, func() bool {
			return slices.ContainsFunc(
				s.live(), func(b *simNode) bool { return b.m.Status().Role == Primary && b.m.Status().Ready },
			)
		}), qt.IsTrue)
		s.start(p)
		c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue)
		c.Assert(s.healthyPrimary().app.log, qt.HasLen, 2)
		c.Assert(s.err, qt.IsNil)
	}
}

// TestPowerLossAfterAcknowledgement: right after an acknowledgement all machines lose power, and as many as tolerated
// also lose their disks; the change is still there.
func TestPowerLossAfterAcknowledgement(t *testing.T) {
	for seed := uint64(1); seed <= 100; seed++ {
		c := qt.New(t)
		n, k := 3, 1
		if seed%2 == 0 {
			n, k = 5, 2
		}
		s := newSim(seed, n, 3, FailureTolerance{Nodes: k})
		startAndConverge(t, s, s.rng.Perm(n), 0)
		s.bootUntil = 0
		s.writeTo(s.healthyPrimary())
		c.Assert(
			s.runUntil(s.now+2*time.Second, func() bool { return s.ackedMax == 1 }), qt.IsTrue,
			qt.Commentf("seed %d", seed),
		)
		lost := s.rng.Perm(n)[:k]
		for i, b := range s.nodes {
			s.kill(b)
			if slices.Contains(lost, i) {
				b.disk = PersistentState{}
			}
			s.after(s.upTo(time.Second), func() { s.start(b) })
		}
		c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(s.healthyPrimary().app.log, qt.DeepEquals, []string{"w1"})
		c.Assert(s.err, qt.IsNil)
	}
}

// TestZones: the holders are spread over two zones, also after the loss of a zone.
func TestZones(t *testing.T) {
	c := qt.New(t)
	s := newSim(5, 6, 6, FailureTolerance{Zones: 1})
	startAndConverge(t, s, []int{0, 1, 2, 3, 4, 5}, 0)
	spreadOver := func() int {
		p := s.healthyPrimary()
		if p == nil {
			return 0
		}
		zones := map[string]bool{p.zone: true}
		for _, id := range p.m.view.Backups {
			o, _ := p.m.view.member(id)
			zones[o.Zone] = true
		}
		return len(zones)
	}
	c.Assert(s.runUntil(s.now+5*time.Second, func() bool { return spreadOver() == 2 }), qt.IsTrue)
	zone := s.healthyPrimary().zone
	for _, b := range s.nodes {
		if b.zone == zone {
			s.kill(b)
		}
	}
	c.Assert(s.runUntil(s.now+5*time.Second, func() bool { return spreadOver() == 2 }), qt.IsTrue)
	c.Assert(s.err, qt.IsNil)
}

func TestSettings(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 1, 1, FailureTolerance{})
	o := s.options(s.nodes[0])
	var err error
	app := &logApp{err: &err}
	for _, change := range []func(*Options){
		func(o *Options) { o.HeartbeatInterval = 0 },
		func(o *Options) { o.Rand = nil },
		func(o *Options) { o.Self.Addr = "" },
		func(o *Options) { o.Tolerance.Nodes = -1 },
	} {
		bad := o
		change(&bad)
		_, err := New(bad, PersistentState{}, app)
		c.Assert(err, qt.IsNotNil)
	}
	_, err = New(o, PersistentState{Identity: Identity{ID: "x", Addr: "elsewhere"}}, app)
	c.Assert(err, qt.ErrorMatches, ".*belongs to elsewhere.*")
	_, err = New(o, PersistentState{Identity: Identity{ID: "x", Addr: o.Self.Addr}, Changes: []Change{{Seq: 2}}}, app)
	c.Assert(err, qt.ErrorMatches, ".*doesn't follow.*")
	// A machine with an unreadable disk never bootstraps a system.
	m, err := New(o, PersistentState{DiskLost: true}, app)
	c.Assert(err, qt.IsNil)
	m.Tick(0)
	m.Tick(time.Minute)
	c.Assert(m.Status().Role, qt.Equals, NonMember)
}
