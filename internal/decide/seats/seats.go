// Package seats chooses which agents are members of the council: always on different machines, in different
// zones where possible, and with as few changes as possible. The council's leader calls it once a tick with its
// view of the agents. The package only chooses: package council changes the membership. docs/design/work.md
// explains the design.
//
// The package does no I/O and reads no clock. A Chooser isn't safe for concurrent use: only the goroutine that
// owns it may call it.
package seats

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
)

// Candidate is an agent with a disk, which can be a member of the council.
type Candidate struct {
	Seat     uint64 // the ID of its disk; not 0
	Machine  string
	Zone     string
	Healthy  bool // it is running and not suspected by any other agent
	Excluded bool // its machine is on the exclusion list
}

// Chooser chooses the members of the council. It counts for how long each member has been unhealthy.
type Chooser struct {
	Size         int // seats: 1, 3 or 5
	ReplaceAfter int // ticks that a member is unhealthy before it is replaced

	absentTicks map[uint64]int
}

// Next returns the members that the council should have, given the current ones. At most one seat changes per
// call, and a member that should be replaced stays until a replacement is available. The result doesn't
// depend on the order of the candidates.
func (c *Chooser) Next(seated []uint64, candidates []Candidate) []uint64 {
	bySeat := map[uint64]*Candidate{}
	for i := range candidates {
		if o := &candidates[i]; o.Seat != 0 && (bySeat[o.Seat] == nil || o.Healthy) {
			bySeat[o.Seat] = o
		}
	}
	was := c.absentTicks
	c.absentTicks = map[uint64]int{}
	next := slices.Clone(seated)
	slices.Sort(next)
	next = slices.Compact(next)
	var worst uint64 // the member that should be replaced first; 0: none
	grade := 0
	for _, id := range next {
		g := 0
		switch o := bySeat[id]; {
		case o == nil || !o.Healthy:
			if c.absentTicks[id] = was[id] + 1; c.absentTicks[id] > c.ReplaceAfter {
				g = 3
			}
		case o.Excluded:
			g = 2
		case slices.ContainsFunc(next, func(b uint64) bool {
			return b > id && bySeat[b] != nil &&
				bySeat[b].Machine == o.Machine
		}):
			g = 1
		}
		if g > grade {
			worst, grade = id, g
		}
	}
	without := func(id uint64) []uint64 {
		return slices.DeleteFunc(slices.Clone(next), func(o uint64) bool { return o == id })
	}
	switch {
	case len(next) > c.Size:
		if worst == 0 {
			worst = c.surplus(next, bySeat)
		}
		return without(worst)
	case len(next) < c.Size:
		if best := c.best(next, bySeat); best != 0 {
			next = append(next, best)
		}
	case worst != 0:
		remaining := without(worst)
		if best := c.best(remaining, bySeat); best != 0 {
			return append(remaining, best)
		}
	default:
		return c.rebalanceZones(next, bySeat)
	}
	return next
}

// countByZone counts the seats per zone.
func countByZone(seated []uint64, bySeat map[uint64]*Candidate) map[string]int {
	n := map[string]int{}
	for _, id := range seated {
		if o := bySeat[id]; o != nil {
			n[o.Zone]++
		}
	}
	return n
}

// best returns the candidate that should be added to the members; 0: none is suitable.
func (c *Chooser) best(seated []uint64, bySeat map[uint64]*Candidate) (best uint64) {
	taken := countByZone(seated, bySeat)
	order := func(a, b uint64) int {
		return cmp.Or(cmp.Compare(taken[bySeat[a].Zone], taken[bySeat[b].Zone]),
			cmp.Compare(arith.Mix(a), arith.Mix(b)))
	}
	for id, o := range bySeat {
		if !o.Healthy || o.Excluded || slices.Contains(seated, id) || slices.ContainsFunc(seated,
			func(s uint64) bool { return bySeat[s] != nil && bySeat[s].Machine == o.Machine }) {
			continue
		}
		if best == 0 || order(id, best) < 0 {
			best = id
		}
	}
	return best
}

// surplus returns the member to remove if there are too many: one of the zone with the most members.
func (c *Chooser) surplus(seated []uint64, bySeat map[uint64]*Candidate) uint64 {
	taken := countByZone(seated, bySeat)
	return slices.MaxFunc(seated, func(a, b uint64) int {
		za, zb := 1<<20, 1<<20 // a member that is not a candidate is removed first
		if bySeat[a] != nil {
			za = taken[bySeat[a].Zone]
		}
		if bySeat[b] != nil {
			zb = taken[bySeat[b].Zone]
		}
		return cmp.Or(cmp.Compare(za, zb), cmp.Compare(arith.Mix(a), arith.Mix(b)))
	})
}

// rebalanceZones moves one seat from a zone with several to a zone with none.
func (c *Chooser) rebalanceZones(seated []uint64, bySeat map[uint64]*Candidate) []uint64 {
	taken := countByZone(seated, bySeat)
	from := c.surplus(seated, bySeat)
	if bySeat[from] == nil || taken[bySeat[from].Zone] < 2 {
		return seated
	}
	remaining := slices.DeleteFunc(slices.Clone(seated), func(o uint64) bool { return o == from })
	if best := c.best(remaining, bySeat); best != 0 && taken[bySeat[best].Zone] == 0 {
		return append(remaining, best)
	}
	return seated
}
