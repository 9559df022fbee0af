// Package calm tells crowded servers from busy ones by answer times alone: how long answers take
// while nothing is crowded, and from which answer time on a server counts as crowded. Times are
// parts of their class's aim. No I/O, no time; a Calm belongs to whoever holds it.
package calm

import (
	"math"

	"molepaddle/internal/decide/arith"
)

const (
	// CrowdShare is the part of the aim that a server's mean answer time may take.
	CrowdShare = 0.5
	// crowdFactor is how many times the fleet's calm answer time a calm server's may be.
	crowdFactor = 1.5
	// learnFor is the number of answers that make the first measure of calm.
	learnFor = 50
	// slow is the weight of an answer in the fleet's mean.
	slow = 0.005
)

// Calm is the measure that one of so many agents has.
type Calm struct {
	Fleet    float64 // mean answer time of all servers
	Least    float64 // the same when nothing is crowded
	replicas float64
	answers  float64
}

// New starts without a measure. replicas is the number of agents, this one included.
func New(replicas int) *Calm { return &Calm{replicas: float64(replicas)} }

// Learnt tells whether there is a measure: until then no server's window grows, so that a start does
// not crowd what it measures.
func (c *Calm) Learnt() bool { return c.answers > learnFor }

// Answered takes an answer that took x; alone tells that no other of this agent was out on its server.
func (c *Calm) Answered(x float64, alone bool) {
	c.answers++
	c.Fleet = arith.Mean(c.Fleet, x, max(slow, 1/c.answers))
	switch {
	case !c.Learnt():
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		c.Least = min(c.Fleet, CrowdShare/2)
	case c.Fleet < c.Least:
		c.Least = arith.Mean(c.Least, c.Fleet, slow)
	case alone:
		// One that was alone tells more the fewer agents there are: a lone agent that took quick
		// first answers for calm would leave its servers idle.
		c.Least = arith.Mean(c.Least, c.Fleet, slow/min(2*math.Pow(max(c.replicas, 1), 3), 250))
	default: // hardly, or a crowd would become the measure
		c.Least = arith.Mean(c.Least, c.Fleet, slow/250)
	}
}

// Limit is the mean answer time from which a server counts as crowded that has the part ramp of its
// capacity, above 0: a cold one is slow before it is crowded (i5d0607). A few agents see most of the
// load and need not fear to crowd a server that answers well within the aim.
func (c *Calm) Limit(ramp float64) float64 {
	least := 2 * CrowdShare / (2 + c.replicas)
	return min(CrowdShare, max(crowdFactor*c.Least, least)) / ramp
}
