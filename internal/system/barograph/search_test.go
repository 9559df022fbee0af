package barograph

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The search runs small cores against a network and disks that may do what networks and disks do, breadth first, and
// holds the rules in every state that can be reached within the budgets. A message that was sent stays in flight for
// good: it may come at any time, many times or never, so that loss, doubling and overtaking are all in. What is to be
// on disk is there before anything is sent, so a crash with writes pending equals one before their inputs. A step of
// a machine depends on its cell and the message alone and is worked out once.

// budget is what may still happen.
type budget struct {
	writes, reads uint8
	beats         uint8 // ticks of who leads
	waits         uint8 // a machine's time passes until it does something by itself
	crashes       uint8 // restarts with the disk
	wipes         uint8 // restarts with an empty disk
	starts        uint8 // machines that haven't started yet, in their order
}

// world is one state.
type world struct {
	cells [4]uint32
	ghost uint32
	left  budget
	net   []uint32 // messages in flight, sorted
}

// ghost is what clients and witnesses of all have seen.
type ghost struct {
	committed []string
	acked     []ack
	leaders   []leader
	views     []string // decided, by epoch
	reads     []floor  // under way
	writes    uint64   // begun
	asked     uint64   // reads begun
	wipes     int
}

type ack struct{ seq, epoch uint64 }

type leader struct {
	epoch uint64
	who   int
}

type floor struct{ token, seq uint64 }

type parcel struct {
	from, to int
	msg      Message
	text     string
}

// effect is what a step led to.
type effect struct {
	cell      uint32
	sent      []uint32
	committed uint64
	log       []string
	answers   []Answer
	breach    string
}

type stepKind uint8

const (
	stepDeliver stepKind = iota
	stepWrite
	stepRead
	stepBeat
	stepWait
	stepCrash
	stepWipe
	stepStart
)

var stepNames = [...]string{"gets", "is to write", "is to read", "beats", "waits", "crashes and restarts", "loses its disk and restarts", "starts"}

// step is one thing that happens to a machine; arg is a message or a token.
type step struct {
	kind stepKind
	i    uint8
	arg  uint32
}

type stepOf struct {
	step
	cell uint32
}

// explorer is one search.
type explorer struct {
	n       int
	survive Survive
	small   bool // snapshots at every change
	limit   int  // states
	addrs   []string

	err      error
	cells    []*cell
	cellIDs  map[string]uint32
	parcels  []parcel
	msgIDs   map[string]uint32
	ghosts   []ghost
	ghostIDs map[string]uint32
	effects  map[stepOf]*effect // of all steps but deliveries
	gets     [][]*effect        // of deliveries, by cell and message
	todo     []uint32
	views    map[string]View // by their words
}

func newExplorer(n int, sv Survive, small bool, limit int) *explorer {
	x := &explorer{
		n: n, survive: sv, small: small, limit: limit, cellIDs: map[string]uint32{}, msgIDs: map[string]uint32{},
		ghostIDs: map[string]uint32{}, effects: map[stepOf]*effect{}, ghosts: []ghost{{}}, views: map[string]View{},
	}
	for i := range n {
		x.addrs = append(x.addrs, fmt.Sprintf("10.0.%d.1:7000", i))
	}
	return x
}

func (x *explorer) options(i int, bootstrap bool) Options {
	o := Options{
		Self: Member{Addr: x.addrs[i], Zone: fmt.Sprint("z", i), Region: "r"}, Survive: x.survive, Bootstrap: bootstrap,
		BeatEvery: 100 * ms, SuspectAfter: 500 * ms, StaggerEach: 150 * ms, WriteWithin: 600 * ms, ForgetAfter: 3 * time.Second,
		Rand: func() uint64 { return 0 },
	}
	o.Seeds = x.addrs
	if x.small {
		o.SnapshotBytes = 1
	}
	return o
}

// boot makes a cell's next process from its disk and lets it begin.
func (x *explorer) boot(c *cell, bootstrap bool) Output {
	c.app = &logApp{err: &x.err}
	m, err := New(x.options(c.i, bootstrap), c.disk, c.app)
	if err != nil {
		if x.err == nil {
			x.err = err
		}
		return Output{}
	}
	c.m = m
	c.draw()
	return m.Tick(time.Second)
}

