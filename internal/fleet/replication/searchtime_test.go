package replication

import (
	"fmt"
	"slices"
	"time"
)

// A message that was sent may come at any time or never, so a cut needs no step of its own for what it loses. It needs
// one where a machine acts by what it hears from some and not from others for as long as its time-outs are: time that
// passes for one machine alone (stepWait) is silence from all. So stepPass lets time pass for all machines alike, with
// messages that take a millisecond, while one directed link loses everything, one machine is cut off both ways, one is
// frozen, or all is well. It ends when a machine stops, proposes, promises or learns of a view.

// faultKind is what is wrong while time passes.
type faultKind uint8

const (
	faultNone     faultKind = iota
	faultCut                // what i sends to j is lost
	faultIsolated           // all that i sends, and what is sent to i, is lost
	faultFrozen             // i does nothing, and finds out at its next input
	faultSplit              // i and j are cut off from all others, not from each other
	faultSlow               // no time passes for i and j, and nothing comes to them
)

// networkFault is a faultKind with its machines.
type networkFault struct {
	kind faultKind
	i, j uint8
}

func (f networkFault) arg() uint32 { return uint32(f.kind) | uint32(f.j)<<8 }

func faultOf(s step) networkFault {
	return networkFault{faultKind(s.arg & 0xff), s.i, uint8(s.arg >> 8)}
}

func (f networkFault) String() string {
	switch f.kind {
	case faultCut:
		return fmt.Sprintf("%d to %d is cut", f.i, f.j)
	case faultIsolated:
		return fmt.Sprintf("%d is cut off", f.i)
	case faultFrozen:
		return fmt.Sprintf("%d is frozen", f.i)
	case faultSplit:
		return fmt.Sprintf("%d and %d are cut off together", f.i, f.j)
	case faultSlow:
		return fmt.Sprintf("%d and %d are slow", f.i, f.j)
	}
	return "all is well"
}

// among reports whether a machine is one of the fault's two.
func (f networkFault) among(i int) bool { return i == int(f.i) || i == int(f.j) }

// loses reports whether a message doesn't come.
func (f networkFault) loses(from, to int) bool {
	switch f.kind {
	case faultCut:
		return from == int(f.i) && to == int(f.j)
	case faultIsolated:
		return from == int(f.i) || to == int(f.i)
	case faultFrozen:
		return to == int(f.i)
	case faultSplit:
		return f.among(from) != f.among(to)
	case faultSlow:
		return f.among(to)
	}
	return false
}

// faults are those that time may pass with.
func (x *explorer) faults(left *budget) (list []networkFault) {
	started := uint8(x.n) - left.starts
	for _, kind := range x.kinds {
		switch kind {
		case faultNone:
			list = append(list, networkFault{kind: kind})
		case faultIsolated, faultFrozen:
			for i := range started {
				list = append(list, networkFault{kind, i, 0})
			}
		case faultCut, faultSplit, faultSlow:
			for i := range started {
				for j := range started {
					if i < j || i != j && kind == faultCut {
						list = append(list, networkFault{kind, i, j})
					}
				}
			}
		}
	}
	return list
}

// freezeTime is how long a frozen machine slept: longer than all time-outs.
const freezeTime = 10 * time.Second

// latency is how long messages take while time passes.
const latency = ms

// timeline is a core whose machines' time passes together.
type timeline struct {
	x      *explorer
	fault  networkFault
	cells  []*cell // nil: hasn't started
	offset []time.Duration
	now    time.Duration
	queue  []flight
	seen   func(i int, out Output) // called for each input, when the disk has it
}

// flight is a message on its way.
type flight struct {
	at  time.Duration
	to  int
	msg *Message
	by  string
}

func (x *explorer) newTimeline(cells cellSet, fault networkFault) *timeline {
	r := &timeline{x: x, fault: fault, cells: make([]*cell, x.n), offset: make([]time.Duration, x.n)}
	for i := range x.n {
		if x.cells[cells[i]].m.started {
			r.cells[i] = x.cells[cells[i]].grow(&x.err)
			r.offset[i] = r.cells[i].clock()
		}
	}
	return r
}

// clock is a machine's time.
func (r *timeline) clock(i int) time.Duration { return r.offset[i] + r.now }

// input gives machine i an input now.
func (r *timeline) input(i int, do func(m *Machine, now time.Duration) Output) {
	c := r.cells[i]
	before := c.m.identity.ID
	out := do(c.m, r.clock(i))
	save(&c.disk, out.Write)
	if c.m.identity.ID != before {
		c.gen++
		c.draw()
	}
	for _, e := range out.Send {
		if to := slices.Index(r.x.addrs, e.To); to >= 0 && r.cells[to] != nil && !r.fault.loses(i, to) {
			msg := e.Msg
			r.queue = append(r.queue, flight{r.now + latency, to, &msg, r.x.addrs[i]})
		}
	}
	r.seen(i, out)
}

// asleep reports whether machine i does nothing.
func (r *timeline) asleep(i int) bool {
	switch r.fault.kind {
	case faultFrozen:
		return i == int(r.fault.i)
	case faultSlow:
		return r.fault.among(i)
	}
	return false
}

