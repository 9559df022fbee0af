package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The times of the control plane's program, and the bounds that its settings give.
const (
	progHeartbeat = 150 * ms
	progElection  = 700 * ms
	progStagger   = 250 * ms
	progWrite     = 600 * ms
	boundSync     = 4 * time.Second // a machine counts as lost for so long after its return
	boundAck      = 4 * time.Second // a change is acknowledged within this when things are calm
	leaveWithin   = 2 * time.Second // a process that was told to end waits no longer than this for its release
)

// programTimes are the settings of the control plane's program.
func programTimes(o *Options) {
	o.HeartbeatInterval, o.ElectionTimeout, o.ElectionStagger = progHeartbeat, progElection, progStagger
	o.WriteTimeout, o.MemberTimeout = progWrite, boundSync
}

// coreCase is a core for the scripted schedules.
type coreCase struct{ machines, survive int }

func (c coreCase) String() string { return fmt.Sprintf("%d-survive-%d", c.machines, c.survive) }

var coreCases = []coreCase{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 1}, {8, 2}, {9, 1}, {9, 2}}

// schedule is a core in virtual time whose troubles come by script.
type schedule struct {
	*sim
	spares int
}

// newSchedule starts a core with the program's times and one acknowledged change, every machine of it long established.
func newSchedule(c *qt.C, seed uint64, of coreCase) *schedule {
	s := newSim(seed, of.machines, 3, FailureTolerance{Nodes: of.survive})
	s.tune, s.delay = programTimes, 5*ms
	for _, b := range s.nodes {
		s.after(s.upTo(300*ms), func() { s.start(b) })
	}
	c.Assert(s.runUntil(s.now+10*time.Second, s.converged), qt.IsTrue, qt.Commentf("no start: %v", s.err))
	s.runUntil(max(s.now, s.bootUntil)+boundSync, nil)
	sc := &schedule{sim: s}
	sc.acknowledges(c)
	return sc
}

// pass lets time go by.
func (s *schedule) pass(d time.Duration) { s.runUntil(s.now+d, nil) }

// wipe ends a machine at once and drops its disk.
func (s *schedule) wipe(b *simNode) {
	s.kill(b)
	b.disk = PersistentState{}
}

// remove ends a machine at once, for good.
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

// powerCycle ends all machines at once and starts each again within a second.
func (s *schedule) powerCycle() {
	for _, b := range s.nodes {
		if b.m != nil {
			s.kill(b)
			s.after(s.upTo(time.Second), func() { s.start(b) })
		}
	}
}

// byRole lists the machines that run, the primary first, then backups, then witnesses, by the newest view.
func (s *schedule) byRole() []*simNode {
	l := s.live()
	slices.SortStableFunc(l, func(a, b *simNode) int { return int(b.m.Status().Role) - int(a.m.Status().Role) })
	return l
}

// acknowledges asserts that a new change is acknowledged within the bound and that all older ones are there.
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

// eachCase plays a script for each core and several seeds; -replication.seeds plays more in proportion.
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

