package nodeagent

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

// modelServer models a control server in virtual time.
type modelServer struct {
	state       serverState
	lastContact time.Duration // the last contact that it reports
}

type serverState int

const (
	connected   serverState = iota // connected to the primary
	partitioned                    // answers, but has had no contact with the primary since the partition
	unreachable                    // refuses or doesn't answer connections
	frozen                         // accepts connections and sends no response
)

// simulateSearch simulates an agent with a serverSelection in virtual time from the start of the partition, during a
// pull from a partitioned server. It returns the time until a connected server answers, and the number of pulls until
// then.
func simulateSearch(
	selection serverSelection, readTimeout, roundTrip, age time.Duration, servers []modelServer,
) (took time.Duration, pulls int) {
	start := time.Unix(1000, 0)
	now := time.Duration(0)
	lastContact := -age
	dial := max(readTimeout/3, 100*time.Millisecond)
	for i := 0; ; i++ {
		s := servers[i%len(servers)]
		selection.begin(start.Add(now))
		switch s.state {
		case unreachable:
			now += dial
		case frozen:
			now += roundTrip
			if selection.keepFollowing(start.Add(now), now-lastContact, len(servers)) {
				now += selection.pullTimeout(now-lastContact, len(servers)) + readTimeout
			}
		default:
			now += roundTrip
			for selection.keepFollowing(start.Add(now), now-lastContact, len(servers)) {
				pulls++
				if s.state == connected {
					return now + roundTrip, pulls
				}
				now += selection.pullTimeout(now-lastContact, len(servers)) + roundTrip
				lastContact = max(lastContact, s.lastContact)
			}
		}
		selection.end()
		now += maxBackoff
	}
}

// TestPartitionedServerIsLeftInTime: whatever state the servers are in and whenever the partition begins, an agent gets
// a response from a connected server within
//
//	limit + minPullTimeout + a round trip, then for each other server the longest backoff and
//	 2 round trips if it is partitioned, a dial time-out if dead, a round trip and a read time-out if frozen,
//	and the backoff and 2 round trips for the connected one.
//
// With one or two partitioned servers this is below the time in which a change must be in force.
func TestPartitionedServerIsLeftInTime(t *testing.T) {
	c := qt.New(t)
	const heartbeat, roundTrip = 1200 * time.Millisecond, 40 * time.Millisecond
	for _, apply := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
		longPoll, readTimeout := distribution.PullTimeouts(apply, heartbeat)
		limit := contactAgeLimit(longPoll, readTimeout)
		worst := time.Duration(0)
		rng := rand.New(rand.NewPCG(1, uint64(apply)))
		for range 20_000 {
			servers := make([]modelServer, 2+rng.IntN(4))
			bound := limit + minPullTimeout + roundTrip
			for i := range servers[:len(servers)-1] {
				servers[i] = modelServer{
					state:       serverState(1 + rng.IntN(3)),
					lastContact: -time.Duration(rng.Int64N(int64(longPoll))),
				}
			}
			servers[0].state = partitioned
			for _, s := range servers[1 : len(servers)-1] {
				switch s.state {
				case partitioned:
					bound += maxBackoff + 2*roundTrip
				case unreachable:
					bound += maxBackoff + max(readTimeout/3, 100*time.Millisecond)
				case frozen:
					bound += maxBackoff + roundTrip + readTimeout
				}
			}
			bound += maxBackoff + 2*roundTrip
			selection := serverSelection{longPoll: longPoll, maxContactAge: limit}
			took, _ := simulateSearch(selection, readTimeout, roundTrip, 0, servers)
			c.Assert(took <= bound, qt.IsTrue, qt.Commentf("%v, bound %v: %+v", took, bound, servers))
			fewPartitioned := len(servers) == 2 || len(servers) == 3 && servers[1].state != frozen ||
				len(servers) == 4 && servers[1].state == partitioned && servers[2].state == partitioned
			if fewPartitioned {
				worst = max(worst, took)
			}
		}
		t.Logf("apply %v: longPoll %v, limit %v, with one or two partitioned %v at the most", apply, longPoll, limit, worst)
		c.Assert(worst < apply*4/5, qt.IsTrue, qt.Commentf("%v", worst))
	}
}

// TestPullRateIsBoundedWithoutPrimary: while no primary can be reached, the agent pulls from all servers once without a
// wait and then watches each for a long poll, which is the rate of pulls without a fault.
func TestPullRateIsBoundedWithoutPrimary(t *testing.T) {
	c := qt.New(t)
	const known = 3
	selection := serverSelection{longPoll: 400 * time.Millisecond, maxContactAge: 900 * time.Millisecond}
	now := time.Unix(1000, 0)
	const old = time.Hour
	var waits []time.Duration
	for range 3 * known {
		selection.begin(now)
		for selection.keepFollowing(now, old, known) {
			wait := selection.pullTimeout(old, known)
			waits = append(waits, wait)
			now = now.Add(wait + time.Millisecond)
		}
		selection.end()
	}
	c.Assert(waits[:known], qt.DeepEquals, []time.Duration{0, 0, 0})
	for _, wait := range waits[known:] {
		c.Assert(wait, qt.Equals, selection.longPoll)
	}
	c.Assert(waits, qt.HasLen, 3*known)
	// A server with a recent contact ends the search.
	selection.begin(now)
	c.Assert(selection.keepFollowing(now, 0, known), qt.IsTrue)
	selection.end()
	selection.begin(now)
	c.Assert(selection.pullTimeout(old, known), qt.Equals, time.Duration(0))
}
