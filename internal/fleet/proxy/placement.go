package proxy

import (
	"math"
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// placement is where a generation goes: from is where its prompt is read first; nil: at the decode backend itself.
type placement struct {
	prefill       *backend
	decode        *backend
	decodePermit  residency.Permit // for at
	prefillPermit residency.Permit // for from
	promptTokens  int              // that at is to read, as the engines count them
	prefillMs     float64
	atHome        bool // the prompt is read at its home
}

// acquirePermits fills in the permits under the terms; false: there is none. The lock is held.
func (pl *placement) acquirePermits(terms residency.Terms) bool {
	var err error
	if pl.decodePermit, err = pl.decode.endpoint.Permit(terms); err != nil {
		return false
	}
	if pl.prefill != nil {
		pl.prefillPermit, err = pl.prefill.endpoint.Permit(terms)
	}
	return err == nil
}

const (
	// prefillTargetShare is the part of a request's aim within which a prompt should be read: what lies ahead at its home may take
	// that long before another backend, which keeps none of it, is asked; and a move, which has a price, is made only
	// where reading at a decode backend takes longer.
	prefillTargetShare = 0.4
	// homeWaitFactor is how many times as long as that a prompt waits at its home: elsewhere all of it is read again, which
	// under load makes more of what it flees from.
	homeWaitFactor = 1
	// shortPrefillShare is the part of that which a prompt's reading may take at a decode backend.
	shortPrefillShare = 0.25
	// reservedShare is the part of the places, at backends that are not kept for long answers, which those leave free while others
	// have one.
	reservedShare = 0.5
	// longFillLimit is how full the backends for long answers are filled while others have places.
	longFillLimit = 0.9
	// minFreeShare bounds the weight of a backend by its free places from below; classWeight is above all scores.
	minFreeShare, classWeight = 0.05, 1e9
	// slowTransferShare is how much longer than usual moves take where others are better, in parts of a prompt's patience.
	slowTransferShare = 0.5
	// engineLoadFactor is c of the design's bounded-load hash at engines: a batch holds many, and a prompt read away from its
	// home costs more than a longer batch.
	engineLoadFactor = 8
	// dedicatedKey orders the backends for those that make tokens for long, the same at all proxies.
	dedicatedKey = 0x6d6f6c6570616464
)

// selectPlacement chooses where a prompt is read and its tokens are made, under the terms.
func (s *service) selectPlacement(kind string, retryable bool, prompt *scheduler.Prompt, target time.Duration, tried map[string]bool, split bool, terms residency.Terms) (pl placement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, e := s.now(), s.engines
	s.reserveDedicated(now)
	req := placementRequest{now: now, key: prompt.SharedPrefixKey(), prompt: prompt, prefillTargetMs: prefillTargetMs(target), tried: tried, terms: terms, restricted: terms.Restricted(), retryable: retryable}
	if req.key == 0 && len(prompt.Segments) > 0 {
		req.key = prompt.Segments[0].PrefixHash
	}
	if e.LongDecode(kind, prompt) && e.DecodeLocalPrefillMs(prompt) <= shortPrefillShare*req.prefillTargetMs {
		pl.decode = s.chooseDedicatedDecoder(&req)
	} else {
		s.choosePrefill(&req, split, &pl)
	}
	if pl.decode == nil || !pl.acquirePermits(terms) {
		return pl, false
	}
	at := pl.decode.ID
	if pl.prefill == nil {
		pl.promptTokens = e.PrefillStarted(at, prompt, pl.atHome)
	} else {
		e.DecodeStarted(at)
	}
	s.ranker.AttemptStarted(at)
	return pl, true
}

// placementRequest is a request for a place.
type placementRequest struct {
	now             float64
	key             uint64
	prompt          *scheduler.Prompt
	prefillTargetMs float64 // ms
	tried           map[string]bool
	terms           residency.Terms
	restricted      bool // the terms bind
	// repeatable: another backend can serve it if its next send fails, so that it may go to one that is on trial.
	retryable bool
}

// prefillTargetMs is the part of an aim that a prompt's reading may take, ms.
func prefillTargetMs(target time.Duration) float64 {
	return max(prefillTargetShare*float64(target.Milliseconds()), 1)
}

// eligible tells whether a backend of a phase may be chosen. The lock is held.
func (s *service) eligible(req *placementRequest, id, phase string) bool {
	return s.byID[id].Phase == phase && !req.tried[id] && (!req.restricted || s.withinTerms(id, req.terms))
}

// reserveDedicated settles which backends are kept for long answers; the others have places for what is staged, also when a burst of
// long ones fills those: spread over all, they left handles without takers on large fleets. The lock is held.
func (s *service) reserveDedicated(now float64) {
	s.ranked = s.ranker.Rank(now, dedicatedKey, func(id string) bool { return s.byID[id].Phase == externalapi.PhaseDecode }, math.Inf(1), nil, s.ranked[:0])
	clear(s.dedicated)
	for i := range s.engines.LongDecodePool(now, s.ranked) {
		s.dedicated[s.ranked[i]] = true
	}
}

// chooseDedicatedDecoder is where a long answer is made whole: where few prompts are read, by the share of free places; nil: nowhere. What is
// known of places is a second old, and all proxies know the same: strictly the emptiest would get what comes to all of them.
// The lock is held.
func (s *service) chooseDedicatedDecoder(req *placementRequest) *backend {
	e := s.engines
	if at := s.dueTrial(req, externalapi.PhaseDecode, outlier.Risk{Idempotent: req.retryable, LongDecode: true}); at != nil {
		return at
	}
	key := req.prompt.PromptKey() // what it shares is short: requests are spread, not kept together
	s.ranked = s.ranker.Rank(req.now, key, func(id string) bool { return s.eligible(req, id, externalapi.PhaseDecode) }, math.Inf(1), func(id string) float64 {
		busy := e.Utilization(id)
		class := 0.0
		switch {
		case e.Full(req.now, id) || e.Unresponsive(req.now, id, req.prefillTargetMs):
			class = 3
		case s.dedicated[id] && busy >= longFillLimit:
			class = 2
		case !s.dedicated[id] && busy >= 1-reservedShare:
			class = 2 // what is staged finds a place there
		case !s.dedicated[id]:
			class = 1
		}
		return class*classWeight + s.ranker.HashScore(key, id, freeWeight(busy))
	}, s.ranked[:0])
	return s.topRanked()
}

// topRanked is the backend that the ranking just made puts first; nil: it has none. The lock is held.
func (s *service) topRanked() *backend {
	if len(s.ranked) == 0 {
		return nil
	}
	return s.byID[s.ranked[0]]
}

// releaseHandle is the weight that a backend has by its free places.
func freeWeight(busy float64) float64 {
	f := max(1-busy, minFreeShare)
	return f * f
}

// choosePrefill chooses where a prompt is read: at the key's home, which keeps what the prompt shares, unless too much waits there: a
// prefill backend, whose reading slows no tokens down; only where those are much behind, or none is there, one that decodes.
// It fills in who makes the tokens as well. The lock is held.
func (s *service) choosePrefill(req *placementRequest, split bool, pl *placement) {
	e, now, prompt := s.engines, req.now, req.prompt
	reads := func(id string) bool { return s.eligible(req, id, externalapi.PhasePrefill) }
	home := s.ranker.PreferredBackend(now, req.key, reads)
	least := math.Inf(1) // where all are behind, nothing is won elsewhere
	for id := range s.byID {
		if reads(id) {
			least = min(least, e.QueueMs(now, id)+e.OutboundDelayMs(now, id))
		}
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	// What is read again elsewhere holds up all that wait: the more, the more of them there are.
	recomputeFactor := 1 + least/req.prefillTargetMs
	s.ranked = s.ranker.Rank(now, req.key, func(id string) bool { return split && reads(id) || s.eligible(req, id, externalapi.PhaseDecode) }, engineLoadFactor, func(id string) float64 {
		c := e.QueueMs(now, id) + e.OutboundDelayMs(now, id) - least
		if id != home && home != "" {
			c += max(e.PrefillMs(id, prompt, false)-e.PrefillMs(home, prompt, true), 0) * recomputeFactor
		}
		if c < homeWaitFactor*req.prefillTargetMs {
			c = 0
		}
		if s.byID[id].Phase == externalapi.PhaseDecode {
			// Reading there slows the tokens of all that run, and so fills the batches: only what is short, or where
			// nobody else reads.
			if c = max(c, 0) + 10*req.prefillTargetMs; e.PrefillMs(id, prompt, false) > shortPrefillShare*req.prefillTargetMs {
				c += 1000 * req.prefillTargetMs
			}
			if s.dedicated[id] {
				c += 10 * req.prefillTargetMs
			}
		}
		if e.Full(now, id) || e.MarkedUnresponsive(now, id) {
			c += 30 * req.prefillTargetMs
		}
		return c
	}, s.ranked[:0])
	pl.decode = s.topRanked()
	if split {
		// What one backend failed to read another may read still.
		if at := s.dueTrial(req, externalapi.PhasePrefill, outlier.Risk{Idempotent: true}); at != nil {
			pl.decode = at
		}
	}
	if pl.decode == nil {
		return
	}
	pl.atHome = pl.decode.ID == home
	pl.prefillMs = e.ExpectedPrefillMs(now, pl.decode.ID, prompt, pl.atHome)
	if pl.decode.Phase != externalapi.PhaseDecode {
		pl.prefill = pl.decode
		pl.decode = s.chooseDecoder(req, pl.prefill)
	}
}

// selectDecoder chooses another decode backend for memory that lies at from, under the terms.
func (s *service) selectDecoder(from *backend, retryable bool, prompt *scheduler.Prompt, target time.Duration, tried map[string]bool, terms residency.Terms) (pl placement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.prefill = from
	req := placementRequest{now: s.now(), key: prompt.SharedPrefixKey(), prompt: prompt, prefillTargetMs: prefillTargetMs(target), tried: tried, terms: terms, restricted: terms.Restricted(), retryable: retryable}
	if pl.decode = s.chooseDecoder(&req, from); pl.decode == nil || !pl.acquirePermits(terms) {
		return pl, false
	}
	s.engines.DecodeStarted(pl.decode.ID)
	s.ranker.AttemptStarted(pl.decode.ID)
	return pl, true
}

// chooseDecoder is the decode backend that makes the tokens of a prompt read elsewhere: one whose batch is the least full, in the
// same zone if that is no matter, and to which moves have not been slow of late; nil: none is left. The lock is held.
func (s *service) chooseDecoder(req *placementRequest, from *backend) *backend {
	e := s.engines
	if at := s.dueTrial(req, externalapi.PhaseDecode, outlier.Risk{Idempotent: req.retryable}); at != nil {
		return at
	}
	key := req.prompt.PromptKey()
	s.ranked = s.ranker.Rank(req.now, key, func(id string) bool { return s.eligible(req, id, externalapi.PhaseDecode) }, math.Inf(1), func(id string) float64 {
		busy, late := e.Utilization(id), e.InboundDelayMs(req.now, id)/req.prefillTargetMs
		class := 0.0
		if s.dedicated[id] {
			class++ // they keep their places for long answers
		}
		if s.byID[id].Zone != from.Zone {
			class += 2 // a move takes longer there, and costs more
		}
		switch {
		case e.Full(req.now, id) || e.Unresponsive(req.now, id, req.prefillTargetMs):
			class += 8
		case busy >= longFillLimit || late > slowTransferShare:
			class += 4
		}
		weight := freeWeight(busy) / ((1 + late) * (1 + late))
		return class*classWeight + s.ranker.HashScore(key, id, weight)
	}, s.ranked[:0])
	return s.topRanked()
}
