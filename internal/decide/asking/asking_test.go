package asking

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// registryModel answers calls in order, at a fixed rate. A call that waits for more than a second
// fails but still uses its slot; one that would wait for more than two is rejected.
type registryModel struct{ perSecond, nextFree float64 }

func (r *registryModel) call(at float64) (answered bool, end float64) {
	start := max(at, r.nextFree)
	if start-at > 2000 {
		return false, at + 1
	}
	r.nextFree = start + 1000/r.perSecond
	return start-at < 1000, min(start, at+1000) + 1
}

// Eighty agents that start at the same moment are all answered within three intervals by a registry
// that can take a call of each agent per interval, with no more than four calls per agent on average.
func TestWholeFleetIsAnsweredInTime(t *testing.T) {
	for _, perSecond := range []float64{10, 16, 40} {
		const agents, within = 80, 10000.0
		rng := rand.New(rand.NewPCG(7, uint64(perSecond)))
		type due struct {
			at float64
			a  *Backoff
		}
		var queue []due
		for range agents {
			a := New(within)
			at := a.StartDelay(rng.Float64())
			if at < 0 || at >= within {
				t.Fatalf("first call after %v", at)
			}
			queue = append(queue, due{at, &a})
		}
		r, calls, last := &registryModel{perSecond: perSecond}, 0, 0.0
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
				d.a.Reset()
				last = end
				continue
			}
			queue = append(queue, due{end + d.a.RetryDelay(rng.Float64()), d.a})
		}
		if last > 3*within || calls > 4*agents {
			t.Errorf("%v calls per second: all agents answered after %.1f s and %d calls", perSecond, last/1000, calls)
		}
	}
}

// Delays double with each failure up to the interval, and start over after an answer.
func TestRetryDelay(t *testing.T) {
	a := New(10000)
	for _, want := range []float64{2000, 4000, 8000, 10000, 10000} {
		b := a
		if got, least := b.RetryDelay(1), a.RetryDelay(0); got != want || least != want/2 {
			t.Errorf("waits %v to %v, want %v to %v", least, got, want/2, want)
		}
	}
	if a.Reset(); a.RetryDelay(1) != 2000 {
		t.Error("an answer does not reset the delay")
	}
	if short := New(500); short.RetryDelay(1) != 500 {
		t.Error("delay exceeds the interval")
	}
}
