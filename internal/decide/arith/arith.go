// Package arith is the plain arithmetic under the decisions: running means, counts over
// the last so many, a straight line through points, mixing of hashes. Values only; each
// belongs to whoever holds it.
package arith

import (
	"math"
	"slices"
)

// Finite makes what came from outside safe to calculate with: not a number and negative
// become 0, infinite and huge the largest number that leaves room for sums and squares.
func Finite(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// RemainingDeadline is the limit that is left once something has come: none where it was in time, else the same.
func RemainingDeadline(now, limit float64) float64 {
	if now <= limit {
		return math.Inf(1)
	}
	return limit
}

// Mean moves a running mean towards x by weight; the first value is taken whole.
func Mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// StepWeight moves a weight by one step, as a part of it, down or up within its bounds.
func StepWeight(w, step float64, down bool, least, most float64) float64 {
	if down {
		return max(w/(1+step), least)
	}
	return min(w*(1+step), most)
}

// Median is the middle one of the values, which it sorts; of fewer than three it tells
// nothing, and is 0.
func Median(values []float64) float64 {
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// LinearFit is a straight line through points that come one by one, older ones fading: each
// new one has a weight of at least Least. The zero LinearFit has seen none.
type LinearFit struct {
	n                       float64
	meanX, meanY, varX, cov float64
}

// Add takes one more point, of the weight given or, while there are few, of an even share.
func (l *LinearFit) Add(x, y, weight float64) {
	l.n++
	w := max(weight, 1/l.n)
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += w * dx
	l.meanY += w * dy
	l.varX += w * (dx*dx*(1-w) - l.varX)
	l.cov += w * (dx*dy*(1-w) - l.cov)
}

// At is the line's value at x, never below 0; it is 0 while fewer than least points came
// or all of them had the same x.
func (l *LinearFit) At(x, least float64) float64 {
	if l.n < least || l.varX <= 0 {
		return 0
	}
	return max(l.meanY+l.cov/l.varX*(x-l.meanX), 0)
}

// RecentCounts counts how often each value came among the last so many.
type RecentCounts struct {
	last  []uint64
	next  int
	total int
	count map[uint64]int
}

// NewRecentCounts counts over the last n values; n must be above 0.
func NewRecentCounts(n int) *RecentCounts {
	return &RecentCounts{last: make([]uint64, n), count: make(map[uint64]int, n)}
}

// Add counts one more value and returns its share of those that are remembered.
func (r *RecentCounts) Add(v uint64) float64 {
	if r.total == len(r.last) {
		old := r.last[r.next]
		if r.count[old]--; r.count[old] == 0 {
			delete(r.count, old)
		}
	} else {
		r.total++
	}
	r.last[r.next] = v
	r.next = (r.next + 1) % len(r.last)
	r.count[v]++
	return float64(r.count[v]) / float64(r.total)
}

// FadingWeights are the parts that each of a few kinds has of what came, the older counting
// less: each new one fades the rest by the factor given.
type FadingWeights []float64

// Add counts one more of a kind; a number that names none is not counted.
func (s FadingWeights) Add(kind int, fade float64) {
	if kind < 0 || kind >= len(s) {
		return
	}
	for i := range s {
		s[i] *= fade
	}
	s[kind] += 1 - fade
}
