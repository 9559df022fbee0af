package controlplane

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"molepaddle/internal/fleet/replication"
)

// member is a machine of a simulated core: the real replication machine with the real state, and a disk in memory.
type member struct {
	addr, zone     string
	disk           replication.PersistentState
	replica        *replication.Machine // nil: not running
	state          *controlState
	committed      *appliedState // newest committed state
	incarnation    int
	started        time.Duration
	busy           time.Duration       // end of the current write or suspension
	writing        *replication.Output // output whose write is not on the disk yet
	ticks          int                 // number of the newest scheduled tick; earlier ones are void
	pendingAnswers map[uint64]func(replication.Answer)
	token          uint64
}

// event is a function that runs at a point in virtual time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulatedCore is a core that runs in virtual time.
type simulatedCore struct {
	rng             *rand.Rand
	now             time.Duration
	queue           eventQueue
	events          int
	members         []*member
	seeds           []string
	survive         int
	messageLossRate float64                     // probability that a message is lost
	cuts            map[[2]string]time.Duration // end of each cut, by direction
	err             error
}

// bootstrapUntil is the end of the initial bootstrap of the core.
const bootstrapUntil = 2 * time.Second

func newSimulatedCore(seed uint64, size, survive int) *simulatedCore {
	c := &simulatedCore{rng: rand.New(rand.NewPCG(seed, 2)), survive: survive, cuts: map[[2]string]time.Duration{}}
	for i := range size {
		m := &member{addr: fmt.Sprintf("10.0.%d.1:7000", i), zone: fmt.Sprint("z", i%3)}
		c.members = append(c.members, m)
		c.seeds = append(c.seeds, m.addr)
	}
	c.seeds = c.seeds[:min(3, size)]
	return c
}

func (c *simulatedCore) after(d time.Duration, run func()) {
	c.events++
	heap.Push(&c.queue, event{at: c.now + max(d, 0), order: c.events, run: run})
}

func (c *simulatedCore) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// runUntil runs events up to a time, or until stop returns true.
func (c *simulatedCore) runUntil(end time.Duration, stop func() bool) (stopped bool) {
	for c.err == nil && len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		if stop != nil && stop() {
			return true
		}
	}
	c.now = max(c.now, end)
	return false
}

func (c *simulatedCore) start(m *member) {
	if m.replica != nil {
		return
	}
	m.disk.Changes = slices.Clip(m.disk.Changes)
	m.state = &controlState{}
	machine, err := replication.New(replication.Options{
		Self:              replication.Member{Addr: m.addr, Zone: m.zone, Region: "r"},
		Tolerance:         replication.FailureTolerance{Nodes: c.survive},
		Seeds:             c.seeds,
		Bootstrap:         c.now < bootstrapUntil,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   500 * time.Millisecond,
		ElectionStagger:   150 * time.Millisecond,
		WriteTimeout:      600 * time.Millisecond,
		MemberTimeout:     3 * time.Second,
		SnapshotBytes:     2000,
		Rand:              c.rng.Uint64,
	}, m.disk, m.state)
	if err != nil {
		c.err = err
		return
	}
	m.replica, m.started, m.busy, m.committed = machine, c.now, c.now, nil
	m.pendingAnswers = map[uint64]func(replication.Answer){}
	c.tick(m)
}

// kill ends a process. A write in progress may or may not reach the disk.
func (c *simulatedCore) kill(m *member) {
	if m.replica == nil {
		return
	}
	if m.writing != nil && c.rng.IntN(2) == 0 {
		save(&m.disk, m.writing.Write)
	}
	m.replica, m.writing = nil, nil
	m.incarnation++
}

// restart kills a process and starts it again after a short time.
func (c *simulatedCore) restart(m *member) {
	c.kill(m)
	c.after(c.randomUpTo(time.Second), func() { c.start(m) })
}

// input has a member execute an input once it is idle, unless its process ends before.
func (c *simulatedCore) input(m *member, do func(now time.Duration) replication.Output) {
	if m.replica == nil {
		return
	}
	life := m.incarnation
	if m.busy > c.now {
		c.after(m.busy-c.now, func() {
			if m.incarnation == life {
				c.input(m, do)
			}
		})
		return
	}
	out := do(c.now - m.started)
	if out.Write.Empty() {
		c.processOutput(m, &out)
		return
	}
	m.writing = &out
	m.busy = c.now + time.Millisecond + c.randomUpTo(4*time.Millisecond)
	c.after(m.busy-c.now, func() {
		if m.incarnation == life {
			m.writing = nil
			save(&m.disk, out.Write)
			c.processOutput(m, &out)
		}
	})
}

