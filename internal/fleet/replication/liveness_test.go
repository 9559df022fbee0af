package replication

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ackWithin bounds the time to the next acknowledgement without further faults. It is the default of ack_ms.
const ackWithin = 4 * time.Second

// neverAcknowledged stands for no acknowledgement; it is longer than any bound.
const neverAcknowledged = time.Hour

// A state is live if a change that is requested from then on is acknowledged within ackWithin, while all links and
// machines work, and also after a tolerated number of machines is permanently isolated. Messages in flight are lost or,
// with shape.liveLate, delivered immediately.

// checkLiveness checks that a state is live without further faults.
func (x *explorer) checkLiveness(w *modelState) string {
	if problem := x.checkAcknowledged(w, networkFault{}); problem != "" || !x.liveLate {
		return problem
	}
	took := x.runUntilAcknowledged(w.cells, networkFault{}, w.net)
	x.lateRuns++
	x.slowestLate = max(x.slowestLate, took)
	if took <= ackWithin {
		return ""
	}
	return fmt.Sprintf("no change is acknowledged within %v after all messages in flight are delivered", ackWithin)
}

// checkLivenessAfterLoss checks that a state is live without further faults and, if no disk is lost, after any further
// tolerated loss.
func (x *explorer) checkLivenessAfterLoss(w *modelState) string {
	if problem := x.checkLiveness(w); problem != "" || x.ghosts[w.ghost].wipes > 0 {
		return problem
	}
	for _, loss := range x.losses() {
		if problem := x.checkAcknowledged(w, loss); problem != "" {
			return problem
		}
	}
	return ""
}

// losses returns the largest tolerated losses, each permanent.
func (x *explorer) losses() []networkFault {
	kind := faultIsolated
	if x.survive.Nodes == 2 {
		kind = faultSplit
	}
	y := *x
	y.kinds = []faultKind{kind}
	return y.faults(&budget{})
}

func (x *explorer) checkAcknowledged(w *modelState, lasting networkFault) string {
	if x.timeToAcknowledge(w.cells, lasting) <= ackWithin {
		return ""
	}
	return fmt.Sprintf("no change is acknowledged within %v while %v", ackWithin, lasting)
}

// timeToAcknowledge returns the time to the next acknowledgement from a state on under a lasting fault.
func (x *explorer) timeToAcknowledge(cells cellSet, lasting networkFault) time.Duration {
	key := passOf{cells, lasting}
	if took, ok := x.livenessRuns[key]; ok {
		return took
	}
	took := x.runUntilAcknowledged(cells, lasting, nil)
	x.livenessRuns[key] = took
	return took
}

// livenessToken is the token of the requested change.
const livenessToken = 1 << 30

// runUntilAcknowledged runs a core from a state on until a change is acknowledged, and returns the time that it took.
// The change is requested at the reachable primary of the newest epoch, and again when a newer one appears. The given
// messages in flight are delivered first.
func (x *explorer) runUntilAcknowledged(cells cellSet, lasting networkFault, inFlight []uint32) time.Duration {
	r := x.newTimeline(cells, lasting)
	for _, id := range inFlight {
		p := &x.packets[id]
		if r.cells[p.to] != nil {
			r.queue = append(r.queue, flight{latency, p.to, &p.msg, x.addrs[p.from]})
		}
	}
	acknowledged := neverAcknowledged
	r.seen = func(_ int, out Output) {
		for _, a := range out.Answer {
			if a.Token == livenessToken && a.Result == Committed {
				acknowledged = r.now
			}
		}
	}
	r.startAll(cells)
	var askedIn uint64
	for acknowledged == neverAcknowledged {
		if i, epoch := r.primary(); i >= 0 && epoch > askedIn {
			askedIn = epoch
			r.input(i, func(m *Machine, now time.Duration) Output {
				return m.Propose(now, livenessToken, []byte("calm"))
			})
			continue
		}
		if !r.next(ackWithin) {
			break
		}
	}
	return acknowledged
}

// startAll starts the machines that haven't started yet.
func (r *timeline) startAll(cells cellSet) {
	for i := range r.cells {
		if r.cells[i] == nil {
			r.cells[i] = r.x.cells[cells[i]].clone(&r.x.err)
			r.input(i, func(m *Machine, now time.Duration) Output { return m.Tick(now) })
		}
	}
}

// primary returns the primary of the newest epoch among the reachable machines, -1 if there is none.
func (r *timeline) primary() (newest int, epoch uint64) {
	newest = -1
	for i, c := range r.cells {
		if c.m.primary.active && c.m.view.Epoch > epoch && !r.cutOff(i) {
			newest, epoch = i, c.m.view.Epoch
		}
	}
	return newest, epoch
}

// cutOff reports whether machine i is unreachable for clients.
func (r *timeline) cutOff(i int) bool {
	switch r.fault.kind {
	case faultIsolated, faultFrozen:
		return i == int(r.fault.i)
	case faultSplit:
		return r.fault.involves(i)
	}
	return false
}

// TestAcknowledgedUnderLastingFault: in a converged core the next change is acknowledged within ackWithin under each
// lasting fault: one directed link cut, one machine isolated or frozen, or, if two losses are tolerated, two machines
// partitioned.
func TestAcknowledgedUnderLastingFault(t *testing.T) {
	for _, core := range []struct{ members, survive int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d-%d", core.members, core.survive), func(t *testing.T) {
			c := qt.New(t)
			sh := shape{members: core.members, survive: core.survive, controlPlaneTiming: true}
			sh.faults = []faultKind{faultNone, faultCut, faultIsolated, faultFrozen}
			if core.survive == 2 {
				sh.faults = append(sh.faults, faultSplit)
			}
			x, w, err := sh.explorer(0)
			c.Assert(err, qt.IsNil)
			var slowest time.Duration
			for _, lasting := range x.faults(&w.left) {
				took := x.timeToAcknowledge(w.cells, lasting)
				c.Check(took <= ackWithin, qt.IsTrue, qt.Commentf("%v: %v", lasting, took))
				slowest = max(slowest, took)
			}
			c.Assert(x.err, qt.IsNil)
			t.Logf("%d faults, acknowledged within %v", len(x.livenessRuns), slowest)
		})
	}
}
