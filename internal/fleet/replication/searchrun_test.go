package replication

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// steps calls yield for each step that may happen next, with the budget left after it.
func (x *explorer) steps(w *modelState, yield func(step, budget)) {
	for _, m := range w.net {
		yield(step{stepDeliver, uint8(x.packets[m].to), m}, w.left)
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
		if x.judged {
			spend(&l.writes, stepRetry, orderArg(g.writes+1, g.lastAcked(), g.asked))
		} else {
			spend(&l.writes, stepWrite, g.writes+1)
		}
		spend(&l.reads, stepRead, 100+g.asked)
		spend(&l.heartbeats, stepHeartbeat, 0)
		spend(&l.waits, stepWait, 0)
		spend(&l.crashes, stepCrash, 0)
		if g.wipes < x.survive.Nodes {
			spend(&l.wipes, stepWipe, 0)
		}
		spend(&l.freezes, stepFreeze, 0)
		spend(&l.leaves, stepLeave, 0)
		for asked := range g.bases {
			spend(&l.retries, stepRetry, orderArg(uint64(asked)+1, g.bases[asked], g.asked))
		}
	}
	if l := w.left; l.passes > 0 {
		l.passes--
		for _, f := range x.faults(&w.left) {
			yield(step{stepPass, f.i, f.arg()}, l)
		}
	}
	if l := w.left; l.starts > 0 {
		i := uint8(x.n) - l.starts
		l.starts--
		yield(step{stepStart, i, 0}, l)
	}
}

func (x *explorer) hash(w *modelState, buf []byte) (uint64, []byte) {
	buf = buf[:0]
	for _, c := range w.cells {
		buf = binary.LittleEndian.AppendUint32(buf, c)
	}
	l := &w.left
	buf = binary.LittleEndian.AppendUint32(buf, w.ghost)
	buf = append(
		buf, l.writes, l.reads, l.heartbeats, l.waits, l.crashes, l.wipes, l.starts, l.retries, l.freezes, l.passes,
		l.leaves,
	)
	for _, m := range w.net {
		buf = binary.LittleEndian.AppendUint32(buf, m)
	}
	return xxhash.Sum64(buf), buf
}

// searchResult is the result of a search.
type searchResult struct {
	states, steps, cells, msgs int
	depth                      int           // all states up to this number of steps were visited
	exhausted                  bool          // all states within the budgets were visited
	led                        uint64        // newest epoch in which a primary was ready
	acked                      uint64        // newest epoch in which a change was acknowledged
	joined                     bool          // a machine with a new identity held the record
	refused                    bool          // a change was refused
	released                   bool          // a process that shuts down was released
	fewest, most               int           // members of a view
	wipes                      int           // disks lost on one path
	livenessRuns               int           // sets of cells from which liveness was checked
	slowest                    time.Duration // longest time to an acknowledgement without further faults
	took                       time.Duration
	violation                  string
	trace                      []string
}

func (f *searchResult) String() string {
	all := fmt.Sprintf("complete up to %d steps", f.depth)
	if f.exhausted {
		all = fmt.Sprintf("exhausted, %d steps deep", f.depth)
	}
	return fmt.Sprintf("%d states (%s), %d steps, %d cells, %d messages, led up to epoch %d, acknowledged up to %d, "+
		"%d to %d members, %d disks lost, liveness: acknowledged within %v (%d runs), %v",
		f.states, all, f.steps, f.cells, f.msgs, f.led, f.acked, f.fewest, f.most, f.wipes, f.slowest, f.livenessRuns,
		f.took.Round(time.Millisecond))
}

