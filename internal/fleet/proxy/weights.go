package proxy

const (
	// olderWeightsPenalty is the additional wait, in prefill targets, that is accepted for a prefill with the newest
	// listed weights: a response from older weights has less value, but so has a late one.
	olderWeightsPenalty = 2
	// outdatedWeightsPenalty replaces it once the newest weights have been listed for Bounds.Version: a response from
	// older ones has no value then, so that they are used only if no other backend is left.
	outdatedWeightsPenalty = longPromptPenalty

	// Classes of decode backends, added to those of a long output.

	olderWeightsClass    = 1
	outdatedWeightsClass = 10
	// otherWeightsClass is added for a KV cache that was computed with other weights: the backend would reject it.
	otherWeightsClass = 16
)

// listedWeights is the newest version of weights among a service's listed backends.
type listedWeights struct {
	newest int64
	since  float64 // when it was first listed, ms; 0 for the version of the first list
}

// observe updates the newest version from an endpoint list.
func (w *listedWeights) observe(now float64, newest int64) {
	if newest > w.newest && w.newest != 0 {
		w.since = now
	}
	w.newest = newest
}

// outdated reports whether the newest version has been listed for longer than a bound, in milliseconds, so that older
// weights are outdated; a bound of 0 disables the check.
func (w *listedWeights) outdated(now, boundMs float64) bool {
	return boundMs > 0 && w.since > 0 && now-w.since > boundMs
}

// hasOlderWeights reports whether a backend has older weights than others of its service. The lock is held.
func (s *service) hasOlderWeights(id string) bool { return s.byID[id].Weights < s.weights.newest }

// weightsAge compares a backend's weights with the newest that are listed.
type weightsAge uint8

const (
	newestWeights   weightsAge = iota
	olderWeights               // a response from them has less value
	outdatedWeights            // a response from them has no value any more
)

// weightsAge returns the age of a backend's weights. The lock is held.
func (s *service) weightsAge(now float64, id string) weightsAge {
	switch {
	case !s.hasOlderWeights(id):
		return newestWeights
	case s.weights.outdated(now, s.weightsBoundMs):
		return outdatedWeights
	}
	return olderWeights
}

// weightsPenalties are the penalties for a prefill at a backend, in prefill targets.
var weightsPenalties = [...]float64{
	newestWeights:   0,
	olderWeights:    olderWeightsPenalty,
	outdatedWeights: outdatedWeightsPenalty,
}

// weightsClasses are added to the class of a decode backend for a long output.
var weightsClasses = [...]float64{
	newestWeights:   0,
	olderWeights:    olderWeightsClass,
	outdatedWeights: outdatedWeightsClass,
}
