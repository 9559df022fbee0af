package proxy

import (
	"math"
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
)

// Parameters of backend selection. A share is a fraction; a factor is a multiple of the value named with it.
//
// Most are relative to the prefill target: the part of a route's latency target within which a prompt should be
// prefilled.
const (
	// prefillTargetShare is the prefill target as a fraction of the latency target. The wait at a prompt's preferred
	// backend may be that much longer before another one, which has none of the prompt cached, is considered.
	prefillTargetShare = 0.4
	// minPrefillTargetMs is the least prefill target, in milliseconds, since waits are divided by it.
	minPrefillTargetMs = 1
	// preferredWaitFactor is how many prefill targets a prompt waits at its preferred backend. Any other backend has to
	// compute the whole prompt, which under load adds to the very queues that are to be avoided.
	preferredWaitFactor = 1
	// shortPrefillShare is the longest prefill at a decode backend, in prefill targets, that counts as short: a prefill
	// there slows the decoding of all requests in the batch.
	shortPrefillShare = 0.25

	// engineLoadFactor is the load factor c, at least 1, of the bounded-load hash for engines: how far above its fair
	// share a backend may be loaded before a key moves on to the next. It is high since a batch holds many requests,
	// and a prefill away from the preferred backend costs more than a longer batch.
	engineLoadFactor = 8
	// plainLoadFactor is the load factor for plain requests. A proxy has few of them in flight, so that a factor near 1
	// would scatter keys.
	plainLoadFactor = 3

	// Penalties of a backend for a prefill, in prefill targets.

	// decodePhasePenalty keeps prefills away from decode backends, where they slow the decoding of all requests in the
	// batch and so fill the batches. A decode backend is used where a prefill backend would cost that much more, or
	// there is none.
	decodePhasePenalty = 10
	// longPromptPenalty is added if the prefill at a decode backend takes longer than shortPrefillShare. It exceeds all
	// other costs, so that this happens only if no prefill backend is left.
	longPromptPenalty = 1000
	// dedicatedPenalty is added for backends dedicated to long outputs.
	dedicatedPenalty = 10
	// unavailablePenalty is for backends that are full or were found unresponsive. It lies between the penalties of a
	// decode backend for a short and for a long prompt.
	unavailablePenalty = 30

	// Utilization of decode backends: requests as a fraction of a backend's capacity.

	// reservedShare is the fraction of their capacity that decode backends not dedicated to long outputs reserve for
	// prompts prefilled elsewhere, while others have capacity.
	reservedShare = 0.5
	// longFillLimit is the utilization up to which dedicated backends are filled with long outputs, and any backend
	// with prompts prefilled elsewhere, while others have capacity.
	longFillLimit = 0.9
	// minFreeShare is the lower bound of the free capacity from which a backend's weight is computed, since a weight
	// must be above 0.
	minFreeShare = 0.05
	// slowTransferShare is the delay above which transfers to a backend count as slow, in prefill targets.
	slowTransferShare = 0.5

	// classWeight separates classes of backends in a ranking by cost: it exceeds all scores within a class.
	classWeight = 1e9
	// dedicatedKey is the hash key that orders the decode backends for reserveDedicated in the same way at all proxies
	// ("molepadd" in ASCII).
	dedicatedKey = 0x6d6f6c6570616464
)

// Classes of decode backends for a long output: backends of a lower class are chosen first.
const (
	dedicatedClass   = 0 // dedicated to long outputs
	sharedClass      = 1 // for prompts prefilled elsewhere, which find capacity there while reservedShare is free
	filledClass      = 2 // dedicated or shared, filled to its limit
	unavailableClass = 3 // full, or unresponsive
)

// Classes of decode backends for a KV cache. The class of a backend is the sum of those that apply; each outweighs the
// sum of all before it.
const (
	dedicatedDecoderClass   = 1 // dedicated to long outputs
	otherZoneClass          = 2 // in another zone than the KV cache: a transfer takes longer, and costs money
	slowDecoderClass        = 4 // nearly full, or transfers to it are slow
	unavailableDecoderClass = 8 // full, or unresponsive
)

// prefillTargetMs returns the prefill target for a latency target, in milliseconds.
func prefillTargetMs(target time.Duration) float64 {
	return max(prefillTargetShare*float64(target.Milliseconds()), minPrefillTargetMs)
}

