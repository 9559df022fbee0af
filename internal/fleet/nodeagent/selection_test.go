package nodeagent

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

// modelServer is a control server as a node agent sees it in virtual time.
type modelServer struct {
	state       serverState
	lastContact time.Duration // that it reports
}

type serverState int

const (
	connected   serverState = iota // in touch with the primary all the while
	partitioned                    // answers, but has had no contact with the primary since the partition
	dead                           // refuses or doesn't answer connections
	frozen                         // takes connections and says nothing
)

// simulateSearch plays serverSelection in virtual time, from the moment of the partition on, with the agent in the
// middle of a pull at a partitioned server. It returns how long it takes until a connected server answers, and the
// pulls until then.
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
		case dead:
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

// TestPartitionedServerIsLeftInTime: whatever state the servers are in and whenever the partition comes, an agent has
// an answer of a connected server within
//
//	limit + minPullTimeout + a round trip, then for each server that it asks in vain the longest backoff and
//	 2 round trips where that is partitioned, a dial's bound where it is dead, a read timeout more where it is frozen,
//	and the backoff and 2 round trips for the connected one.
//
// One or two partitioned servers leave that below the time in which a change has to be in force.
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
				case dead:
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

// TestPullRateIsBoundedWithoutPrimary: while no primary can be reached, all servers are asked once without a wait
// and then followed for a long poll each, which is the rate of pulls without a fault.
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