// next plays the next message or tick; it reports false when that lies beyond a bound.
func (r *timeline) next(bound time.Duration) bool {
	first, due := -1, bound+1
	for i, c := range r.cells {
		if c == nil || r.asleep(i) {
			continue
		}
		if at := max(c.m.NextTick()-r.offset[i], r.now+1); at < due {
			first, due = i, at
		}
	}
	if len(r.queue) > 0 && r.queue[0].at <= due {
		f := r.queue[0]
		r.queue = r.queue[1:]
		r.now = f.at
		r.input(f.to, func(m *Machine, now time.Duration) Output { return m.Step(now, f.by, f.msg) })
		return true
	}
	if first < 0 {
		return false
	}
	r.now = due
	r.input(first, func(m *Machine, now time.Duration) Output { return m.Tick(now) })
	return true
}

// passOf is what a passing is known by.
type passOf struct {
	cells cellSet
	fault networkFault
}

// passing is what happens while time passes.
type passing struct {
	cells     cellSet
	sent      []uint32 // by the last input
	sightings []sighting
	violation string
}

// passTime bounds how long time passes: what is forgotten is forgotten after it.
const passTime = 6 * time.Second

// mark is what ends a passing when it changes.
type mark struct {
	epoch   uint64
	stopped bool
	phase   phase
	cand    bool
	promise Ballot
}

func markOf(m *Machine) mark {
	k := mark{epoch: m.view.Epoch, stopped: m.stopped(), promise: m.vote.Promised, cand: m.candidacy != nil}
	if k.cand {
		k.phase = m.candidacy.phase
	}
	return k
}

// pass lets time pass until something happens; nil: nothing does.
func (x *explorer) pass(cells cellSet, fault networkFault) *passing {
	key := passOf{cells, fault}
	if p, ok := x.passes[key]; ok {
		return p
	}
	r := x.newTimeline(cells, fault)
	p := &passing{}
	ended := false
	marks := make([]mark, x.n)
	for i, c := range r.cells {
		if c != nil {
			marks[i] = markOf(c.m)
		}
	}
	r.seen = func(i int, out Output) {
		c := r.cells[i]
		for _, e := range out.Send {
			if v := voteViolation(c, &e.Msg); p.violation == "" {
				p.violation = v
			}
		}
		if len(out.Answer) > 0 || out.Committed > 0 || markOf(c.m) != marks[i] {
			c.status = c.m.Status()
			c.view = fmt.Sprint(c.status.View)
			p.sightings = append(p.sightings, sightingOf(c, out))
		}
		if markOf(c.m) == marks[i] {
			return
		}
		ended = true
		for _, e := range out.Send {
			if m, ok := x.internMsg(i, e); ok && !slices.Contains(p.sent, m) {
				p.sent = append(p.sent, m)
			}
		}
	}
	for !ended && r.next(passTime) {
	}
	if x.err != nil && p.violation == "" {
		p.violation = x.err.Error()
	}
	if !ended && p.violation == "" {
		p = nil
	} else {
		p.cells = r.close(cells)
	}
	x.passes[key] = p
	return p
}

// close makes cells of the machines as they are now; those that did nothing find that time has passed at their next
// input.
func (r *timeline) close(from cellSet) cellSet {
	for i, c := range r.cells {
		if c == nil {
			continue
		}
		c.frozen = 0
		if r.fault.kind == faultFrozen && r.asleep(i) {
			c.frozen = r.clock(i) - c.m.now
		}
		c.done(c.m.identity.ID)
		from[i] = r.x.internCell(c)
	}
	return from
}

// passFor is the state after so much time has passed with a fault. What was sent has come or is lost.
func (x *explorer) passFor(w *modelState, fault networkFault, duration time.Duration) (modelState, error) {
	r := x.newTimeline(w.cells, fault)
	g, seen, violation := x.ghosts[w.ghost], false, ""
	r.seen = func(i int, out Output) {
		c := r.cells[i]
		c.status = c.m.Status()
		c.view = fmt.Sprint(c.status.View)
		shown := sightingOf(c, out)
		if v := g.learn(&shown, &seen); violation == "" {
			violation = v
		}
	}
	for r.next(duration) {
	}
	n := *w
	n.cells = r.close(w.cells)
	violation = x.conclude(&n, &g, seen, true, violation)
	if violation != "" {
		return n, fmt.Errorf("before the search: %s", violation)
	}
	return n, x.err
}

// applyPass is the state after time has passed; false: nothing happens.
func (x *explorer) applyPass(w *modelState, s step) (modelState, string, bool) {
	p := x.pass(w.cells, faultOf(s))
	if p == nil {
		return modelState{}, "", false
	}
	n := *w
	n.cells = p.cells
	n.net = append(slices.Clone(w.net), p.sent...)
	slices.Sort(n.net)
	n.net = slices.Compact(n.net)
	violation := p.violation
	g, seen := x.ghosts[w.ghost], false
	for i := range p.sightings {
		if b := g.learn(&p.sightings[i], &seen); violation == "" {
			violation = b
		}
	}
	violation = x.conclude(&n, &g, seen, true, violation)
	if b := x.close(&n, func(int) bool { return true }, p.sent); violation == "" {
		violation = b
	}
	return n, violation, true
}