func (x *explorer) internCell(c *cell) uint32 {
	k := c.key()
	id, ok := x.cellIDs[k]
	if !ok {
		id = uint32(len(x.cells))
		x.cells = append(x.cells, c)
		x.views[c.view] = c.status.View
		x.cellIDs[k] = id
	}
	return id
}

func (x *explorer) internMsg(from int, e Envelope) (uint32, bool) {
	to := slices.Index(x.addrs, e.To)
	if to < 0 {
		return 0, false
	}
	body, err := e.Msg.MarshalMsg(nil)
	if err != nil {
		x.err = err
		return 0, false
	}
	k := string(append([]byte{byte(from), byte(to)}, body...))
	id, ok := x.msgIDs[k]
	if !ok {
		p := parcel{from: from, to: to}
		if _, err := p.msg.UnmarshalMsg(body); err != nil {
			x.err = err
		}
		m := &p.msg
		p.text = fmt.Sprintf("%s of %d: epoch %d ballot %d/%.8s seq %d round %d step %v stopped %v",
			kindNames[m.Kind], from, m.Epoch, m.Ballot.N, m.Ballot.ID, m.Seq, m.Round, m.Step, m.Stopped)
		id = uint32(len(x.parcels))
		x.parcels = append(x.parcels, p)
		x.msgIDs[k] = id
	}
	return id, true
}

var kindNames = map[Kind]string{
	KindHello: "hello", KindView: "view", KindBeat: "beat", KindBeatAck: "ack", KindAppend: "append",
	KindSnapshot: "snapshot", KindStage: "stage", KindStaged: "staged", KindPrepare: "prepare", KindPromise: "promise",
	KindAccept: "accept", KindAccepted: "accepted", KindRefuse: "refuse",
}

func (x *explorer) internGhost(g ghost) uint32 {
	k := fmt.Sprint(g)
	id, ok := x.ghostIDs[k]
	if !ok {
		id = uint32(len(x.ghosts))
		x.ghosts = append(x.ghosts, g)
		x.ghostIDs[k] = id
	}
	return id
}

// play works out what a step does to a cell; nil: nothing.
func (x *explorer) play(id uint32, s step) *effect {
	k := stepOf{s, id}
	if s.kind == stepDeliver {
		for len(x.gets) <= int(id) {
			x.gets = append(x.gets, nil)
		}
		if g := x.gets[id]; int(s.arg) < len(g) && g[s.arg] != nil {
			return g[s.arg]
		}
	} else if e, ok := x.effects[k]; ok {
		return e
	}
	old := x.cells[id]
	c := old.grow(&x.err)
	before := c.m.id.ID
	was := x.cellIDs[old.key()]
	out, ok := x.input(c, s)
	var e *effect
	if ok {
		e = &effect{committed: out.Committed, answers: out.Answer}
		save(&c.disk, out.Write)
		c.done(before)
		e.log = slices.Clone(c.app.log)
		e.cell = x.internCell(c)
		for _, env := range out.Send {
			if e.breach == "" {
				e.breach = voteBreach(c, &env.Msg)
			}
			if m, ok := x.internMsg(c.i, env); ok && !slices.Contains(e.sent, m) {
				e.sent = append(e.sent, m)
			}
		}
		if x.err != nil && e.breach == "" {
			e.breach = x.err.Error()
		}
	}
	if again, ok := x.cellIDs[old.key()]; !ok || again != was {
		panic("a step changed the cell it began from")
	}
	if s.kind != stepDeliver {
		x.effects[k] = e
		return e
	}
	g := x.gets[id]
	if int(s.arg) >= len(g) {
		g = append(g, make([]*effect, int(s.arg)+1-len(g))...)
		x.gets[id] = g
	}
	g[s.arg] = e
	return e
}

// voteBreach tells when a machine that lost its disk votes as who it was.
func voteBreach(c *cell, m *Message) string {
	switch m.Kind {
	case KindPrepare, KindPromise, KindAccept, KindAccepted:
		if slices.Contains(c.wiped, m.From.ID) || m.Founder && len(c.wiped) > 0 {
			return "a machine votes as who it was before its disk was lost"
		}
	}
	return ""
}

