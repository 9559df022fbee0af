package hotkeys

import "testing"

// A key that is rare keeps its order for any draw. A key that makes up all requests gets as many
// orders as its share needs, and a single one if the cap sees all requests.
func TestSplit(t *testing.T) {
	orders := func(same bool, blind float64) int {
		k, seen := New(), map[uint64]bool{}
		for i := range 500 {
			key := uint64(i)
			if same {
				key = 7
			}
			h := k.Split(key, 10, blind, float64(i%100)/100)
			if same && i > window {
				seen[h] = true
			} else if !same && h != key {
				t.Fatalf("rare key %d has the order %d", key, h)
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
