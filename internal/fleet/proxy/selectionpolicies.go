package proxy

import (
	"math"
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
)

// What the choices of a backend are made by. A share is a part of 1; a factor multiplies what is named with it.
//
// Most are measured against the prefill target: the part of a route's latency target within which a prompt should be
// read.
const (
	// prefillTargetShare is the prefill target in parts of the latency target. A prompt's preferred backend may be that
	// far behind before another one, which has none of the prompt cached, is considered.
	prefillTargetShare = 0.4
	// minPrefillTargetMs is the least prefill target, in milliseconds: waits are divided by it.
	minPrefillTargetMs = 1
	// preferredWaitFactor is how many prefill targets a prompt waits at its preferred backend. Elsewhere all of it is read
	// again, which under load adds to the very queues that it avoids.
	preferredWaitFactor = 1
	// shortPrefillShare is how long a prompt may take to be read at a decode backend, in prefill targets: that slows
	// the tokens of all that run there.
	shortPrefillShare = 0.25

	// engineLoadFactor is c of the design's bounded-load hash at engines, at least 1: how far above its share a backend
	// may be loaded before a key goes on to the next. A batch holds many, and a prompt read away from its preferred
	// backend costs more than a longer batch.
	engineLoadFactor = 8
	// plainLoadFactor is the same for plain requests. A proxy has few of them in flight, so that a factor near 1 would
	// scatter keys.
	plainLoadFactor = 3

	// Penalties of a backend that reads a prompt, in prefill targets.

	// decodePhasePenalty keeps prompts from decode backends, where reading slows the tokens of all that run and so
	// fills the batches: they read where a prefill backend would cost that much more, or there is none.
	decodePhasePenalty = 10
	// longPromptPenalty comes on top where reading there takes longer than shortPrefillShare: above all else, so that
	// it is done only where no prefill backend is left.
	longPromptPenalty = 1000
	// dedicatedPenalty comes on top at backends that are kept for long answers.
	dedicatedPenalty = 10
	// unavailablePenalty is for backends that are full or were found unresponsive: above what a decode backend costs
	// that reads a short prompt, below what it costs with a long one.
	unavailablePenalty = 30

	// Utilization of decode backends: requests in parts of a backend's capacity.

	// reservedShare is the part of their capacity that backends which are not kept for long answers leave free for
	// prompts read elsewhere, while others have capacity.
	reservedShare = 0.5
	// longFillLimit is up to which utilization dedicated backends are filled with long answers, and any with prompts
	// read elsewhere, while others have capacity.
	longFillLimit = 0.9
	// minFreeShare bounds the free capacity by which backends are weighted from below, as a weight is above 0.
	minFreeShare = 0.05
	// slowTransferShare is from which delay on, in prefill targets, transfers to a backend count as slow.
	slowTransferShare = 0.5

	// classWeight separates classes of backends in a ranking by cost: it is above all scores within a class.
	classWeight = 1e9
	// dedicatedKey orders the decode backends for reserveDedicated, alike at all proxies ("molepadd" in ASCII).
	dedicatedKey = 0x6d6f6c6570616464
)

// Classes of decode backends for a long answer: those of a lower class are chosen first.
const (
	dedicatedClass   = 0 // kept for long answers
	sharedClass      = 1 // for prompts read elsewhere, which find capacity there while reservedShare is free
	filledClass      = 2 // either, filled to its limit
	unavailableClass = 3 // full, or unresponsive
)

// Classes of decode backends for a KV cache. A backend is in the sum of those that apply, so that each outweighs all
// before it.
const (
	dedicatedDecoderClass   = 1 // kept for long answers
	otherZoneClass          = 2 // not in the zone of the KV cache: a transfer takes longer, and is paid for
	slowDecoderClass        = 4 // nearly full, or transfers to it are slow
	unavailableDecoderClass = 8 // full, or unresponsive
)

// prefillTargetMs is the prefill target of a latency target, in milliseconds.
func prefillTargetMs(target time.Duration) float64 {
	return max(prefillTargetShare*float64(target.Milliseconds()), minPrefillTargetMs)
}

// freeWeight is the weight of a backend in a hash, by its utilization.
func freeWeight(utilization float64) float64 {
	free := max(1-utilization, minFreeShare)
	return free * free
}

