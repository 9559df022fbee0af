package weights

import "testing"

// The own zone weighs more while it answers no slower, up to its price; slow kinds less, where kinds
// are weighed at all.
func TestAnswered(t *testing.T) {
	w := New(1, 0.02, true)
	if w.Of(1, 0) != ownZone || w.Of(0, 0) != 1 || w.Of(-1, -1) != 1 {
		t.Errorf("at first %v at home, %v away", w.Of(1, 0), w.Of(0, 0))
	}
	for range 100 {
		w.Answered(1, 2, 0.1)
		w.Answered(0, 3, 0.4)
	}
	if w.Home != ownPrice*0.02 || w.Of(0, 3) != leastKind || w.Of(0, 2) != 1 {
		t.Errorf("home %v, slow kind %v, quick kind %v", w.Home, w.Of(0, 3), w.Of(0, 2))
	}
	for range 100 {
		w.Answered(1, 2, 0.9)
	}
	if w.Home != ownZone {
		t.Errorf("a slow home weighs %v", w.Home)
	}
	if plain := New(0, 0, false); true {
		for range 100 {
			plain.Answered(1, 3, 1)
			plain.Answered(1, 4, 0.1)
		}
		if plain.Of(1, 3) != 1 {
			t.Error("kinds are weighed where the list says weights")
		}
	}
}
