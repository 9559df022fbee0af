// Package subset selects the servers that each of very many agents connects to (deterministic
// subsetting). It bounds the connections per agent and per server as the fleet grows and keeps the
// load on the servers even, although no agent knows of another.
//
// All agents compute the same ring of servers: servers are ordered by a hash of their ids, and spaced
// so that every arc of the ring contains servers of each zone in proportion to the weight of the zone.
// Agent i starts at the i-th multiple of the golden ratio around the ring. Those points are evenly
// spread for any number of agents (a Kronecker sequence; by Steinhaus's theorem there are at most
// three different gaps). So the result does not depend on a correct number of agents, adding or
// removing an agent moves no other one, and adding or removing a server moves the ends of arcs by
// about one server. This is Finagle's deterministic aperture without the need to know the number of
// peers. An agent receives the servers ranked by their distance from its start and uses the first
// healthy ones: under faults its subset extends to the next servers, and shrinks again afterwards.
//
// The package has no I/O, no clock and no goroutines. A Width is called by one goroutine at a time.
package subset

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/decide/arith"
)

// Server is one listed server.
type Server struct {
	ID     uint64 // the same at every agent
	Zone   int
	Weight float64 // capacity; 1 if not above 0
}

// goldenRatio is the fractional part of the golden ratio: its multiples are spread most evenly.
const goldenRatio = 0.6180339887498949

// Start returns the point of the ring, from 0 up to 1, at which the agent with this index begins.
func Start(index int) float64 {
	_, f := math.Modf(float64(uint32(index)) * goldenRatio)
	return f
}

