package replication

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sizedApp is an App with an encoded record of a given size. It keeps only the chained digest of its changes.
type sizedApp struct {
	size        int
	seq, digest uint64
	snapshots   int // number of times the complete record was encoded
}

func (a *sizedApp) Apply(seq uint64, body []byte) {
	a.digest = ChainDigest(a.digest, seq, body)
	a.seq = seq
}

func (a *sizedApp) Snapshot() []byte {
	a.snapshots++
	b := bytes.Repeat([]byte{'r'}, a.size)
	b = binary.BigEndian.AppendUint64(b, a.seq)
	return binary.BigEndian.AppendUint64(b, a.digest)
}

func (a *sizedApp) Restore(seq uint64, body []byte) error {
	a.seq, a.digest = 0, 0
	if len(body) == 0 {
		return nil
	}
	if len(body) != a.size+16 {
		return fmt.Errorf("a record of %d bytes", len(body))
	}
	a.seq, a.digest = binary.BigEndian.Uint64(body[a.size:]), binary.BigEndian.Uint64(body[a.size+8:])
	if a.seq != seq {
		return fmt.Errorf("the record of %d at %d", a.seq, seq)
	}
	return nil
}

// slowLinkCore simulates a core in virtual time whose machines send over links of low bandwidth, in order and one
// message after the other, as the control servers do: a message whose write takes longer than linkWriteTimeout breaks
// the connection, and the send queue is bounded by linkQueueBound.
type slowLinkCore struct {
	c           *qt.C
	now         time.Duration
	queue       events
	count       int
	nodes       []*slowLinkNode
	survive     FailureTolerance
	bytesPerSec float64
	latency     time.Duration
	sync        time.Duration
	size        int
	logBytes    int
	random      *rand.Rand

	lost func(msg *Message) bool // reports whether the link loses a message; nil: none is lost

	token        uint64
	pending      map[uint64]time.Duration // start of pending writes, by token
	acked        uint64                   // newest change that was acknowledged
	ackedAt      time.Duration
	longestGap   time.Duration // between acknowledgements
	bootstrapped bool
}

type slowLinkNode struct {
	core          *slowLinkCore
	addr          string
	disk          PersistentState
	app           *sizedApp
	m             *Machine
	started       time.Duration
	incarnation   int
	diskBusyUntil time.Duration  // end of the disk write in progress
	linkBusyUntil time.Duration  // end of the transmission of the queued messages
	queued        map[string]int // messages in the send queue, by receiver
	sent          int
	tickAt        time.Duration
	syncTime      time.Duration // sync time of this node's disk; 0: the core's
}

const (
	linkWriteTimeout = 500 * time.Millisecond
	linkQueueBound   = 64
)

func newSlowLinkCore(c *qt.C, n int, survive FailureTolerance, size int) *slowLinkCore {
	core := &slowLinkCore{
		c: c, survive: survive, size: size, bytesPerSec: 10e6 / 8, latency: 15 * time.Millisecond, sync: 3 * time.Millisecond,
		random: rand.New(rand.NewPCG(uint64(n), uint64(size))), pending: map[uint64]time.Duration{},
	}
	for i := range n {
		core.nodes = append(
			core.nodes, &slowLinkNode{core: core, addr: fmt.Sprintf("10.0.%d.1:7000", i), queued: map[string]int{}},
		)
	}
	return core
}

func (t *slowLinkCore) after(d time.Duration, run func()) {
	t.count++
	heap.Push(&t.queue, event{at: t.now + d, n: t.count, run: run})
}

// runUntil executes events until a condition holds; it returns false if that takes longer than within.
func (t *slowLinkCore) runUntil(within time.Duration, holds func() bool) bool {
	for end := t.now + within; len(t.queue) > 0 && t.queue[0].at <= end; {
		if holds() {
			return true
		}
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.run()
	}
	return holds()
}

