package budget

import "molepaddle/internal/decide/arith"

const (
	classWeight    = 0.02  // of an answer in the mean of its class
	hintWeight     = 0.005 // of a sample in the line fit, and of a hint in their mean
	minHintSamples = 50    // samples before the line is used
)

// LatencyEstimates estimates the latency of each class and how it grows with the work that clients
// hint at. Times are in milliseconds, hints in a unit chosen by the clients.
type LatencyEstimates struct {
	MeanHint float64 // 0: no hint was received

	mean []float64
	line arith.LinearFit // latency over hinted work; the intercept is the share of the network
}

// NewLatencyEstimates returns estimates with an assumed mean for each class, until answers are
// observed.
func NewLatencyEstimates(first []float64) *LatencyEstimates { return &LatencyEstimates{mean: first} }

// Remap follows a change of the settings: first holds the assumed mean of each class, and class i
// takes over the estimate of class from[i], if that is a valid number.
func (n *LatencyEstimates) Remap(first []float64, from []int) { n.mean = Remap(n.mean, first, from) }

// Remap returns per-class state after a change of the settings: that of class i is old[from[i]], or
// first[i] if from[i] is not an index of old. It modifies first.
func Remap[T any](old, first []T, from []int) []T {
	for i := range first {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			first[i] = old[from[i]]
		}
	}
	return first
}

// ObserveHint records the hint of a received request; 0 is none.
func (n *LatencyEstimates) ObserveHint(hint float64) {
	if hint > 0 {
		n.MeanHint = arith.Mean(n.MeanHint, hint, hintWeight)
	}
}

// ObserveServed records the latency of a served request, capped at maxLatency.
func (n *LatencyEstimates) ObserveServed(class int, latency, maxLatency float64) {
	n.mean[class] = arith.Mean(n.mean[class], min(latency, maxLatency), classWeight)
}

// ObserveHinted records how long a request with a hint took, whether it was served or given up.
func (n *LatencyEstimates) ObserveHinted(hint, latency float64) {
	if hint > 0 {
		n.line.Add(hint, latency, hintWeight)
	}
}

// NormalizedLatency returns a latency, as a fraction of the latency target, by which servers are
// compared: a request with a hint above the mean is scaled down to mean work, and the result is at
// most 2.
func (n *LatencyEstimates) NormalizedLatency(hint, latency float64) float64 {
	if hint > 0 {
		latency *= min(n.MeanHint/hint, 1)
	}
	return min(latency, 2)
}

// Mean returns the mean latency of a class.
func (n *LatencyEstimates) Mean(class int) float64 { return n.mean[class] }

// HintedLatency returns the latency estimated from a hint; 0 without a hint or with too few samples.
func (n *LatencyEstimates) HintedLatency(hint float64) float64 {
	if hint <= 0 {
		return 0
	}
	return n.line.At(hint, minHintSamples)
}

// Expected returns the mean latency expected of a request: by its hint if there is an estimate, but at
// least a quarter of the mean of its class.
func (n *LatencyEstimates) Expected(class int, hint float64) float64 {
	if t := n.HintedLatency(hint); t > 0 {
		return max(t, n.mean[class]/4)
	}
	return n.mean[class]
}
