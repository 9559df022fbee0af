// Package subset decides which servers one of very many agents keeps to, so that the share of
// connections that each agent holds stays bounded as the fleet grows and the load on the servers
// stays even though no agent knows of another.
//
// All agents see the same ring of servers: their order is by a hash of their ids, spread so that
// every arc of the ring holds of each zone what is that zone's by weight. Agent i begins at the
// golden ratio's multiple of i round the ring. Those points are spread evenly whatever the number
// of agents (a Kronecker sequence; three gaps at the most, by Steinhaus), so nothing hangs on that
// number being told right, an agent more or less moves no other, and a server more or less moves
// the ends of arcs by about one server. It is Finagle's deterministic aperture without its need
// to know how many peers there are. The agent is told the servers ranked by how far on from its
// start they stand; it keeps to the first of them that are well, so it widens over those next in
// line in trouble and comes back after.
//
// There is no I/O, no clock and no goroutine here. A Plan belongs to whoever calls it, one
// goroutine at a time.
package subset

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/decide/arith"
)

// Server is one listed server.
type Server struct {
	ID     uint64  // the same at every agent
	Zone   int     //
	Weight float64 // of its capacity; not above 0: 1
}

// golden is the golden ratio's fractional part: its multiples spread most evenly of all.
const golden = 0.6180339887498949

// Start is where the agent with the index begins on the ring, from 0 up to 1.
func Start(index int) float64 {
	_, f := math.Modf(float64(uint32(index)) * golden)
	return f
}

// Positions places the servers on the ring, from 0 up to 1, each at the middle of an arc that is
// its own part of its zone. They depend on nothing but the servers, in whatever order they come.
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

// Pick is a server's place in an agent's order.
type Pick struct {
	Index int     // into the servers given
	Rank  float64 // above 0 and up to 1; lower is nearer
	// Part is how much of the server's weight is this agent's to use: 1 but for those at both
	// ends of the agent's arc, which share them with the arcs beside.
	Part float64
}

// leastPart is how much of a server's arc an agent's must cover for the agent to keep to it.
const leastPart = 0.1

// Order ranks the servers for an agent and tells how many of the first it keeps to: about n of
// them, those that an arc of n mean weights covers. So the agents' arcs together cover each server
// by its weight. Servers of several zones that stand at one place follow each other in an order
// that differs from place to place, so that none is always first.
func Order(index int, servers []Server, n int) (picks []Pick, keep int) {
	at := Positions(servers)
	all := make([]int, len(servers))
	sum := 0.0
	for i := range all {
		all[i] = i
		sum += weight(&servers[i])
	}
	slices.SortFunc(all, func(x, y int) int {
		return cmp.Or(cmp.Compare(at[x], at[y]), cmp.Compare(arith.Mix(servers[x].ID), arith.Mix(servers[y].ID)), cmp.Compare(servers[x].ID, servers[y].ID))
	})
	first, left := 0, Start(index)*sum
	for first < len(all)-1 && left >= (1-leastPart)*weight(&servers[all[first]]) {
		left = math.Max(left-weight(&servers[all[first]]), 0)
		first++
	}
	picks = make([]Pick, len(all))
	for k := range all {
		picks[k] = Pick{Index: all[(first+k)%len(all)], Rank: float64(k+1) / float64(len(all)), Part: 1}
	}
	if n >= len(all) {
		return picks, len(all)
	}
	cover := sum * float64(max(n, 1)) / float64(len(all))
	for k := range picks {
		w := weight(&servers[picks[k].Index])
		part := math.Min(w-left, cover) / w
		left = 0
		if part < leastPart && k > 0 {
			break
		}
		picks[k].Part, keep = math.Max(part, leastPart), k+1
		cover -= part * w
	}
	return picks, keep
}

// Sizes bounds how many servers agents keep to.
type Sizes struct {
	Agents    int     // as told; may be wrong
	PerServer float64 // connections to one server that all agents together hold for their subsets
	Least     int     // mean weights that each agent covers, however many agents there are
	Most      int     // and at the most while nothing is wrong
}

// Base is how many mean weights of so many servers an agent's arc covers. It touches one server
// more on the mean, as both its ends lie within one: that is taken off the agent's part of
// PerServer.
func (z *Sizes) Base(servers int) int {
	n := float64(z.Most)
	if z.PerServer > 0 && z.Agents > 0 {
		n = math.Min(n, math.Max(z.PerServer*float64(servers)/float64(z.Agents)-1, 1))
	}
	return min(max(int(n), z.Least, 1), max(servers, 1))
}

const (
	// widest bounds how far trouble widens a subset; troubled refusals in a calm time widen it
	// once, and calmAfter without one, in seconds, narrows it by one step.
	widest, troubled, calmAfter = 8, 3, 10.0
)

// Width follows trouble: it tells how many times its base an agent's subset is. A subset that
// refuses for want of room is doubled, at once and up to eight times, and halved after ten
// seconds of calm, a little sooner or later at each agent so that they don't move in step.
type Width struct {
	factor  int
	refused int
	since   float64 // of the last refusal or step, in seconds
	stagger float64
}

// NewWidth makes the width of an agent's subset.
func NewWidth(index int) *Width {
	return &Width{factor: 1, stagger: 0.75 + 0.5*Start(index*7+3)}
}

// Refused notes, at a time in seconds, that a request found no room, and reports whether the
// subset widens.
func (w *Width) Refused(now float64) bool {
	if now-w.since > 1 && w.refused < troubled {
		w.refused = 0 // long ago
	}
	w.since = now
	if w.refused++; w.refused < troubled || w.factor >= widest {
		return false
	}
	w.refused, w.factor = 0, w.factor*2
	return true
}

// Calm tells the time in seconds and reports whether the subset narrows.
func (w *Width) Calm(now float64) bool {
	if w.factor == 1 || now-w.since < calmAfter*w.stagger {
		return false
	}
	w.factor, w.since, w.refused = w.factor/2, now, 0
	return true
}

// Factor is how many times its base the subset is.
func (w *Width) Factor() int { return w.factor }

// Hold is how long, in seconds, an agent waits before it begins to send to a process that has
// just started, so that those who keep to it come at no more than rate a second together; at
// most, in seconds, bounds it. salt tells one process from another: it spreads the same agents
// differently each time.
func Hold(index int, salt uint64, z *Sizes, servers int, rate, most float64) float64 {
	if rate <= 0 || z.Agents <= 1 || servers <= 0 {
		return 0
	}
	coming := float64(z.Agents) * float64(z.Base(servers)) / float64(servers)
	_, phase := math.Modf(Start(index) + float64(arith.Mix(salt)>>11)/(1<<53))
	return math.Min(phase*coming/rate, most)
}
