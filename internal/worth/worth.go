// Package worth says what a request served in time adds to the objective: a part of the whole, and
// all of the worst class if it is of it. No I/O, no time; a Tally belongs to whoever holds it.
package worth

import "molepaddle/internal/settings"

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
	for range set.Classes {
		t.asked, t.won = append(t.asked, 1), append(t.won, 1)
	}
	return t
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
		if t.won[i]*t.asked[t.worst] < t.won[t.worst]*t.asked[i] {
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