// processOutput does what the server's driver does once the write of an output is on the disk.
func (c *simulatedCore) processOutput(m *member, out *replication.Output) {
	if done := m.state.takeCommitted(out.Committed); len(done) > 0 {
		if last := &done[len(done)-1]; m.committed == nil || last.seq > m.committed.seq {
			m.committed = last
		}
	}
	for i := range out.Send {
		c.send(m.addr, &out.Send[i])
	}
	for _, a := range out.Answer {
		if deliver := m.pendingAnswers[a.Token]; deliver != nil {
			delete(m.pendingAnswers, a.Token)
			deliver(a)
		}
	}
	m.ticks++
	number, life := m.ticks, m.incarnation
	c.after(max(m.started+m.replica.NextTick()-c.now, time.Millisecond), func() {
		if m.incarnation == life && m.ticks == number {
			c.tick(m)
		}
	})
}

func (c *simulatedCore) tick(m *member) {
	c.input(m, func(now time.Duration) replication.Output { return m.replica.Tick(now) })
}

// ask gives a member an input with a token, and passes its answer to deliver unless the process ends before.
func (c *simulatedCore) ask(
	m *member, do func(now time.Duration, token uint64) replication.Output, deliver func(replication.Answer),
) {
	c.input(m, func(now time.Duration) replication.Output {
		m.token++
		m.pendingAnswers[m.token] = deliver
		return do(now, m.token)
	})
}

func (c *simulatedCore) send(from string, e *replication.Envelope) {
	body, err := e.Msg.MarshalMsg(nil)
	if err != nil {
		c.err = err
		return
	}
	i := slices.IndexFunc(c.members, func(m *member) bool { return m.addr == e.To })
	if i < 0 || c.rng.Float64() < c.messageLossRate {
		return
	}
	delay := 500*time.Microsecond + c.randomUpTo(10*time.Millisecond)
	if c.messageLossRate > 0 && c.rng.IntN(50) == 0 {
		delay += c.randomUpTo(3 * time.Second)
	}
	direction := [2]string{from, e.To}
	c.after(delay, func() {
		if c.cuts[direction] > c.now {
			return
		}
		var msg replication.Message
		if _, err := msg.UnmarshalMsg(body); err != nil {
			c.err = err
			return
		}
		m := c.members[i]
		c.input(m, func(now time.Duration) replication.Output { return m.replica.Step(now, from, &msg) })
	})
}

// allInSync reports whether all members are in one view with a ready primary, so that another disk may be lost.
func (c *simulatedCore) allInSync() bool {
	for _, p := range c.members {
		if p.replica == nil {
			return false
		}
		st := p.replica.Status()
		if st.Role != replication.Primary || !st.Ready || len(st.View.Backups) < c.survive {
			continue
		}
		return !slices.ContainsFunc(c.members, func(m *member) bool {
			if m.replica == nil {
				return true
			}
			own := m.replica.Status()
			return own.Epoch != st.Epoch || !own.Ready ||
				!slices.ContainsFunc(st.View.Members, func(peer replication.Member) bool { return peer.ID == own.ID })
		})
	}
	return false
}

// fault injects one fault.
func (c *simulatedCore) fault() {
	m := c.members[c.rng.IntN(len(c.members))]
	switch c.rng.IntN(6) {
	case 0, 1:
		c.restart(m)
	case 2:
		if c.survive > 0 && c.allInSync() {
			c.kill(m)
			m.disk = replication.PersistentState{}
			c.after(c.randomUpTo(time.Second), func() { c.start(m) })
		}
	case 3:
		if m.replica != nil {
			m.busy = max(m.busy, c.now+c.randomUpTo(4*time.Second))
		}
	case 4:
		for _, peer := range c.members {
			if c.rng.IntN(2) == 0 {
				c.cuts[[2]string{m.addr, peer.addr}] = c.now + c.randomUpTo(3*time.Second)
			}
			if c.rng.IntN(2) == 0 {
				c.cuts[[2]string{peer.addr, m.addr}] = c.now + c.randomUpTo(3*time.Second)
			}
		}
	case 5:
		for _, peer := range c.members {
			c.restart(peer)
		}
	}
}

// endFaults ends all faults and starts the stopped members.
func (c *simulatedCore) endFaults() {
	c.messageLossRate = 0
	clear(c.cuts)
	for _, m := range c.members {
		c.start(m)
	}
}

// save applies a write to a disk in memory.
func save(d *replication.PersistentState, w *replication.Write) {
	if w.Reset {
		*d = replication.PersistentState{}
	}
	if w.Identity != nil {
		d.Identity = *w.Identity
	}
	if w.View != nil {
		d.View = *w.View
	}
	if w.Vote != nil {
		d.Vote = *w.Vote
	}
	if w.Replica != nil {
		d.Replica = *w.Replica
	}
	if w.Snapshot != nil {
		d.Snapshot, d.Changes = w.Snapshot, nil
	}
	d.Changes = append(d.Changes, w.Changes...)
}
