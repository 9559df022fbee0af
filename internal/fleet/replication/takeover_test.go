package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longestWait runs one client that writes one change after the other for a duration, and returns the longest time
// between two acknowledgements. A change that fails is retried after 10 ms, and one that is pending once another
// machine leads.
func (s *schedule) longestWait(during time.Duration) time.Duration {
	const retry = 10 * ms
	end, last, longest := s.now+during, s.now, time.Duration(0)
	for s.now < end && s.err == nil {
		primary := s.leader()
		if primary == nil {
			s.advance(retry)
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
			s.advance(retry)
			continue
		}
		longest, last = max(longest, s.now-last), s.now
	}
	return max(longest, s.now-last)
}

// takeovers lists the ways in which a primary may be lost, with the bound on the longest wait for an acknowledgement.
var takeovers = []struct {
	name  string
	bound time.Duration
	do    func(s *schedule, primary *simNode)
}{
	// The backup of rank 1 waits for the election time-out, which a heartbeat may just have restarted; the ballot, the
	// staging and the syncs follow.
	{"killed", progElection + progHeartbeat + 250*ms, func(s *schedule, primary *simNode) { s.kill(primary) }},
	{"killed and back within half a second", progElection + progHeartbeat + 250*ms, func(s *schedule, primary *simNode) {
		s.kill(primary)
		s.after(500*ms, func() { s.start(primary) })
	}},
	{
		"frozen for 20 s", progElection + progHeartbeat + 250*ms,
		func(s *schedule, primary *simNode) { primary.frozen = s.now + 20*time.Second },
	},
	{"graceful shutdown", progHeartbeat + 100*ms, func(s *schedule, primary *simNode) {
		incarnation := primary.incarnation
		s.input(primary, primary.m.Leave(s.clock(primary)))
		var end func()
		end = func() {
			if primary.m == nil || primary.incarnation != incarnation {
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

// TestTakeoverTimes measures how long a client waits for an acknowledgement after each way of losing the primary.
func TestTakeoverTimes(t *testing.T) {
	for _, how := range takeovers {
		for _, of := range []coreCase{{3, 1}, {4, 1}, {8, 2}} {
			t.Run(fmt.Sprintf("%s/%s", how.name, of), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var waits []time.Duration
				for seed := range uint64(*nSeeds) {
					s := newSchedule(c, seed, of)
					s.advance(s.upTo(progHeartbeat))
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

// TestRepairTimes measures the time from the start of a successor until it is a member of a core that tolerates the
// next loss. That must take less than boundSync, for which the successor counts as lost.
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
				s.advance(s.upTo(2 * time.Second))
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
