package nodeagent

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

// longestBackoff is the most that an agent waits between two sources, see Run.
const longestBackoff = 100 * time.Millisecond

// modelServer is a control server as a node agent sees it in virtual time.
type modelServer struct {
	state       serverState
	lastContact time.Duration // what it claims: when it last heard the primary
}

type serverState int

const (
	connected   serverState = iota // hears the primary all the while
	partitioned                    // answers, but has not heard the primary since the cut
	dead                           // refuses or doesn't answer connections
	frozen                         // takes connections and says nothing
)

// simulateSearch plays serverSelection in virtual time, from the moment of the cut on, with the agent in the middle of a pull at a source
// that was cut off: when does it hear from one that is in touch?
func simulateSearch(choice serverSelection, silence, trip time.Duration, age time.Duration, sources []modelServer) (took time.Duration, pulls int) {
	start := time.Unix(1000, 0)
	now, heard := time.Duration(0), -age
	dial := max(silence/3, 100*time.Millisecond)
	for i := 0; ; i++ {
		s := sources[i%len(sources)]
		choice.begin(start.Add(now))
		switch s.state {
		case dead:
			now += dial
		case frozen:
			now += trip
			if choice.keepFollowing(start.Add(now), now-heard, len(sources)) {
				now += choice.pullTimeout(now-heard, len(sources)) + silence
			}
		default:
			now += trip
			for choice.keepFollowing(start.Add(now), now-heard, len(sources)) {
				pulls++
				if s.state == connected {
					return now + trip, pulls
				}
				now += choice.pullTimeout(now-heard, len(sources)) + trip
				heard = max(heard, s.lastContact)
			}
		}
		choice.end()
		now += longestBackoff
	}
}

// TestPartitionedServerIsLeftInTime: however the sources stand and whenever the cut comes, an agent hears from one that is in touch within
//
//	limit + minPullTimeout + a round trip, then for each source that it asks in vain the longest pause and
//	 2 round trips where that is cut off, a dial's bound where it is dead, a silence more where it is frozen,
//	and the pause and 2 round trips for the one that is in touch.
//
// One that is cut off, or two, leave that below the time in which a change has to be in force.
func TestPartitionedServerIsLeftInTime(t *testing.T) {
	c := qt.New(t)
	const heartbeat, trip = 1200 * time.Millisecond, 40 * time.Millisecond
	for _, apply := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
		wait, silence := distribution.PullTimeouts(apply, heartbeat)
		limit := contactAgeLimit(wait, silence)
		worst := time.Duration(0)
		rng := rand.New(rand.NewPCG(1, uint64(apply)))
		for range 20_000 {
			sources := make([]modelServer, 2+rng.IntN(4))
			bound := limit + minPullTimeout + trip
			for i := range sources[:len(sources)-1] {
				sources[i] = modelServer{state: serverState(1 + rng.IntN(3)), lastContact: -time.Duration(rng.Int64N(int64(wait)))}
			}
			sources[0].state = partitioned
			for _, s := range sources[1 : len(sources)-1] {
				switch s.state {
				case partitioned:
					bound += longestBackoff + 2*trip
				case dead:
					bound += longestBackoff + max(silence/3, 100*time.Millisecond)
				case frozen:
					bound += longestBackoff + trip + silence
				}
			}
			bound += longestBackoff + 2*trip
			took, _ := simulateSearch(serverSelection{longPoll: wait, maxContactAge: limit}, silence, trip, 0, sources)
			c.Assert(took <= bound, qt.IsTrue, qt.Commentf("%v, bound %v: %+v", took, bound, sources))
			one := len(sources) == 2 || len(sources) == 3 && sources[1].state != frozen || len(sources) == 4 && sources[1].state == partitioned && sources[2].state == partitioned
			if one {
				worst = max(worst, took)
			}
		}
		t.Logf("apply %v: wait %v, limit %v, with one or two cut off %v at the most", apply, wait, limit, worst)
		c.Assert(worst < apply*4/5, qt.IsTrue, qt.Commentf("%v", worst))
	}
}

// TestPullRateIsBoundedWithoutPrimary: while no primary is to be had, all sources are asked once without a wait and then followed
// for a wait each, as pulls in calm times come.
func TestPullRateIsBoundedWithoutPrimary(t *testing.T) {
	c := qt.New(t)
	const known = 3
	choice := serverSelection{longPoll: 400 * time.Millisecond, maxContactAge: 900 * time.Millisecond}
	now, old := time.Unix(1000, 0), time.Hour
	var waits []time.Duration
	for range 3 * known {
		choice.begin(now)
		for choice.keepFollowing(now, old, known) {
			wait := choice.pullTimeout(old, known)
			waits = append(waits, wait)
			now = now.Add(wait + time.Millisecond)
		}
		choice.end()
	}
	c.Assert(waits[:known], qt.DeepEquals, []time.Duration{0, 0, 0})
	for _, wait := range waits[known:] {
		c.Assert(wait, qt.Equals, choice.longPoll)
	}
	c.Assert(waits, qt.HasLen, 3*known)
	// One that is fresh ends the search.
	choice.begin(now)
	c.Assert(choice.keepFollowing(now, 0, known), qt.IsTrue)
	choice.end()
	choice.begin(now)
	c.Assert(choice.pullTimeout(old, known), qt.Equals, time.Duration(0))
}
