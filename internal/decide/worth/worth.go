// Package worth computes what a request served in time adds to the objective: its part of the overall
// result, plus that of the worst class if it belongs to it. It has no I/O, no clock and no locks: a
// Tally is used by one goroutine at a time.
package worth

import (
	"slices"

	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/settings"
)

// fade is the decay per request: requests are counted over about the last 500.
const fade = 0.998

// Tally holds, for each class, its share of the requests and of those served in time.
type Tally struct {
	set              *settings.Settings
	requests, inTime []float64
	worstClass       int     // the class with the lowest ratio of requests served in time
	meanValue        float64 // of a request
}

// New returns a Tally in which all classes are served equally well.
func New(set *settings.Settings) *Tally {
	t := &Tally{set: set}
	t.Remap(make([]int, len(set.Classes)))
	return t
}

// Remap follows a change of the settings: class i takes over the counts of class from[i], if that is a
// valid number.
func (t *Tally) Remap(from []int) {
	ones := func() []float64 { return slices.Repeat([]float64{1}, len(from)) }
	t.requests, t.inTime = budget.Remap(t.requests, ones(), from), budget.Remap(t.inTime, ones(), from)
	t.worstClass = max(slices.IndexFunc(t.set.Classes, func(c settings.Class) bool { return !c.Retired }), 0)
}

// ObserveRequest counts a request of a class.
func (t *Tally) ObserveRequest(class int) {
	t.meanValue = 0
	for i, c := range t.set.Classes {
		t.requests[i] *= fade
		t.inTime[i] *= fade
		if i == class {
			t.requests[i] += 1 - fade
		}
		t.meanValue += t.requests[i] * c.Value
		if !c.Retired && t.inTime[i]*t.requests[t.worstClass] < t.inTime[t.worstClass]*t.requests[i] {
			t.worstClass = i
		}
	}
}

// ObserveInTime counts a request of a class that was served in time.
func (t *Tally) ObserveInTime(class int) { t.inTime[class] += 1 - fade }

// MarginalValue returns what serving another request of a class adds to the objective.
func (t *Tally) MarginalValue(class int) float64 {
	o := &t.set.Objective
	v := t.set.Classes[class].Value * (o.Overall + o.WorstWindow)
	if class == t.worstClass {
		v += o.WorstClass * t.meanValue / t.requests[class]
	}
	return v
}
