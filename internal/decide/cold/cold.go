// Package cold limits what a server that is warming up may be sent (slow start), so that all agents
// together keep the server contract without communicating: a newly started server fails if it is sent
// more than OverloadFactor times its present capacity.
//
// The package has no I/O, no clock and no locks: callers pass times in milliseconds, and a Share is
// used by one goroutine at a time.
package cold

import (
	"math"

	"molepaddle/internal/decide/settings"
)

const (
	// An even share is computed from the work that warm servers have served, so it never exceeds their
	// capacity. But the keys in their caches may save them three quarters of the work, which a cold
	// server has to do: an even share may cost it this many times as much.
	initialCost = 4.0
	// If the answers are as fast as an idle server's, the cost is lower. minCost is its lower bound,
	// at which OverloadFactor/minCost of the server's capacity is the limit.
	minCost = 2.0
	// If the answers are late, the cost is higher. maxCost is its upper bound, for a fleet that is
	// overloaded as well.
	maxCost = 8.0
	// step is how much an early answer lowers the cost; lateStep, twice as much, is how much a late
	// one raises it.
	step, lateStep = 0.05, 0.1
)

// CapacityFraction returns the fraction of its capacity that a server has by the contract. age is the
// time since it started; started is its assumed start time and listed the one in the endpoint list, 0:
// long ago.
func CapacityFraction(c *settings.Contract, age, started, listed float64) float64 {
	if started <= 0 || age >= c.SlowStartMs || started != listed && age > c.MaxPollIntervalMs {
		return 1 // warm, or a start that was assumed and that the list has not confirmed in time
	}
	return c.SlowStartFraction + (1-c.SlowStartFraction)*max(age, 0)/c.SlowStartMs
}

// Share is the estimate of one agent.
type Share struct {
	contract   *settings.Contract
	cost       float64 // cost of an even share to a cold server, in units of its present capacity
	servedWork float64 // work served by a warm server of weight 1, decaying over the slow-start time
	updatedAt  float64
}

// New returns the Share of an agent without observations.
func New(contract *settings.Contract) *Share {
	return &Share{contract: contract, cost: initialCost}
}

// Fraction returns the fraction of an even share that a server may be sent that has the fraction ramp
// of its capacity. For a cold server it keeps the contract, so that keys move to it as it warms up.
func (s *Share) Fraction(ramp float64) float64 {
	if ramp < 1 {
		return min(ramp*s.contract.OverloadFactor/s.cost, 1)
	}
	return 1
}

// Observe records an answer of a cold server: onTime reports whether its latency is that of a server
// that is not overloaded. One agent reaches each cold server only once in seconds, but all cold
// servers together often, so the estimate is shared by all of them. Load reports are not used, because
// they may be seconds old.
func (s *Share) Observe(onTime bool) {
	if onTime {
		s.cost = max(s.cost*(1-step), minCost)
	} else {
		s.cost = min(s.cost*(1+lateStep), maxCost)
	}
}

// ObserveServed records work that warm servers have served; warm is the total weight of the warm
// servers of this agent, 0 if there are none.
func (s *Share) ObserveServed(now, work, warm float64) {
	if warm > 0 {
		s.servedWork = s.servedWork*math.Exp(min(s.updatedAt-now, 0)/s.contract.SlowStartMs) + work/warm
		s.updatedAt = now
	}
}

// HasBaseline reports whether a warm server was ever observed, so that an even share is known.
func (s *Share) HasBaseline() bool { return s.servedWork > 0 }

// WorkBudget returns the work that a cold server of the given weight and ramp may be sent, ms after
// its last, where no warm server is available to compare it with.
func (s *Share) WorkBudget(ms, weight, ramp float64) float64 {
	return ms * s.servedWork * weight * s.Fraction(ramp) / s.contract.SlowStartMs
}

// UnmeasuredServer describes a cold server of a fleet in which no warm server was ever observed, so
// that no even share is known. Times are in ms.
type UnmeasuredServer struct {
	InFlight        int     // attempts of this agent on the server
	Window          float64 // window of the server, which fast answers increase
	Jitter          float64 // random number of this agent, 0 to 1
	MeanLatency     float64 // of the server; 0: it has not answered yet
	ExpectedLatency float64 // assumed for the request
	LatencyTarget   float64
	Replicas        int     // number of agents
	SinceListed     float64 // time since the server was listed in its present state
	SinceSent       float64 // time since this agent's last attempt on it
	Untried         bool    // this agent has made no attempt on it
}

// HasCapacity reports whether another attempt may be sent. All agents together keep about two attempts
// in flight, multiplied by the server's window, which grows with fast answers. So a server that
// already has as much as it can answer is not overloaded further.
func (u *UnmeasuredServer) HasCapacity() bool {
	gap := u.ExpectedLatency * max(float64(u.Replicas)/2, 1)
	if u.Untried {
		return u.SinceListed >= u.Jitter*gap
	}
	window := max(u.Window, 1)
	if gap = max(gap, u.MeanLatency); u.MeanLatency == 0 { // the expected latency is a guess
		window, gap = 1, max(gap, u.LatencyTarget)
	}
	maxInFlight := 2 * window / float64(max(u.Replicas, 1))
	return float64(u.InFlight) < max(maxInFlight, 1) && u.SinceSent >= gap/window
}
