// Package doubt tells which groups of servers, those of a zone, are out of an agent's reach as a whole. An agent of
// many meets a server seldom: it would find each of a zone that is cut off silent by itself, at the price of a request
// each. Here several that wait for an answer while nobody of their group gives one are evidence together.
//
// There is no I/O and no clock here; times are in milliseconds of one clock. A Groups belongs to whoever decides.
package doubt

import "slices"

// Enough is the evidence with which a group is doubted. Answer times are taken for exponential at the least, so that
// one unanswered for x times the mean has the chance exp(-x), and several the product of theirs: 7 is one in a
// thousand. Two that are gone at once are not rare where few servers are (lbsim's big-1 lost 0.003 to doubts of two),
// and no server speaks for more than alone, however long it waits.
const (
	Enough = 7.0
	alone  = 4.0
	least  = 3
	// A trial follows the last after as many sends of the agent as this, doubled each time up to the most of them: a
	// part of what it sends, however much that is. It comes after so many bases at the latest.
	first, most = 10, 40
	latest      = 8.0
)

// Groups is what one agent believes.
type Groups struct {
	of      map[int]*group
	doubted int
	sends   int
	changes int
}

type group struct {
	answeredAt float64 // when any of it answered last
	since      float64 // when it came to be doubted
	out        bool    // it is
	due        float64 // when the next trial may be
	last       float64 // and when it is due whatever was sent
	after      int     // of all sends; it is due with that one
	pace       int     // sends until the one after

	evidence float64 // of the look under way
	servers  int
}

// New doubts nobody.
func New() *Groups { return &Groups{of: map[int]*group{}} }

func (g *Groups) at(zone int) *group {
	x := g.of[zone]
	if x == nil {
		x = &group{}
		g.of[zone] = x
	}
	return x
}

// Answered takes that a server of the group has answered anything, and reports whether the group was doubted, and since
// when: what was held against its servers from then on was held against the way to them.
func (g *Groups) Answered(zone int, now float64) (since float64, lifted bool) {
	x := g.at(zone)
	x.answeredAt = now
	if !x.out {
		return 0, false
	}
	x.out = false
	g.doubted--
	g.changes++
	for _, o := range g.of { // who was cut off may be back with all of them
		o.due, o.after, o.pace = min(o.due, now), 0, first
	}
	return x.since, true
}

// Waits takes a server's attempt that has been out since sent without an answer, for so many times what one takes on
// the mean. All of them are told, then Judge is asked.
func (g *Groups) Waits(zone int, sent, times float64) {
	if x := g.at(zone); sent > x.answeredAt {
		x.evidence += min(times, alone)
		x.servers++
	}
}

// Judge reports whether more groups are doubted from now on; base is the time until the first trial.
func (g *Groups) Judge(now, base float64) (more bool) {
	for _, x := range g.of {
		if !x.out && x.servers >= least && x.evidence >= Enough {
			x.out, x.since, x.pace = true, now, first
			g.next(x, now, base)
			g.doubted++
			g.changes++
			more = true
		}
		x.evidence, x.servers = 0, 0
	}
	return more
}

// Changes counts how often what is doubted has changed.
func (g *Groups) Changes() int { return g.changes }

// Doubted is the groups that come behind others, in order; all: each of them is doubted, and none does.
func (g *Groups) Doubted() (zones []int, all bool) {
	if all = g.doubted > 0 && g.doubted == len(g.of); all {
		return nil, true
	}
	for zone, x := range g.of {
		if x.out {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones, false
}

// Of tells whether a group's servers come behind others now. Not where all groups are doubted: then this agent is the
// one who is cut off, or there is one group only, and nobody is to blame.
func (g *Groups) Of(zone int) bool {
	if g.doubted == 0 {
		return false // as nearly always
	}
	x := g.of[zone]
	return x != nil && x.out && g.doubted < len(g.of)
}

// next sets when the next trial is due.
func (g *Groups) next(x *group, now, base float64) {
	x.due, x.last, x.after = now+base, now+latest*base, g.sends+x.pace
	x.pace = min(2*x.pace, most)
}

// Due tells whether a request that may be repeated may try the group.
func (g *Groups) Due(zone int, now float64) bool {
	x := g.at(zone)
	return now >= x.due && (g.sends >= x.after || now >= x.last)
}

// Sent takes that a request went to a server of the group. If it tries a doubted one, the next trial is further away.
// Where most groups are doubted this agent is cut off from them together, and a trial of one is one of all.
func (g *Groups) Sent(zone int, now, base float64) {
	g.sends++
	x := g.at(zone)
	if !x.out || !g.Due(zone, now) {
		return
	}
	for _, o := range g.of {
		if o.out && (o == x || 2*g.doubted > len(g.of)) {
			g.next(o, now, base)
		}
	}
}