// TestSuccessorLosesItsDisk: a machine is gone for good, and its successor loses its disk right after its first start,
// again and again: as it counts as lost all the while, no more than may be lost ever is.
func TestSuccessorLosesItsDisk(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		victim := l[int(seed)%len(l)]
		s.remove(victim)
		s.pass(time.Duration(seed%4) * 400 * ms)
		n := s.spare()
		for range 3 {
			s.pass(100*ms + s.upTo(1500*ms))
			s.wipe(n)
			s.pass(300 * ms)
			s.start(n)
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestSecondLossAfterReplacement: a machine is gone for good, its successor has had the time to catch up, and the next
// one is lost at that moment.
func TestSecondLossAfterReplacement(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for range 3 {
			l := s.byRole()
			for i := range of.survive {
				s.remove(l[(int(seed)+i)%len(l)])
			}
			s.pass(s.upTo(2 * time.Second))
			for range of.survive {
				s.spare()
			}
			s.pass(boundSync)
		}
		s.acknowledges(c, of, "seed", seed)
		s.wipe(s.byRole()[0])
		s.powerCycle()
		s.pass(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// departure tells a machine that its process is to end, and ends it when it is released or its time is over. It returns
// how long that took.
func (s *schedule) depart(b *simNode) time.Duration {
	began, life := s.now, b.life
	s.input(b, b.m.Leave(s.clock(b)))
	s.runUntil(began+leaveWithin, func() bool {
		return b.m != nil && b.life == life && b.m.Status().Released && len(b.pendingOutputs) == 0
	})
	s.kill(b)
	return s.now - began
}

// recordBears reports whether the record can be gone on with from the disks alone when so many machines are lost at
// once, any of them, and another has ended.
func (s *schedule) recordBears(losses int, ended *simNode) bool {
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

// recoverable reports whether one of these machines holds all that was acknowledged, and holds it for the newest view
// that any of them knows and would tell.
func (s *schedule) recoverable(left []*simNode) bool {
	var newest View
	for _, b := range left {
		if v := b.disk.View; v.Epoch > newest.Epoch {
			newest = v
		}
	}
	return slices.ContainsFunc(left, func(b *simNode) bool {
		d := &b.disk
		// Who was brought the record in the epoch before is a holder as soon as it is told of the view.
		told := d.View.Epoch < newest.Epoch
		holds := d.Replica.RecordEpoch == newest.Epoch || told && d.Replica.RecordEpoch+1 == newest.Epoch
		return newest.rank(d.Identity.ID) >= 0 && holds && diskSeq(d) >= s.ackedMax
	})
}

// diskSeq is the newest change on a disk.
func diskSeq(d *PersistentState) uint64 {
	if n := len(d.Changes); n > 0 {
		return d.Changes[n-1].Seq
	}
	if d.Snapshot != nil {
		return d.Snapshot.Seq
	}
	return 0
}

// TestDepartingMemberHoldsNoOnlyReplica: when a machine that was asked to shut down is released, whatever its role, the
// record outlives any loss of others that must be survived.
func TestDepartingMemberHoldsNoOnlyReplica(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		b := l[int(seed)%len(l)]
		role := b.m.Status().Role
		took := s.depart(b)
		c.Assert(took < leaveWithin, qt.IsTrue, qt.Commentf("%v seed %d: the %s is not released", of, seed, role))
		c.Assert(
			s.recordBears(of.survive, b), qt.IsTrue,
			qt.Commentf("%v seed %d: the %s had one of too few copies", of, seed, role),
		)
		b.removed = true
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestDepartedMemberStaysOut: a machine that was asked to shut down and removed from the members doesn't come in again
// while it lasts.
func TestDepartedMemberStaysOut(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{4, 1})
		b := s.byRole()[int(seed)%4]
		s.input(b, b.m.Leave(s.clock(b)))
		s.pass(boundSync)
		c.Assert(b.m.Status().Released, qt.IsTrue)
		c.Assert(b.m.Status().Role, qt.Equals, NonMember, qt.Commentf("seed %d", seed))
		c.Assert(s.leader().m.Status().View.Members, qt.HasLen, 3)
		epoch := s.leader().m.Status().Epoch
		s.pass(boundSync)
		c.Assert(s.leader().m.Status().Epoch, qt.Equals, epoch, qt.Commentf("seed %d", seed))
		s.kill(b)
		s.start(b)
		s.pass(boundSync)
		c.Assert(s.leader().m.Status().View.Members, qt.HasLen, 4)
		s.acknowledges(c, "seed", seed)
	}
}

// TestDepartingJoiner: a machine that asks to be taken in, or has just been, is asked to shut down and never comes
// back; once it has ended the core bears the next loss.
func TestDepartingJoiner(t *testing.T) {
	eachCase(t, 12, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		n := s.spare()
		s.pass(s.upTo(1500 * ms))
		s.depart(n)
		n.removed = true
		s.pass(time.Duration(seed%3) * 300 * ms)
		l := s.byRole()
		for i := range of.survive {
			s.wipe(l[(int(seed)+i)%len(l)])
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestPrimaryAndOnlyBackupDepart: the primary and its only backup leave at the same moment; the machines that stay take
// over.
func TestPrimaryAndOnlyBackupDepart(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{4, 1})
		l := s.byRole()
		s.input(l[1], l[1].m.Leave(s.clock(l[1])))
		s.depart(l[0])
		s.runUntil(s.now+leaveWithin, func() bool { return l[1].m.Status().Released })
		c.Assert(l[1].m.Status().Released, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(s.recordBears(1, l[0]), qt.IsTrue, qt.Commentf("seed %d", seed))
		s.kill(l[1])
		s.start(l[0])
		s.start(l[1])
		s.acknowledges(c, "seed", seed)
	}
}

// TestSingleMemberDeparts: a machine that is the whole core, or hears nobody, isn't kept waiting for a release that
// nobody can give.
func TestSingleMemberDeparts(t *testing.T) {
	c := qt.New(t)
	s := newSchedule(c, 1, coreCase{1, 0})
	c.Assert(s.depart(s.nodes[0]), qt.Equals, time.Duration(0))
	s.start(s.nodes[0])
	s.acknowledges(c)
}

// TestOnlyMachineReplaced: the one machine of a core is asked to shut down once its successor is in; the record goes
// over with the role.
func TestOnlyMachineReplaced(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newSchedule(c, seed, coreCase{1, 0})
		old := s.nodes[0]
		s.spare()
		s.pass(2 * time.Second)
		c.Assert(s.depart(old) < leaveWithin, qt.IsTrue, qt.Commentf("seed %d", seed))
		old.removed = true
		s.acknowledges(c, "seed", seed)
		c.Assert(s.leader().app.log, qt.HasLen, 2)
	}
}

// TestPlannedReplacement: the successor comes first, then the old machine is asked to shut down and never comes back.
// Once the successor had its time to catch up, as many others as may be lost go at once, at any moment after the end.
func TestPlannedReplacement(t *testing.T) {
	eachCase(t, 16, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for range 2 {
			began := s.now
			s.spare()
			s.pass([]time.Duration{500 * ms, 2 * time.Second, boundSync, 2 * boundSync}[seed%4])
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

// TestAllReplacedInTurn: every machine that began the day is replaced, the oldest disks first, each as soon as the last
// successor had its time; then all lose power and as many as may be their disks.
func TestAllReplacedInTurn(t *testing.T) {
	eachCase(t, 4, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for _, old := range slices.Clone(s.nodes) {
			planned := s.rng.IntN(2) == 0
			if planned {
				s.spare()
				s.pass(s.upTo(2 * time.Second))
				s.depart(old)
				old.removed = true
			} else {
				s.remove(old)
				s.pass(s.upTo(time.Second))
				s.spare()
			}
			s.pass(boundSync)
			if s.rng.IntN(3) == 0 {
				s.powerCycle()
				s.pass(time.Second + boundSync)
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
		s.pass(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestDisksWipedInTurn: the disks go one after the other, each as soon as the last had its time, all others without
// power at the same moment at times.
func TestDisksWipedInTurn(t *testing.T) {
	eachCase(t, 4, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		for i := range 2 * of.machines {
			b := s.nodes[i%of.machines]
			s.wipe(b)
			if s.rng.IntN(3) == 0 {
				s.powerCycle()
			}
			s.after(s.upTo(time.Second), func() { s.start(b) })
			s.pass(time.Second + boundSync)
			if i%3 == 0 {
				s.acknowledges(c, of, "seed", seed)
			}
		}
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestRollingRestart: the machines are asked to shut down one after the other, a second apart, and come back with their
// disks; with the last that may be lost gone for good.
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
		s.pass(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestAllMembersDepart: every machine is asked to shut down at the same moment and ends within its time; all come back
// with their disks.
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
		s.pass(time.Second)
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestPrimaryDepartsWithLostBackup: a backup is lost at the moment when the primary is asked to shut down; others take
// its place, and then the primary's.
func TestPrimaryDepartsWithLostBackup(t *testing.T) {
	eachCase(t, 6, func(c *qt.C, s *schedule, of coreCase, seed uint64) {
		l := s.byRole()
		s.wipe(l[1])
		took := s.depart(l[0])
		if of.machines > 3 { // of three, no machine is left that could take the record
			c.Assert(took < leaveWithin, qt.IsTrue, qt.Commentf("%v seed %d", of, seed))
		}
		s.start(l[0])
		s.start(l[1])
		s.acknowledges(c, of, "seed", seed)
	})
}

// TestStormWithDepartures plays storms in which machines are asked to shut down as well: in the middle of other
// troubles they end when they are released or their time is over, and come back.
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
			s.note("%s is told to end", b.addr)
			s.input(b, b.m.Leave(s.clock(b)))
			s.endReleased(b, b.life, s.now+leaveWithin)
		}
		s.after(500*ms+s.upTo(4*time.Second), leaves)
	}
	s.after(2*time.Second, leaves)
	s.storm(seed, clients)
	return s.err
}

// endReleased ends a machine once it is released, or at a time, and starts it again soon after.
func (s *sim) endReleased(b *simNode, life int, until time.Duration) {
	if b.m == nil || b.life != life {
		return
	}
	if !b.m.Status().Released && s.now < until {
		s.after(20*ms, func() { s.endReleased(b, life, until) })
		return
	}
	s.kill(b)
	s.after(100*ms+s.upTo(time.Second), func() { s.start(b) })
}
