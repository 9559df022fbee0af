package vane

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/system/almanac"
	"molepaddle/internal/system/enclosure"
	"molepaddle/internal/system/isobar"
	"molepaddle/internal/system/sonde"
	"molepaddle/internal/system/synop"
	"molepaddle/internal/system/windrose"
	"molepaddle/policy"
)

// backend is a listed backend with its plot, which holds the connections to it.
type backend struct {
	synop.Backend
	plot *enclosure.Plot
}

// service is one service's backends as this proxy sees them. Its lock guards all below it.
type service struct {
	name   string
	ground *enclosure.Ground
	start  time.Time

	mu       sync.Mutex
	byID     map[string]*backend
	ranker   *windrose.Ranker
	engines  *isobar.Engines // nil: no model backends
	order    []string        // scratch
	apart    map[string]bool // scratch
	spent    allowance
	capacity int
}

// capFactor is c of the design's bounded-load hash, at least 1: how far above its share a backend may be loaded
// before a key goes on to the next. A proxy has few requests out, so that c near 1 would scatter keys.
const capFactor = 3

func newService(name string, ground *enclosure.Ground, lapse time.Duration) *service {
	return &service{name: name, ground: ground, start: time.Now(), byID: map[string]*backend{}, apart: map[string]bool{},
		ranker: windrose.NewRanker(windrose.RankerSettings{LapseMs: float64(lapse.Milliseconds()), RefetchMs: float64(lapse.Milliseconds())})}
}

func (s *service) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

// configure takes what the configuration says of the service.
func (s *service) configure(c *almanac.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Runtime == nil {
		s.engines = nil
		return
	}
	set := isobar.Engine{Capacity: c.Runtime.Capacity, KVTokens: int(c.Runtime.KVTokens), KVBytes: c.Runtime.KVTokenBytes, LinkMbps: c.Runtime.LinkMbps}
	if s.engines == nil {
		s.engines = isobar.New(set)
		s.relist()
	} else {
		s.engines.Turn(set)
	}
}

// list takes the service's part of the platform's list.
func (s *service) list(all []synop.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(all))
	ranked := make([]windrose.Listed, 0, len(all))
	for _, b := range all {
		if listed[b.ID] {
			continue
		}
		listed[b.ID] = true
		old := s.byID[b.ID]
		switch {
		case old == nil:
			s.byID[b.ID] = &backend{Backend: b, plot: s.ground.Plot(b.ID, b.Address, b.Zone)}
		case old.Address != b.Address:
			old.plot.Retire()
			s.byID[b.ID] = &backend{Backend: b, plot: s.ground.Plot(b.ID, b.Address, b.Zone)}
		default:
			old.plot.Relist(b.Zone)
			s.byID[b.ID] = &backend{Backend: b, plot: old.plot}
		}
		ranked = append(ranked, windrose.Listed{ID: b.ID, Usable: !b.Draining})
	}
	for id, b := range s.byID {
		if !listed[id] {
			b.plot.Retire()
			delete(s.byID, id)
		} else if b.Draining {
			b.plot.CloseIdle()
		}
	}
	s.ranker.List(s.now(), ranked)
	s.relist()
}

func (s *service) relist() {
	if s.engines == nil {
		return
	}
	all := make([]isobar.Backend, 0, len(s.byID))
	for id, b := range s.byID {
		all = append(all, isobar.Backend{ID: id, Zone: b.Zone, Prefill: b.Phase == sonde.PhasePrefill})
	}
	s.engines.List(all)
}

// ended counts the end of an attempt, as its choice counted its beginning.
func (s *service) ended(id string, how policy.Status) {
	s.mu.Lock()
	s.ranker.Ended(s.now(), id, how)
	s.mu.Unlock()
}

// told notes the load that an answer tells.
func (s *service) told(id, load string) {
	a, rest, ok := strings.Cut(load, ",")
	w, _, _ := strings.Cut(rest, ",")
	active, err1 := strconv.Atoi(strings.TrimSpace(a))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(w))
	if !ok || err1 != nil || err2 != nil {
		return
	}
	s.mu.Lock()
	if s.engines != nil {
		s.engines.Told(s.now(), id, active, waiting)
	}
	s.mu.Unlock()
}