// reserveDedicated chooses the decode backends that are kept for long answers. The others keep capacity for prompts
// read elsewhere, also when a burst of long answers fills the dedicated ones: spread over all, long answers left KV
// caches without a decode backend on large fleets. The lock is held.
func (s *service) reserveDedicated(now float64) {
	decoders := func(id string) bool { return s.byID[id].Phase == externalapi.PhaseDecode }
	s.ranked = s.ranker.Rank(now, dedicatedKey, decoders, math.Inf(1), nil, s.ranked[:0])
	clear(s.dedicated)
	for i := range s.engines.LongDecodePool(now, s.ranked) {
		s.dedicated[s.ranked[i]] = true
	}
}

// topRanked is the backend that the last ranking put first; nil: it had none. The lock is held.
func (s *service) topRanked() *backend {
	if len(s.ranked) == 0 {
		return nil
	}
	return s.byID[s.ranked[0]]
}

// chooseDedicatedDecoder chooses the decode backend that serves a long answer, prompt and all: one at which few prompts
// are read, by free capacity; nil: there is none. Loads are known a second late, and alike at all proxies: were it
// strictly the emptiest, it would get the requests of all of them, so the choice is a weighted hash. The lock is held.
func (s *service) chooseDedicatedDecoder(req *placementRequest) *backend {
	risk := outlier.Risk{Idempotent: req.retryable, LongDecode: true}
	if onTrial := s.dueTrial(req, externalapi.PhaseDecode, risk); onTrial != nil {
		return onTrial
	}
	key := req.prompt.PromptKey() // of all of it: what it shares is short, so requests are spread, not kept together
	decoders := func(id string) bool { return s.canDecode(req, id) }
	cost := func(id string) float64 {
		utilization := s.engines.Utilization(id)
		score := s.ranker.HashScore(key, id, freeWeight(utilization))
		class := s.longDecodeClass(req, id, utilization) + weightsClasses[s.weightsAge(req.now, id)]
		return class*classWeight + score
	}
	s.ranked = s.ranker.Rank(req.now, key, decoders, math.Inf(1), cost, s.ranked[:0])
	return s.topRanked()
}

// longDecodeClass is the class of a decode backend for a long answer. The lock is held.
func (s *service) longDecodeClass(req *placementRequest, id string, utilization float64) float64 {
	switch {
	case s.engines.Full(req.now, id) || s.engines.Unresponsive(req.now, id, req.prefillTargetMs):
		return unavailableClass
	case s.dedicated[id] && utilization >= longFillLimit:
		return filledClass
	case !s.dedicated[id] && utilization >= 1-reservedShare:
		return filledClass
	case !s.dedicated[id]:
		return sharedClass
	}
	return dedicatedClass
}

// choosePrefill chooses the backend that reads a prompt, and the one that makes its tokens, and fills in pl; pl.decode
// stays nil where there is none. The prompt is read at the key's preferred backend, which has the shared prefix cached,
// unless too much waits there; by a prefill backend, whose reading slows no tokens down, unless all of those are far
// behind, or none is left, or split is false. The lock is held.
func (s *service) choosePrefill(req *placementRequest, split bool, pl *placement) {
	prefillers := func(id string) bool { return s.canPrefill(req, id) }
	preferred := s.ranker.PreferredBackend(req.now, req.key, prefillers)
	leastWaitMs := s.leastPrefillWaitMs(req)
	candidates := func(id string) bool { return split && s.canPrefill(req, id) || s.canDecode(req, id) }
	cost := func(id string) float64 { return s.prefillCostMs(req, id, preferred, leastWaitMs) }
	s.ranked = s.ranker.Rank(req.now, req.key, candidates, engineLoadFactor, cost, s.ranked[:0])
	chosen := s.topRanked()
	if split {
		// A prefill that fails loses nothing that another backend couldn't read.
		onTrial := s.dueTrial(req, externalapi.PhasePrefill, outlier.Risk{Idempotent: true})
		if onTrial != nil {
			chosen = onTrial
		}
	}
	if chosen == nil {
		return
	}
	pl.atPreferred = chosen.ID == preferred
	pl.prefillMs = s.engines.ExpectedPrefillMs(req.now, chosen.ID, req.prompt, pl.atPreferred)
	if chosen.Phase == externalapi.PhaseDecode {
		pl.decode = chosen
		return
	}
	pl.prefill = chosen
	pl.decode = s.chooseDecoder(req, chosen)
}

