package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"
)

const ms = time.Millisecond

// logApp is an App that keeps every change.
type logApp struct {
	log []string
	err *error
}

func (a *logApp) Apply(seq uint64, body []byte) {
	if seq != uint64(len(a.log))+1 && *a.err == nil {
		*a.err = fmt.Errorf("applied %d after %d", seq, len(a.log))
	}
	a.log = append(a.log, string(body))
}

func (a *logApp) Snapshot() []byte { return []byte(strings.Join(a.log, "\n")) }

func (a *logApp) Restore(seq uint64, body []byte) error {
	a.log = nil
	if len(body) > 0 {
		a.log = strings.Split(string(body), "\n")
	}
	if uint64(len(a.log)) != seq {
		return fmt.Errorf("snapshot of %d at %d", len(a.log), seq)
	}
	return nil
}

// save applies a Write to an in-memory disk.
func save(d *PersistentState, w *Write) {
	if w == nil {
		return
	}
	if w.Reset {
		*d = PersistentState{}
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

// pendingOutput is an Output whose Write is not on disk yet, with the machine's state at that time.
type pendingOutput struct {
	out    Output
	epoch  uint64
	status Status
	log    []string
}

// simNode is one machine of the simulated core.
type simNode struct {
	addr, zone     string
	disk           PersistentState
	m              *Machine
	app            *logApp
	incarnation    int
	started        time.Duration
	frozen         time.Duration // end of the freeze
	slow           time.Duration // end of the period with slow syncs
	removed        bool          // permanently
	diskFree       time.Duration
	pendingOutputs []pendingOutput
	ticking        time.Duration // time of the earliest scheduled tick; <0: none
	checked        uint64
	checkedEpoch   uint64 // epoch whose view was compared
}

type event struct {
	at  time.Duration
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// sim simulates a core in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	q         events
	n         int
	nodes     []*simNode
	seeds     []string
	survive   FailureTolerance
	bootUntil time.Duration
	zones     int
	loss, dup float64
	delay     time.Duration
	cuts      map[[2]string]time.Duration // end of a link's failure, by direction
	err       error
	trace     bool
	smallLog  bool // small snapshot and chunk sizes

	// Results seen by clients.
	acked         map[string]uint64
	ackedMax      uint64
	committed     []string // by seq-1
	leaders       map[uint64]string
	floors        map[uint64]uint64 // pending reads: newest acknowledged Seq at their start, by token
	bodies        map[uint64]string // pending writes, by token
	calls         map[uint64]func(pendingOutput, Answer)
	token         uint64
	confirms      int
	views         map[uint64]View
	wiped         int            // disks lost since the core last had its full redundancy; initially the limit
	highLatency   bool           // short election time-outs, near the test's delays, so that proposals compete
	repairFirst   bool           // no disk is lost before all machines are members again
	adjustOptions func(*Options) // adjusts the options of each process, if set
}

func newSim(seed uint64, n, seeds int, s FailureTolerance) *sim {
	r := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), survive: s, zones: 3, delay: 10 * ms,
		cuts: map[[2]string]time.Duration{}, acked: map[string]uint64{}, leaders: map[uint64]string{},
		floors: map[uint64]uint64{}, bodies: map[uint64]string{}, bootUntil: 5 * time.Second,
		views: map[uint64]View{}, calls: map[uint64]func(pendingOutput, Answer){},
		wiped: s.Nodes, // no disk is lost before the core had its full redundancy once
	}
	for i := range n {
		r.add(fmt.Sprintf("10.0.%d.1:7000", i), fmt.Sprint("z", i%r.zones))
	}
	for _, b := range r.nodes[:min(seeds, n)] {
		r.seeds = append(r.seeds, b.addr)
	}
	return r
}

func (s *sim) add(addr, zone string) *simNode {
	b := &simNode{addr: addr, zone: zone}
	s.nodes = append(s.nodes, b)
	return b
}

func (s *sim) after(d time.Duration, run func()) {
	s.n++
	heap.Push(&s.q, event{at: s.now + d, n: s.n, run: run})
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: %s", s.now, fmt.Sprintf(format, args...))
	}
}