// freeWeight returns the weight of a backend in a weighted hash, by its utilization.
func freeWeight(utilization float64) float64 {
	free := max(1-utilization, minFreeShare)
	return free * free
}

// reserveDedicated selects the decode backends dedicated to long outputs. The others keep capacity for prompts
// prefilled elsewhere, also when a burst of long outputs fills the dedicated ones: when long outputs were spread over
// all backends, KV caches found no decode backend on large fleets. The lock is held.
func (s *service) reserveDedicated(now float64) {
	decoders := func(id string) bool { return s.byID[id].Phase == externalapi.PhaseDecode }
	s.ranked = s.ranker.Rank(now, dedicatedKey, decoders, math.Inf(1), nil, s.ranked[:0])
	clear(s.dedicated)
	for i := range s.engines.LongDecodePool(now, s.ranked) {
		s.dedicated[s.ranked[i]] = true
	}
}

// topRanked returns the first backend of the last ranking; nil: it was empty. The lock is held.
func (s *service) topRanked() *backend {
	if len(s.ranked) == 0 {
		return nil
	}
	return s.byID[s.ranked[0]]
}

// chooseDedicatedDecoder selects the decode backend that serves a request with a long output, including its prefill:
// one at which few prompts are prefilled, by free capacity; nil: there is none. Loads are known a second late, and are
// the same at all proxies. If the emptiest backend were always selected it would get the requests of all proxies, so
// the choice is a weighted hash. The lock is held.
func (s *service) chooseDedicatedDecoder(req *placementRequest) *backend {
	risk := outlier.Risk{Idempotent: req.retryable, LongDecode: true}
	if onTrial := s.dueTrial(req, externalapi.PhaseDecode, risk); onTrial != nil {
		return onTrial
	}
	key := req.prompt.PromptKey() // of the whole prompt: its shared prefix is short, so requests are spread
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

// longDecodeClass returns the class of a decode backend for a long output. The lock is held.
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

// choosePrefill selects the backends that prefill and decode a prompt, and sets them in pl; pl.decode stays nil if
// there is none. The prompt is prefilled at the key's preferred backend, which has the shared prefix cached, unless the
// wait there is too long. It is prefilled at a prefill backend, which slows no decoding, unless the waits at all of
// those are long, none is left, or split is false. The lock is held.
func (s *service) choosePrefill(req *placementRequest, split bool, pl *placement) {
	prefillers := func(id string) bool { return s.canPrefill(req, id) }
	preferred := s.ranker.PreferredBackend(req.now, req.key, prefillers)
	leastWaitMs := s.leastPrefillWaitMs(req)
	candidates := func(id string) bool { return split && s.canPrefill(req, id) || s.canDecode(req, id) }
	cost := func(id string) float64 { return s.prefillCostMs(req, id, preferred, leastWaitMs) }
	s.ranked = s.ranker.Rank(req.now, req.key, candidates, engineLoadFactor, cost, s.ranked[:0])
	chosen := s.topRanked()
	if split {
		// A failed prefill can be repeated by another backend without loss.
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

// prefillWaitMs returns the wait of a prompt at a backend: in the prefill queue, and beyond the usual time for the
// transfer of its KV cache. The lock is held.
func (s *service) prefillWaitMs(now float64, id string) float64 {
	return s.engines.QueueMs(now, id) + s.engines.OutboundDelayMs(now, id)
}

// leastPrefillWaitMs returns the shortest wait at a prefill backend; 0: there is none. Costs are relative to it: if all
// backends have long waits, another one is no better. The lock is held.
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

// prefillCostMs returns the cost of prefilling a prompt at a backend: the wait beyond the least, the computation of
// tokens that the preferred backend has cached, and penalties. Up to preferredWaitFactor, wait and computation count as
// 0. The lock is held.
func (s *service) prefillCostMs(req *placementRequest, id, preferred string, leastWaitMs float64) float64 {
	e, target := s.engines, req.prefillTargetMs
	cost := s.prefillWaitMs(req.now, id) - leastWaitMs
	if id != preferred && preferred != "" {
		// Recomputed tokens delay all queued prompts: the cost grows with the queue.
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

// chooseDecoder selects the decode backend for a prompt whose KV cache is held at from: one with much free capacity, in
// the same zone if possible, and without slow transfers recently; nil: there is none. The lock is held.
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

// decoderClass returns the class of a decode backend for a KV cache that is held at from. delay is the time of
// transfers to it beyond the usual, in prefill targets. The lock is held.
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