func (x *explorer) input(c *cell, s step) (Output, bool) {
	m := c.m
	switch s.kind {
	case stepDeliver:
		p := &x.parcels[s.arg]
		return m.Receive(m.now, x.addrs[p.from], &p.msg), true
	case stepWrite:
		if !m.led {
			return Output{}, false
		}
		return m.Propose(m.now, uint64(s.arg), fmt.Appendf(nil, "w%d", s.arg)), true
	case stepRead:
		if !m.led {
			return Output{}, false
		}
		return m.Read(m.now, uint64(s.arg)), true
	case stepBeat:
		if !m.leading() {
			return Output{}, false
		}
		return m.Tick(max(m.Next(), m.now+1)), true
	case stepWait: // what is sent meanwhile is lost, but for the last
		mark := func() string {
			ph := -1
			if m.cand != nil {
				ph = int(m.cand.phase)
			}
			return fmt.Sprint(m.view.Epoch, ph, m.stopped(), m.vote.Promised)
		}
		first := mark()
		for range 60 {
			out := m.Tick(max(m.Next(), m.now+1))
			if mark() != first {
				return out, true
			}
			save(&c.disk, out.Write)
		}
		return Output{}, false
	case stepCrash, stepWipe, stepStart:
		if s.kind == stepWipe {
			c.wiped = append(slices.Clip(c.wiped), m.id.ID)
			c.disk = State{}
		}
		if s.kind != stepStart {
			c.life++
		}
		return x.boot(c, s.kind == stepStart), true
	}
	return Output{}, false
}

// apply is the state after a step; false: the step does nothing.
func (x *explorer) apply(w *world, s step) (world, string, bool) {
	e := x.play(w.cells[s.i], s)
	if e == nil {
		return world{}, "", false
	}
	n := *w
	n.cells[s.i] = e.cell
	fresh := 0
	for _, m := range e.sent {
		if _, ok := slices.BinarySearch(w.net, m); !ok {
			fresh++
		}
	}
	if fresh > 0 {
		n.net = append(slices.Grow(slices.Clone(w.net), fresh), e.sent...)
		slices.Sort(n.net)
		n.net = slices.Compact(n.net)
	}
	breach := e.breach
	g := x.ghosts[w.ghost]
	seen := false
	switch s.kind {
	case stepWrite:
		g.writes++
		seen = true
	case stepRead:
		g.asked++
		g.reads = append(slices.Clip(g.reads), floor{uint64(s.arg), g.top()})
		seen = true
	case stepWipe:
		g.wipes++
		seen = true
	}
	if b := g.learn(x.cells[e.cell], e, &seen); breach == "" {
		breach = b
	}
	if seen {
		n.ghost = x.internGhost(g)
	}
	if breach == "" && (seen || x.cells[e.cell] != x.cells[w.cells[s.i]]) {
		breach = x.rules(&n)
	}
	if n.cells == w.cells && n.ghost == w.ghost && fresh == 0 && breach == "" {
		return world{}, "", false
	}
	if b := x.close(&n, int(s.i), e.sent); breach == "" {
		breach = b
	}
	return n, breach, true
}

// close adds what deliveries that leave their machine as it is send, as such a step takes no other away, and drops the
// messages that can't do anything any more: those of an epoch that their receiver has left, and those of a ballot below the
// one it has promised. Only what goes to machine i, and what is new, can have more to say than before.
func (x *explorer) close(w *world, i int, sent []uint32) (breach string) {
	todo := x.todo[:0]
	for _, m := range w.net {
		if x.parcels[m].to == i {
			todo = append(todo, m)
		}
	}
	for _, m := range sent {
		if x.parcels[m].to != i {
			todo = append(todo, m)
		}
	}
	own, past := false, false // the net is ours to change; some of it is past
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := &x.parcels[m]
		e := x.play(w.cells[p.to], step{stepDeliver, uint8(p.to), m})
		if e.breach != "" {
			breach = e.breach
		}
		past = past || x.inert(w, m)
		if e.cell != w.cells[p.to] || len(e.answers) > 0 {
			continue
		}
		for _, f := range e.sent {
			at, ok := slices.BinarySearch(w.net, f)
			if ok || x.inert(w, f) && len(x.play(w.cells[x.parcels[f].to], step{stepDeliver, uint8(x.parcels[f].to), f}).sent) == 0 {
				continue
			}
			if !own {
				w.net, own = slices.Clone(w.net), true
			}
			w.net = slices.Insert(w.net, at, f)
			todo = append(todo, f)
		}
	}
	x.todo = todo
	if past {
		if !own {
			w.net = slices.Clone(w.net)
		}
		w.net = slices.DeleteFunc(w.net, func(m uint32) bool { return x.inert(w, m) })
	}
	return breach
}

