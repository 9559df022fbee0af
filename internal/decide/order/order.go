// Package order puts the places a request may go to in the order in which it tries them. Values only, no
// I/O, no clock.
package order

import (
	"cmp"
	"slices"
)

// Place is one that a request may go to. Lower comes first in each figure, and the figures count in turn.
type Place struct {
	Index int // the caller's; the last word between equals
	Tier  int
	Cost  float64 // any one unit, finite
	Over  bool    // comes behind those of its tier and cost that are not
	Score float64
}

// Sort sorts places. Costs of a tier that are no more than tolerance (0 or more, in the unit of the costs)
// above the lowest of them are equal, then those as near to the lowest of the rest, and so on; it sets them
// equal. It takes O(n log n) and allocates nothing.
func Sort(places []Place, tolerance float64) {
	slices.SortFunc(places, cheaper)
	for i := 1; i < len(places); i++ {
		p, lowest := &places[i], &places[i-1]
		if p.Tier == lowest.Tier && p.Cost <= lowest.Cost+tolerance {
			p.Cost = lowest.Cost
		}
	}
	slices.SortFunc(places, before)
}

func cheaper(x, y Place) int {
	if x.Tier != y.Tier {
		return cmp.Compare(x.Tier, y.Tier)
	}
	return cmp.Compare(x.Cost, y.Cost)
}

func before(x, y Place) int {
	if d := cheaper(x, y); d != 0 {
		return d
	} else if x.Over != y.Over {
		if x.Over {
			return 1
		}
		return -1
	} else if d := cmp.Compare(x.Score, y.Score); d != 0 {
		return d
	}
	return cmp.Compare(x.Index, y.Index)
}
