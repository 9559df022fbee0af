// Package worth says what a request served in time adds to the objective: a part of the whole, and
// all of the worst class if it is of it. No I/O, no time; a Tally belongs to whoever holds it.
package worth

import (
	"slices"

	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/settings"
)

// fade lets requests count less with age, over about 500.
const fade = 0.998

// Tally keeps the classes' shares of requests and of those served in time.
type Tally struct {
	set        *settings.Settings
	asked, won []float64
	worst      int     // the class served worst
	credit     float64 // mean worth of a request
}

// New takes all classes for served alike.
func New(set *settings.Settings) *Tally {
	t := &Tally{set: set}
	t.Fit(make([]int, len(set.Classes)))
	return t
}

// Fit follows a change of the settings: class i has been served as class from[i] was, where that is
// the number of one.
func (t *Tally) Fit(from []int) {
	ones := func() []float64 { return slices.Repeat([]float64{1}, len(from)) }
	t.asked, t.won = budget.Fit(t.asked, ones(), from), budget.Fit(t.won, ones(), from)
	t.worst = max(slices.IndexFunc(t.set.Classes, func(c settings.Class) bool { return !c.Retired }), 0)
}

// Asked counts a request of a class.
func (t *Tally) Asked(class int) {
	t.credit = 0
	for i, c := range t.set.Classes {
		t.asked[i] *= fade
		t.won[i] *= fade
		if i == class {
			t.asked[i] += 1 - fade
		}
		t.credit += t.asked[i] * c.Credit
		if !c.Retired && t.won[i]*t.asked[t.worst] < t.won[t.worst]*t.asked[i] {
			t.worst = i
		}
	}
}

// Won counts one that was served in time.
func (t *Tally) Won(class int) { t.won[class] += 1 - fade }

// Of is the worth of another of a class.
func (t *Tally) Of(class int) float64 {
	o := &t.set.Objective
	v := t.set.Classes[class].Credit * (o.Whole + o.WorstWindow)
	if class == t.worst {
		v += o.WorstClass * t.credit / t.asked[class]
	}
	return v
}
