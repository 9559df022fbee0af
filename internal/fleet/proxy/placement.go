package proxy

import (
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// placement is the set of backends selected for a generation. If prefill is nil, the decode backend prefills the prompt
// itself.
type placement struct {
	prefill       *backend         // prefills the prompt and holds its KV cache for decode
	decode        *backend         // generates the tokens
	decodePermit  residency.Permit // for decode
	prefillPermit residency.Permit // for prefill
	promptTokens  int              // tokens of the prompt that decode has to prefill, as estimated
	prefillMs     float64          // expected time until the prompt is prefilled, with queueing, ms
	atPreferred   bool             // the prompt is prefilled at its preferred backend, with its shared prefix cached
}

// acquirePermits sets the permits under the terms; false: the terms do not allow one of the backends. The service's
// lock is held.
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

// placementRequest holds the inputs of a placement.
type placementRequest struct {
	now             float64 // on the service's clock, ms
	key             uint64  // hash of the shared prefix of the prompt, or of its first segment
	prompt          *scheduler.Prompt
	prefillTargetMs float64         // prefill target, ms
	tried           map[string]bool // backend ids to exclude
	terms           residency.Terms
	restricted      bool // the terms restrict the regions
	// retryable: another backend can serve the request if its next attempt fails, so that it may be sent to one on
	// trial.
	retryable bool
}

// newPlacementRequest returns the placement request of a prompt on a route with the given latency target.
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

// selectPlacement selects where a prompt is prefilled and decoded, under the terms, among the backends that are not in
// tried, and records the start of the attempt at the decode backend. kind is the route name, by which the length of
// responses is estimated; split allows a separate prefill backend. ok is false if no backend is available.
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

// isLongDecode reports whether a request is served by one decode backend: its output is expected to be long, and its
// prompt is so short that prefilling it there hardly slows the decoding of others. The lock is held.
func (s *service) isLongDecode(kind string, req *placementRequest) bool {
	return s.engines.LongDecode(kind, req.prompt) &&
		s.engines.DecodeLocalPrefillMs(req.prompt) <= shortPrefillShare*req.prefillTargetMs
}

// selectDecoder selects another decode backend for a KV cache that is held at from, under the terms, and records the
// start of the attempt there. ok is false if there is none.
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

// usableDecoder reports whether a decode backend that was selected before a wait is still the one that the endpoint
// list has: neither draining nor gone, at the same address, and in the decode phase.
func (s *service) usableDecoder(selected *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := s.byID[selected.ID]
	return listed != nil && listed.endpoint == selected.endpoint && !listed.Draining &&
		listed.Phase == externalapi.PhaseDecode
}

// selectPlain selects a backend for a plain request under the terms, among those that are not in tried, and records the
// start of the attempt there. ok is false if there is none. A retryable request may go to a backend on trial.
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

// eligible reports whether a backend may be selected for a phase. The lock is held.
func (s *service) eligible(req *placementRequest, id, phase string) bool {
	return s.byID[id].Phase == phase && !req.tried[id] && (!req.restricted || s.withinTerms(id, req.terms))
}

// canDecode reports whether a backend may be selected for decode. The lock is held.
func (s *service) canDecode(req *placementRequest, id string) bool {
	return s.eligible(req, id, externalapi.PhaseDecode)
}

// canPrefill reports whether a backend may be selected to prefill a prompt and transfer its KV cache. The lock is held.
func (s *service) canPrefill(req *placementRequest, id string) bool {
	return s.eligible(req, id, externalapi.PhasePrefill)
}
