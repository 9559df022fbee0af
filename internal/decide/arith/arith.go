// Package arith has the arithmetic that the deciding packages share: running means, counts
// over a sliding window, linear regression, mixing of hashes. It has no state of its own;
// its values aren't safe for concurrent use.
package arith

import (
	"math"
	"slices"
)

// Finite makes an untrusted number safe to calculate with. NaN and negative numbers become
// 0; infinity and large numbers become 1e15, which leaves room for sums and squares.
func Finite(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1e15)
}

// Unmet returns limit if now is past it. Otherwise the limit has been met and no longer
// applies: Unmet returns infinity.
func Unmet(now, limit float64) float64 {
	if now <= limit {
		return math.Inf(1)
	}
	return limit
}

// Mean returns the running mean old moved towards x by weight. If old is 0, it returns x.
func Mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// StepWeight returns w moved by one step down or up, within its bounds. The step is a
// fraction of w.
func StepWeight(w, step float64, down bool, least, most float64) float64 {
	if down {
		return max(w/(1+step), least)
	}
	return min(w*(1+step), most)
}

// Median sorts the values and returns the middle one. It returns 0 for fewer than three
// values.
func Median(values []float64) float64 {
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Mix returns x mixed by the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// LinearFit is a linear regression over a stream of points with exponentially decaying
// weights. The zero LinearFit has no points.
type LinearFit struct {
	n                       float64
	meanX, meanY, varX, cov float64
}

// Add adds a point with the given weight, or with an equal share of the weight while there
// are few points.
func (l *LinearFit) Add(x, y, weight float64) {
	l.n++
	w := max(weight, 1/l.n)
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += w * dx
	l.meanY += w * dy
	l.varX += w * (dx*dx*(1-w) - l.varX)
	l.cov += w * (dx*dy*(1-w) - l.cov)
}

// At returns the line's value at x, or 0 if that is negative. It returns 0 while there are
// fewer than least points or all points have the same x.
func (l *LinearFit) At(x, least float64) float64 {
	if l.n < least || l.varX <= 0 {
		return 0
	}
	return max(l.meanY+l.cov/l.varX*(x-l.meanX), 0)
}

// RecentCounts counts the occurrences of each value among the last n values.
type RecentCounts struct {
	last  []uint64
	next  int
	total int
	count map[uint64]int
}

// NewRecentCounts returns a RecentCounts over the last n values; n must be above 0.
func NewRecentCounts(n int) *RecentCounts {
	return &RecentCounts{last: make([]uint64, n), count: make(map[uint64]int, n)}
}

// Add adds a value and returns its share of the values in the window.
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

// FadingWeights holds the share of each kind in a stream of events, with exponentially
// decaying weights: each new event multiplies the older shares by the given factor.
type FadingWeights []float64

// Add counts an event of a kind. A kind out of range is ignored.
func (s FadingWeights) Add(kind int, fade float64) {
	if kind < 0 || kind >= len(s) {
		return
	}
	for i := range s {
		s[i] *= fade
	}
	s[kind] += 1 - fade
}