func (s *sim) logf(format string, args ...any) {
	if s.trace {
		fmt.Printf("%10v %s\n", s.now, fmt.Sprintf(format, args...))
	}
}

// runUntil executes events up to a time, or until stop returns true, and reports whether stop did.
func (s *sim) runUntil(end time.Duration, stop func() bool) bool {
	for s.err == nil && len(s.q) > 0 && s.q[0].at <= end {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		e.run()
		if stop != nil && stop() {
			return true
		}
	}
	if s.now < end {
		s.now = end
	}
	return false
}

func (s *sim) options(b *simNode) Options {
	seeds := s.seeds
	if s.now >= s.bootUntil { // any three of the machines that aren't removed
		var there []string
		for _, b := range s.nodes {
			if !b.removed {
				there = append(there, b.addr)
			}
		}
		s.rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
		seeds = there[:min(3, len(there))]
	}
	o := Options{
		Self: Member{Addr: b.addr, Zone: b.zone, Region: "r"}, Tolerance: s.survive, Seeds: seeds,
		Bootstrap: s.now < s.bootUntil, HeartbeatInterval: 100 * ms, ElectionTimeout: 500 * ms, ElectionStagger: 150 * ms,
		WriteTimeout: 600 * ms, MemberTimeout: 3 * time.Second, Rand: s.rng.Uint64,
	}
	if s.highLatency {
		o.ElectionTimeout, o.ElectionStagger = 200*ms, 20*ms
	}
	if s.smallLog {
		o.SnapshotBytes, o.ChunkBytes = 20, 64
	}
	if s.adjustOptions != nil {
		s.adjustOptions(&o)
	}
	return o
}

func (s *sim) start(b *simNode) {
	if b.m != nil || b.removed {
		return
	}
	b.app = &logApp{err: &s.err}
	m, err := New(s.options(b), b.disk, b.app)
	if err != nil {
		s.fail("new %s: %v", b.addr, err)
		return
	}
	b.m, b.started, b.ticking, b.frozen, b.checked, b.checkedEpoch = m, s.now, -1, 0, 0, 0
	s.logf("start %s", b.addr)
	s.tick(b, b.incarnation)
}

// kill ends the process, or models a power loss of its machine. Some of the pending writes may reach the disk, in
// order.
func (s *sim) kill(b *simNode) {
	if b.m == nil {
		return
	}
	s.logf("kill %s", b.addr)
	if len(b.pendingOutputs) > 0 && s.rng.IntN(2) == 0 {
		for _, c := range b.pendingOutputs[:1+s.rng.IntN(len(b.pendingOutputs))] {
			save(&b.disk, c.out.Write)
		}
	}
	b.m, b.pendingOutputs, b.diskFree = nil, nil, s.now
	b.incarnation++
}

func (s *sim) clock(b *simNode) time.Duration { return s.now - b.started }

func (s *sim) tick(b *simNode, incarnation int) {
	if b.m == nil || b.incarnation != incarnation {
		return
	}
	if b.frozen > s.now {
		s.after(b.frozen-s.now, func() { s.tick(b, incarnation) })
		return
	}
	b.ticking = -1
	s.input(b, b.m.Tick(s.clock(b)))
}

// input processes the Output of an input and schedules the next tick.
func (s *sim) input(b *simNode, out Output) {
	st := b.m.Status()
	if v, ok := s.views[st.Epoch]; !ok {
		s.views[st.Epoch] = st.View
	} else if st.Epoch > b.checkedEpoch && !reflect.DeepEqual(v, st.View) {
		s.fail("two views are decided: %+v and %+v", v, st.View)
	}
	b.checkedEpoch = st.Epoch
	c := pendingOutput{out: out, epoch: st.Epoch, status: st, log: b.app.log}
	b.pendingOutputs = append(b.pendingOutputs, c)
	incarnation := b.incarnation
	var d time.Duration
	if !out.Write.Empty() {
		d = 1*ms + s.upTo(4*ms)
		if b.slow > s.now {
			d = 100*ms + s.upTo(2*time.Second)
		}
		if b.diskFree > s.now+time.Second {
			d = ms // pending writes are batched
		}
	}
	b.diskFree = max(b.diskFree, s.now) + d
	s.after(b.diskFree-s.now, func() { s.completeOutput(b, incarnation) })
	next := max(b.m.NextTick()+b.started, s.now+ms)
	if b.ticking < 0 || next < b.ticking {
		b.ticking = next
		s.after(next-s.now, func() {
			if b.ticking == next {
				s.tick(b, incarnation)
			}
		})
	}
}

