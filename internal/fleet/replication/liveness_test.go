package replication

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ackWithin is how long the next acknowledgement may take once all is calm: the default of ack_ms.
const ackWithin = 4 * time.Second

// neverAcknowledged is longer than any bound.
const neverAcknowledged = time.Hour

// A state is live when a change that is asked for from then on is acknowledged in time while all links are up and all
// machines alive, and also while as many machines as the core must survive are cut off for good. What is in flight is
// lost or, with shape.late, comes at once.

// checkLiveness is the rule that every state is live when calm.
func (x *explorer) checkLiveness(w *modelState) string {
	if problem := x.checkAcknowledged(w, networkFault{}); problem != "" || !x.late {
		return problem
	}
	took := x.playCalm(w.cells, networkFault{}, w.net)
	x.lateCalms++
	x.slowestLate = max(x.slowestLate, took)
	if took <= ackWithin {
		return ""
	}
	return fmt.Sprintf("nothing is acknowledged within %v from here on when all that is in flight comes", ackWithin)
}

// checkLivenessAfterLoss is the rule that every state is live when calm and, where no disk is lost, after any further
// loss that the core must survive.
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

// losses are the largest losses that the core must survive, each for good.
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
	return fmt.Sprintf("nothing is acknowledged within %v from here on while %v", ackWithin, lasting)
}

// timeToAcknowledge is how long the next acknowledgement takes from this state on, with a fault that lasts.
func (x *explorer) timeToAcknowledge(cells cellSet, lasting networkFault) time.Duration {
	key := passOf{cells, lasting}
	if took, ok := x.calms[key]; ok {
		return took
	}
	took := x.playCalm(cells, lasting, nil)
	x.calms[key] = took
	return took
}

// calmToken is the token of the change that is asked for.
const calmToken = 1 << 30

// playCalm plays from a state on until a change is acknowledged. The change is asked for at the primary of the newest
// epoch that isn't cut off, and again when a newer one appears. What is in flight comes first.
func (x *explorer) playCalm(cells cellSet, lasting networkFault, inFlight []uint32) time.Duration {
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
			if a.Token == calmToken && a.Result == Committed {
				acknowledged = r.now
			}
		}
	}
	r.startAll(cells)
	var askedIn uint64
	for acknowledged == neverAcknowledged {
		if i, epoch := r.primary(); i >= 0 && epoch > askedIn {
			askedIn = epoch
			r.input(i, func(m *Machine, now time.Duration) Output { return m.Propose(now, calmToken, []byte("calm")) })
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
			r.cells[i] = r.x.cells[cells[i]].grow(&r.x.err)
			r.input(i, func(m *Machine, now time.Duration) Output { return m.Tick(now) })
		}
	}
}

// primary is the primary of the newest epoch among the machines that can be asked, -1 when there is none.
func (r *timeline) primary() (newest int, epoch uint64) {
	newest = -1
	for i, c := range r.cells {
		if c.m.primary.active && c.m.view.Epoch > epoch && !r.cutOff(i) {
			newest, epoch = i, c.m.view.Epoch
		}
	}
	return newest, epoch
}

// cutOff reports whether machine i is lost to those who ask.
func (r *timeline) cutOff(i int) bool {
	switch r.fault.kind {
	case faultIsolated, faultFrozen:
		return i == int(r.fault.i)
	case faultSplit:
		return r.fault.among(i)
	}
	return false
}

// TestAcknowledgedUnderLastingFault: from a converged core on, the next acknowledgement comes in time while one
// directed link stays cut, one machine stays cut off or frozen, or two are that may be lost at once.
func TestAcknowledgedUnderLastingFault(t *testing.T) {
	for _, core := range []struct{ members, survive int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d-%d", core.members, core.survive), func(t *testing.T) {
			c := qt.New(t)
			sh := shape{members: core.members, survive: core.survive, served: true}
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
			t.Logf("%d faults, acknowledged within %v", len(x.calms), slowest)
		})
	}
}
