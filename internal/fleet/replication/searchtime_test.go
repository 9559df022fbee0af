package replication

import (
	"fmt"
	"slices"
	"time"
)

// As a sent message may be delivered at any time or never, message loss in a partition needs no step of its own. A step
// is needed where a machine acts because it receives messages from some machines and not from others for the length of
// its time-outs: in stepWait time passes for one machine alone, which then receives nothing from any other. stepPass
// lets time pass for all machines at the same rate, with a message latency of a millisecond, under one network fault or
// none. It ends when a machine stops, proposes, promises or learns of a view.

// faultKind is the kind of a fault that lasts while time passes.
type faultKind uint8

const (
	faultNone     faultKind = iota
	faultCut                // messages from i to j are lost
	faultIsolated           // messages from and to i are lost
	faultFrozen             // i processes nothing, and detects the freeze at its next input
	faultSplit              // i and j are partitioned from the others, but not from each other
	faultSlow               // no time passes for i and j, and they receive nothing
)

// networkFault is a fault with its machines.
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
		return fmt.Sprintf("link from %d to %d is cut", f.i, f.j)
	case faultIsolated:
		return fmt.Sprintf("%d is isolated", f.i)
	case faultFrozen:
		return fmt.Sprintf("%d is frozen", f.i)
	case faultSplit:
		return fmt.Sprintf("%d and %d are partitioned from the others", f.i, f.j)
	case faultSlow:
		return fmt.Sprintf("%d and %d are slow", f.i, f.j)
	}
	return "there is no fault"
}

// involves reports whether a machine is one of the fault's two machines.
func (f networkFault) involves(i int) bool { return i == int(f.i) || i == int(f.j) }

// loses reports whether a message between two machines is lost.
func (f networkFault) loses(from, to int) bool {
	switch f.kind {
	case faultCut:
		return from == int(f.i) && to == int(f.j)
	case faultIsolated:
		return from == int(f.i) || to == int(f.i)
	case faultFrozen:
		return to == int(f.i)
	case faultSplit:
		return f.involves(from) != f.involves(to)
	case faultSlow:
		return f.involves(to)
	}
	return false
}

// faults returns the faults under which time may pass.
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

// freezeTime is the length of a freeze, which exceeds all time-outs.
const freezeTime = 10 * time.Second

// latency is the latency of messages while time passes.
const latency = ms

// timeline simulates a core in which time passes for all machines at the same rate.
type timeline struct {
	x      *explorer
	fault  networkFault
	cells  []*cell // nil: not started
	offset []time.Duration
	now    time.Duration
	queue  []flight
	seen   func(i int, out Output) // called after each input, once its write is on disk
}

// flight is a message in flight.
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
			r.cells[i] = x.cells[cells[i]].clone(&x.err)
			r.offset[i] = r.cells[i].clock()
		}
	}
	return r
}

// clock returns a machine's time.
func (r *timeline) clock(i int) time.Duration { return r.offset[i] + r.now }

// input passes an input to machine i at the current time.
func (r *timeline) input(i int, do func(m *Machine, now time.Duration) Output) {
	c := r.cells[i]
	before := c.m.identity.ID
	out := do(c.m, r.clock(i))
	save(&c.disk, out.Write)
	if c.m.identity.ID != before {
		c.identities++
		c.seedRandom()
	}
	for _, e := range out.Send {
		if to := slices.Index(r.x.addrs, e.To); to >= 0 && r.cells[to] != nil && !r.fault.loses(i, to) {
			msg := e.Msg
			r.queue = append(r.queue, flight{r.now + latency, to, &msg, r.x.addrs[i]})
		}
	}
	r.seen(i, out)
}

// suspended reports whether machine i processes no ticks because of the fault.
func (r *timeline) suspended(i int) bool {
	switch r.fault.kind {
	case faultFrozen:
		return i == int(r.fault.i)
	case faultSlow:
		return r.fault.involves(i)
	}
	return false
}

// next processes the next message or tick; it returns false if that is due after a bound.
func (r *timeline) next(bound time.Duration) bool {
	first, due := -1, bound+1
	for i, c := range r.cells {
		if c == nil || r.suspended(i) {
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

// passOf is the key of a passing.
type passOf struct {
	cells cellSet
	fault networkFault
}

// passing is the result of time passing.
type passing struct {
	cells     cellSet
	sent      []uint32 // messages sent by the last input
	sightings []sighting
	violation string
}

// passTime bounds the time that passes in one step. It exceeds all time-outs, after which state expires.
const passTime = 6 * time.Second

// protocolState is the part of a machine's state whose change ends a passing.
type protocolState struct {
	epoch   uint64
	stopped bool
	phase   phase
	cand    bool
	promise Ballot
}

func protocolStateOf(m *Machine) protocolState {
	k := protocolState{epoch: m.view.Epoch, stopped: m.stopped(), promise: m.vote.Promised, cand: m.candidacy != nil}
	if k.cand {
		k.phase = m.candidacy.phase
	}
	return k
}

// pass lets time pass until a machine's protocol state changes; nil if none does within passTime.
func (x *explorer) pass(cells cellSet, fault networkFault) *passing {
	key := passOf{cells, fault}
	if p, ok := x.passes[key]; ok {
		return p
	}
	r := x.newTimeline(cells, fault)
	p := &passing{}
	ended := false
	marks := make([]protocolState, x.n)
	for i, c := range r.cells {
		if c != nil {
			marks[i] = protocolStateOf(c.m)
		}
	}
	r.seen = func(i int, out Output) {
		c := r.cells[i]
		for _, e := range out.Send {
			if v := voteViolation(c, &e.Msg); p.violation == "" {
				p.violation = v
			}
		}
		if len(out.Answer) > 0 || out.Committed > 0 || protocolStateOf(c.m) != marks[i] {
			c.status = c.m.Status()
			c.view = fmt.Sprint(c.status.View)
			p.sightings = append(p.sightings, sightingOf(c, out))
		}
		if protocolStateOf(c.m) == marks[i] {
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

// close interns the current states of the machines as cells; a frozen machine detects the freeze at its next input.
func (r *timeline) close(from cellSet) cellSet {
	for i, c := range r.cells {
		if c == nil {
			continue
		}
		c.frozen = 0
		if r.fault.kind == faultFrozen && r.suspended(i) {
			c.frozen = r.clock(i) - c.m.now
		}
		c.update(c.m.identity.ID)
		from[i] = r.x.internCell(c)
	}
	return from
}

// passFor returns the state after a duration under a fault. All sent messages are delivered or lost.
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

// applyPass returns the state after a stepPass and the violated rule, if any; false if the step has no effect.
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