func (s *sim) completeOutput(b *simNode, incarnation int) {
	if b.m == nil || b.incarnation != incarnation || len(b.pendingOutputs) == 0 {
		return
	}
	c := b.pendingOutputs[0]
	b.pendingOutputs = b.pendingOutputs[1:]
	save(&b.disk, c.out.Write)
	for seq := b.checked + 1; seq <= c.out.Committed; seq++ {
		if seq > uint64(len(c.log)) {
			s.fail("%s: %d committed, %d in the log", b.addr, seq, len(c.log))
			return
		}
		switch n := uint64(len(s.committed)); {
		case seq == n+1:
			s.committed = append(s.committed, c.log[seq-1])
		case seq > n+1:
			s.fail("%s: %d committed after %d", b.addr, seq, n)
			return
		case s.committed[seq-1] != c.log[seq-1]:
			s.fail("%s: change %d is %q and %q", b.addr, seq, s.committed[seq-1], c.log[seq-1])
			return
		}
	}
	b.checked = c.out.Committed
	for _, a := range c.out.Answer {
		s.handleAnswer(b, c, a)
	}
	for _, e := range c.out.Send {
		s.send(b.addr, e)
	}
}

func (s *sim) handleAnswer(b *simNode, c pendingOutput, a Answer) {
	switch a.Result {
	case Committed:
		who := fmt.Sprint(b.addr, " incarnation ", b.incarnation)
		if l, ok := s.leaders[c.epoch]; ok && l != who {
			s.fail("epoch %d: %s and %s commit", c.epoch, l, who)
		}
		s.leaders[c.epoch] = who
		body := s.bodies[a.Token]
		if uint64(len(s.committed)) < a.Seq || s.committed[a.Seq-1] != body {
			s.fail("%s: %q acknowledged as %d, which is a different change", b.addr, body, a.Seq)
		}
		s.acked[body] = a.Seq
		s.ackedMax = max(s.ackedMax, a.Seq)
	case Confirmed:
		s.confirms++
		if a.Seq < s.floors[a.Token] {
			s.fail("%s: read shows %d, %d was acknowledged before it began", b.addr, a.Seq, s.floors[a.Token])
		}
		if a.Seq > uint64(len(c.log)) {
			s.fail("%s: read of %d, %d in the log", b.addr, a.Seq, len(c.log))
		}
	}
	delete(s.floors, a.Token)
	delete(s.bodies, a.Token)
	if callback := s.calls[a.Token]; callback != nil {
		delete(s.calls, a.Token)
		callback(c, a)
	}
}

func (s *sim) send(from string, e Envelope) {
	body, err := e.Msg.MarshalMsg(nil)
	if err != nil {
		s.fail("encode: %v", err)
		return
	}
	times := 1
	if s.rng.Float64() < s.loss {
		times = 0
	}
	if s.rng.Float64() < s.dup {
		times++
	}
	for range times {
		d := 500*time.Microsecond + s.upTo(s.delay)
		if s.loss > 0 && s.rng.IntN(50) == 0 {
			d += s.upTo(3 * time.Second) // a late message
		}
		s.after(d, func() { s.deliver(from, e.To, body) })
	}
}

