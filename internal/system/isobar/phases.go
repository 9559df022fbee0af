package isobar

import (
	"cmp"
	"math"
	"slices"
)

// Phases decides how many of a service's backends read prompts and how many make tokens: a state machine without I/O or
// clock, for whoever holds the duty of giving orders. Times are in ms on a clock that doesn't go back.
//
// Those that make tokens are as many as what runs there needs, one to spare, and half of all at the most; all others read. More are made so at
// once, as their batches have no other place; fewer slowly, as a backend that changes first lets run out what it has.
type Phases struct {
	moving map[string]moving // by id
	spare  float64           // since when more make tokens than need be; 0: they don't
	peak   float64           // places taken of late
	at     float64
}

type moving struct {
	prefill bool
	at      float64
	told    bool
}

// EngineState is what a backend last told of itself.
type EngineState struct {
	ID       string
	Prefill  bool
	Active   int  // requests that run or wait
	Changing bool // an order is under way
	Usable   bool // listed, not draining, and its report came
}

// Move has a backend change its phase.
type Move struct {
	ID      string
	Prefill bool
	Due     bool // the order is to be sent now; else it is only announced, so that nobody sends there
}

const (
	// fillDecode is how full the batches of those that make tokens may be, the rest is for bursts and crashes.
	fillDecode = 0.9
	// leastDecode is how many make tokens at the least, where there are twice as many: one may be lost while no order
	// can be given.
	leastDecode = 3
	// startDecode is one in how many makes tokens before there is any work.
	startDecode = 3
	// spareFor is how long too many have to make tokens before one reads instead, ms.
	spareFor = 3000
	// announceFor is how long a change is announced before its order is sent, ms.
	announceFor = 1000
	// movingMost is for how long a change is believed under way, ms.
	movingMost = 20000
	// peakHalf is the time in which what is known of a peak halves, ms.
	peakHalf = 8000
)

// NewPhases makes one that knows nothing.
func NewPhases() *Phases { return &Phases{moving: map[string]moving{}} }

// Moving is the backends whose change is announced or under way: nobody should send there.
func (p *Phases) Moving() []string {
	var ids []string
	for id := range p.moving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Step looks at all backends of the service, each with so many places in its batch, and gives the changes to be
// announced and the orders to be sent.
func (p *Phases) Step(now float64, capacity int, all []EngineState) []Move {
	if capacity <= 0 {
		return nil
	}
	byID := make(map[string]*EngineState, len(all))
	var decode, prefill []*EngineState
	active := 0.0
	for i := range all {
		e := &all[i]
		byID[e.ID] = e
		if m, ok := p.moving[e.ID]; ok && m.told && e.Prefill == m.prefill && !e.Changing || ok && (now-m.at > movingMost || !e.Usable) {
			delete(p.moving, e.ID)
		}
		if !e.Usable {
			continue
		}
		is := e.Prefill
		if m, ok := p.moving[e.ID]; ok {
			is = m.prefill
		}
		if !e.Prefill {
			active += float64(e.Active)
		}
		if is {
			prefill = append(prefill, e)
		} else {
			decode = append(decode, e)
		}
	}
	for id := range p.moving {
		if byID[id] == nil {
			delete(p.moving, id)
		}
	}
	p.peak = max(active, p.peak*math.Exp2(-(now-p.at)/peakHalf))
	p.at = now
	var moves []Move
	for id, m := range p.moving {
		if !m.told && now-m.at >= announceFor {
			m.told = true
			p.moving[id] = m
			moves = append(moves, Move{ID: id, Prefill: m.prefill, Due: true})
		}
	}
	total := len(decode) + len(prefill)
	if total < 3 {
		return moves // each has its part
	}
	need := max(int(math.Ceil(p.peak/(fillDecode*float64(capacity))))+1, leastDecode)
	if p.peak < 1 {
		need = max(need, total/startDecode)
	}
	if fill := active / float64(max(len(decode), 1)*capacity); fill > fillDecode && len(decode) > 0 {
		need = max(need, len(decode)+(len(decode)+3)/4) // full batches hide how much more would come
	}
	need = min(need, (total+1)/2)
	start := func(e *EngineState, toPrefill bool) {
		p.moving[e.ID] = moving{prefill: toPrefill, at: now}
		moves = append(moves, Move{ID: e.ID, Prefill: toPrefill})
	}
	steady := func(es []*EngineState) []*EngineState {
		es = slices.DeleteFunc(slices.Clone(es), func(e *EngineState) bool { _, ok := p.moving[e.ID]; return ok || e.Changing })
		slices.SortStableFunc(es, func(a, b *EngineState) int { return cmp.Or(cmp.Compare(a.Active, b.Active), cmp.Compare(a.ID, b.ID)) })
		return es
	}
	switch {
	case len(decode) < need:
		p.spare = 0
		for _, e := range steady(prefill) {
			if len(decode) >= need {
				break
			}
			start(e, false)
			need--
		}
	case len(decode) > need:
		if p.spare == 0 {
			p.spare = now
		}
		// Before there is any work all changes cost nothing; and one that reads comes back at once, where one that makes
		// tokens takes long to run out.
		wait := now-p.spare < spareFor && p.peak >= 1
		for _, e := range steady(decode) {
			if wait || len(decode) <= need {
				break
			}
			start(e, true)
			need++
			wait = p.peak >= 1
			p.spare = now
		}
	default:
		p.spare = 0
	}
	return moves
}