// awaits notes that the head of an answer is waited for at a backend; the function given ends that.
func (s *service) awaits(id string) (heard func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.engines.Awaits(s.now(), id)
	return func() {
		s.mu.Lock()
		s.engines.Heard(id, since)
		s.mu.Unlock()
	}
}

// gauged notes how many requests were at the backends that make tokens, as the control plane heard from them.
func (s *service) gauged(active map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		return
	}
	least := 0
	if len(active) >= synop.MaxGauges {
		least = slices.Min(slices.Collect(maps.Values(active)))
	}
	now := s.now()
	for id, b := range s.byID {
		if n, ok := active[id]; ok {
			s.engines.Gauged(now, id, n)
		} else if least > 0 && b.Phase == sonde.PhaseDecode {
			s.engines.Gauged(now, id, least)
		}
	}
}

// allowed tells whether a listed backend may hold data under the terms. The lock is held. Callers ask only for requests that
// have terms: the others are to pay nothing.
func (s *service) allowed(id string, terms enclosure.Terms) bool {
	return s.byID[id].plot.Allowed(terms)
}

// pick chooses a backend for a plain request under the terms, none of those tried before; false: there is none.
func (s *service) pick(key uint64, tried map[string]bool, terms enclosure.Terms) (at enclosure.Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound := terms.Bound()
	s.order = s.ranker.Rank(s.now(), key, func(id string) bool { return !tried[id] && (!bound || s.allowed(id, terms)) }, capFactor, func(id string) float64 {
		return float64(s.ranker.Outstanding(id))
	}, s.order[:0])
	if len(s.order) == 0 {
		return at, false
	}
	at, err := s.byID[s.order[0]].plot.Permit(terms)
	if err != nil {
		return at, false
	}
	s.ranker.Sent(at.ID())
	return at, true
}

// place is where a generation goes: from is where its prompt is read first; nil: at the decode backend itself.
type place struct {
	from   *backend
	at     *backend
	permit enclosure.Permit // for at
	first  enclosure.Permit // for from
	tokens int              // that at is to read, as the engines count them
	readMs float64
	home   bool // the prompt is read at its home
}

// permits fills in the permits under the terms; false: there is none. The lock is held.
func (pl *place) permits(terms enclosure.Terms) bool {
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
	// engineCap is c of the design's bounded-load hash at engines: a batch holds many, and a prompt read away from its
	// home costs more than a longer batch.
	engineCap = 8
	// apartKey orders the backends for those that make tokens for long, the same at all proxies.
	apartKey = 0x6d6f6c6570616464
)