// Positions returns the position of each server on the ring, from 0 up to 1: the middle of an arc that
// is as long as the server's fraction of the weight of its zone. They do not depend on the order of
// the servers.
func Positions(servers []Server) []float64 {
	byZone := map[int][]int{}
	for i := range servers {
		byZone[servers[i].Zone] = append(byZone[servers[i].Zone], i)
	}
	at := make([]float64, len(servers))
	for _, of := range byZone {
		slices.SortFunc(of, func(x, y int) int {
			a, b := &servers[x], &servers[y]
			return cmp.Or(cmp.Compare(arith.Mix(a.ID), arith.Mix(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		sum := 0.0
		for _, i := range of {
			sum += weight(&servers[i])
		}
		before := 0.0
		for _, i := range of {
			w := weight(&servers[i])
			at[i] = (before + w/2) / sum
			before += w
		}
	}
	return at
}

func weight(s *Server) float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}

// Pick is a server in an agent's order.
type Pick struct {
	Index int     // into the servers given
	Rank  float64 // above 0 and up to 1; lower ranks are preferred
	// Fraction is the part of the server's weight that this agent uses: 1 except for the servers at
	// both ends of its arc, which it shares with the adjacent arcs.
	Fraction float64
}

// minFraction is the fraction of a server's arc that an agent's arc must cover for the server to be in
// its subset.
const minFraction = 0.1

// Order ranks the servers for an agent and returns how many of the first are its subset: about n,
// those that an arc of n mean weights covers. So the arcs of all agents together cover each server by
// its weight. Servers of several zones at the same position follow each other in an order that differs
// between positions, so that no zone is always first.
func Order(index int, servers []Server, n int) (picks []Pick, size int) {
	at := Positions(servers)
	all := make([]int, len(servers))
	sum := 0.0
	for i := range all {
		all[i] = i
		sum += weight(&servers[i])
	}
	slices.SortFunc(all, func(x, y int) int {
		return cmp.Or(cmp.Compare(at[x], at[y]), cmp.Compare(arith.Mix(servers[x].ID), arith.Mix(servers[y].ID)),
			cmp.Compare(servers[x].ID, servers[y].ID))
	})
	first, left := 0, Start(index)*sum
	for first < len(all)-1 && left >= (1-minFraction)*weight(&servers[all[first]]) {
		left = math.Max(left-weight(&servers[all[first]]), 0)
		first++
	}
	picks = make([]Pick, len(all))
	for k := range all {
		picks[k] = Pick{Index: all[(first+k)%len(all)], Rank: float64(k+1) / float64(len(all)), Fraction: 1}
	}
	if n >= len(all) {
		return picks, len(all)
	}
	uncovered := sum * float64(max(n, 1)) / float64(len(all))
	for k := range picks {
		w := weight(&servers[picks[k].Index])
		part := math.Min(w-left, uncovered) / w
		left = 0
		if part < minFraction && k > 0 {
			break
		}
		picks[k].Fraction, size = math.Max(part, minFraction), k+1
		uncovered -= part * w
	}
	return picks, size
}

// Sizes bounds the size of the subsets.
type Sizes struct {
	Agents     int     // as configured or observed; may be wrong
	PerServer  float64 // connections that all agents together keep to one server
	MinServers int     // mean weights that each agent covers at least, for any number of agents
	MaxServers int     // mean weights that each agent covers at most while there are no faults
}

// BaseSize returns how many mean weights an agent's arc covers, for so many servers. An arc touches
// one server more on average, because both its ends lie within a server; that is subtracted from the
// agent's part of PerServer.
func (z *Sizes) BaseSize(servers int) int {
	n := float64(z.MaxServers)
	if z.PerServer > 0 && z.Agents > 0 {
		n = math.Min(n, math.Max(z.PerServer*float64(servers)/float64(z.Agents)-1, 1))
	}
	return min(max(int(n), z.MinServers, 1), max(servers, 1))
}

const (
	// maxFactor bounds how far a subset widens. Each widenAfter rejections, no more than a second
	// apart, widen it by one step; narrowAfter seconds without a rejection narrow it by one step.
	maxFactor, widenAfter, narrowAfter = 8, 3, 10.0
)

// Width adapts the size of an agent's subset to rejections for lack of capacity: the size is doubled
// at once, up to eight times the base, and halved after about ten seconds without a rejection. That
// time differs between agents, so that they don't narrow in step.
type Width struct {
	factor     int
	rejections int
	lastChange float64 // time of the last rejection or step, in seconds
	stagger    float64
}

// NewWidth returns the Width of the agent with this index.
func NewWidth(index int) *Width {
	return &Width{factor: 1, stagger: 0.75 + 0.5*Start(index*7+3)}
}

// ObserveRejection records, at a time in seconds, that a request was rejected for lack of capacity,
// and reports whether the subset widens.
func (w *Width) ObserveRejection(now float64) bool {
	if now-w.lastChange > 1 && w.rejections < widenAfter {
		w.rejections = 0 // the earlier rejections are more than a second old
	}
	w.lastChange = now
	if w.rejections++; w.rejections < widenAfter || w.factor >= maxFactor {
		return false
	}
	w.rejections, w.factor = 0, w.factor*2
	return true
}

// Tick advances to a time in seconds and reports whether the subset narrows.
func (w *Width) Tick(now float64) bool {
	if w.factor == 1 || now-w.lastChange < narrowAfter*w.stagger {
		return false
	}
	w.factor, w.lastChange, w.rejections = w.factor/2, now, 0
	return true
}

// Factor returns the multiple of its base that the subset has.
func (w *Width) Factor() int { return w.factor }

// ConnectDelay returns how long, in seconds, an agent waits before it sends to a process that has just
// started, so that the agents with that server in their subset arrive at no more than rate per second
// in total. most bounds the delay, in seconds. salt identifies the process and gives the agents a
// different order for each.
func ConnectDelay(index int, salt uint64, z *Sizes, servers int, rate, most float64) float64 {
	if rate <= 0 || z.Agents <= 1 || servers <= 0 {
		return 0
	}
	coming := float64(z.Agents) * float64(z.BaseSize(servers)) / float64(servers)
	_, phase := math.Modf(Start(index) + float64(arith.Mix(salt)>>11)/(1<<53))
	return math.Min(phase*coming/rate, most)
}