func (s *sim) deliver(from, to string, body []byte) {
	if s.cuts[[2]string{from, to}] > s.now {
		return
	}
	i := slices.IndexFunc(s.nodes, func(b *simNode) bool { return b.addr == to })
	if i < 0 || s.nodes[i].m == nil {
		return
	}
	b := s.nodes[i]
	if b.frozen > s.now {
		incarnation := b.incarnation
		s.after(b.frozen-s.now+s.upTo(ms), func() {
			if b.incarnation == incarnation {
				s.deliver(from, to, body)
			}
		})
		return
	}
	var msg Message
	if _, err := msg.UnmarshalMsg(body); err != nil {
		s.fail("decode: %v", err)
		return
	}
	s.input(b, b.m.Step(s.clock(b), from, &msg))
}

func (s *sim) live() []*simNode {
	var l []*simNode
	for _, b := range s.nodes {
		if b.m != nil && b.frozen <= s.now {
			l = append(l, b)
		}
	}
	return l
}

// write proposes a change at a random machine, mostly a primary.
func (s *sim) write() {
	if b := s.target(); b != nil {
		s.writeTo(b)
	}
}

func (s *sim) writeTo(b *simNode) {
	s.token++
	t := s.token
	s.bodies[t] = fmt.Sprint("w", t)
	s.input(b, b.m.Propose(s.clock(b), t, []byte(s.bodies[t])))
}

func (s *sim) read() {
	b := s.target()
	if b == nil {
		return
	}
	s.token++
	s.floors[s.token] = s.ackedMax
	s.input(b, b.m.Read(s.clock(b), s.token))
}

func (s *sim) target() *simNode {
	l := s.live()
	if len(l) == 0 {
		return nil
	}
	lead := slices.DeleteFunc(slices.Clone(l), func(b *simNode) bool { return b.m.Status().Role != Primary })
	if len(lead) > 0 && s.rng.IntN(10) > 0 {
		l = lead
	}
	return l[s.rng.IntN(len(l))]
}

// leader returns the ready primary with the highest epoch, nil if there is none.
func (s *sim) leader() *simNode {
	var l *simNode
	for _, b := range s.live() {
		if st := b.m.Status(); st.Role == Primary && st.Ready && (l == nil || st.Epoch > l.m.Status().Epoch) {
			l = b
		}
	}
	return l
}

// healthyPrimary returns a ready primary whose view has the required number of replicas in enough zones, whose backups
// all still exist, and which keeps a majority after the largest tolerated loss among the members that still exist; nil
// if there is none.
func (s *sim) healthyPrimary() *simNode {
	ids := map[ID]bool{}
	for _, b := range s.nodes {
		if !b.removed {
			ids[b.disk.Identity.ID] = true
		}
	}
	for _, b := range s.live() {
		st := b.m.Status()
		if st.Role != Primary || !st.Ready || len(st.View.Backups) < min(s.survive.Replicas(), len(s.nodes))-1 {
			continue
		}
		if len(st.View.Members) < 2*s.survive.Replicas()-1 {
			continue
		}
		zones := map[string]bool{b.zone: true}
		for _, id := range st.View.Backups {
			o, _ := st.View.member(id)
			zones[o.Zone] = true
		}
		if len(zones) <= s.survive.Zones {
			continue
		}
		there := 0
		for _, o := range st.View.Members {
			if ids[o.ID] {
				there++
			}
		}
		most := s.survive.Nodes // largest tolerated loss; a zone has an equal share of all machines, rounded up
		if s.survive.Zones > 0 {
			most = max(most, (len(s.nodes)+s.zones-1)/s.zones*s.survive.Zones)
		}
		if there-most >= st.View.quorum() && !slices.ContainsFunc(st.View.Backups, func(id ID) bool { return !ids[id] }) {
			return b
		}
	}
	return nil
}

// converged reports whether all machines are members of the view of a healthy primary and ready in it.
func (s *sim) converged() bool {
	p := s.healthyPrimary()
	if p == nil {
		return false
	}
	st := p.m.Status()
	n := 0
	for _, b := range s.nodes {
		if b.removed {
			continue
		}
		n++
		if b.m == nil || !b.m.Status().Ready || b.m.Status().Epoch != st.Epoch || !st.View.has(b.disk.Identity.ID) {
			return false
		}
	}
	return n/2 == len(st.View.Members)/2 // a permanently lost member may stay if it doesn't raise the quorum
}
