package order

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestSort(t *testing.T) {
	c := qt.New(t)
	places := []Candidate{
		{Index: 0, Tier: 1},
		{Index: 1, Cost: 31, Score: 1},
		{Index: 2, Cost: 30, Score: 2, Deferred: true},
		{Index: 3, Cost: 22, Score: 3},
		{Index: 4, Cost: 33, Score: 0}, // more than 10 above the lowest, though close to the next
		{Index: 5, Tier: 1},
	}
	Sort(places, 10)
	var got []int
	for _, p := range places {
		got = append(got, p.Index)
	}
	c.Assert(got, qt.DeepEquals, []int{1, 3, 2, 4, 0, 5})
}

// TestSortProperties: the result is a permutation, tiers are ascending, and within a tier no candidate is
// cheaper by more than the tolerance than an earlier one.
func TestSortProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := rapid.Float64Range(0, 20).Draw(t, "tolerance")
		var places []Candidate
		var costs []float64
		for i := range rapid.IntRange(0, 40).Draw(t, "n") {
			p := Candidate{i, rapid.IntRange(0, 2).Draw(t, "tier"), rapid.Float64Range(0, 100).Draw(t, "cost"),
				rapid.Bool().Draw(t, "over"), rapid.Float64Range(0, 1).Draw(t, "score")}
			places, costs = append(places, p), append(costs, p.Cost)
		}
		Sort(places, tolerance)
		seen := map[int]bool{}
		for i, y := range places {
			if seen[y.Index] {
				t.Fatalf("candidate %d occurs twice", y.Index)
			}
			seen[y.Index] = true
			for _, x := range places[:i] {
				if x.Tier > y.Tier || x.Tier == y.Tier && costs[x.Index] > costs[y.Index]+tolerance+1e-9 {
					t.Fatalf("%+v before %+v", x, y)
				}
			}
		}
		if len(seen) != len(costs) {
			t.Fatalf("%d of %d candidates in the result", len(seen), len(costs))
		}
	})
}
