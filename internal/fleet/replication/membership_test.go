package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The control plane's time-outs, and the bounds that follow from its settings.
const (
	progHeartbeat = 150 * ms
	progElection  = 700 * ms
	progStagger   = 250 * ms
	progWrite     = 600 * ms
	boundSync     = 4 * time.Second // a machine counts as lost for this long after its return
	boundAck      = 4 * time.Second // a change is acknowledged within this time when there are no faults
	leaveWithin   = 2 * time.Second // how long a process that shuts down waits for its release
)

// productionOptions sets the control plane's time-outs.
func productionOptions(o *Options) {
	o.HeartbeatInterval, o.ElectionTimeout, o.ElectionStagger = progHeartbeat, progElection, progStagger
	o.WriteTimeout, o.MemberTimeout = progWrite, boundSync
}

// coreCase is the size and failure tolerance of a core.
type coreCase struct{ machines, survive int }

func (c coreCase) String() string { return fmt.Sprintf("%d-survive-%d", c.machines, c.survive) }

var coreCases = []coreCase{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 1}, {8, 2}, {9, 1}, {9, 2}}

// schedule is a simulated core whose faults are scripted.
type schedule struct {
	*sim
	spares int
}

// newSchedule starts a core with the control plane's time-outs and one acknowledged change, in which every machine has
// been a member for at least boundSync.
func newSchedule(c *qt.C, seed uint64, of coreCase) *schedule {
	s := newSim(seed, of.machines, 3, FailureTolerance{Nodes: of.survive})
	s.adjustOptions, s.delay = productionOptions, 5*ms
	for _, b := range s.nodes {
		s.after(s.upTo(300*ms), func() { s.start(b) })
	}
	c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue, qt.Commentf("no start: %v", s.err))
	s.runUntil(max(s.now, s.bootUntil)+boundSync, nil)
	sc := &schedule{sim: s}
	sc.acknowledges(c)
	return sc
}

// advance runs the simulation for a duration.
func (s *schedule) advance(d time.Duration) { s.runUntil(s.now+d, nil) }

// wipe kills a machine and erases its disk.
func (s *schedule) wipe(b *simNode) {
	s.kill(b)
	b.disk = PersistentState{}
}

// remove kills a machine permanently.
func (s *schedule) remove(b *simNode) {
	s.wipe(b)
	b.removed = true
}

// spare starts an empty machine at a new address.
func (s *schedule) spare() *simNode {
	s.spares++
	b := s.add(fmt.Sprintf("10.1.%d.1:7000", s.spares), "z0")
	s.start(b)
	return b
}

// powerCycle kills all machines at the same time and restarts each within a second.
func (s *schedule) powerCycle() {
	for _, b := range s.nodes {
		if b.m != nil {
			s.kill(b)
			s.after(s.upTo(time.Second), func() { s.start(b) })
		}
	}
}

// byRole returns the running machines, sorted by role: primary, backups, witnesses, non-members.
func (s *schedule) byRole() []*simNode {
	l := s.live()
	slices.SortStableFunc(l, func(a, b *simNode) int { return int(b.m.Status().Role) - int(a.m.Status().Role) })
	return l
}

// acknowledges asserts that a new change is acknowledged within boundAck and that no acknowledged change is lost.
func (s *schedule) acknowledges(c *qt.C, about ...any) {
	c.Helper()
	acked, until := s.ackedMax, s.now+boundAck
	for s.now < until && s.ackedMax == acked && s.err == nil {
		if p := s.leader(); p != nil {
			s.writeTo(p)
		}
		s.runUntil(min(s.now+100*ms, until), func() bool { return s.ackedMax > acked })
	}
	c.Assert(s.err, qt.IsNil, qt.Commentf("%v", about))
	if s.ackedMax == acked {
		for _, b := range s.live() {
			st := b.m.Status()
			c.Logf(
				"%s %s epoch %d, %d members, backups %d, ready %v", b.addr, st.Role, st.Epoch, len(st.View.Members),
				len(st.View.Backups), st.Ready,
			)
		}
		c.Fatalf("no change is acknowledged: %v", about)
	}
	p := s.leader()
	for body, seq := range s.acked {
		c.Assert(p.app.log[seq-1], qt.Equals, body, qt.Commentf("%v", about))
	}
}

