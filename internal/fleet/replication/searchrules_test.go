package replication

import (
	"fmt"
	"slices"
)

// ghost holds the search's ghost variables: what clients, and somebody who watches all machines, have seen.
type ghost struct {
	committed []string
	acked     []ack
	leaders   []leader
	views     []string // decided, by epoch
	reads     []floor  // under way
	writes    uint64   // begun
	asked     uint64   // reads begun
	allWipes  int      // disks lost since the beginning
	wipes     int      // since the core was last whole
	bases     []uint64 // how many changes were acknowledged when each was first asked for
	retries   []retry  // under way
	refused   []uint64 // changes that were refused
}

type ack struct{ seq, epoch uint64 }

type leader struct {
	epoch uint64
	who   int
}

type floor struct{ token, seq uint64 }

// voteViolation tells when a machine that lost its disk votes as who it was.
func voteViolation(c *cell, m *Message) string {
	switch m.Kind {
	case KindPrepare, KindPromise, KindAccept, KindAccepted:
		if slices.Contains(c.wiped, m.From.ID) || m.Founder && len(c.wiped) > 0 {
			return "a machine votes as who it was before its disk was lost"
		}
	}
	return ""
}

// apply is the state after a step; false: the step does nothing.
func (x *explorer) apply(w *modelState, s step) (modelState, string, bool) {
	if s.kind == stepPass {
		return x.applyPass(w, s)
	}
	e := x.play(w.cells[s.i], s)
	if e == nil {
		return modelState{}, "", false
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
	violation := e.violation
	g := x.ghosts[w.ghost]
	seen := false
	switch s.kind {
	case stepWrite:
		g.writes++
		g.bases = append(slices.Clip(g.bases), g.top())
		seen = true
	case stepRetry:
		g.ask(x.cells[w.cells[s.i]], s.arg)
		seen = true
	case stepRead:
		g.asked++
		g.reads = append(slices.Clip(g.reads), floor{uint64(s.arg), g.top()})
		seen = true
	case stepWipe:
		g.wipes++
		g.allWipes++
		seen = true
	}
	if b := g.learn(&e.sighting, &seen); violation == "" {
		violation = b
	}
	changed := func(i int) bool { return i == int(s.i) }
	moved := x.cells[e.cell] != x.cells[w.cells[s.i]]
	violation = x.conclude(&n, &g, seen, moved, violation)
	if n.cells == w.cells && n.ghost == w.ghost && fresh == 0 && violation == "" {
		return modelState{}, "", false
	}
	if b := x.close(&n, changed, e.sent); violation == "" {
		violation = b
	}
	return n, violation, true
}

// conclude notes what was seen on the way to a state, and holds the rules in it when something changed.
func (x *explorer) conclude(w *modelState, g *ghost, seen, moved bool, violation string) string {
	if g.wipes > 0 && x.fullyRedundant(w, g) {
		g.wipes, seen = 0, true
	}
	if seen {
		w.ghost = x.internGhost(*g)
	}
	if violation == "" && (seen || moved) {
		violation = x.rules(w)
	}
	if violation == "" && moved && x.check != nil {
		violation = x.check(w)
	}
	return violation
}

// close adds what deliveries that leave their machine as it is send, as such a step takes no other away, and drops the
// messages that can't do anything any more: those of an epoch that their receiver has left, and those of a ballot below
// the one it has promised. Only what goes to machines that changed, and what is new, can have more to say than before.
func (x *explorer) close(w *modelState, changed func(int) bool, sent []uint32) (violation string) {
	todo := x.todo[:0]
	for _, m := range w.net {
		if changed(x.packets[m].to) {
			todo = append(todo, m)
		}
	}
	for _, m := range sent {
		if !changed(x.packets[m].to) {
			todo = append(todo, m)
		}
	}
	own, past := false, false // the net is ours to change; some of it is past
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := &x.packets[m]
		e := x.play(w.cells[p.to], step{stepDeliver, uint8(p.to), m})
		if e.violation != "" {
			violation = e.violation
		}
		past = past || x.inert(w, m)
		if e.cell != w.cells[p.to] || len(e.answers) > 0 {
			continue
		}
		for _, f := range e.sent {
			at, ok := slices.BinarySearch(w.net, f)
			if ok || x.inert(w, f) && len(x.play(
				w.cells[x.packets[f].to], step{stepDeliver, uint8(x.packets[f].to), f},
			).sent) == 0 {
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
	return violation
}

// inert tells whether a message is past: its epoch or ballot is, and it does nothing to its receiver as that stands.
// What it was answered with is in flight already.
func (x *explorer) inert(w *modelState, m uint32) bool {
	p := &x.packets[m]
	id := w.cells[p.to]
	c := x.cells[id].m
	if w.left.wipes > 0 || p.msg.Kind == KindHello || p.msg.Epoch > c.view.Epoch {
		return false
	}
	past := p.msg.Epoch < c.view.Epoch
	switch p.msg.Kind {
	case KindPrepare, KindPromise, KindAccept, KindAccepted, KindReject:
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

// sighting is what an input of a machine showed.
type sighting struct {
	machine, life int
	epoch         uint64
	view          string
	committed     uint64
	log           []string
	answers       []Answer
}

// sightingOf is what an input led to, with its machine as it is then.
func sightingOf(c *cell, out Output) sighting {
	return sighting{
		machine: c.i, life: c.life, epoch: c.status.Epoch, view: c.view,
		committed: out.Committed, log: slices.Clone(c.app.log), answers: out.Answer,
	}
}

// learn takes in what a step showed.
func (g *ghost) learn(e *sighting, seen *bool) string {
	epoch := e.epoch
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
		g.views[epoch] = e.view
		*seen = true
	case v != e.view:
		return fmt.Sprintf("two views of epoch %d are decided", epoch)
	}
	for i := range e.committed {
		switch {
		case i >= uint64(len(e.log)):
			return fmt.Sprintf("%d committed, %d in the record", e.committed, len(e.log))
		case i >= uint64(len(g.committed)):
			g.committed = append(slices.Clip(g.committed), e.log[i])
			*seen = true
		case slices.Index(e.log, e.log[i]) < int(i):
			return fmt.Sprintf("%s is committed twice", e.log[i])
		case g.committed[i] != e.log[i]:
			return fmt.Sprintf("a fork: change %d is %s and %s", i+1, g.committed[i], e.log[i])
		}
	}
	if violation := g.learnAnswers(e, seen); violation != "" {
		return violation
	}
	return g.refusals()
}

// learnAnswers takes in the answers that a step gave.
func (g *ghost) learnAnswers(e *sighting, seen *bool) string {
	epoch := e.epoch
	for _, a := range e.answers {
		*seen = true
		switch a.Result {
		case Committed:
			who := e.machine*100 + e.life
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
			if b := g.verdict(a, epoch); b != "" {
				return b
			}
			if a.Seq > uint64(len(e.log)) {
				return "a read shows more than there is"
			}
		}
		g.reads = slices.DeleteFunc(slices.Clone(g.reads), func(f floor) bool { return f.token == a.Token })
		g.retries = slices.DeleteFunc(slices.Clone(g.retries), func(r retry) bool { return r.token == a.Token })
	}
	return ""
}

// fullyRedundant reports whether as many machines may be lost as at the beginning: a primary of the newest view is
// ready, all backups that must be are there with their disks, and a majority of the members stays when as many are lost
// as may be.
func (x *explorer) fullyRedundant(w *modelState, g *ghost) bool {
	newest := uint64(len(g.views)) - 1
	v := x.views[g.views[newest]]
	if len(v.Backups) < x.survive.Replicas()-1 {
		return false
	}
	ready, holding, members := false, 0, 0
	for i := range x.n {
		c := x.cells[w.cells[i]]
		ready = ready || c.status.Role == Primary && c.status.Epoch == newest && c.status.Ready
		if c.holds == newest {
			holding++
		}
		if v.has(c.disk.Identity.ID) {
			members++
		}
	}
	return ready && holding == len(v.Backups)+1 && members-x.survive.Nodes >= v.quorum()
}

// missed tells when a machine that may end is one of the last so many that hold a change.
func (x *explorer) missed(w *modelState, has func(log []string) bool, copies int) string {
	for i := range x.n {
		if !x.cells[w.cells[i]].status.Released {
			continue
		}
		others := 0
		for j := range x.n {
			if j != i && has(x.cells[w.cells[j]].durable) {
				others++
			}
		}
		if others < copies {
			return fmt.Sprintf("%d may end while %d others hold what was acknowledged", i, others)
		}
	}
	return ""
}

// rules are those on whole states.
func (x *explorer) rules(w *modelState) string {
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
		if b := x.missed(w, has, x.survive.Replicas()-g.wipes); b != "" {
			return b
		}
		if disks < x.survive.Replicas()-g.wipes {
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
		whole := d.Replica.RecordEpoch == d.View.Epoch && (d.View.Epoch > 0 || d.Identity.Founder)
		if v.rank(d.Identity.ID) >= 0 && whole && d.View.Epoch+1 >= newest {
			disks++
		}
	}
	if disks < x.survive.Replicas()-g.wipes {
		return fmt.Sprintf("the record of epoch %d is on %d disks after %d were lost", newest, disks, g.wipes)
	}
	return ""
}
