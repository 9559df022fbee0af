package replication

import (
	"fmt"
	"slices"
)

// ghost holds the search's ghost variables: the history as seen by clients and by an observer of all machines.
type ghost struct {
	committed []string
	acked     []ack
	leaders   []leader
	views     []string // decided views, by epoch
	reads     []floor  // pending reads
	writes    uint64   // number of writes begun
	asked     uint64   // number of reads and retries begun
	allWipes  int      // disks lost since the beginning
	wipes     int      // disks lost since the core last had its full redundancy
	bases     []uint64 // number of changes acknowledged when each change was first requested
	retries   []retry  // pending retries
	refused   []uint64 // changes that were refused
}

type ack struct{ seq, epoch uint64 }

type leader struct {
	epoch uint64
	who   int
}

type floor struct{ token, seq uint64 }

// voteViolation returns a violation if a machine that lost its disk votes under its former identity.
func voteViolation(c *cell, m *Message) string {
	switch m.Kind {
	case KindPrepare, KindPromise, KindAccept, KindAccepted:
		if slices.Contains(c.wiped, m.From.ID) || m.Founder && len(c.wiped) > 0 {
			return "a machine that lost its disk votes under its former identity"
		}
	}
	return ""
}

// apply returns the state after a step and the violated rule, if any; false if the step has no effect.
func (x *explorer) apply(w *modelState, s step) (modelState, string, bool) {
	if s.kind == stepPass {
		return x.applyPass(w, s)
	}
	e := x.execute(w.cells[s.i], s)
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
		g.bases = append(slices.Clip(g.bases), g.lastAcked())
		seen = true
	case stepRetry:
		g.recordRetry(x.cells[w.cells[s.i]], s.arg)
		seen = true
	case stepRead:
		g.asked++
		g.reads = append(slices.Clip(g.reads), floor{uint64(s.arg), g.lastAcked()})
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

// conclude stores the updated ghost variables in a state, and checks the rules in it if something changed.
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

// close reduces the state space. It adds the messages sent by deliveries that don't change their receiver, as such a
// step disables no other. It drops messages that have no effect any more: those of an epoch that their receiver has
// left, and those of a ballot below the one that it promised. Only messages to machines that changed, and new messages,
// need to be examined.
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
	own, past := false, false // w.net is a copy of its own; some of its messages are inert
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		p := &x.packets[m]
		e := x.execute(w.cells[p.to], step{stepDeliver, uint8(p.to), m})
		if e.violation != "" {
			violation = e.violation
		}
		past = past || x.inert(w, m)
		if e.cell != w.cells[p.to] || len(e.answers) > 0 {
			continue
		}
		for _, f := range e.sent {
			at, ok := slices.BinarySearch(w.net, f)
			if ok || x.inert(w, f) && len(x.execute(
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

// inert reports whether a message has no effect any more: its epoch or ballot is outdated, and its delivery doesn't
// change the receiver. The answers to it are already in flight.
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
	return past && x.execute(id, step{stepDeliver, uint8(p.to), m}).cell == id
}

// lastAcked returns the Seq of the newest acknowledged change.
func (g *ghost) lastAcked() (seq uint64) {
	for _, a := range g.acked {
		seq = max(seq, a.seq)
	}
	return seq
}

// sighting is the observable result of an input of a machine.
type sighting struct {
	machine, incarnation int
	epoch                uint64
	view                 string
	committed            uint64
	log                  []string
	answers              []Answer
}

// sightingOf returns the observable result of an input, given the machine's state after it.
func sightingOf(c *cell, out Output) sighting {
	return sighting{
		machine: c.i, incarnation: c.incarnation, epoch: c.status.Epoch, view: c.view,
		committed: out.Committed, log: slices.Clone(c.app.log), answers: out.Answer,
	}
}

// learn updates the ghost variables with the result of a step, and returns a violated rule, if any.
func (g *ghost) learn(e *sighting, seen *bool) string {
	epoch := e.epoch
	if epoch == 0 { // a machine that has not joined knows no decided view
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
			return fmt.Sprintf("records diverge: change %d is %s and %s", i+1, g.committed[i], e.log[i])
		}
	}
	if violation := g.learnAnswers(e, seen); violation != "" {
		return violation
	}
	return g.refusals()
}

// learnAnswers updates the ghost variables with the answers of a step, and returns a violated rule, if any.
func (g *ghost) learnAnswers(e *sighting, seen *bool) string {
	epoch := e.epoch
	for _, a := range e.answers {
		*seen = true
		switch a.Result {
		case Committed:
			who := e.machine*100 + e.incarnation
			i := slices.IndexFunc(g.leaders, func(l leader) bool { return l.epoch == epoch })
			if i < 0 {
				g.leaders = append(slices.Clip(g.leaders), leader{epoch, who})
			} else if g.leaders[i].who != who {
				return fmt.Sprintf("two processes acknowledge in epoch %d", epoch)
			}
			if a.Seq > uint64(len(g.committed)) || g.committed[a.Seq-1] != fmt.Sprint("w", a.Token) {
				return fmt.Sprintf("w%d is acknowledged as %d, which is another or uncommitted change", a.Token, a.Seq)
			}
			g.acked = append(slices.Clip(g.acked), ack{a.Seq, epoch})
		case Confirmed:
			for _, f := range g.reads {
				if f.token == a.Token && a.Seq < f.seq {
					return fmt.Sprintf("a read shows %d, older than the acknowledged %d", a.Seq, f.seq)
				}
			}
			if b := g.confirmRetry(a, epoch); b != "" {
				return b
			}
			if a.Seq > uint64(len(e.log)) {
				return "a read shows more changes than the record has"
			}
		}
		g.reads = slices.DeleteFunc(slices.Clone(g.reads), func(f floor) bool { return f.token == a.Token })
		g.retries = slices.DeleteFunc(slices.Clone(g.retries), func(r retry) bool { return r.token == a.Token })
	}
	return ""
}

// fullyRedundant reports whether the core tolerates the full number of losses again: a primary of the newest view is
// ready, all required backups hold the record on disk, and a majority of the members remains after the largest
// tolerated loss.
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
		if c.heldEpoch == newest {
			holding++
		}
		if v.has(c.disk.Identity.ID) {
			members++
		}
	}
	return ready && holding == len(v.Backups)+1 && members-x.survive.Nodes >= v.quorum()
}

// prematureRelease returns a violation if a machine is released while fewer than the given number of other machines
// have an acknowledged change on disk.
func (x *explorer) prematureRelease(w *modelState, has func(log []string) bool, copies int) string {
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
			return fmt.Sprintf("%d is released while only %d others have an acknowledged change", i, others)
		}
	}
	return ""
}

// rules checks the rules on a state, and returns a violation, if any.
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
			} else if c.heldEpoch >= a.epoch {
				return fmt.Sprintf("%d holds the record of epoch %d without %s, acknowledged in %d", i, c.heldEpoch, body, a.epoch)
			}
			leads := c.status.Role == Primary && (c.status.Epoch > a.epoch || c.status.Epoch == a.epoch && c.status.Ready)
			if leads && !has(c.app.log) {
				return fmt.Sprintf("%d leads epoch %d without %s, acknowledged in %d", i, c.status.Epoch, body, a.epoch)
			}
		}
		if b := x.prematureRelease(w, has, x.survive.Replicas()-g.wipes); b != "" {
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
