// Package order sorts the candidates of a request into the order in which they are tried. It does no I/O
// and reads no clock.
package order

import (
	"cmp"
	"slices"
)

// Candidate is a destination of a request. Candidates are compared by Tier, Cost, Deferred, Score and
// Index, in this order; lower values come first.
type Candidate struct {
	Index    int // of the caller's; breaks ties
	Tier     int
	Cost     float64 // finite; in the same unit for all candidates
	Deferred bool    // sorts after others of the same tier and cost
	Score    float64
}

// Sort sorts candidates. Within a tier, costs that exceed the lowest by no more than tolerance (at least 0, in
// the unit of the costs) count as equal, and Sort sets them to the lowest. The remaining costs are grouped
// the same way. Sort takes O(n log n) time and allocates no memory.
func Sort(candidates []Candidate, tolerance float64) {
	slices.SortFunc(candidates, compareCost)
	for i := 1; i < len(candidates); i++ {
		p, lowest := &candidates[i], &candidates[i-1]
		if p.Tier == lowest.Tier && p.Cost <= lowest.Cost+tolerance {
			p.Cost = lowest.Cost
		}
	}
	slices.SortFunc(candidates, compareCandidate)
}

func compareCost(x, y Candidate) int {
	if x.Tier != y.Tier {
		return cmp.Compare(x.Tier, y.Tier)
	}
	return cmp.Compare(x.Cost, y.Cost)
}

func compareCandidate(x, y Candidate) int {
	if d := compareCost(x, y); d != 0 {
		return d
	} else if x.Deferred != y.Deferred {
		if x.Deferred {
			return 1
		}
		return -1
	} else if d := cmp.Compare(x.Score, y.Score); d != 0 {
		return d
	}
	return cmp.Compare(x.Index, y.Index)
}
