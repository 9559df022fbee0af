// Package law draws the random inputs of the lab: work, arrivals, keys. They depend only on the seed
// and the purpose, so that a play in virtual time and one over sockets get the same requests. It
// consists of values and plain functions; a generator that Source returns belongs to one goroutine.
package law

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/rig/scenario"
)

// Seed derives the seed of a named part from the seed of a play.
func Seed(seed uint64, part string) uint64 {
	for _, c := range []byte(part) {
		seed = arith.Mix(seed ^ uint64(c))
	}
	return arith.Mix(seed)
}

// Source returns the random number generator of a named part of a play.
func Source(seed uint64, part string) *rand.Rand {
	s := Seed(seed, part)
	return rand.New(rand.NewPCG(s, arith.Mix(s)))
}

// Uniform returns a number above 0 and below 1 that depends only on its arguments, not on earlier calls.
func Uniform(seed uint64, of ...uint64) float64 {
	for _, x := range of {
		seed = arith.Mix(seed ^ x)
	}
	return (float64(seed>>11) + 0.5) / (1 << 53)
}

// WorkDistribution is the distribution of a class's work, with the mean and the law of the class.
type WorkDistribution struct {
	quantile func(p float64) float64
}

// NewWorkDistribution returns the work distribution of a class, in milliseconds.
func NewWorkDistribution(c *scenario.Class) WorkDistribution {
	mean := c.Work.Ms()
	switch c.Law {
	case "fixed":
		return WorkDistribution{func(float64) float64 { return mean }}
	case "lognormal":
		sigma2 := math.Log(1 + c.CV*c.CV)
		return WorkDistribution{distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2)}.Quantile}
	case "pareto":
		// cv^2 = 1/(a(a-2)), so a = 1 + sqrt(1 + 1/cv^2).
		alpha := 1 + math.Sqrt(1+1/(c.CV*c.CV))
		xm := mean * (alpha - 1) / alpha
		return WorkDistribution{func(p float64) float64 { return xm * math.Pow(1-p, -1/alpha) }}
	}
	return WorkDistribution{func(p float64) float64 { return -mean * math.Log(1-p) }}
}

// At returns the quantile at p, above 0 and below 1.
func (w WorkDistribution) At(p float64) float64 { return w.quantile(p) }

// Zipf draws from 1 to n, k with a weight of k to the power of -s, for any s from 0 on.
type Zipf struct {
	sums []float64
}

// NewZipf returns a Zipf distribution; n is at least 1.
func NewZipf(n int, s float64) *Zipf {
	z := &Zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	for i := range z.sums {
		z.sums[i] /= sum
	}
	return z
}

// At returns the quantile at p.
func (z *Zipf) At(p float64) int {
	return min(sort.SearchFloat64s(z.sums, p), len(z.sums)-1) + 1
}

// Request is a planned request of a client.
type Request struct {
	At          float64 // ms from the start
	Agent       int32
	Class       int32
	Key         uint32  // 0: none
	Work        float32 // ms on a core of speed 1
	Patience    float32 // ms until its client gives up
	LeavesAfter float32 // ms until it disconnects; 0: it does not
	Portal      int32
}

// loadFactor returns the factor by which the timeline scales the load at a time.
func loadFactor(s *scenario.Scenario, at float64) float64 {
	f := 1.0
	for i := range s.Events {
		if e := &s.Events[i]; e.Kind == "load" && at >= e.At.Ms() && (e.For == 0 || at < e.At.Ms()+e.For.Ms()) {
			f *= e.Factor
		}
	}
	return f
}

// arrivalShape returns the arrival rate of a portal at a time over its mean: bursts last a fifth of their
// period, and the rest of the period is below the mean so that the mean is kept.
func arrivalShape(p *scenario.Portal, at float64) float64 {
	phase := 0.0
	if p.Period > 0 {
		phase = math.Mod(at, p.Period.Ms()) / p.Period.Ms()
	}
	switch p.Arrivals {
	case "bursts":
		if phase < 0.2 {
			return 1 + 4*p.Swing
		}
		return 1 - p.Swing
	case "diurnal":
		return 1 + p.Swing*math.Sin(2*math.Pi*phase)
	}
	return 1
}

