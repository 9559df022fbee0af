package proxy

import (
	"math"
	"time"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// place is where a generation goes: from is where its prompt is read first; nil: at the decode backend itself.
type place struct {
	from   *backend
	at     *backend
	permit residency.Permit // for at
	first  residency.Permit // for from
	tokens int              // that at is to read, as the engines count them
	readMs float64
	home   bool // the prompt is read at its home
}

// permits fills in the permits under the terms; false: there is none. The lock is held.
func (pl *place) permits(terms residency.Terms) bool {
	var err error
	if pl.permit, err = pl.at.plot.Permit(terms); err != nil {
		return false
	}
	if pl.from != nil {
		pl.first, err = pl.from.plot.Permit(terms)
	}
	return err == nil
}

const (
	// readAim is the part of a request's aim within which a prompt should be read: what lies ahead at its home may take
	// that long before another backend, which keeps none of it, is asked; and a move, which has a price, is made only
	// where reading at a decode backend takes longer.
	readAim = 0.4
	// homePatience is how many times as long as that a prompt waits at its home: elsewhere all of it is read again, which
	// under load makes more of what it flees from.
	homePatience = 1
	// shortRead is the part of that which a prompt's reading may take at a decode backend.
	shortRead = 0.25
	// reserve is the part of the places, at backends that are not kept for long answers, which those leave free while others
	// have one.
	reserve = 0.5
	// fillLong is how full the backends for long answers are filled while others have places.
	fillLong = 0.9
	// leastFree bounds the weight of a backend by its free places from below; classApart is above all scores.
	leastFree, classApart = 0.05, 1e9
	// slowMove is how much longer than usual moves take where others are better, in parts of a prompt's patience.
	slowMove = 0.5
	// engineCap is c of the design's bounded-load hash at engines: a batch holds many, and a prompt read away from its
	// home costs more than a longer batch.
	engineCap = 8
	// apartKey orders the backends for those that make tokens for long, the same at all proxies.
	apartKey = 0x6d6f6c6570616464
)

// placeFor chooses where a prompt is read and its tokens are made, under the terms.
func (s *service) placeFor(kind string, repeatable bool, p *scheduler.Prompt, aim time.Duration, tried map[string]bool, split bool, terms residency.Terms) (pl place, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, e := s.now(), s.engines
	s.keepApart(now)
	w := want{now: now, key: p.SharedPrefixKey(), p: p, patience: patience(aim), tried: tried, terms: terms, bound: terms.Restricted(), repeatable: repeatable}
	if w.key == 0 && len(p.Segments) > 0 {
		w.key = p.Segments[0].PrefixHash
	}
	if e.LongDecode(kind, p) && e.DecodeLocalPrefillMs(p) <= shortRead*w.patience {
		pl.at = s.maker(&w)
	} else {
		s.reader(&w, split, &pl)
	}
	if pl.at == nil || !pl.permits(terms) {
		return pl, false
	}
	at := pl.at.ID
	if pl.from == nil {
		pl.tokens = e.PrefillStarted(at, p, pl.home)
	} else {
		e.DecodeStarted(at)
	}
	s.ranker.AttemptStarted(at)
	return pl, true
}

// want is a request for a place.
type want struct {
	now      float64
	key      uint64
	p        *scheduler.Prompt
	patience float64 // ms
	tried    map[string]bool
	terms    residency.Terms
	bound    bool // the terms bind
	// repeatable: another backend can serve it if its next send fails, so that it may go to one that is on trial.
	repeatable bool
}

// patience is the part of an aim that a prompt's reading may take, ms.
func patience(aim time.Duration) float64 { return max(readAim*float64(aim.Milliseconds()), 1) }

// open tells whether a backend of a phase may be chosen. The lock is held.
func (s *service) open(w *want, id, phase string) bool {
	return s.byID[id].Phase == phase && !w.tried[id] && (!w.bound || s.allowed(id, w.terms))
}

// keepApart settles which backends are kept for long answers; the others have places for what is staged, also when a burst of
// long ones fills those: spread over all, they left handles without takers on large fleets. The lock is held.
func (s *service) keepApart(now float64) {
	s.order = s.ranker.Rank(now, apartKey, func(id string) bool { return s.byID[id].Phase == externalapi.PhaseDecode }, math.Inf(1), nil, s.order[:0])
	clear(s.apart)
	for i := range s.engines.LongDecodePool(now, s.order) {
		s.apart[s.order[i]] = true
	}
}

// maker is where a long answer is made whole: where few prompts are read, by the share of free places; nil: nowhere. What is
// known of places is a second old, and all proxies know the same: strictly the emptiest would get what comes to all of them.
// The lock is held.
func (s *service) maker(w *want) *backend {
	e := s.engines
	if at := s.onTrial(w, externalapi.PhaseDecode, outlier.Risk{Idempotent: w.repeatable, LongDecode: true}); at != nil {
		return at
	}
	key := w.p.PromptKey() // what it shares is short: requests are spread, not kept together
	s.order = s.ranker.Rank(w.now, key, func(id string) bool { return s.open(w, id, externalapi.PhaseDecode) }, math.Inf(1), func(id string) float64 {
		busy := e.Utilization(id)
		class := 0.0
		switch {
		case e.Full(w.now, id) || e.Unresponsive(w.now, id, w.patience):
			class = 3
		case s.apart[id] && busy >= fillLong:
			class = 2
		case !s.apart[id] && busy >= 1-reserve:
			class = 2 // what is staged finds a place there
		case !s.apart[id]:
			class = 1
		}
		return class*classApart + s.ranker.HashScore(key, id, free(busy))
	}, s.order[:0])
	return s.first()
}

// first is the backend that the ranking just made puts first; nil: it has none. The lock is held.
func (s *service) first() *backend {
	if len(s.order) == 0 {
		return nil
	}
	return s.byID[s.order[0]]
}

// free is the weight that a backend has by its free places.
func free(busy float64) float64 {
	f := max(1-busy, leastFree)
	return f * f
}

// reader chooses where a prompt is read: at the key's home, which keeps what the prompt shares, unless too much waits there: a
// prefill backend, whose reading slows no tokens down; only where those are much behind, or none is there, one that decodes.
// It fills in who makes the tokens as well. The lock is held.
func (s *service) reader(w *want, split bool, pl *place) {
	e, now, p := s.engines, w.now, w.p
	reads := func(id string) bool { return s.open(w, id, externalapi.PhasePrefill) }
	home := s.ranker.PreferredBackend(now, w.key, reads)
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
	again := 1 + least/w.patience
	s.order = s.ranker.Rank(now, w.key, func(id string) bool { return split && reads(id) || s.open(w, id, externalapi.PhaseDecode) }, engineCap, func(id string) float64 {
		c := e.QueueMs(now, id) + e.OutboundDelayMs(now, id) - least
		if id != home && home != "" {
			c += max(e.PrefillMs(id, p, false)-e.PrefillMs(home, p, true), 0) * again
		}
		if c < homePatience*w.patience {
			c = 0
		}
		if s.byID[id].Phase == externalapi.PhaseDecode {
			// Reading there slows the tokens of all that run, and so fills the batches: only what is short, or where
			// nobody else reads.
			if c = max(c, 0) + 10*w.patience; e.PrefillMs(id, p, false) > shortRead*w.patience {
				c += 1000 * w.patience
			}
			if s.apart[id] {
				c += 10 * w.patience
			}
		}
		if e.Full(now, id) || e.MarkedUnresponsive(now, id) {
			c += 30 * w.patience
		}
		return c
	}, s.order[:0])
	pl.at = s.first()
	if split {
		// What one backend failed to read another may read still.
		if at := s.onTrial(w, externalapi.PhasePrefill, outlier.Risk{Idempotent: true}); at != nil {
			pl.at = at
		}
	}
	if pl.at == nil {
		return
	}
	pl.home = pl.at.ID == home
	pl.readMs = e.ExpectedPrefillMs(now, pl.at.ID, p, pl.home)
	if pl.at.Phase != externalapi.PhaseDecode {
		pl.from = pl.at
		pl.at = s.taker(w, pl.from)
	}
}

// takerFor chooses another decode backend for memory that lies at from, under the terms.
func (s *service) takerFor(from *backend, repeatable bool, p *scheduler.Prompt, aim time.Duration, tried map[string]bool, terms residency.Terms) (pl place, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.from = from
	w := want{now: s.now(), key: p.SharedPrefixKey(), p: p, patience: patience(aim), tried: tried, terms: terms, bound: terms.Restricted(), repeatable: repeatable}
	if pl.at = s.taker(&w, from); pl.at == nil || !pl.permits(terms) {
		return pl, false
	}
	s.engines.DecodeStarted(pl.at.ID)
	s.ranker.AttemptStarted(pl.at.ID)
	return pl, true
}

// taker is the decode backend that makes the tokens of a prompt read elsewhere: one whose batch is the least full, in the
// same zone if that is no matter, and to which moves have not been slow of late; nil: none is left. The lock is held.
func (s *service) taker(w *want, from *backend) *backend {
	e := s.engines
	if at := s.onTrial(w, externalapi.PhaseDecode, outlier.Risk{Idempotent: w.repeatable}); at != nil {
		return at
	}
	key := w.p.PromptKey()
	s.order = s.ranker.Rank(w.now, key, func(id string) bool { return s.open(w, id, externalapi.PhaseDecode) }, math.Inf(1), func(id string) float64 {
		busy, late := e.Utilization(id), e.InboundDelayMs(w.now, id)/w.patience
		class := 0.0
		if s.apart[id] {
			class++ // they keep their places for long answers
		}
		if s.byID[id].Zone != from.Zone {
			class += 2 // a move takes longer there, and costs more
		}
		switch {
		case e.Full(w.now, id) || e.Unresponsive(w.now, id, w.patience):
			class += 8
		case busy >= fillLong || late > slowMove:
			class += 4
		}
		weight := free(busy) / ((1 + late) * (1 + late))
		return class*classApart + s.ranker.HashScore(key, id, weight)
	}, s.order[:0])
	return s.first()
}