// prefillWaitMs is how long a prompt waits at a backend until it is read, and its KV cache longer than usual until it
// is transferred. The lock is held.
func (s *service) prefillWaitMs(now float64, id string) float64 {
	return s.engines.QueueMs(now, id) + s.engines.OutboundDelayMs(now, id)
}

// leastPrefillWaitMs is the shortest wait at a prefill backend; 0: there is none. Where all are behind, nothing is won
// elsewhere: costs count from the least. The lock is held.
func (s *service) leastPrefillWaitMs(req *placementRequest) float64 {
	least := math.Inf(1)
	for id := range s.byID {
		if s.canPrefill(req, id) {
			least = min(least, s.prefillWaitMs(req.now, id))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// prefillCostMs is the cost of reading a prompt at a backend: the wait beyond the least, what has to be read again away
// from the preferred backend, and penalties. Up to homeWaitFactor it counts as none. The lock is held.
func (s *service) prefillCostMs(req *placementRequest, id, preferred string, leastWaitMs float64) float64 {
	e, target := s.engines, req.prefillTargetMs
	cost := s.prefillWaitMs(req.now, id) - leastWaitMs
	if id != preferred && preferred != "" {
		// What is read again holds up all that wait: the more, the more of them there are.
		recomputeFactor := 1 + leastWaitMs/target
		cost += max(e.PrefillMs(id, req.prompt, false)-e.PrefillMs(preferred, req.prompt, true), 0) * recomputeFactor
	}
	if cost < preferredWaitFactor*target {
		cost = 0
	}
	if s.byID[id].Phase == externalapi.PhaseDecode {
		cost = max(cost, 0) + decodePhasePenalty*target
		if e.PrefillMs(id, req.prompt, false) > shortPrefillShare*target {
			cost += longPromptPenalty * target
		}
		if s.dedicated[id] {
			cost += dedicatedPenalty * target
		}
	}
	if e.Full(req.now, id) || e.MarkedUnresponsive(req.now, id) {
		cost += unavailablePenalty * target
	}
	return cost + weightsPenalties[s.weightsAge(req.now, id)]*target
}

// chooseDecoder chooses the decode backend that makes the tokens of a prompt whose KV cache is held at from: one with
// much free capacity, if possible in the same zone, and to which transfers have not been slow of late; nil: there is
// none. The lock is held.
func (s *service) chooseDecoder(req *placementRequest, from *backend) *backend {
	onTrial := s.dueTrial(req, externalapi.PhaseDecode, outlier.Risk{Idempotent: req.retryable})
	if onTrial != nil {
		return onTrial
	}
	key := req.prompt.PromptKey()
	decoders := func(id string) bool { return s.canDecode(req, id) }
	cost := func(id string) float64 {
		utilization := s.engines.Utilization(id)
		delay := s.engines.InboundDelayMs(req.now, id) / req.prefillTargetMs
		weight := freeWeight(utilization) / ((1 + delay) * (1 + delay))
		score := s.ranker.HashScore(key, id, weight)
		return s.decoderClass(req, id, from, utilization, delay)*classWeight + score
	}
	s.ranked = s.ranker.Rank(req.now, key, decoders, math.Inf(1), cost, s.ranked[:0])
	return s.topRanked()
}

// decoderClass is the class of a decode backend for a KV cache that is held at from. delay is how much longer than
// usual transfers there take, in prefill targets. The lock is held.
func (s *service) decoderClass(req *placementRequest, id string, from *backend, utilization, delay float64) float64 {
	class := 0.0
	if s.dedicated[id] {
		class += dedicatedDecoderClass
	}
	if s.byID[id].Zone != from.Zone {
		class += otherZoneClass
	}
	if s.byID[id].Weights != from.Weights {
		class += otherWeightsClass
	}
	switch {
	case s.engines.Full(req.now, id) || s.engines.Unresponsive(req.now, id, req.prefillTargetMs):
		class += unavailableDecoderClass
	case utilization >= longFillLimit || delay > slowTransferShare:
		class += slowDecoderClass
	}
	return class
}
