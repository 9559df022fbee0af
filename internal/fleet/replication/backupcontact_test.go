package replication

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestContactInStorms: whatever is lost, delayed, cut, frozen or killed, when a primary tells since when its view may
// have been superseded, nobody knew of a later view by then, and its record has all that was acknowledged by then.
func TestContactInStorms(t *testing.T) {
	c := qt.New(t)
	claims, later := 0, 0
	for seed := uint64(1); seed <= 40; seed++ {
		for _, members := range []int{1, 3, 5} {
			w := newContactWatch(c, seed, members)
			w.s.runUntil(40*time.Second, w.look)
			c.Assert(w.s.err, qt.IsNil)
			claims += w.claims
			later += w.later
			if c.Failed() {
				return
			}
		}
	}
	t.Logf("%d claims looked at, %d of them while a later epoch was known elsewhere", claims, later)
	c.Assert(later > 0, qt.IsTrue)
}

// contactWatch is a core in a storm whose primaries' claims of contact with a quorum are looked at after each event.
type contactWatch struct {
	c     *qt.C
	s     *sim
	about string
	known map[uint64]time.Duration // when an epoch was first known anywhere
	acks  []ackAt                  // the newest last

	claims int
	later  int // of them while a later epoch was known elsewhere
}

// ackAt is when changes up to a number had been acknowledged.
type ackAt struct {
	at  time.Duration
	seq uint64
}

func newContactWatch(c *qt.C, seed uint64, members int) *contactWatch {
	s := newSim(seed, members, 3, FailureTolerance{Nodes: (members - 1) / 2})
	s.loss, s.dup, s.delay = 0.05, 0.05, 200*ms
	s.hard = seed%2 == 0
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

// look checks all claims of now; it reports whether one is wrong.
func (w *contactWatch) look() bool {
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

// check holds a primary's claim against what others knew: no later epoch before it, and no change that it lacks.
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
