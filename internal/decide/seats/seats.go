// Package seats chooses which agents sit in the council: on different machines always, in different zones
// where there are, and the same ones for as long as they can. It is asked once a tick by the member that
// leads, with what that sees. docs/design/work.md says why it is made so.
//
// There is no I/O and no clock here. A Chooser belongs to whoever asks it.
package seats

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/arith"
)

// Candidate is an agent that has a disk to sit with.
type Candidate struct {
	Seat     uint64 // the disk's id; not 0
	Machine  string
	Zone     string
	Healthy  bool // it is there, and nobody doubts it
	Excluded bool // its machine is to be left alone
}

// Chooser remembers for how long somebody who sits has been away.
type Chooser struct {
	Size         int // seats: 1, 3 or 5
	ReplaceAfter int // ticks that somebody is away before another takes the seat

	absentTicks map[uint64]int
}

// Next is who should sit, given who does: at most one seat is another's than before, and one that is to
// be left stays until another is there to take it. The same candidates in any order give the same.
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
	var worst uint64 // of those that should give way
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
		rest := without(worst)
		if best := c.best(rest, bySeat); best != 0 {
			return append(rest, best)
		}
	default:
		return c.rebalanceZones(next, bySeat)
	}
	return next
}

// countByZone counts seats by zone.
func countByZone(sits []uint64, known map[uint64]*Candidate) map[string]int {
	n := map[string]int{}
	for _, id := range sits {
		if o := known[id]; o != nil {
			n[o.Zone]++
		}
	}
	return n
}

// best is who should come to those who sit; 0: nobody can.
func (c *Chooser) best(seated []uint64, bySeat map[uint64]*Candidate) (best uint64) {
	taken := countByZone(seated, bySeat)
	order := func(a, b uint64) int {
		return cmp.Or(cmp.Compare(taken[bySeat[a].Zone], taken[bySeat[b].Zone]), cmp.Compare(arith.Mix(a), arith.Mix(b)))
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

// surplus is who goes where there are more than are wanted: one in the zone with the most.
func (c *Chooser) surplus(sits []uint64, known map[uint64]*Candidate) uint64 {
	taken := countByZone(sits, known)
	return slices.MaxFunc(sits, func(a, b uint64) int {
		za, zb := 1<<20, 1<<20 // who is not known goes first
		if known[a] != nil {
			za = taken[known[a].Zone]
		}
		if known[b] != nil {
			zb = taken[known[b].Zone]
		}
		return cmp.Or(cmp.Compare(za, zb), cmp.Compare(arith.Mix(a), arith.Mix(b)))
	})
}

// rebalanceZones moves one seat to a zone that has none, out of one that has several.
func (c *Chooser) rebalanceZones(sits []uint64, known map[uint64]*Candidate) []uint64 {
	taken := countByZone(sits, known)
	gives := c.surplus(sits, known)
	if known[gives] == nil || taken[known[gives].Zone] < 2 {
		return sits
	}
	rest := slices.DeleteFunc(slices.Clone(sits), func(o uint64) bool { return o == gives })
	if best := c.best(rest, known); best != 0 && taken[known[best].Zone] == 0 {
		return append(rest, best)
	}
	return sits
}
