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
	Seat    uint64 // the disk's id; not 0
	Machine string
	Zone    string
	Well    bool // it is there, and nobody doubts it
	Out     bool // its machine is to be left alone
}

// Chooser remembers for how long somebody who sits has been away.
type Chooser struct {
	Size  int // seats: 1, 3 or 5
	After int // ticks that somebody is away before another takes the seat

	away map[uint64]int
}

// Next is who should sit, given who does: at most one seat is another's than before, and one that is to
// be left stays until another is there to take it. The same candidates in any order give the same.
func (c *Chooser) Next(sits []uint64, all []Candidate) []uint64 {
	known := map[uint64]*Candidate{}
	for i := range all {
		if o := &all[i]; o.Seat != 0 && (known[o.Seat] == nil || o.Well) {
			known[o.Seat] = o
		}
	}
	was := c.away
	c.away = map[uint64]int{}
	next := slices.Clone(sits)
	slices.Sort(next)
	next = slices.Compact(next)
	var worst uint64 // of those that should give way
	grade := 0
	for _, id := range next {
		g := 0
		switch o := known[id]; {
		case o == nil || !o.Well:
			if c.away[id] = was[id] + 1; c.away[id] > c.After {
				g = 3
			}
		case o.Out:
			g = 2
		case slices.ContainsFunc(next, func(b uint64) bool {
			return b > id && known[b] != nil &&
				known[b].Machine == o.Machine
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
			worst = c.spare(next, known)
		}
		return without(worst)
	case len(next) < c.Size:
		if best := c.best(next, known); best != 0 {
			next = append(next, best)
		}
	case worst != 0:
		rest := without(worst)
		if best := c.best(rest, known); best != 0 {
			return append(rest, best)
		}
	default:
		return c.spread(next, known)
	}
	return next
}

// zones counts seats by zone.
func zones(sits []uint64, known map[uint64]*Candidate) map[string]int {
	n := map[string]int{}
	for _, id := range sits {
		if o := known[id]; o != nil {
			n[o.Zone]++
		}
	}
	return n
}

// best is who should come to those who sit; 0: nobody can.
func (c *Chooser) best(sits []uint64, known map[uint64]*Candidate) (best uint64) {
	taken := zones(sits, known)
	order := func(a, b uint64) int {
		return cmp.Or(cmp.Compare(taken[known[a].Zone], taken[known[b].Zone]), cmp.Compare(arith.Mix(a), arith.Mix(b)))
	}
	for id, o := range known {
		if !o.Well || o.Out || slices.Contains(sits, id) || slices.ContainsFunc(sits,
			func(s uint64) bool { return known[s] != nil && known[s].Machine == o.Machine }) {
			continue
		}
		if best == 0 || order(id, best) < 0 {
			best = id
		}
	}
	return best
}

// spare is who goes where there are more than are wanted: one in the zone with the most.
func (c *Chooser) spare(sits []uint64, known map[uint64]*Candidate) uint64 {
	taken := zones(sits, known)
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

// spread moves one seat to a zone that has none, out of one that has several.
func (c *Chooser) spread(sits []uint64, known map[uint64]*Candidate) []uint64 {
	taken := zones(sits, known)
	gives := c.spare(sits, known)
	if known[gives] == nil || taken[known[gives].Zone] < 2 {
		return sits
	}
	rest := slices.DeleteFunc(slices.Clone(sits), func(o uint64) bool { return o == gives })
	if best := c.best(rest, known); best != 0 && taken[known[best].Zone] == 0 {
		return append(rest, best)
	}
	return sits
}