// Plan draws all requests of a scenario, in order of their times. Arrivals are Poisson processes
// thinned from the highest rate; the plan does not depend on the outcome of requests.
func Plan(s *scenario.Scenario, seed uint64) []Request {
	var plan []Request
	shares, sum := make([]float64, len(s.Classes)), 0.0
	works := make([]WorkDistribution, len(s.Classes))
	for i := range s.Classes {
		sum += s.Classes[i].Share
		shares[i] = sum
		works[i] = NewWorkDistribution(&s.Classes[i])
	}
	top := 1.0
	for i := range s.Events {
		if e := &s.Events[i]; e.Kind == "load" {
			top *= max(e.Factor, 1)
		}
	}
	first := 0
	for i := range s.Portals {
		p := &s.Portals[i]
		rng := Source(seed, "portal"+string(rune('a'+i)))
		agents := NewZipf(p.Agents, p.Skew)
		var keys *Zipf
		if p.Keys > 0 {
			keys = NewZipf(p.Keys, p.Zipf)
		}
		add := func(at float64) {
			a := Request{At: at, Portal: int32(i), Agent: int32(first + agents.At(rng.Float64()) - 1)}
			a.Class = int32(min(sort.SearchFloat64s(shares, rng.Float64()*sum), len(shares)-1))
			if keys != nil {
				a.Key = uint32(i)<<24 | uint32(keys.At(rng.Float64()))
			}
			a.Work = float32(works[a.Class].At(max(rng.Float64(), 1e-12)))
			a.Patience = float32(s.Classes[a.Class].GiveUp.Ms() * (p.Patience[0] + (p.Patience[1]-p.Patience[0])*rng.Float64()))
			if p.Leaves > 0 {
				if x, at := rng.Float64(), rng.Float64(); x < p.Leaves {
					a.LeavesAfter = a.Patience * float32(at)
				}
			}
			plan = append(plan, a)
		}
		if p.Arrivals == "list" {
			for _, at := range p.At {
				if at < s.Length {
					add(at.Ms())
				}
			}
		} else {
			most := s.PortalRate(p) / 1000 * top * (1 + 4*p.Swing)
			for at := rng.ExpFloat64() / most; at < s.Length.Ms(); at += rng.ExpFloat64() / most {
				if rng.Float64()*top*(1+4*p.Swing) < arrivalShape(p, at)*loadFactor(s, at) {
					add(at)
				}
			}
		}
		first += p.Agents
	}
	slices.SortStableFunc(plan, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// Zones returns the zone of each agent, by its number.
func Zones(s *scenario.Scenario) []int {
	var zones []int
	turn := 0
	for i := range s.Portals {
		for range s.Portals[i].Agents {
			z := slices.Index(s.Zones, s.Portals[i].Zone)
			if z < 0 {
				z = turn % len(s.Zones)
				turn++
			}
			zones = append(zones, z)
		}
	}
	return zones
}

// Paths contains the one-way delays between zones.
type Paths struct {
	mean, loss, stall []float64
	zones             int
	jitter            float64
}

// NewPaths returns the paths of a scenario.
func NewPaths(s *scenario.Scenario) *Paths {
	n := len(s.Zones)
	p := &Paths{mean: make([]float64, n*n), loss: make([]float64, n*n), stall: make([]float64, n*n), zones: n, jitter: s.Network.Jitter}
	for i := range n * n {
		p.mean[i], p.loss[i], p.stall[i] = s.Network.Cross.Ms(), s.Network.Loss, s.Network.Stall.Ms()
		if i/n == i%n {
			p.mean[i] = s.Network.Same.Ms()
		}
	}
	for _, pair := range s.Network.Pairs {
		a, b := slices.Index(s.Zones, pair.Zones[0]), slices.Index(s.Zones, pair.Zones[1])
		for _, i := range []int{a*n + b, b*n + a} {
			p.mean[i], p.loss[i] = pair.Delay.Ms(), pair.Loss
			if pair.Stall > 0 {
				p.stall[i] = pair.Stall.Ms()
			}
		}
	}
	return p
}

// Mean returns the mean one-way delay between two zones, in milliseconds.
func (p *Paths) Mean(from, to int) float64 { return p.mean[from*p.zones+to] }

// Draw returns the delay of one message, with jitter and the stall after a loss.
func (p *Paths) Draw(from, to int, rng *rand.Rand) float64 {
	i := from*p.zones + to
	t := p.mean[i]
	if p.jitter > 0 {
		t *= 1 + p.jitter*(2*rng.Float64()-1)
	}
	if p.loss[i] > 0 && rng.Float64() < p.loss[i] {
		t += p.stall[i]
	}
	return t
}

// Ms converts milliseconds to a Duration.
func Ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
