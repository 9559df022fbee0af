package replication

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestContactInStorms: under random faults, LastBackupContact of a primary never returns a time at which a machine
// already knew a later view, and the primary has all changes acknowledged before that time.
func TestContactInStorms(t *testing.T) {
	c := qt.New(t)
	claims, later := 0, 0
	for seed := uint64(1); seed <= 40; seed++ {
		for _, members := range []int{1, 3, 5} {
			w := newContactWatch(c, seed, members)
			w.s.runUntil(40*time.Second, w.checkAll)
			c.Assert(w.s.err, qt.IsNil)
			claims += w.claims
			later += w.later
			if c.Failed() {
				return
			}
		}
	}
	t.Logf("%d claims checked, %d of them while a later epoch was known elsewhere", claims, later)
	c.Assert(later > 0, qt.IsTrue)
}

// contactWatch checks the results of LastBackupContact in a core under random faults after each event.
type contactWatch struct {
	c     *qt.C
	s     *sim
	about string
	known map[uint64]time.Duration // when an epoch was first known to any machine
	acks  []ackAt                  // newest last

	claims int
	later  int // number of comparisons with a later epoch known elsewhere
}

// ackAt is the time by which changes up to seq were acknowledged.
type ackAt struct {
	at  time.Duration
	seq uint64
}

func newContactWatch(c *qt.C, seed uint64, members int) *contactWatch {
	s := newSim(seed, members, 3, FailureTolerance{Nodes: (members - 1) / 2})
	s.loss, s.dup, s.delay = 0.05, 0.05, 200*ms
	s.highLatency = seed%2 == 0
	for _, b := range s.nodes {
		s.start(b)
	}
	var clients, faults func()
	clients = func() {
		s.write()
		s.after(s.upTo(300*ms), clients)
	}
	faults = func() {
		s.fault()
		s.after(100*ms+s.upTo(2*time.Second), faults)
	}
	s.after(300*ms, clients)
	s.after(6*time.Second, faults)
	return &contactWatch{
		c:     c,
		s:     s,
		about: fmt.Sprintf("seed %d, %d members", seed, members),
		known: map[uint64]time.Duration{},
	}
}

// checkAll checks the current claims of all machines; it reports whether one is wrong.
func (w *contactWatch) checkAll() bool {
	s := w.s
	if n := len(w.acks); s.ackedMax > 0 && (n == 0 || w.acks[n-1].seq < s.ackedMax) {
		w.acks = append(w.acks, ackAt{s.now, s.ackedMax})
	}
	for _, b := range s.nodes {
		if b.m == nil {
			continue
		}
		if _, ok := w.known[b.m.view.Epoch]; !ok {
			w.known[b.m.view.Epoch] = s.now
		}
	}
	for _, b := range s.nodes {
		if b.m == nil {
			continue
		}
		if began, ok := b.m.LastBackupContact(); ok {
			w.claims++
			w.check(b, b.started+began)
		}
	}
	return w.c.Failed()
}

// check compares a primary's claim with the state of the others: no later epoch was known, and no change that the
// primary lacks was acknowledged, before the claimed time.
func (w *contactWatch) check(b *simNode, at time.Duration) {
	for epoch, since := range w.known {
		if epoch > b.m.view.Epoch {
			w.later++
			w.c.Check(since >= at, qt.IsTrue, qt.Commentf(
				"%s, %v: %s claims epoch %d as of %v, epoch %d is known since %v",
				w.about, w.s.now, b.addr, b.m.view.Epoch, at, epoch, since,
			))
		}
	}
	for i := len(w.acks) - 1; i >= 0; i-- {
		if w.acks[i].at < at {
			w.c.Check(b.m.log.committed >= w.acks[i].seq, qt.IsTrue, qt.Commentf(
				"%s, %v: %s claims %v without change %d", w.about, w.s.now, b.addr, at, w.acks[i].seq,
			))
			break
		}
	}
}
