package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longestWait has one client write change after change, one at a time, and returns the longest wait between two
// acknowledgements during so long. A change that is not acknowledged is sent again 10 ms later, or once another leads.
func (s *schedule) longestWait(during time.Duration) time.Duration {
	const retry = 10 * ms
	end, last, longest := s.now+during, s.now, time.Duration(0)
	for s.now < end && s.err == nil {
		primary := s.leader()
		if primary == nil {
			s.pass(retry)
			continue
		}
		var result Result
		s.calls[s.token+1] = func(_ pendingOutput, a Answer) { result = a.Result }
		s.writeTo(primary)
		s.runUntil(end, func() bool {
			other := s.leader()
			return result != 0 || other != nil && other != primary
		})
		if result != Committed {
			s.pass(retry)
			continue
		}
		longest, last = max(longest, s.now-last), s.now
	}
	return max(longest, s.now-last)
}

// takeovers lists how a primary may go, with the bound on the longest wait for an acknowledgement.
var takeovers = []struct {
	name  string
	bound time.Duration
	do    func(s *schedule, primary *simNode)
}{
	// A backup of rank 1 waits for the time-out, its heartbeat may just have come; then a ballot, a stage and syncs.
	{"killed", progElection + progHeartbeat + 250*ms, func(s *schedule, primary *simNode) { s.kill(primary) }},
	{"killed and back within half a second", progElection + progHeartbeat + 250*ms, func(s *schedule, primary *simNode) {
		s.kill(primary)
		s.after(500*ms, func() { s.start(primary) })
	}},
	{
		"frozen for 20 s", progElection + progHeartbeat + 250*ms,
		func(s *schedule, primary *simNode) { primary.frozen = s.now + 20*time.Second },
	},
	{"told to end", progHeartbeat + 100*ms, func(s *schedule, primary *simNode) {
		life := primary.life
		s.input(primary, primary.m.Leave(s.clock(primary)))
		var end func()
		end = func() {
			if primary.m == nil || primary.life != life {
				return
			}
			if primary.m.Status().Released {
				s.kill(primary)
				return
			}
			s.after(10*ms, end)
		}
		end()
	}},
}

// TestTakeoverTimes measures how long a client waits for an acknowledgement when the primary goes, by the way it goes.
func TestTakeoverTimes(t *testing.T) {
	for _, how := range takeovers {
		for _, of := range []coreCase{{3, 1}, {4, 1}, {8, 2}} {
			t.Run(fmt.Sprintf("%s/%s", how.name, of), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var waits []time.Duration
				for seed := range uint64(*nSeeds) {
					s := newSchedule(c, seed, of)
					s.pass(s.upTo(progHeartbeat))
					how.do(s, s.leader())
					waits = append(waits, s.longestWait(3*time.Second))
					c.Assert(s.err, qt.IsNil, qt.Commentf("seed %d", seed))
				}
				slices.Sort(waits)
				n := len(waits)
				c.Logf(
					"%d takeovers: median %v, 99 in 100 %v, longest %v", n, waits[n/2].Round(ms), waits[n*99/100].Round(ms),
					waits[n-1].Round(ms),
				)
				c.Check(waits[n-1] <= how.bound, qt.IsTrue, qt.Commentf("longest %v, bound %v", waits[n-1], how.bound))
			})
		}
	}
}

// TestRepairTimes measures how long after its start a successor is a member of a core that is whole again: one that
// bears the next loss. It must be whole within the time for which the successor counts as lost.
func TestRepairTimes(t *testing.T) {
	for _, of := range []coreCase{{3, 1}, {4, 1}, {8, 2}} {
		t.Run(of.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var repairs []time.Duration
			for seed := range uint64(*nSeeds) {
				s := newSchedule(c, seed, of)
				l := s.byRole()
				s.remove(l[int(seed)%len(l)])
				s.pass(s.upTo(2 * time.Second))
				successor, began := s.spare(), s.now
				s.runUntil(began+boundSync, func() bool {
					p := s.healthyPrimary()
					return p != nil && p.m.view.has(successor.disk.Identity.ID)
				})
				repairs = append(repairs, s.now-began)
				c.Assert(s.err, qt.IsNil, qt.Commentf("seed %d", seed))
			}
			slices.Sort(repairs)
			n := len(repairs)
			c.Logf(
				"%d repairs: median %v, 99 in 100 %v, longest %v", n, repairs[n/2].Round(ms), repairs[n*99/100].Round(ms),
				repairs[n-1].Round(ms),
			)
			c.Check(repairs[n-1] < boundSync, qt.IsTrue, qt.Commentf("longest %v", repairs[n-1]))
		})
	}
}