func (n *slowLinkNode) start() {
	t := n.core
	n.incarnation++
	n.app = &sizedApp{size: t.size}
	n.started, n.diskBusyUntil, n.tickAt = t.now, t.now, -1
	var seeds []string
	for _, o := range t.nodes {
		seeds = append(seeds, o.addr)
	}
	m, err := New(Options{
		Self: Member{Addr: n.addr, Zone: n.addr, Region: "r"}, Tolerance: t.survive, Seeds: seeds, Bootstrap: !t.bootstrapped,
		HeartbeatInterval: 150 * ms,
		ElectionTimeout:   700 * ms,
		ElectionStagger:   250 * ms,
		WriteTimeout:      600 * ms,
		MemberTimeout:     4 * time.Second,
		SnapshotBytes:     t.logBytes, Rand: t.random.Uint64,
	}, n.disk, n.app)
	t.c.Assert(err, qt.IsNil)
	n.m = m
	n.input(func(now time.Duration) Output { return m.Tick(now) })
}

func (n *slowLinkNode) stop() {
	n.m = nil
	n.incarnation++
	clear(n.core.pending) // its clients use another machine
}

// input passes an input to the machine once its disk is idle.
func (n *slowLinkNode) input(in func(now time.Duration) Output) {
	t, incarnation := n.core, n.incarnation
	t.after(max(n.diskBusyUntil-t.now, 0), func() {
		if n.incarnation != incarnation || n.m == nil {
			return
		}
		if n.diskBusyUntil > t.now {
			n.input(in)
			return
		}
		out := in(t.now - n.started)
		if !out.Write.Empty() {
			n.diskBusyUntil = t.now + max(n.syncTime, t.sync)
		}
		t.after(max(n.diskBusyUntil-t.now, 0), func() {
			if n.incarnation == incarnation {
				n.completeOutput(&out)
			}
		})
		n.planTick(incarnation)
	})
}

func (n *slowLinkNode) planTick(incarnation int) {
	t := n.core
	at := max(n.m.NextTick()+n.started, t.now+ms)
	if n.tickAt > t.now && n.tickAt <= at {
		return
	}
	n.tickAt = at
	t.after(at-t.now, func() {
		if n.incarnation == incarnation && n.tickAt == at {
			n.tickAt = -1
			n.input(func(now time.Duration) Output { return n.m.Tick(now) })
		}
	})
}

func (n *slowLinkNode) completeOutput(out *Output) {
	t := n.core
	held := n.disk.Replica.RecordEpoch
	save(&n.disk, out.Write)
	if now := n.disk.Replica.RecordEpoch; now > max(held, 1) {
		t.c.Assert(
			n.durableSeq() >= t.acked, qt.IsTrue,
			qt.Commentf("%s holds the record of epoch %d up to %d, acknowledged up to %d", n.addr, now, n.durableSeq(), t.acked),
		)
	}
	for _, e := range out.Send {
		n.send(e)
	}
	for _, a := range out.Answer {
		delete(t.pending, a.Token)
		if a.Result == Committed {
			t.longestGap = max(t.longestGap, t.now-t.ackedAt)
			t.acked, t.ackedAt = max(t.acked, a.Seq), t.now
		}
	}
}

// durableSeq returns the Seq of the newest change on disk.
func (n *slowLinkNode) durableSeq() uint64 {
	if cs := n.disk.Changes; len(cs) > 0 {
		return cs[len(cs)-1].Seq
	}
	if s := n.disk.Snapshot; s != nil {
		return s.Seq
	}
	return 0
}