// run searches from first on.
func (x *explorer) run(first modelState) (res searchResult) {
	began := time.Now()
	type origin struct {
		parent uint32
		by     step
	}
	var buf []byte
	h, buf := x.hash(&first, buf)
	known := map[uint64]struct{}{h: {}}
	origins := []origin{{}}
	front, next := []modelState{first}, []modelState(nil)
	at := uint32(0)
	defer func() {
		res.states, res.took = len(origins), time.Since(began)
		x.summarize(&res)
	}()
	for len(front) > 0 {
		for i := range front {
			w := front[i]
			front[i] = modelState{}
			x.steps(&w, func(s step, left budget) {
				if res.violation != "" {
					return
				}
				n, violation, ok := x.apply(&w, s)
				if !ok {
					return
				}
				res.steps++
				n.left = left
				if violation != "" {
					res.violation = violation
					res.trace = []string{x.describe(s)}
					for o := at; o != 0; o = origins[o].parent {
						res.trace = append(res.trace, x.describe(origins[o].by))
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
			if res.violation != "" || len(origins) >= x.limit {
				return res
			}
			at++
		}
		front, next = next, front[:0]
		if len(front) > 0 {
			res.depth++
		}
	}
	res.exhausted = true
	return res
}

// summarize fills in the result from all cells, views and ghosts.
func (x *explorer) summarize(res *searchResult) {
	res.cells, res.msgs = len(x.cells), len(x.packets)
	for _, c := range x.cells {
		res.released = res.released || c.status.Released
		if c.status.Role == Primary && c.status.Ready {
			res.led = max(res.led, c.status.Epoch)
		}
		res.joined = res.joined || len(c.wiped) > 0 && c.heldEpoch > 0
	}
	for _, v := range x.views {
		if v.Epoch == 0 {
			continue
		}
		if res.fewest == 0 || len(v.Members) < res.fewest {
			res.fewest = len(v.Members)
		}
		res.most = max(res.most, len(v.Members))
	}
	for _, took := range x.livenessRuns {
		res.slowest, res.livenessRuns = max(res.slowest, took), res.livenessRuns+1
	}
	res.livenessRuns += x.lateRuns
	res.slowest = max(res.slowest, x.slowestLate)
	for _, g := range x.ghosts {
		res.refused = res.refused || len(g.refused) > 0
		res.wipes = max(res.wipes, g.allWipes)
		for _, a := range g.acked {
			res.acked = max(res.acked, a.epoch)
		}
	}
}

func (x *explorer) describe(s step) string {
	t := fmt.Sprintf("%d %s", s.i, stepNames[s.kind])
	switch s.kind {
	case stepDeliver:
		t += " " + x.packets[s.arg].text
	case stepWrite, stepRead, stepRetry:
		t += fmt.Sprint(" ", s.arg)
	case stepPass:
		t = fmt.Sprintf("%s %v", stepNames[s.kind], faultOf(s))
	}
	return strings.TrimSpace(t)
}

// starter runs a core from its bootstrap on, one message or tick after the other, with one clock for all machines.
type starter struct {
	x     *explorer
	w     modelState
	now   time.Duration
	queue []uint32 // messages in flight
}

// take executes a step and updates the ghost variables.
func (r *starter) take(s step) {
	x := r.x
	e := x.execute(r.w.cells[s.i], s)
	if e == nil {
		return
	}
	r.w.cells[s.i] = e.cell
	r.queue = append(r.queue, e.sent...)
	g := x.ghosts[r.w.ghost]
	seen := false
	if b := g.learn(&e.sighting, &seen); b != "" && x.err == nil {
		x.err = fmt.Errorf("before the search: %s", b)
	}
	r.w.ghost = x.internGhost(g)
}

// deliverAll delivers all messages in flight, including those sent meanwhile.
func (r *starter) deliverAll() {
	x := r.x
	for len(r.queue) > 0 {
		m := r.queue[0]
		r.queue = r.queue[1:]
		to := x.packets[m].to
		c := x.cells[r.w.cells[to]].clone(&x.err) // all machines share one clock here
		c.m.now = max(c.m.now, r.now)
		c.update(c.m.identity.ID)
		r.w.cells[to] = x.internCell(c)
		r.take(step{stepDeliver, uint8(to), m})
	}
}

// primary returns the index of the primary, -1 while not all founders are ready members of a complete view.
func (r *starter) primary() int {
	x := r.x
	ready, primary := 0, -1
	for i := range x.founders {
		st := x.cells[r.w.cells[i]].status
		if st.Ready && len(st.View.Members) == x.founders && len(st.View.Backups) == x.survive.Replicas()-1 {
			ready++
			if st.Role == Primary {
				primary = i
			}
		}
	}
	if ready != x.founders {
		return -1
	}
	return primary
}

// allKnowCommit reports whether all holders of the record know that the change is committed.
func (r *starter) allKnowCommit() bool {
	known := 0
	for i := range r.x.founders {
		if st := r.x.cells[r.w.cells[i]].status; st.Role == Witness || st.Committed == 1 {
			known++
		}
	}
	return known == r.x.founders
}

// tickNext executes the tick that is due first.
func (r *starter) tickNext() {
	x := r.x
	i := 0
	for j := range x.founders {
		if x.cells[r.w.cells[j]].m.NextTick() < x.cells[r.w.cells[i]].m.NextTick() {
			i = j
		}
	}
	r.now = max(r.now+1, x.cells[r.w.cells[i]].m.NextTick())
	c := x.cells[r.w.cells[i]].clone(&x.err)
	before := c.m.identity.ID
	out := c.m.Tick(r.now)
	save(&c.disk, out.Write)
	c.update(before)
	r.w.cells[i] = x.internCell(c)
	for _, e := range out.Send {
		if m, ok := x.internMsg(i, e); ok {
			r.queue = append(r.queue, m)
		}
	}
}

// steadyState returns a core with one acknowledged change that all holders know to be committed, and no message in
// flight.
func (x *explorer) steadyState() (modelState, error) {
	r := &starter{x: x, w: x.emptyState(0), now: time.Second}
	wrote := false
	for i := range x.founders {
		r.take(step{kind: stepStart, i: uint8(i)})
	}
	for range 2000 {
		r.deliverAll()
		if primary := r.primary(); primary >= 0 {
			g := x.ghosts[r.w.ghost]
			if !wrote {
				wrote = true
				g.writes++
				g.bases = []uint64{0}
				r.w.ghost = x.internGhost(g)
				r.take(step{stepWrite, uint8(primary), 1})
				continue
			}
			if len(g.acked) == 1 && r.allKnowCommit() {
				return r.w, x.err
			}
		}
		r.tickNext()
	}
	return r.w, fmt.Errorf("core didn't converge within 2000 ticks: %v", x.err)
}

// emptyState returns a state in which no machine has started.
func (x *explorer) emptyState(starts int) modelState {
	w := modelState{left: budget{starts: uint8(starts)}}
	for i := range x.n {
		c := &cell{i: i, app: &logApp{err: &x.err}}
		m, err := New(x.options(i, true), PersistentState{}, c.app)
		if err != nil {
			x.err = err
			return w
		}
		c.m = m
		c.seedRandom()
		c.update("")
		w.cells[i] = x.internCell(c)
	}
	return w
}
