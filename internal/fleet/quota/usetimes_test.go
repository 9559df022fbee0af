package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUseTimes compares useTimes with a sorted slice, step by step.
func TestUseTimes(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var u useTimes
		var want []time.Duration
		now := time.Duration(0)
		for step := range 500 {
			now += time.Duration(rng.IntN(3))
			switch rng.IntN(8) {
			case 0:
				than := now - time.Duration(rng.IntN(60))
				earlier, _ := slices.BinarySearch(want, than)
				qt.Assert(t, u.takeEarlier(than), qt.Equals, earlier)
				want = want[earlier:]
			case 1:
				at := now - time.Duration(rng.IntN(20))
				i := slices.Index(want, at)
				qt.Assert(t, u.take(at), qt.Equals, i >= 0)
				if i >= 0 {
					want = slices.Delete(want, i, i+1)
				}
			default:
				u.add(now)
				want = append(want, now)
			}
			qt.Assert(t, u.count(), qt.Equals, len(want))
			qt.Assert(t, slices.Equal(u.times[u.first:], want), qt.IsTrue, qt.Commentf("seed %d, step %d", seed, step))
		}
	}
}
