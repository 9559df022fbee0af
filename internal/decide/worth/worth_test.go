package worth

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

// The class that is served worst is worth more by its part of the objective, the less of it comes
// the more, and another that is served worse takes its place.
func TestWorstClass(t *testing.T) {
	set := &settings.Settings{Classes: []settings.Class{{Credit: 2}, {Credit: 5}},
		Objective: settings.Objective{Whole: 0.5, WorstWindow: 0.1, WorstClass: 0.4}}
	tally := New(set)
	serve := func(won int) {
		for range 2000 {
			tally.Asked(0)
			tally.Asked(1)
			tally.Won(won)
		}
	}
	serve(1)
	if a, b := tally.Of(0), tally.Of(1); a <= 0.6*2 || b != 0.6*5 {
		t.Errorf("class 0 is starved and worth %v, class 1 %v", a, b)
	}
	serve(0)
	if a, b := tally.Of(0), tally.Of(1); a != 0.6*2 || b <= 0.6*5 {
		t.Errorf("class 1 is starved and worth %v, class 0 %v", b, a)
	}
}