// inert tells whether a message is past: its epoch or ballot is, and it does nothing to its receiver as that stands. What it
// was answered with is in flight already.
func (x *explorer) inert(w *world, m uint32) bool {
	p := &x.parcels[m]
	id := w.cells[p.to]
	c := x.cells[id].m
	if w.left.wipes > 0 || p.msg.Kind == KindHello || p.msg.Epoch > c.view.Epoch {
		return false
	}
	past := p.msg.Epoch < c.view.Epoch
	switch p.msg.Kind {
	case KindPrepare, KindPromise, KindAccept, KindAccepted, KindRefuse:
		past = past || p.msg.Ballot.less(c.vote.Promised)
	}
	return past && x.play(id, step{stepDeliver, uint8(p.to), m}).cell == id
}

// top is the newest change that was acknowledged.
func (g *ghost) top() (seq uint64) {
	for _, a := range g.acked {
		seq = max(seq, a.seq)
	}
	return seq
}

// learn takes in what a step showed.
func (g *ghost) learn(c *cell, e *effect, seen *bool) string {
	epoch := c.status.Epoch
	if epoch == 0 { // who has not joined knows the seeds or nobody
		return ""
	}
	for uint64(len(g.views)) <= epoch {
		g.views = append(slices.Clip(g.views), "")
		*seen = true
	}
	switch v := g.views[epoch]; {
	case v == "":
		g.views = slices.Clone(g.views)
		g.views[epoch] = c.view
		*seen = true
	case v != c.view:
		return fmt.Sprintf("two views of epoch %d are decided", epoch)
	}
	for i := range e.committed {
		switch {
		case i >= uint64(len(e.log)):
			return fmt.Sprintf("%d committed, %d in the record", e.committed, len(e.log))
		case i >= uint64(len(g.committed)):
			g.committed = append(slices.Clip(g.committed), e.log[i])
			*seen = true
		case g.committed[i] != e.log[i]:
			return fmt.Sprintf("a fork: change %d is %s and %s", i+1, g.committed[i], e.log[i])
		}
	}
	for _, a := range e.answers {
		*seen = true
		switch a.Result {
		case Committed:
			who := c.i*100 + c.life
			i := slices.IndexFunc(g.leaders, func(l leader) bool { return l.epoch == epoch })
			if i < 0 {
				g.leaders = append(slices.Clip(g.leaders), leader{epoch, who})
			} else if g.leaders[i].who != who {
				return fmt.Sprintf("two acknowledge in epoch %d", epoch)
			}
			if a.Seq > uint64(len(g.committed)) || g.committed[a.Seq-1] != fmt.Sprint("w", a.Token) {
				return fmt.Sprintf("w%d is acknowledged as %d, which is another or not committed", a.Token, a.Seq)
			}
			g.acked = append(slices.Clip(g.acked), ack{a.Seq, epoch})
		case Confirmed:
			for _, f := range g.reads {
				if f.token == a.Token && a.Seq < f.seq {
					return fmt.Sprintf("a read shows %d, older than the acknowledged %d", a.Seq, f.seq)
				}
			}
			if a.Seq > uint64(len(e.log)) {
				return "a read shows more than there is"
			}
		}
		g.reads = slices.DeleteFunc(slices.Clone(g.reads), func(f floor) bool { return f.token == a.Token })
	}
	return ""
}

// rules are those on whole states.
func (x *explorer) rules(w *world) string {
	g := &x.ghosts[w.ghost]
	for _, a := range g.acked {
		disks := 0
		body := g.committed[a.seq-1]
		has := func(log []string) bool { return uint64(len(log)) >= a.seq && log[a.seq-1] == body }
		for i := range x.n {
			c := x.cells[w.cells[i]]
			if has(c.durable) {
				disks++
			} else if c.holds >= a.epoch {
				return fmt.Sprintf("%d holds the record of epoch %d without %s, acknowledged in %d", i, c.holds, body, a.epoch)
			}
			leads := c.status.Role == Primary && (c.status.Epoch > a.epoch || c.status.Epoch == a.epoch && c.status.Ready)
			if leads && !has(c.app.log) {
				return fmt.Sprintf("%d leads epoch %d without %s, acknowledged in %d", i, c.status.Epoch, body, a.epoch)
			}
		}
		if disks < x.survive.Copies()-g.wipes {
			return fmt.Sprintf("%s was acknowledged and is on %d disks after %d were lost", body, disks, g.wipes)
		}
	}
	newest := uint64(len(g.views)) - 1
	if len(g.views) == 0 || g.views[newest] == "" {
		return ""
	}
	v, disks := x.views[g.views[newest]], 0
	for i := range x.n {
		d := &x.cells[w.cells[i]].disk
		whole := d.Standing.RecordEpoch == d.View.Epoch && (d.View.Epoch > 0 || d.Identity.Founder)
		if v.rank(d.Identity.ID) >= 0 && whole && d.View.Epoch+1 >= newest {
			disks++
		}
	}
	if disks < x.survive.Copies()-g.wipes {
		return fmt.Sprintf("the record of epoch %d is on %d disks after %d were lost", newest, disks, g.wipes)
	}
	return ""
}

