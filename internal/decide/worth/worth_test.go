package worth

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

// A request of the class that is served worst has a higher value by its part of the objective, and the
// worst class changes when another is served worse.
func TestWorstClassIsWorthMore(t *testing.T) {
	set := &settings.Settings{Classes: []settings.Class{{Value: 2}, {Value: 5}},
		Objective: settings.Objective{Overall: 0.5, WorstWindow: 0.1, WorstClass: 0.4}}
	tally := New(set)
	serve := func(won int) {
		for range 2000 {
			tally.ObserveRequest(0)
			tally.ObserveRequest(1)
			tally.ObserveInTime(won)
		}
	}
	serve(1)
	if a, b := tally.MarginalValue(0), tally.MarginalValue(1); a <= 0.6*2 || b != 0.6*5 {
		t.Errorf("class 0 is starved: value %v, class 1 %v", a, b)
	}
	serve(0)
	if a, b := tally.MarginalValue(0), tally.MarginalValue(1); a != 0.6*2 || b <= 0.6*5 {
		t.Errorf("class 1 is starved: value %v, class 0 %v", b, a)
	}
}
