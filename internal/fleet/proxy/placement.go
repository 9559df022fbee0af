package proxy

import (
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// placement is where a generation goes. Where prefill is nil, the decode backend reads the prompt itself.
type placement struct {
	prefill       *backend         // reads the prompt and keeps its KV cache for decode
	decode        *backend         // makes the tokens
	decodePermit  residency.Permit // for decode
	prefillPermit residency.Permit // for prefill
	promptTokens  int              // of the prompt, that decode is to read, as the estimator counts them
	prefillMs     float64          // expected until the prompt is read, with the queue before it
	atPreferred        bool             // the prompt is read at its preferred backend, which has its shared prefix cached
}

// acquirePermits fills in the permits under the terms; false: the terms don't allow a backend. The service's lock is
// held.
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

// placementRequest is what a placement is made for.
type placementRequest struct {
	now             float64 // on the service's clock, ms
	key             uint64  // of the prefix that the prompt shares with others, or of its first segment
	prompt          *scheduler.Prompt
	prefillTargetMs float64         // within which the prompt should be read, ms
	tried           map[string]bool // ids that are not to be chosen again
	terms           residency.Terms
	restricted      bool // the terms restrict at all
	// retryable: another backend can serve it if its next attempt fails, so that it may go to one that is on trial.
	retryable bool
}

// newPlacementRequest returns the request of a prompt whose route has the latency target given.
func newPlacementRequest(now float64, prompt *scheduler.Prompt, target time.Duration, retryable bool,
	tried map[string]bool, terms residency.Terms) placementRequest {
	key := prompt.SharedPrefixKey()
	if key == 0 && len(prompt.Segments) > 0 {
		key = prompt.Segments[0].PrefixHash
	}
	return placementRequest{
		now:             now,
		key:             key,
		prompt:          prompt,
		prefillTargetMs: prefillTargetMs(target),
		tried:           tried,
		terms:           terms,
		restricted:      terms.Restricted(),
		retryable:       retryable,
	}
}

// selectPlacement chooses where a prompt is read and its tokens are made, under the terms, among the backends that are
// not in tried, and counts the attempt as started at the decode backend. kind is the route, by which the length of
// answers is estimated; split allows a prefill backend. false: there is no backend.
func (s *service) selectPlacement(kind string, retryable bool, prompt *scheduler.Prompt, target time.Duration,
	tried map[string]bool, split bool, terms residency.Terms) (pl placement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.reserveDedicated(now)
	req := newPlacementRequest(now, prompt, target, retryable, tried, terms)
	if s.isLongDecode(kind, &req) {
		pl.decode = s.chooseDedicatedDecoder(&req)
	} else {
		s.choosePrefill(&req, split, &pl)
	}
	if pl.decode == nil || !pl.acquirePermits(terms) {
		return pl, false
	}
	id := pl.decode.ID
	if pl.prefill == nil {
		pl.promptTokens = s.engines.PrefillStarted(id, prompt, pl.atPreferred)
	} else {
		s.engines.DecodeStarted(id)
	}
	s.ranker.AttemptStarted(id)
	return pl, true
}

// isLongDecode reports whether a request is served by one decode backend: its answer is long, and its prompt is so short
// that reading it there hardly slows the tokens of others. The lock is held.
func (s *service) isLongDecode(kind string, req *placementRequest) bool {
	return s.engines.LongDecode(kind, req.prompt) &&
		s.engines.DecodeLocalPrefillMs(req.prompt) <= shortPrefillShare*req.prefillTargetMs
}

// selectDecoder chooses another decode backend for a KV cache that is held at from, under the terms, and counts the
// attempt as started there; false: there is none.
func (s *service) selectDecoder(from *backend, retryable bool, prompt *scheduler.Prompt, target time.Duration,
	tried map[string]bool, terms residency.Terms) (pl placement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.prefill = from
	req := newPlacementRequest(s.now(), prompt, target, retryable, tried, terms)
	pl.decode = s.chooseDecoder(&req, from)
	if pl.decode == nil || !pl.acquirePermits(terms) {
		return pl, false
	}
	s.engines.DecodeStarted(pl.decode.ID)
	s.ranker.AttemptStarted(pl.decode.ID)
	return pl, true
}

// selectPlain chooses a backend for a plain request under the terms, among those that are not in tried, and counts the
// attempt as started there; false: there is none. A retryable request may go to a backend that is on trial.
func (s *service) selectPlain(key uint64, retryable bool, tried map[string]bool,
	terms residency.Terms) (permit residency.Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restricted := terms.Restricted()
	eligible := func(id string) bool {
		return !tried[id] && (!restricted || s.withinTerms(id, terms))
	}
	onTrial := func(id string) bool { return s.triable(id) && eligible(id) }
	id := s.trials.NextTrial(s.now(), outlier.Risk{Idempotent: retryable}, onTrial)
	if id == "" {
		inFlight := func(id string) float64 { return float64(s.ranker.InFlight(id)) }
		s.ranked = s.ranker.Rank(s.now(), key, eligible, plainLoadFactor, inFlight, s.ranked[:0])
		if len(s.ranked) == 0 {
			return permit, false
		}
		id = s.ranked[0]
	}
	permit, err := s.byID[id].endpoint.Permit(terms)
	if err != nil {
		return permit, false
	}
	s.ranker.AttemptStarted(permit.ID())
	return permit, true
}

// eligible reports whether a backend may be chosen for a phase. The lock is held.
func (s *service) eligible(req *placementRequest, id, phase string) bool {
	return s.byID[id].Phase == phase && !req.tried[id] && (!req.restricted || s.withinTerms(id, req.terms))
}

// canDecode reports whether a backend may be chosen to make tokens. The lock is held.
func (s *service) canDecode(req *placementRequest, id string) bool {
	return s.eligible(req, id, externalapi.PhaseDecode)
}

// canPrefill reports whether a backend may be chosen to read a prompt and hand its KV cache on. The lock is held.
func (s *service) canPrefill(req *placementRequest, id string) bool {
	return s.eligible(req, id, externalapi.PhasePrefill)
}
