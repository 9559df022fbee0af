package replication

import (
	"fmt"
	"time"
)

// ackWithin is how long the next acknowledgement may take once all is calm: the default of ack_ms.
const ackWithin = 4 * time.Second

// neverAcknowledged is longer than any bound.
const neverAcknowledged = time.Hour

// checkLiveness is a rule on states: when calm from here on, with all links up and all machines alive, a change that is asked
// for at whoever leads is acknowledged in time. What is in flight is lost.
func (x *explorer) checkLiveness(w *world) string {
	took := x.timeToAcknowledge(w.cells)
	if took <= ackWithin {
		return ""
	}
	return fmt.Sprintf("when calm, nothing is acknowledged within %v", ackWithin)
}

// timeToAcknowledge is how long the next acknowledgement takes from this state on when all is calm.
func (x *explorer) timeToAcknowledge(cells cellSet) time.Duration {
	if took, ok := x.calms[cells]; ok {
		return took
	}
	took := x.playCalm(cells, networkFault{})
	x.calms[cells] = took
	return took
}

// playCalm plays from a state on, with a fault that lasts, and returns the time until a change is acknowledged. The change is
// asked for at the primary of the newest epoch, and again when a newer one appears.
func (x *explorer) playCalm(cells cellSet, fault networkFault) time.Duration {
	r := x.newTimeline(cells, fault)
	const token = 1 << 30
	acknowledged := neverAcknowledged
	var askedIn uint64
	r.seen = func(_ int, out Output) {
		for _, a := range out.Answer {
			if a.Token == token && a.Result == Committed {
				acknowledged = r.now
			}
		}
	}
	for i := range r.cells {
		if r.cells[i] != nil && !r.cells[i].m.started || r.cells[i] == nil {
			r.startLate(i, cells)
		}
	}
	for acknowledged == neverAcknowledged {
		newest, epoch := -1, askedIn
		for i, c := range r.cells {
			if c.m.led && c.m.view.Epoch > epoch && !r.asleep(i) {
				newest, epoch = i, c.m.view.Epoch
			}
		}
		if newest >= 0 {
			askedIn = epoch
			r.input(newest, func(m *Machine, now time.Duration) Output { return m.Propose(now, token, []byte("calm")) })
			continue
		}
		if !r.next(ackWithin) {
			break
		}
	}
	return acknowledged
}

// startLate starts a machine that hasn't started yet.
func (r *timeline) startLate(i int, cells cellSet) {
	r.cells[i] = r.x.cells[cells[i]].grow(&r.x.err)
	r.offset[i] = r.cells[i].clock()
	r.input(i, func(m *Machine, now time.Duration) Output { return m.Tick(now) })
}