// steps lists what may happen next.
func (x *explorer) steps(w *world, yield func(step, budget)) {
	for _, m := range w.net {
		yield(step{stepDeliver, uint8(x.parcels[m].to), m}, w.left)
	}
	g := &x.ghosts[w.ghost]
	for i := range uint8(x.n) {
		l := w.left
		if int(i) >= x.n-int(l.starts) {
			continue
		}
		spend := func(n *uint8, k stepKind, arg uint64) {
			if *n > 0 {
				*n--
				yield(step{k, i, uint32(arg)}, l)
				*n++
			}
		}
		spend(&l.writes, stepWrite, g.writes+1)
		spend(&l.reads, stepRead, 100+g.asked)
		spend(&l.beats, stepBeat, 0)
		spend(&l.waits, stepWait, 0)
		spend(&l.crashes, stepCrash, 0)
		spend(&l.wipes, stepWipe, 0)
	}
	if l := w.left; l.starts > 0 {
		i := uint8(x.n) - l.starts
		l.starts--
		yield(step{stepStart, i, 0}, l)
	}
}

func (x *explorer) hash(w *world, buf []byte) (uint64, []byte) {
	buf = buf[:0]
	for _, c := range w.cells {
		buf = binary.LittleEndian.AppendUint32(buf, c)
	}
	l := &w.left
	buf = binary.LittleEndian.AppendUint32(buf, w.ghost)
	buf = append(buf, l.writes, l.reads, l.beats, l.waits, l.crashes, l.wipes, l.starts)
	for _, m := range w.net {
		buf = binary.LittleEndian.AppendUint32(buf, m)
	}
	return xxhash.Sum64(buf), buf
}

// found is what a search came to.
type found struct {
	states, steps, cells, msgs int
	depth                      int    // all states up to so many steps were seen
	whole                      bool   // there are no more within the budgets
	led                        uint64 // newest epoch in which some primary was ready
	acked                      uint64 // newest epoch in which a change was acknowledged
	joined                     bool   // a machine with a new identity held the record
	took                       time.Duration
	breach                     string
	trace                      []string
}

func (f *found) String() string {
	all := fmt.Sprintf("all up to %d steps", f.depth)
	if f.whole {
		all = fmt.Sprintf("all there are, %d steps deep", f.depth)
	}
	return fmt.Sprintf("%d states (%s), %d steps, %d cells, %d messages, led up to epoch %d, acknowledged up to %d, %v",
		f.states, all, f.steps, f.cells, f.msgs, f.led, f.acked, f.took.Round(time.Millisecond))
}

// run searches from first on.
func (x *explorer) run(first world) (res found) {
	began := time.Now()
	type origin struct {
		parent uint32
		by     step
	}
	var buf []byte
	h, buf := x.hash(&first, buf)
	known := map[uint64]struct{}{h: {}}
	origins := []origin{{}}
	front, next := []world{first}, []world(nil)
	at := uint32(0)
	defer func() {
		res.states, res.cells, res.msgs, res.took = len(origins), len(x.cells), len(x.parcels), time.Since(began)
		for _, c := range x.cells {
			if c.status.Role == Primary && c.status.Ready {
				res.led = max(res.led, c.status.Epoch)
			}
			res.joined = res.joined || len(c.wiped) > 0 && c.holds > 0
		}
		for _, g := range x.ghosts {
			for _, a := range g.acked {
				res.acked = max(res.acked, a.epoch)
			}
		}
	}()
	for len(front) > 0 {
		for i := range front {
			w := front[i]
			front[i] = world{}
			x.steps(&w, func(s step, left budget) {
				if res.breach != "" {
					return
				}
				n, breach, ok := x.apply(&w, s)
				if !ok {
					return
				}
				res.steps++
				n.left = left
				if breach != "" {
					res.breach = breach
					res.trace = []string{x.word(s)}
					for o := at; o != 0; o = origins[o].parent {
						res.trace = append(res.trace, x.word(origins[o].by))
					}
					slices.Reverse(res.trace)
					return
				}
				if h, buf = x.hash(&n, buf); len(origins) < x.limit {
					if _, ok := known[h]; !ok {
						known[h] = struct{}{}
						origins = append(origins, origin{at, s})
						next = append(next, n)
					}
				}
			})
			if res.breach != "" || len(origins) >= x.limit {
				return res
			}
			at++
		}
		front, next = next, front[:0]
		if len(front) > 0 {
			res.depth++
		}
	}
	res.whole = true
	return res
}

