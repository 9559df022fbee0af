package budget

import "molepaddle/internal/decide/arith"

const (
	classWeight = 0.02  // of an answer in its class's mean
	hintWeight  = 0.005 // of an answer in the line over hints, of a hint in their mean
	hintsLeast  = 50    // answers before the line says anything
)

// Needs is how long answers to requests of each class take, and how that grows with the work that
// their clients hint at. Times are in milliseconds, hints in whatever the clients count in.
type Needs struct {
	MeanHint float64 // 0: none came

	mean []float64
	line arith.LinearFit // answer time over hinted work: the network's share does not grow with it
}

// NewNeeds takes for granted a mean for each class, until answers say better.
func NewNeeds(first []float64) *Needs { return &Needs{mean: first} }

// Fit follows other settings: first is what each class is taken for until its answers say better, and
// a class from[i], where that is one that is known, has said what class i takes.
func (n *Needs) Fit(first []float64, from []int) { n.mean = Fit(n.mean, first, from) }

// Fit is what is known of the classes by their numbers, after their settings have changed: of class i
// it is old[from[i]], or first[i] where from[i] is no number of old.
func Fit[T any](old, first []T, from []int) []T {
	for i := range first {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			first[i] = old[from[i]]
		}
	}
	return first
}

// Asked takes the hint of a request that has come; 0 is none.
func (n *Needs) Asked(hint float64) {
	if hint > 0 {
		n.MeanHint = arith.Mean(n.MeanHint, hint, hintWeight)
	}
}

// Served takes the answer time of a request that was served, counted up to most.
func (n *Needs) Served(class int, took, most float64) {
	n.mean[class] = arith.Mean(n.mean[class], min(took, most), classWeight)
}

// Took takes how long a hinted request took, served or given up.
func (n *Needs) Took(hint, took float64) {
	if hint > 0 {
		n.line.Add(hint, took, hintWeight)
	}
}

// Part is an answer time, as a part of the aim, to judge servers by: by hints a costly request counts as
// one of mean work, and none for more than 2.
func (n *Needs) Part(hint, x float64) float64 {
	if hint > 0 {
		x *= min(n.MeanHint/hint, 1)
	}
	return min(x, 2)
}

// Mean is a class's mean answer time.
func (n *Needs) Mean(class int) float64 { return n.mean[class] }

// Hinted is what the line says for a hint; 0 while little is known, or without one.
func (n *Needs) Hinted(hint float64) float64 {
	if hint <= 0 {
		return 0
	}
	return n.line.At(hint, hintsLeast)
}

// Of is how long an answer to a request takes, on the mean: by its hint where that tells, but no
// less than a quarter of its class's.
func (n *Needs) Of(class int, hint float64) float64 {
	if t := n.Hinted(hint); t > 0 {
		return max(t, n.mean[class]/4)
	}
	return n.mean[class]
}
