package asking

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// roster takes calls in turn, so many a second; one that has waited a second fails, and has
// cost its turn all the same. One that would wait two is turned away.
type roster struct{ perSecond, free float64 }

func (r *roster) call(at float64) (answered bool, end float64) {
	start := max(at, r.free)
	if start-at > 2000 {
		return false, at + 1
	}
	r.free = start + 1000/r.perSecond
	return start-at < 1000, min(start, at+1000) + 1
}

// Eighty agents that start in one moment, and eighty that are killed and started again, all follow
// in the contract's time at a roster that takes a call of each in that time, and nobody asks
// more than a few times.
func TestAFleetIsAnswered(t *testing.T) {
	for _, perSecond := range []float64{10, 16, 40} {
		const agents, within = 80, 10000.0
		rng := rand.New(rand.NewPCG(7, uint64(perSecond)))
		type due struct {
			at float64
			a  *Asking
		}
		var queue []due
		for range agents {
			a := New(within)
			at := a.First(rng.Float64())
			if at < 0 || at >= within {
				t.Fatalf("first asked after %v", at)
			}
			queue = append(queue, due{at, &a})
		}
		r, calls, last := &roster{perSecond: perSecond}, 0, 0.0
		for len(queue) > 0 && calls < 100*agents {
			i := 0
			for j := range queue {
				if queue[j].at < queue[i].at {
					i = j
				}
			}
			d := queue[i]
			queue = slices.Delete(queue, i, i+1)
			calls++
			answered, end := r.call(d.at)
			if answered {
				d.a.Received()
				last = end
				continue
			}
			queue = append(queue, due{end + d.a.Failed(rng.Float64()), d.a})
		}
		if last > 3*within || calls > 4*agents {
			t.Errorf("%v calls a second: all are answered after %.1f s and %d calls", perSecond, last/1000, calls)
		}
	}
}

// Waits double from call to call, are never longer than the contract's time, and begin anew
// after an answer.
func TestFailed(t *testing.T) {
	a := New(10000)
	for _, want := range []float64{2000, 4000, 8000, 10000, 10000} {
		b := a
		if got, least := b.Failed(1), a.Failed(0); got != want || least != want/2 {
			t.Errorf("waits %v to %v, want %v to %v", least, got, want/2, want)
		}
	}
	if a.Received(); a.Failed(1) != 2000 {
		t.Error("an answer is forgotten")
	}
	if short := New(500); short.Failed(1) != 500 {
		t.Error("waits past the contract's time")
	}
}