func (x *explorer) word(s step) string {
	t := fmt.Sprintf("%d %s", s.i, stepNames[s.kind])
	switch s.kind {
	case stepDeliver:
		t += " " + x.parcels[s.arg].text
	case stepWrite, stepRead:
		t += fmt.Sprint(" ", s.arg)
	}
	return strings.TrimSpace(t)
}

// calmWorld is a settled core with one acknowledged change and nothing in flight.
func (x *explorer) calmWorld() (world, error) {
	w := x.emptyWorld(0)
	now := time.Second
	wrote := false
	var queue []uint32
	take := func(s step) {
		e := x.play(w.cells[s.i], s)
		if e == nil {
			return
		}
		w.cells[s.i] = e.cell
		queue = append(queue, e.sent...)
		g := x.ghosts[w.ghost]
		seen := false
		if b := g.learn(x.cells[e.cell], e, &seen); b != "" && x.err == nil {
			x.err = fmt.Errorf("before the search: %s", b)
		}
		w.ghost = x.internGhost(g)
	}
	for i := range x.n {
		take(step{kind: stepStart, i: uint8(i)})
	}
	for range 2000 {
		for len(queue) > 0 {
			m := queue[0]
			queue = queue[1:]
			to := x.parcels[m].to
			c := x.cells[w.cells[to]].grow(&x.err) // clocks go together here
			c.m.now = max(c.m.now, now)
			c.done(c.m.id.ID)
			w.cells[to] = x.internCell(c)
			take(step{stepDeliver, uint8(to), m})
		}
		ready, lead := 0, -1
		for i := range x.n {
			st := x.cells[w.cells[i]].status
			if st.Ready && len(st.View.Members) == x.n && len(st.View.Backups) == x.survive.Copies()-1 {
				ready++
				if st.Role == Primary {
					lead = i
				}
			}
		}
		g := &x.ghosts[w.ghost]
		if ready == x.n && lead >= 0 {
			if !wrote {
				wrote = true
				g2 := *g
				g2.writes++
				w.ghost = x.internGhost(g2)
				take(step{stepWrite, uint8(lead), 1})
				continue
			}
			known := 0
			for i := range x.n {
				if st := x.cells[w.cells[i]].status; st.Role == Witness || st.Committed == 1 {
					known++
				}
			}
			if len(g.acked) == 1 && known == x.n {
				return w, x.err
			}
		}
		i := 0
		for j := range x.n {
			if x.cells[w.cells[j]].m.Next() < x.cells[w.cells[i]].m.Next() {
				i = j
			}
		}
		now = max(now+1, x.cells[w.cells[i]].m.Next())
		c := x.cells[w.cells[i]].grow(&x.err)
		before := c.m.id.ID
		out := c.m.Tick(now)
		save(&c.disk, out.Write)
		c.done(before)
		w.cells[i] = x.internCell(c)
		for _, e := range out.Send {
			if m, ok := x.internMsg(i, e); ok {
				queue = append(queue, m)
			}
		}
	}
	return w, fmt.Errorf("the core didn't settle: %v", x.err)
}

// emptyWorld has machines that haven't started.
func (x *explorer) emptyWorld(starts int) world {
	w := world{left: budget{starts: uint8(starts)}}
	for i := range x.n {
		c := &cell{i: i, app: &logApp{err: &x.err}}
		m, err := New(x.options(i, true), State{}, c.app)
		if err != nil {
			x.err = err
			return w
		}
		c.m = m
		c.draw()
		c.done("")
		w.cells[i] = x.internCell(c)
	}
	return w
}