func (n *slowLinkNode) send(e Envelope) {
	t := n.core
	body, err := e.Msg.MarshalMsg(nil)
	t.c.Assert(err, qt.IsNil)
	takes := time.Duration(float64(len(body)) / t.bytesPerSec * float64(time.Second))
	if n.queued[e.To] >= linkQueueBound {
		return
	}
	broken := takes > linkWriteTimeout
	if broken {
		takes = linkWriteTimeout
	}
	n.linkBusyUntil = max(n.linkBusyUntil, t.now) + takes
	n.sent += len(body)
	n.queued[e.To]++
	t.after(n.linkBusyUntil-t.now, func() {
		n.queued[e.To]--
		if broken || t.lost != nil && t.lost(&e.Msg) {
			return
		}
		for _, o := range t.nodes {
			if o.addr == e.To {
				t.after(t.latency, func() {
					if o.m != nil {
						o.input(func(now time.Duration) Output { return o.m.Step(now, n.addr, &e.Msg) })
					}
				})
			}
		}
	})
}

func (t *slowLinkCore) primary() *slowLinkNode {
	var newest *slowLinkNode
	for _, n := range t.nodes {
		if n.m != nil && n.m.ready() && (newest == nil || newest.m.view.Epoch < n.m.view.Epoch) {
			newest = n
		}
	}
	return newest
}

// change proposes one change of the given size at the ready primary, if there is one.
func (t *slowLinkCore) change(bytes int) {
	p := t.primary()
	if p == nil {
		return
	}
	t.token++
	body := make([]byte, bytes)
	binary.BigEndian.PutUint64(body, t.token)
	token := t.token
	t.pending[token] = t.now
	p.input(func(now time.Duration) Output { return p.m.Propose(now, token, body) })
}

// keepChanging proposes changes at an interval from now on, one at a time as the operator API does. A client gives up
// on a change after a second without an answer.
func (t *slowLinkCore) keepChanging(every time.Duration, bytes int) {
	for token, since := range t.pending {
		if t.now-since > time.Second {
			delete(t.pending, token)
		}
	}
	if len(t.pending) == 0 {
		t.change(bytes)
	}
	t.after(every, func() { t.keepChanging(every, bytes) })
}

func (t *slowLinkCore) converged() bool {
	p := t.primary()
	if p == nil {
		return false
	}
	for _, n := range t.nodes {
		if n.m != nil && (n.m.view.Epoch != p.m.view.Epoch || !p.m.view.has(n.m.identity.ID)) {
			return false
		}
	}
	return true
}

// describe returns the state of all machines.
func (t *slowLinkCore) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "acknowledged %d, last at %v of %v", t.acked, t.ackedAt, t.now)
	for _, n := range t.nodes {
		if n.m == nil {
			fmt.Fprintf(&b, "\n%s is down", n.addr)
			continue
		}
		s := n.m.Status()
		fmt.Fprintf(
			&b, "\n%s %v epoch %d ready %v seq %d stopped %v: %+v", n.addr, s.Role, s.Epoch, s.Ready, s.Seq,
			n.m.stopped(), n.m.candidacy,
		)
	}
	return b.String()
}

// byRole returns the first running machine with a role.
func (t *slowLinkCore) byRole(role Role) *slowLinkNode {
	for _, n := range t.nodes {
		if n.m != nil && n.m.Status().Role == role {
			return n
		}
	}
	return nil
}

func startSlowLinkCore(c *qt.C, n int, survive FailureTolerance, size int) *slowLinkCore {
	return startSlowLinkCoreWith(c, n, survive, size, 0)
}

// startSlowLinkCoreWith starts a core whose log is bounded by logBytes; 0: the default.
func startSlowLinkCoreWith(c *qt.C, n int, survive FailureTolerance, size, logBytes int) *slowLinkCore {
	t := newSlowLinkCore(c, n, survive, size)
	t.startWithLoad(logBytes)
	return t
}

