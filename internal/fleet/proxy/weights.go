package proxy

const (
	// olderWeightsPenalty is what a prompt may wait longer, in prefill targets, to be read by the newest weights that
	// are listed: an answer by older ones is worth less, but a late one as well.
	olderWeightsPenalty = 2
	// outdatedWeightsPenalty takes its place once the newest have been listed for Bounds.Version: an answer by older
	// ones is worth nothing then, so that they serve only where nothing else is left.
	outdatedWeightsPenalty = longPromptPenalty

	// Classes of decode backends, added to those of a long answer.

	olderWeightsClass    = 1
	outdatedWeightsClass = 10
	// otherWeightsClass is added for a KV cache that other weights made: the backend would reject it.
	otherWeightsClass = 16
)

// listedWeights is the newest version of weights that a service's backends have, by the list.
type listedWeights struct {
	newest int64
	since  float64 // when it was first listed, ms; 0 for what was there at first
}

// observe takes the versions of a list.
func (w *listedWeights) observe(now float64, newest int64) {
	if newest > w.newest && w.newest != 0 {
		w.since = now
	}
	w.newest = newest
}

// outdated reports whether backends with older weights have been outdated for longer than a bound, ms; 0: never.
func (w *listedWeights) outdated(now, boundMs float64) bool {
	return boundMs > 0 && w.since > 0 && now-w.since > boundMs
}

// hasOlderWeights reports whether a backend has older weights than others of its service. The lock is held.
func (s *service) hasOlderWeights(id string) bool { return s.byID[id].Weights < s.weights.newest }

// weightsAge says how a backend's weights compare with the newest that are listed.
type weightsAge uint8

const (
	newestWeights   weightsAge = iota
	olderWeights               // an answer by them is worth less
	outdatedWeights            // it is worth nothing any more
)

// weightsAge returns that of a backend. The lock is held.
func (s *service) weightsAge(now float64, id string) weightsAge {
	switch {
	case !s.hasOlderWeights(id):
		return newestWeights
	case s.weights.outdated(now, s.weightsBoundMs):
		return outdatedWeights
	}
	return olderWeights
}

// weightsPenalties are those for reading a prompt at a backend, in prefill targets.
var weightsPenalties = [...]float64{
	newestWeights:   0,
	olderWeights:    olderWeightsPenalty,
	outdatedWeights: outdatedWeightsPenalty,
}

// weightsClasses are added to the class of a decode backend for a long answer.
var weightsClasses = [...]float64{
	newestWeights:   0,
	olderWeights:    olderWeightsClass,
	outdatedWeights: outdatedWeightsClass,
}