// placeFor chooses where a prompt is read and its tokens are made, under the terms.
func (s *service) placeFor(kind string, p *isobar.Prompt, aim time.Duration, tried map[string]bool, split bool, terms enclosure.Terms) (pl place, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, e, bound := s.now(), s.engines, terms.Bound()
	key := p.Key()
	if key == 0 && len(p.Parts) > 0 {
		key = p.Parts[0].Chain
	}
	patience := readAim * float64(aim.Milliseconds())
	decode := func(id string) bool { return s.byID[id].Phase == sonde.PhaseDecode }
	prefill := func(id string) bool { return s.byID[id].Phase == sonde.PhasePrefill }
	// Some backends are kept for long answers; the others have places for what is staged, also when a burst of long ones
	// fills those: spread over all, they left handles without takers on large fleets.
	s.order = s.ranker.Rank(now, apartKey, decode, math.Inf(1), nil, s.order[:0])
	clear(s.apart)
	for i := range e.Apart(now, s.order) {
		s.apart[s.order[i]] = true
	}
	long := e.Long(kind, p)
	fresh := func(id string) bool { return !tried[id] && decode(id) && (!bound || s.allowed(id, terms)) }
	if long {
		// Where few prompts are read, and batches have places.
		s.order = s.ranker.Rank(now, key, fresh, math.Inf(1), func(id string) float64 {
			busy := e.Busy(id)
			c := level(busy) * patience / 4
			if !s.apart[id] {
				c += patience
				if busy >= 1-reserve {
					c += 5 * patience // what is staged finds a place there
				}
			}
			if e.Full(now, id) || e.SilentMs(now, id) > patience {
				c += 10 * patience
			}
			return c
		}, s.order[:0])
		if len(s.order) == 0 {
			return pl, false
		}
		pl.at = s.byID[s.order[0]]
	} else {
		// The key's home, which keeps what the prompt shares, unless too much waits there: a prefill backend, whose
		// reading slows no tokens down; only where those are much behind, or none is there, one that decodes.
		least := math.Inf(1) // where all are behind, nothing is won elsewhere
		for id := range s.byID {
			if prefill(id) && !tried[id] && (!bound || s.allowed(id, terms)) {
				least = min(least, e.AheadMs(now, id)+e.OutwardMs(now, id))
			}
		}
		if math.IsInf(least, 1) {
			least = 0
		}
		s.order = s.ranker.Rank(now, key, func(id string) bool {
			return !tried[id] && (split && prefill(id) || decode(id)) && (!bound || s.allowed(id, terms))
		}, engineCap, func(id string) float64 {
			c := e.AheadMs(now, id) + e.OutwardMs(now, id) - least
			if c < homePatience*patience {
				c = 0
			}
			if !prefill(id) {
				// Reading there slows the tokens of all that run, and so fills the batches: only what is short, or
				// where nobody else reads.
				if c = max(c, 0) + 10*patience; e.ReadMs(id, p) > shortRead*patience {
					c += 1000 * patience
				}
				if s.apart[id] {
					c += 10 * patience
				}
			}
			if e.Full(now, id) {
				c += 30 * patience
			}
			return c
		}, s.order[:0])
		if len(s.order) == 0 {
			return pl, false
		}
		pl.at = s.byID[s.order[0]]
		pl.home = pl.at.ID == s.ranker.Home(key, prefill)
		pl.readMs = e.AheadMs(now, pl.at.ID) + e.ReadMs(pl.at.ID, p)
		if !decode(pl.at.ID) {
			pl.from = pl.at
			if pl.at = s.taker(now, key, pl.from, p, patience, tried, terms); pl.at == nil {
				return pl, false
			}
		}
	}
	if !pl.permits(terms) {
		return pl, false
	}
	at := pl.at.ID
	if pl.from == nil {
		pl.tokens = e.Sent(at, p, pl.home)
	} else {
		e.Began(at)
	}
	s.ranker.Sent(at)
	return pl, true
}

// takerFor chooses another decode backend for memory that lies at from, under the terms.
func (s *service) takerFor(from *backend, p *isobar.Prompt, aim time.Duration, tried map[string]bool, terms enclosure.Terms) (pl place, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.from = from
	if pl.at = s.taker(s.now(), p.Key(), from, p, readAim*float64(aim.Milliseconds()), tried, terms); pl.at == nil || !pl.permits(terms) {
		return pl, false
	}
	s.engines.Began(pl.at.ID)
	s.ranker.Sent(pl.at.ID)
	return pl, true
}

// taker is the decode backend that makes the tokens of a prompt read elsewhere: one whose batch is the least full, in the
// same zone if that is no matter, and to which moves have not been slow of late; nil: none is left. The lock is held.
func (s *service) taker(now float64, key uint64, from *backend, p *isobar.Prompt, patience float64, tried map[string]bool, terms enclosure.Terms) *backend {
	e, bound := s.engines, terms.Bound()
	s.order = s.ranker.Rank(now, key, func(id string) bool {
		return !tried[id] && s.byID[id].Phase == sonde.PhaseDecode && (!bound || s.allowed(id, terms))
	}, math.Inf(1), func(id string) float64 {
		c := level(e.Busy(id))/4 + e.InwardMs(now, id)/patience
		if s.byID[id].Zone != from.Zone {
			c += 0.5
		}
		if s.apart[id] {
			c += 0.25
		}
		if e.Full(now, id) || e.SilentMs(now, id) > patience {
			c += 10
		}
		return c
	}, s.order[:0])
	if len(s.order) == 0 {
		return nil
	}
	return s.byID[s.order[0]]
}

// level tells backends apart by how full their batches are, coarsely: what proxies know of that is old, and all that know the
// same would go to the one that seems the least full, where the key's hash spreads them among those that are much alike.
func level(full float64) float64 {
	switch {
	case full < 0.5:
		return 0
	case full < 0.75:
		return 1
	case full < 0.9:
		return 2
	}
	return 3
}
