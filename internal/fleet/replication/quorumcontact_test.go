package replication

import (
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
			s := newSim(seed, members, 3, FailureTolerance{Nodes: (members - 1) / 2})
			s.loss, s.dup, s.delay = 0.05, 0.05, 200*ms
			s.hard = seed%2 == 0
			for _, b := range s.nodes {
				s.start(b)
			}
			const end = 40 * time.Second
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
			known := map[uint64]time.Duration{} // when an epoch was first known anywhere
			type ack struct {
				at  time.Duration
				seq uint64
			}
			var acks []ack // the newest last
			s.runUntil(end, func() bool {
				if n := len(acks); s.ackedMax > 0 && (n == 0 || acks[n-1].seq < s.ackedMax) {
					acks = append(acks, ack{s.now, s.ackedMax})
				}
				for _, b := range s.nodes {
					if b.m == nil {
						continue
					}
					if _, ok := known[b.m.view.Epoch]; !ok {
						known[b.m.view.Epoch] = s.now
					}
				}
				for _, b := range s.nodes {
					if b.m == nil {
						continue
					}
					began, ok := b.m.LastQuorumContact()
					if !ok {
						continue
					}
					claims++
					at := b.started + began
					for epoch, since := range known {
						if epoch > b.m.view.Epoch {
							later++
							c.Check(
								since >= at, qt.IsTrue,
								qt.Commentf(
									"seed %d, %d members, %v: %s claims epoch %d as of %v, epoch %d is known since %v", seed, members,
									s.now, b.addr, b.m.view.Epoch, at, epoch, since,
								),
							)
						}
					}
					for i := len(acks) - 1; i >= 0; i-- {
						if acks[i].at < at {
							c.Check(
								b.m.log.committed >= acks[i].seq, qt.IsTrue,
								qt.Commentf(
									"seed %d, %d members, %v: %s claims %v without change %d", seed, members, s.now, b.addr, at,
									acks[i].seq,
								),
							)
							break
						}
					}
				}
				return c.Failed()
			})
			c.Assert(s.err, qt.IsNil)
			if c.Failed() {
				return
			}
		}
	}
	t.Logf("%d claims looked at, %d of them while a later epoch was known elsewhere", claims, later)
	c.Assert(later > 0, qt.IsTrue)
}