// startWithLoad starts the core, commits a configuration of the record's size and then keeps proposing small changes.
func (t *slowLinkCore) startWithLoad(logBytes int) {
	c, size := t.c, t.size
	t.logBytes = logBytes
	for _, o := range t.nodes {
		o.start()
	}
	c.Assert(t.runUntil(10*time.Second, t.converged), qt.IsTrue, qt.Commentf("no start"))
	t.bootstrapped, t.ackedAt = true, t.now
	t.change(size) // the operator's initial configuration
	c.Assert(
		t.runUntil(20*time.Second, func() bool { return t.acked == 1 }), qt.IsTrue,
		qt.Commentf("the first configuration isn't acknowledged"),
	)
	t.keepChanging(40*ms, 400)
	c.Assert(t.runUntil(5*time.Second, func() bool { return t.acked >= 40 }), qt.IsTrue, qt.Commentf("%s", t.describe()))
}

// syncWithin is the time that a machine has to catch up after its return; until then it counts as lost.
const syncWithin = 4 * time.Second

// recordBytes is the size of a record with 10,000 routes.
const recordBytes = 3_500_000

// TestSlowLinkTakesRecord: with 10,000 routes over links of 10 Mbit/s and a change every 40 ms, the core recovers from
// the loss of a backup and its disk: a machine that never had the record receives it, changes are acknowledged again,
// and the machine that lost its disk becomes a member again, so that the loss of the primary is tolerated afterwards.
func TestSlowLinkTakesRecord(t *testing.T) {
	for _, size := range []int{200_000, recordBytes} {
		for _, members := range []struct {
			n       int
			survive FailureTolerance
		}{{3, FailureTolerance{Nodes: 1}}, {5, FailureTolerance{Nodes: 2}}} {
			t.Run(fmt.Sprintf("%d members, %d bytes", members.n, size), func(t *testing.T) {
				c := qt.New(t)
				core := startSlowLinkCore(c, members.n, members.survive, size)
				lost := core.byRole(Backup)
				lost.stop()
				core.longestGap = 0
				acked := core.acked
				c.Assert(core.runUntil(30*time.Second, func() bool { return core.acked > acked+20 }), qt.IsTrue,
					qt.Commentf("nothing was acknowledged after a backup was lost: %s", core.describe()))
				t.Logf("a backup lost: no acknowledgement for %v", core.longestGap)
				c.Check(core.longestGap < ackWithin, qt.IsTrue)
				lost.disk = PersistentState{}
				lost.start()
				began := core.now
				core.longestGap = 0
				c.Assert(core.runUntil(30*time.Second, core.converged), qt.IsTrue, qt.Commentf("the machine that lost its disk isn't a member again"))
				t.Logf("its disk lost: a member after %v, no acknowledgement for %v", core.now-began, core.longestGap)
				c.Check(core.longestGap < ackWithin, qt.IsTrue)
				// The machine counts as lost for syncWithin. Then the primary is lost: its successor has all
				// acknowledged changes.
				core.runUntil(syncWithin, func() bool { return false })
				acked = core.acked
				core.primary().stop()
				core.longestGap = 0
				c.Assert(
					core.runUntil(30*time.Second, func() bool { return core.acked > acked+20 }), qt.IsTrue,
					qt.Commentf("nothing was acknowledged after the primary was lost: %s", core.describe()),
				)
				c.Assert(core.primary().app.seq >= core.acked, qt.IsTrue)
				t.Logf("the primary lost as well: no acknowledgement for %v", core.longestGap)
				c.Check(core.longestGap < ackWithin, qt.IsTrue)
			})
		}
	}
}

// wipeAndRejoin restarts a machine with an empty disk and waits until it is a member.
func (n *slowLinkNode) wipeAndRejoin() {
	n.stop()
	n.disk = PersistentState{}
	n.start()
	n.core.c.Assert(n.core.runUntil(5*time.Second, n.core.converged), qt.IsTrue, qt.Commentf("%s", n.core.describe()))
}

// stall blocks the disk's writes for a duration, like a full or hanging disk: its machine neither receives nor sends
// anything meanwhile.
func (n *slowLinkNode) stall(duration time.Duration) {
	n.diskBusyUntil = max(n.diskBusyUntil, n.core.now) + duration
}

