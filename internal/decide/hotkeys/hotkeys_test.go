package hotkeys

import "testing"

// A key among many keeps its order whatever is drawn; one that is all there is has as many as its
// share needs, and one order still where the cap sees all.
func TestSplit(t *testing.T) {
	orders := func(same bool, blind float64) int {
		k, seen := New(), map[uint64]bool{}
		for i := range 500 {
			key := uint64(i)
			if same {
				key = 7
			}
			h := k.Split(key, 10, blind, float64(i%100)/100)
			if same && i > memory {
				seen[h] = true
			} else if !same && h != key {
				t.Fatalf("key %d among many has the order %d", key, h)
			}
		}
		return len(seen)
	}
	orders(false, 1)
	if got := orders(true, 1); got != 40 {
		t.Errorf("%d orders, want 40: four parts of each even share", got)
	}
	if got := orders(true, 0); got != 1 {
		t.Errorf("%d orders where the cap sees all", got)
	}
}
