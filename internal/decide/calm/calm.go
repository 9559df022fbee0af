// Package calm distinguishes overloaded servers from busy ones by latency alone. It estimates the
// latency without queueing and derives the mean latency above which a server counts as overloaded.
// Latencies are fractions of the latency target of their class.
//
// The package has no I/O, no clock and no locks: a Baseline is used by one goroutine at a time.
package calm

import (
	"math"

	"molepaddle/internal/decide/arith"
)

const (
	// MaxTargetFraction is the fraction of the latency target that the mean latency of a server may
	// reach once it has warmed up.
	MaxTargetFraction = 0.5
	// overloadFactor is the multiple of the unloaded latency that a server may reach without counting
	// as overloaded.
	overloadFactor = 1.5
	// warmupSamples is the number of answers that make up the first baseline.
	warmupSamples = 50
	// meanWeight is the weight of one answer in OverallMean after the first 200, which weigh equally. The
	// weight in Unloaded is derived from it.
	meanWeight = 0.005
)

// Baseline is the estimate of one agent.
type Baseline struct {
	OverallMean float64 // mean latency of this agent's answers from all servers
	Unloaded    float64 // mean latency without overload
	replicas    float64 // number of agents, this one included
	answers     float64
}

// New returns a Baseline without samples. replicas is the number of agents, this one included.
func New(replicas int) *Baseline { return &Baseline{replicas: float64(replicas)} }

// Ready reports whether there are enough samples. Until then no server's window grows, so that the
// load at a start does not distort the estimate.
func (c *Baseline) Ready() bool { return c.answers > warmupSamples }

// Observe records an answer with latency x; alone reports whether it was the only request of this
// agent in flight to its server.
func (c *Baseline) Observe(x float64, alone bool) {
	c.answers++
	c.OverallMean = arith.Mean(c.OverallMean, x, max(meanWeight, 1/c.answers))
	switch {
	case !c.Ready():
		// Neither one quick answer nor an overload at the start may set the baseline (id08146).
		c.Unloaded = min(c.OverallMean, MaxTargetFraction/2)
	case c.OverallMean < c.Unloaded:
		c.Unloaded = arith.Mean(c.Unloaded, c.OverallMean, meanWeight)
	case alone:
		// The fewer agents there are, the more an answer to a lone request says about the unloaded
		// latency: a single agent that took its first quick answers as the baseline would leave its
		// servers idle.
		c.Unloaded = arith.Mean(c.Unloaded, c.OverallMean, meanWeight/min(2*math.Pow(max(c.replicas, 1), 3), 250))
	default: // very slowly, or an overload would become the baseline
		c.Unloaded = arith.Mean(c.Unloaded, c.OverallMean, meanWeight/250)
	}
}

// OverloadLimit returns the mean latency above which a server counts as overloaded. ramp, above 0, is
// the fraction of its capacity that the server has: one that is warming up is slow before it is
// overloaded (i5d0607). If there are few agents, each observes much of the load itself, so its limit
// is higher: it need not avoid a server that answers well within the target.
func (c *Baseline) OverloadLimit(ramp float64) float64 {
	least := 2 * MaxTargetFraction / (2 + c.replicas)
	return min(MaxTargetFraction, max(overloadFactor*c.Unloaded, least)) / ramp
}