// TestStalledDisk: a machine whose disk blocks all writes is replaced, whatever its role, and doesn't delay
// acknowledgements by more than ackWithin; once its disk works again it is a ready member.
func TestStalledDisk(t *testing.T) {
	for _, role := range []Role{Primary, Backup, Witness} {
		for _, stall := range []time.Duration{300 * ms, 2 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%v for %v", role, stall), func(t *testing.T) {
				c := qt.New(t)
				core := startSlowLinkCore(c, 3, FailureTolerance{Nodes: 1}, 200_000)
				stalled := core.byRole(role)
				stalled.stall(stall)
				core.longestGap, core.ackedAt = 0, core.now
				acked := core.acked
				c.Assert(
					core.runUntil(ackWithin, func() bool { return core.acked > acked+5 }), qt.IsTrue,
					qt.Commentf("%s", core.describe()),
				)
				core.runUntil(stall, func() bool { return false })
				t.Logf("no acknowledgement for %v", core.longestGap)
				c.Check(core.longestGap < ackWithin, qt.IsTrue)
				acked = core.acked
				c.Assert(core.runUntil(10*time.Second, func() bool {
					return core.converged() && core.acked > acked+20 && stalled.m.Status().Ready
				}), qt.IsTrue, qt.Commentf("not converged again: %s", core.describe()))
			})
		}
	}
}

// TestSlowDisks: changes keep being acknowledged while syncs are thirty times as slow on one machine or on all of them.
func TestSlowDisks(t *testing.T) {
	const slow = 30 * 5 * time.Millisecond
	for _, role := range []Role{Primary, Backup, Witness, NonMember} {
		c := qt.New(t)
		core := startSlowLinkCore(c, 3, FailureTolerance{Nodes: 1}, 200_000)
		for _, n := range core.nodes {
			if role == NonMember || n.m.Status().Role == role { // NonMember means all machines
				n.syncTime = slow
			}
		}
		core.longestGap, core.ackedAt = 0, core.now
		acked := core.acked
		core.runUntil(20*time.Second, func() bool { return false })
		t.Logf("slow %v: %d changes in 20s, at most %v between acknowledgements", role, core.acked-acked, core.longestGap)
		c.Check(core.longestGap < 2*time.Second, qt.IsTrue)
		c.Check(core.acked-acked > 40, qt.IsTrue)
	}
}

// TestCatchUpAfterAbsence: a machine that was down during 1, 100 or 5,000 changes catches up within the transfer time
// of the record on its link plus a second and a learner interval, while changes continue.
func TestCatchUpAfterAbsence(t *testing.T) {
	const (
		routes500   = 100_000 // bytes of a record
		routes10000 = 2_000_000
	)
	for _, size := range []int{routes500, routes10000} {
		for _, away := range []uint64{1, 100, 5000} {
			c := qt.New(t)
			core := startSlowLinkCore(c, 3, FailureTolerance{Nodes: 1}, size)
			n := core.byRole(Backup)
			n.stop()
			acked := core.acked
			c.Assert(
				core.runUntil(time.Duration(away)*50*ms+10*time.Second, func() bool { return core.acked >= acked+away }),
				qt.IsTrue, qt.Commentf("%s", core.describe()),
			)
			primary := core.primary()
			target, began, sent, encoded := core.acked, core.now, primary.sent, primary.app.snapshots
			n.start()
			link := time.Duration(float64(size) / core.bytesPerSec * float64(time.Second))
			c.Assert(
				core.runUntil(link+time.Second+learnerHeartbeats*150*ms, func() bool { return n.durableSeq() >= target }),
				qt.IsTrue, qt.Commentf("%s", core.describe()),
			)
			t.Logf("%d bytes, away for %d changes: caught up after %v, %d bytes sent by the primary to all, record encoded %d times",
				size, away, core.now-began, primary.sent-sent, primary.app.snapshots-encoded)
		}
	}
}