// eachCase runs a script for each core and a number of seeds, scaled by -replication.seeds.
func eachCase(t *testing.T, seeds uint64, play func(c *qt.C, s *schedule, of coreCase, seed uint64)) {
	for _, of := range coreCases {
		t.Run(of.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds * uint64(*nSeeds) / 60 {
				play(qt.New(t), newSchedule(qt.New(t), seed, of), of, seed)
			}
		})
	}
}

// TestSuccessorLosesItsDisk: a machine is lost permanently, and its successor repeatedly loses its disk right after its
// start. As the successor counts as lost all the time, the tolerated losses are never exceeded.
func TestSuccessorLosesItsDisk(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		victim := l[int(seed)%len(l)]
		s.remove(victim)
		s.advance(time.Duration(seed%4) * 400 * ms)
		n := s.spare()
		for range 3 {
			s.advance(100*ms + s.upTo(1500*ms))
			s.wipe(n)
			s.advance(300 * ms)
			s.start(n)
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestSecondLossAfterReplacement: machines are lost permanently, their successors have had the time to catch up, and
// the next machines are lost at that moment.
func TestSecondLossAfterReplacement(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for range 3 {
			l := s.byRole()
			for i := range of.survive {
				s.remove(l[(int(seed)+i)%len(l)])
			}
			s.advance(s.upTo(2 * time.Second))
			for range of.survive {
				s.spare()
			}
			s.advance(boundSync)
		}
		s.acknowledges(c, of, "seed", seed)
		s.wipe(s.byRole()[0])
		s.powerCycle()
		s.advance(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// depart begins the graceful shutdown of a machine, and kills it once it is released or leaveWithin has passed. It
// returns the time that took.
func (s *schedule) depart(b *simNode) time.Duration {
	began, incarnation := s.now, b.incarnation
	s.input(b, b.m.Leave(s.clock(b)))
	s.runUntil(began+leaveWithin, func() bool {
		return b.m != nil && b.incarnation == incarnation && b.m.Status().Released && len(b.pendingOutputs) == 0
	})
	s.kill(b)
	return s.now - began
}

// survivesLosses reports whether the record is recoverable from the disks of the remaining machines after any loss of
// the given number of machines besides the ended one.
func (s *schedule) survivesLosses(losses int, ended *simNode) bool {
	var rest []*simNode
	for _, b := range s.nodes {
		if b != ended && !b.removed {
			rest = append(rest, b)
		}
	}
	var lose func(from, more int, left []*simNode) bool
	lose = func(from, more int, left []*simNode) bool {
		if more == 0 {
			return s.recoverable(left)
		}
		for i := from; i < len(left); i++ {
			if !lose(i, more-1, slices.Delete(slices.Clone(left), i, i+1)) {
				return false
			}
		}
		return true
	}
	return lose(0, losses, rest)
}

// recoverable reports whether one of these machines has all acknowledged changes and is a holder of the newest view
// that any of them knows, once it has learned of that view.
func (s *schedule) recoverable(left []*simNode) bool {
	var newest View
	for _, b := range left {
		if v := b.disk.View; v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return slices.ContainsFunc(left, func(b *simNode) bool {
		d := &b.disk
		// A machine whose record is valid for the previous epoch becomes a holder when it learns of the view.
		learns := d.View.Epoch < newest.Epoch
		holds := d.Replica.RecordEpoch == newest.Epoch || learns && d.Replica.RecordEpoch+1 == newest.Epoch
		return newest.rank(d.Identity.ID) >= 0 && holds && diskSeq(d) >= s.ackedMax
	})
}

// diskSeq returns the Seq of the newest change on a disk.
func diskSeq(d *PersistentState) uint64 {
	if n := len(d.Changes); n > 0 {
		return d.Changes[n-1].Seq
	}
	if d.Snapshot != nil {
		return d.Snapshot.Seq
	}
	return 0
}

// TestDepartingMemberHoldsNoOnlyReplica: when a machine that shuts down is released, whatever its role, the record
// survives any tolerated loss of the others.
func TestDepartingMemberHoldsNoOnlyReplica(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		b := l[int(seed)%len(l)]
		role := b.m.Status().Role
		took := s.depart(b)
		c.Assert(took < leaveWithin, qt.IsTrue, qt.Commentf("%v seed %d: the %s is not released", of, seed, role))
		c.Assert(
			s.survivesLosses(of.survive, b), qt.IsTrue,
			qt.Commentf("%v seed %d: the %s was released with one of too few replicas", of, seed, role),
		)
		b.removed = true
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestDepartedMemberStaysOut: a machine that shuts down and was removed from the members doesn't join again while its
// process still runs.
func TestDepartedMemberStaysOut(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{4, 1})
		b := s.byRole()[int(seed)%4]
		s.input(b, b.m.Leave(s.clock(b)))
		s.advance(boundSync)
		c.Assert(b.m.Status().Released, qt.IsTrue)
		c.Assert(b.m.Status().Role, qt.Equals, NonMember, qt.Commentf("seed %d", seed))
		c.Assert(s.leader().m.Status().View.Members, qt.HasLen, 3)
		epoch := s.leader().m.Status().Epoch
		s.advance(boundSync)
		c.Assert(s.leader().m.Status().Epoch, qt.Equals, epoch, qt.Commentf("seed %d", seed))
		s.kill(b)
		s.start(b)
		s.advance(boundSync)
		c.Assert(s.leader().m.Status().View.Members, qt.HasLen, 4)
		s.acknowledges(c, "seed", seed)
	}
}

// TestDepartingJoiner: a machine that asks to join, or has just joined, shuts down and never comes back; afterwards the
// core tolerates the next loss.
func TestDepartingJoiner(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		n := s.spare()
		s.advance(s.upTo(1500 * ms))
		s.depart(n)
		n.removed = true
		s.advance(time.Duration(seed%3) * 300 * ms)
		l := s.byRole()
		for i := range of.survive {
			s.wipe(l[(int(seed)+i)%len(l)])
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestPrimaryAndOnlyBackupDepart: the primary and its only backup shut down at the same time; the remaining machines
// take over.
func TestPrimaryAndOnlyBackupDepart(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{4, 1})
		l := s.byRole()
		s.input(l[1], l[1].m.Leave(s.clock(l[1])))
		s.depart(l[0])
		s.runUntil(s.now+leaveWithin, func() bool { return l[1].m.Status().Released })
		c.Assert(l[1].m.Status().Released, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(s.survivesLosses(1, l[0]), qt.IsTrue, qt.Commentf("seed %d", seed))
		s.kill(l[1])
		s.start(l[0])
		s.start(l[1])
		s.acknowledges(c, "seed", seed)
	}
}

// TestSingleMemberDeparts: the only machine of a core is released immediately, as no other machine could release it.
func TestSingleMemberDeparts(t *testing.T) {
	c := qt.New(t)
	s := newSchedule(c, 1, coreCase{1, 0})
	c.Assert(s.depart(s.nodes[0]), qt.Equals, time.Duration(0))
	s.start(s.nodes[0])
	s.acknowledges(c)
}

// TestOnlyMachineReplaced: the only machine of a core shuts down after its successor has joined; the successor takes
// over the role with the record.
func TestOnlyMachineReplaced(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{1, 0})
		old := s.nodes[0]
		s.spare()
		s.advance(2 * time.Second)
		c.Assert(s.depart(old) < leaveWithin, qt.IsTrue, qt.Commentf("seed %d", seed))
		old.removed = true
		s.acknowledges(c, "seed", seed)
		c.Assert(s.leader().app.log, qt.HasLen, 2)
	}
}

// TestPlannedReplacement: the successor joins first, then the old machine shuts down and never comes back. Once the
// successor has had its time to catch up, the tolerated number of other machines is lost at once, at varying times
// after the shutdown.
func TestPlannedReplacement(t *testing.T) {
	eachCase(t, 16, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for range 2 {
			began := s.now
			s.spare()
			s.advance([]time.Duration{500 * ms, 2 * time.Second, boundSync, 2 * boundSync}[seed%4])
			l := s.byRole()
			old := l[int(seed/4)%len(l)]
			s.depart(old)
			old.removed = true
			s.runUntil(max(s.now, began+boundSync)+time.Duration(seed%3)*50*ms, nil)
		}
		l := s.byRole()
		for i := range of.survive {
			s.wipe(l[(int(seed/8)+i)%len(l)])
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestAllReplacedInTurn: every original machine is replaced in turn, each as soon as the previous successor has had its
// time to catch up; then all machines lose power and the tolerated number also lose their disks.
func TestAllReplacedInTurn(t *testing.T) {
	eachCase(t, 4, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for _, old := range slices.Clone(s.nodes) {
			planned := s.rng.IntN(2) == 0
			if planned {
				s.spare()
				s.advance(s.upTo(2 * time.Second))
				s.depart(old)
				old.removed = true
			} else {
				s.remove(old)
				s.advance(s.upTo(time.Second))
				s.spare()
			}
			s.advance(boundSync)
			if s.rng.IntN(3) == 0 {
				s.powerCycle()
				s.advance(time.Second + boundSync)
			}
			if s.rng.IntN(3) == 0 {
				s.acknowledges(c, of, "seed", seed)
			}
		}
		l := s.byRole()
		for i := range of.survive {
			s.wipe(l[i])
			s.after(s.upTo(time.Second), func() { s.start(l[i]) })
		}
		s.powerCycle()
		s.advance(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestDisksWipedInTurn: the disks are lost in turn, each as soon as the previous machine has had its time to catch up;
// sometimes all other machines lose power at the same time.
func TestDisksWipedInTurn(t *testing.T) {
	eachCase(t, 4, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for i := range 2 * of.machines {
			b := s.nodes[i%of.machines]
			s.wipe(b)
			if s.rng.IntN(3) == 0 {
				s.powerCycle()
			}
			s.after(s.upTo(time.Second), func() { s.start(b) })
			s.advance(time.Second + boundSync)
			if i%3 == 0 {
				s.acknowledges(c, of, "seed", seed)
			}
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestRollingRestart: the machines shut down in turn, a second apart, and come back with their disks, except the last
// ones, which are lost permanently, as many as tolerated.
func TestRollingRestart(t *testing.T) {
	eachCase(t, 6, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for i, b := range slices.Clone(s.nodes) {
			until := s.now + time.Second
			s.depart(b)
			if i >= of.machines-of.survive {
				b.removed = true
			} else {
				s.after(300*ms+s.upTo(700*ms), func() { s.start(b) })
			}
			s.runUntil(max(s.now, until), nil)
		}
		s.advance(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestAllMembersDepart: all machines shut down at the same time, end within leaveWithin, and come back with their
// disks.
func TestAllMembersDepart(t *testing.T) {
	eachCase(t, 6, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for _, b := range s.nodes {
			s.input(b, b.m.Leave(s.clock(b)))
		}
		until := s.now + leaveWithin
		for _, b := range s.nodes {
			s.runUntil(until, func() bool { return b.m.Status().Released && len(b.pendingOutputs) == 0 })
			s.kill(b)
		}
		for _, b := range s.nodes {
			s.after(s.upTo(time.Second), func() { s.start(b) })
		}
		s.advance(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestPrimaryDepartsWithLostBackup: a backup is lost at the moment when the primary shuts down; other machines replace
// first the backup and then the primary.
func TestPrimaryDepartsWithLostBackup(t *testing.T) {
	eachCase(t, 6, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		s.wipe(l[1])
		took := s.depart(l[0])
		if of.machines > 3 { // of three, no machine is left that could become a backup
			c.Assert(took < leaveWithin, qt.IsTrue, qt.Commentf("%v seed %d", of, seed))
		}
		s.start(l[0])
		s.start(l[1])
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestStormWithDepartures runs random faults including graceful shutdowns: a machine that shuts down ends once it is
// released or leaveWithin has passed, and comes back.
func TestStormWithDepartures(t *testing.T) {
	for _, of := range []coreCase{{1, 0}, {3, 1}, {4, 1}, {5, 2}, {8, 2}} {
		t.Run(of.String(), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(*nSeeds); seed++ {
				if err := stormWithDepartures(seed, of); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

func stormWithDepartures(seed uint64, of coreCase) error {
	s := newSim(seed, of.machines, 3, FailureTolerance{Nodes: of.survive})
	s.repairFirst = true
	var clients, leaves func()
	clients = func() {
		s.write()
		s.read()
		s.after(s.upTo(200*ms), clients)
	}
	leaves = func() {
		if l := s.live(); len(l) > 0 && s.now < stormEnd {
			b := l[s.rng.IntN(len(l))]
			s.logf("%s is asked to shut down", b.addr)
			s.input(b, b.m.Leave(s.clock(b)))
			s.endReleased(b, b.incarnation, s.now+leaveWithin)
		}
		s.after(500*ms+s.upTo(4*time.Second), leaves)
	}
	s.after(2*time.Second, leaves)
	s.storm(seed, clients)
	return s.err
}

// endReleased kills a machine once it is released, at the latest at the time until, and restarts it soon after.
func (s *sim) endReleased(b *simNode, incarnation int, until time.Duration) {
	if b.m == nil || b.incarnation != incarnation {
		return
	}
	if !b.m.Status().Released && s.now < until {
		s.after(20*ms, func() { s.endReleased(b, incarnation, until) })
		return
	}
	s.kill(b)
	s.after(100*ms+s.upTo(time.Second), func() { s.start(b) })
}
