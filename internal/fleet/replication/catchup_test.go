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

// sizedApp is a record of a given size. It knows its changes by their chained digest alone.
type sizedApp struct {
	size        int
	seq, digest uint64
	snapshots   int // how often the whole was encoded
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

// thinCore is a core in virtual time whose machines send over thin links, in order and one message after the other, as
// the control servers do: a message whose write takes over writeBound breaks the connection, and what waits is bounded.
type thinCore struct {
	c           *qt.C
	now         time.Duration
	queue       events
	count       int
	nodes       []*thinNode
	survive     FailureTolerance
	bytesPerSec float64
	latency     time.Duration
	sync        time.Duration
	size        int
	logBytes    int
	random      *rand.Rand

	lost func(msg *Message) bool // messages that the links lose

	token    uint64
	pending  map[uint64]time.Duration // by token: since when
	acked    uint64                   // newest change that was acknowledged
	ackedAt  time.Duration
	longest  time.Duration // between acknowledgements
	bootOver bool
}

type thinNode struct {
	core     *thinCore
	addr     string
	disk     PersistentState
	app      *sizedApp
	m        *Machine
	started  time.Duration
	life     int
	busy     time.Duration // until: the disk is written to
	uplink   time.Duration // until: messages are on their way into the link
	waiting  map[string]int
	sent     int // bytes
	tickAt   time.Duration
	syncTime time.Duration // of this node's disk; 0: the core's
}

const (
	thinWriteBound = 500 * time.Millisecond
	thinQueueBound = 64
)

func newThinCore(c *qt.C, n int, survive FailureTolerance, size int) *thinCore {
	core := &thinCore{
		c: c, survive: survive, size: size, bytesPerSec: 10e6 / 8, latency: 15 * time.Millisecond, sync: 3 * time.Millisecond,
		random: rand.New(rand.NewPCG(uint64(n), uint64(size))), pending: map[uint64]time.Duration{},
	}
	for i := range n {
		core.nodes = append(
			core.nodes, &thinNode{core: core, addr: fmt.Sprintf("10.0.%d.1:7000", i), waiting: map[string]int{}},
		)
	}
	return core
}

func (t *thinCore) after(d time.Duration, run func()) {
	t.count++
	heap.Push(&t.queue, event{at: t.now + d, n: t.count, run: run})
}

// until plays events until something holds; it reports false where that takes longer than within.
func (t *thinCore) until(within time.Duration, holds func() bool) bool {
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

func (n *thinNode) start() {
	t := n.core
	n.life++
	n.app = &sizedApp{size: t.size}
	n.started, n.busy, n.tickAt = t.now, t.now, -1
	var seeds []string
	for _, o := range t.nodes {
		seeds = append(seeds, o.addr)
	}
	m, err := New(Options{
		Self: Member{Addr: n.addr, Zone: n.addr, Region: "r"}, Tolerance: t.survive, Seeds: seeds, Bootstrap: !t.bootOver,
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

func (n *thinNode) stop() {
	n.m = nil
	n.life++
	clear(n.core.pending) // its clients ask elsewhere
}

// input hands the machine an input once its disk is free.
func (n *thinNode) input(in func(now time.Duration) Output) {
	t, life := n.core, n.life
	t.after(max(n.busy-t.now, 0), func() {
		if n.life != life || n.m == nil {
			return
		}
		if n.busy > t.now {
			n.input(in)
			return
		}
		out := in(t.now - n.started)
		if !out.Write.Empty() {
			n.busy = t.now + max(n.syncTime, t.sync)
		}
		t.after(max(n.busy-t.now, 0), func() {
			if n.life == life {
				n.carryOut(&out)
			}
		})
		n.planTick(life)
	})
}

func (n *thinNode) planTick(life int) {
	t := n.core
	at := max(n.m.NextTick()+n.started, t.now+ms)
	if n.tickAt > t.now && n.tickAt <= at {
		return
	}
	n.tickAt = at
	t.after(at-t.now, func() {
		if n.life == life && n.tickAt == at {
			n.tickAt = -1
			n.input(func(now time.Duration) Output { return n.m.Tick(now) })
		}
	})
}

func (n *thinNode) carryOut(out *Output) {
	t := n.core
	held := n.disk.Replica.RecordEpoch
	save(&n.disk, out.Write)
	if now := n.disk.Replica.RecordEpoch; now > max(held, 1) {
		t.c.Assert(
			n.durableSeq() >= t.acked, qt.IsTrue,
			qt.Commentf("%s holds the record for epoch %d up to %d, %d was acknowledged", n.addr, now, n.durableSeq(), t.acked),
		)
	}
	for _, e := range out.Send {
		n.send(e)
	}
	for _, a := range out.Answer {
		delete(t.pending, a.Token)
		if a.Result == Committed {
			t.longest = max(t.longest, t.now-t.ackedAt)
			t.acked, t.ackedAt = max(t.acked, a.Seq), t.now
		}
	}
}

// durableSeq is the newest change on the disk.
func (n *thinNode) durableSeq() uint64 {
	if cs := n.disk.Changes; len(cs) > 0 {
		return cs[len(cs)-1].Seq
	}
	if s := n.disk.Snapshot; s != nil {
		return s.Seq
	}
	return 0
}

func (n *thinNode) send(e Envelope) {
	t := n.core
	body, err := e.Msg.MarshalMsg(nil)
	t.c.Assert(err, qt.IsNil)
	takes := time.Duration(float64(len(body)) / t.bytesPerSec * float64(time.Second))
	if n.waiting[e.To] >= thinQueueBound {
		return
	}
	broken := takes > thinWriteBound
	if broken {
		takes = thinWriteBound
	}
	n.uplink = max(n.uplink, t.now) + takes
	n.sent += len(body)
	n.waiting[e.To]++
	t.after(n.uplink-t.now, func() {
		n.waiting[e.To]--
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

func (t *thinCore) primary() *thinNode {
	var newest *thinNode
	for _, n := range t.nodes {
		if n.m != nil && n.m.ready() && (newest == nil || newest.m.view.Epoch < n.m.view.Epoch) {
			newest = n
		}
	}
	return newest
}

// change proposes one change of so many bytes where a primary is ready.
func (t *thinCore) change(bytes int) {
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

// keepChanging proposes a change every so often from now on, one at a time as the operators' door does. Who asked gives
// up after a second without an answer.
func (t *thinCore) keepChanging(every time.Duration, bytes int) {
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

func (t *thinCore) settled() bool {
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

// describe is how all stand.
func (t *thinCore) describe() string {
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

// byRole is the first backup, witness a member that keeps no record.
func (t *thinCore) byRole(role Role) *thinNode {
	for _, n := range t.nodes {
		if n.m != nil && n.m.Status().Role == role {
			return n
		}
	}
	return nil
}

func startThinCore(c *qt.C, n int, survive FailureTolerance, size int) *thinCore {
	return startThinCoreWith(c, n, survive, size, 0)
}

// startThinCoreWith starts a core whose log is bounded to so many bytes; 0: the default.
func startThinCoreWith(c *qt.C, n int, survive FailureTolerance, size, logBytes int) *thinCore {
	t := newThinCore(c, n, survive, size)
	t.begin(logBytes)
	return t
}

// beginInput has the core start, take a whole configuration and then changes.
func (t *thinCore) begin(logBytes int) {
	c, size := t.c, t.size
	t.logBytes = logBytes
	for _, o := range t.nodes {
		o.start()
	}
	c.Assert(t.until(10*time.Second, t.settled), qt.IsTrue, qt.Commentf("no start"))
	t.bootOver, t.ackedAt = true, t.now
	t.change(size) // the operator's first configuration, whole
	c.Assert(
		t.until(20*time.Second, func() bool { return t.acked == 1 }), qt.IsTrue,
		qt.Commentf("the first configuration isn't acknowledged"),
	)
	t.keepChanging(40*ms, 400)
	c.Assert(t.until(5*time.Second, func() bool { return t.acked >= 40 }), qt.IsTrue, qt.Commentf("%s", t.describe()))
}

// syncWithin is how long a machine counts as lost after its return.
const syncWithin = 4 * time.Second

// recordBytes is the size of a record with 10,000 routes.
const recordBytes = 3_500_000

// TestSlowLinkTakesRecord: with 10,000 routes over links of 10 Mbit/s, while changes come every 40 ms, the loss of a
// backup and of its disk is overcome: a machine that never had the record is brought it, changes are acknowledged
// again, and the one that lost its disk holds the record or votes once more.
func TestSlowLinkTakesRecord(t *testing.T) {
	for _, size := range []int{200_000, recordBytes} {
		for _, members := range []struct {
			n       int
			survive FailureTolerance
		}{{3, FailureTolerance{Nodes: 1}}, {5, FailureTolerance{Nodes: 2}}} {
			t.Run(fmt.Sprintf("%d members, %d bytes", members.n, size), func(t *testing.T) {
				c := qt.New(t)
				core := startThinCore(c, members.n, members.survive, size)
				lost := core.byRole(Backup)
				lost.stop()
				core.longest = 0
				acked := core.acked
				c.Assert(core.until(30*time.Second, func() bool { return core.acked > acked+20 }), qt.IsTrue,
					qt.Commentf("nothing was acknowledged after a backup was lost: %s", core.describe()))
				t.Logf("a backup lost: no acknowledgement for %v", core.longest)
				c.Check(core.longest < ackWithin, qt.IsTrue)
				lost.disk = PersistentState{}
				lost.start()
				began := core.now
				core.longest = 0
				c.Assert(core.until(30*time.Second, core.settled), qt.IsTrue, qt.Commentf("who lost its disk isn't a member again"))
				t.Logf("its disk lost: a member after %v, no acknowledgement for %v", core.now-began, core.longest)
				c.Check(core.longest < ackWithin, qt.IsTrue)
				// It counts as lost for some seconds more. Then the primary goes: who takes its place holds all that
				// was acknowledged.
				core.until(syncWithin, func() bool { return false })
				acked = core.acked
				core.primary().stop()
				core.longest = 0
				c.Assert(
					core.until(30*time.Second, func() bool { return core.acked > acked+20 }), qt.IsTrue,
					qt.Commentf("nothing was acknowledged after the primary was lost: %s", core.describe()),
				)
				c.Assert(core.primary().app.seq >= core.acked, qt.IsTrue)
				t.Logf("the primary lost as well: no acknowledgement for %v", core.longest)
				c.Check(core.longest < ackWithin, qt.IsTrue)
			})
		}
	}
}

// empty has a machine start again without its disk and waits until it is a member.
func (n *thinNode) empty() {
	n.stop()
	n.disk = PersistentState{}
	n.start()
	n.core.c.Assert(n.core.until(5*time.Second, n.core.settled), qt.IsTrue, qt.Commentf("%s", n.core.describe()))
}

// stall has a disk take no write for some time, as one that is full or hangs: its machine neither hears nor says
// anything then.
func (n *thinNode) stall(for_ time.Duration) { n.busy = max(n.busy, n.core.now) + for_ }

// TestStalledDisk: a machine whose disk takes no write for seconds is replaced, whatever its role, and doesn't hold the
// others up for longer than ackWithin; when its disk works again it takes part.
func TestStalledDisk(t *testing.T) {
	for _, role := range []Role{Primary, Backup, Witness} {
		for _, stall := range []time.Duration{300 * ms, 2 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%v for %v", role, stall), func(t *testing.T) {
				c := qt.New(t)
				core := startThinCore(c, 3, FailureTolerance{Nodes: 1}, 200_000)
				stalled := core.byRole(role)
				stalled.stall(stall)
				core.longest, core.ackedAt = 0, core.now
				acked := core.acked
				c.Assert(
					core.until(ackWithin, func() bool { return core.acked > acked+5 }), qt.IsTrue,
					qt.Commentf("%s", core.describe()),
				)
				core.until(stall, func() bool { return false })
				t.Logf("no acknowledgement for %v", core.longest)
				c.Check(core.longest < ackWithin, qt.IsTrue)
				acked = core.acked
				c.Assert(core.until(10*time.Second, func() bool {
					return core.settled() && core.acked > acked+20 && stalled.m.Status().Ready
				}), qt.IsTrue, qt.Commentf("not whole again: %s", core.describe()))
			})
		}
	}
}

// TestSlowDisks: with syncs thirty times as slow on one machine or on all of them changes are acknowledged throughout.
func TestSlowDisks(t *testing.T) {
	const slow = 30 * 5 * time.Millisecond
	for _, role := range []Role{Primary, Backup, Witness, NonMember} {
		c := qt.New(t)
		core := startThinCore(c, 3, FailureTolerance{Nodes: 1}, 200_000)
		for _, n := range core.nodes {
			if role == NonMember || n.m.Status().Role == role { // Outside stands for all
				n.syncTime = slow
			}
		}
		core.longest, core.ackedAt = 0, core.now
		acked := core.acked
		core.until(20*time.Second, func() bool { return false })
		t.Logf("slow %v: %d changes in 20s, at most %v between two", role, core.acked-acked, core.longest)
		c.Check(core.longest < 2*time.Second, qt.IsTrue)
		c.Check(core.acked-acked > 40, qt.IsTrue)
	}
}

// TestCatchUpAfterAbsence: a machine that was away for 1, 100 and 5,000 changes has the record again within the time
// that the record takes on its link and a second, while changes go on.
func TestCatchUpAfterAbsence(t *testing.T) {
	const (
		routes500   = 100_000 // bytes of a record
		routes10000 = 2_000_000
	)
	for _, size := range []int{routes500, routes10000} {
		for _, away := range []uint64{1, 100, 5000} {
			c := qt.New(t)
			core := startThinCore(c, 3, FailureTolerance{Nodes: 1}, size)
			n := core.byRole(Backup)
			n.stop()
			acked := core.acked
			c.Assert(
				core.until(time.Duration(away)*50*ms+10*time.Second, func() bool { return core.acked >= acked+away }),
				qt.IsTrue, qt.Commentf("%s", core.describe()),
			)
			primary := core.primary()
			target, began, sent, encoded := core.acked, core.now, primary.sent, primary.app.snapshots
			n.start()
			link := time.Duration(float64(size) / core.bytesPerSec * float64(time.Second))
			c.Assert(
				core.until(link+time.Second+learnerHeartbeats*150*ms, func() bool { return n.durableSeq() >= target }),
				qt.IsTrue, qt.Commentf("%s", core.describe()),
			)
			t.Logf("%d bytes, away for %d changes: caught up after %v, %d bytes sent by the primary to all, record encoded %d times",
				size, away, core.now-began, primary.sent-sent, primary.app.snapshots-encoded)
		}
	}
}
