package weights

import "testing"

// The own zone gains weight while it is no slower than the others, up to the bound by its price. Slow
// machine types lose weight, if they are weighted at all.
func TestObserve(t *testing.T) {
	w := New(1, 0.02, true)
	if w.Of(1, 0) != minOwnZone || w.Of(0, 0) != 1 || w.Of(-1, -1) != 1 {
		t.Errorf("initial weights: own zone %v, other zone %v", w.Of(1, 0), w.Of(0, 0))
	}
	for range 100 {
		w.Observe(1, 2, 0.1)
		w.Observe(0, 3, 0.4)
	}
	if w.OwnZone != ownZonePerPrice*0.02 || w.Of(0, 3) != minKindWeight || w.Of(0, 2) != 1 {
		t.Errorf("own zone %v, slow type %v, fast type %v", w.OwnZone, w.Of(0, 3), w.Of(0, 2))
	}
	for range 100 {
		w.Observe(1, 2, 0.9)
	}
	if w.OwnZone != minOwnZone {
		t.Errorf("slow own zone has weight %v", w.OwnZone)
	}
	if plain := New(0, 0, false); true {
		for range 100 {
			plain.Observe(1, 3, 1)
			plain.Observe(1, 4, 0.1)
		}
		if plain.Of(1, 3) != 1 {
			t.Error("machine types are weighted although the list has weights")
		}
	}
}
