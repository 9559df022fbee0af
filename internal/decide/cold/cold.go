// Package cold settles how much of an even share a cold server may be sent, so that all agents
// together keep the contract with no word between them: one that has just started falls over if it
// is sent more than FallMultiple times what it can do. No I/O, no clock: times in ms come from
// outside. A Share belongs to whoever holds it.
package cold

import (
	"math"

	"molepaddle/internal/decide/settings"
)

const (
	// A share is reckoned from what warm servers have served, so it never counts more than they can
	// do. But keys that they keep warm may save them three quarters of the work, which a cold one has
	// to do: even may cost it this many times its part.
	first = 4.0
	// Where its answers are as quick as an idle server's the work is less than that; down to least,
	// at which it is all that its capacity by the contract is to the others'.
	least = 2.0
	// Where they are late it is more; most is what a fleet may be sent that is crowded as well.
	most = 8.0
	// step is how fast the answers are followed; lateStep the other way, twice as fast.
	step, lateStep = 0.05, 0.1
)

// Ramp is the part of its capacity that a server has by contract which started age ago, at a time that the
// list gives as listed; 0: long ago.
func Ramp(c *settings.Contract, age, started, listed float64) float64 {
	if started <= 0 || age >= c.ColdMs || started != listed && age > c.AskWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(age, 0)/c.ColdMs
}

// Share is one agent's.
type Share struct {
	contract *settings.Contract
	price    float64 // what an even share may cost a cold server, in its present capacity
	flow     float64 // work served by a warm server of weight one, fading over the cold time
	at       float64
}

// New makes the share of an agent that knows nothing yet.
func New(contract *settings.Contract) *Share {
	return &Share{contract: contract, price: first}
}

// Of is the part of an even share that a server may be sent which has the part ramp of its capacity:
// of a cold one what keeps the contract, so that its keys move to it as it warms up.
func (s *Share) Of(ramp float64) float64 {
	if ramp < 1 {
		return min(ramp*s.contract.FallMultiple/s.price, 1)
	}
	return 1
}

// Answered takes an answer of a cold server: whether it came as from one that is not crowded. An
// agent meets each cold server once in seconds, and all of them often: what is learnt is theirs
// together. Their load reports are not asked, since they may be seconds old.
func (s *Share) Answered(calm bool) {
	if calm {
		s.price = max(s.price*(1-step), least)
	} else {
		s.price = min(s.price*(1+lateStep), most)
	}
}

// Served takes work that a warm server has served; warm is the weight of the warm ones that share
// this agent's, 0 if there are none.
func (s *Share) Served(now, work, warm float64) {
	if warm > 0 {
		s.flow = s.flow*math.Exp(min(s.at-now, 0)/s.contract.ColdMs) + work/warm
		s.at = now
	}
}

// Known tells whether a server was ever seen warm, so that there is an even share.
func (s *Share) Known() bool { return s.flow > 0 }

// Earned is the work that a cold server of a weight and a ramp may be sent for ms since its last,
// with no warm one there to earn it.
func (s *Share) Earned(ms, weight, ramp float64) float64 {
	return ms * s.flow * weight * s.Of(ramp) / s.contract.ColdMs
}

// Unmeasured is a cold server where none was ever seen warm, so that nothing tells a share. Times are
// in ms.
type Unmeasured struct {
	Out           int     // attempts that this agent has there
	Window        float64 // that quick answers have let grow
	Draw          float64 // what this agent has drawn, from 0 to 1
	Rtt           float64 // its mean answer time; 0: it has answered nothing
	Mean          float64 // what an answer is taken to need
	LatencyTarget float64
	Replicas      int
	Listed        float64 // since it came to be listed so
	Sent          float64 // since this agent's last attempt there
	New           bool    // there was none
}

// Room tells whether another attempt may be sent. All agents together keep about two out, times what
// quick answers let the server's window grow to: one that has no more than it can answer is not pushed
// over.
func (u *Unmeasured) Room() bool {
	gap := u.Mean * max(float64(u.Replicas)/2, 1)
	if u.New {
		return u.Listed >= u.Draw*gap
	}
	grown := max(u.Window, 1)
	if gap = max(gap, u.Rtt); u.Rtt == 0 { // the mean is a guess
		grown, gap = 1, max(gap, u.LatencyTarget)
	}
	most := 2 * grown / float64(max(u.Replicas, 1))
	return float64(u.Out) < max(most, 1) && u.Sent >= gap/grown
}
