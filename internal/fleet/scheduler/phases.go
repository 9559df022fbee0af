package scheduler

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
	moving  map[string]moving // by id
	spare   float64           // since when more make tokens than need be; 0: they don't
	peak    float64           // places taken of late
	reading float64           // prompts under way at those that read, a mean of late
	at      float64
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
	Active   int    // requests that run or wait
	Changing bool   // an order is under way
	Usable   bool   // listed, not draining, and its report came
	Orders   uint64 // orders that it has taken
}

// Move has a backend change its phase.
type Move struct {
	ID      string
	Prefill bool
	Due     bool // the order is to be sent now; else it is only announced, so that nobody sends there
}

const (
	// fillDecode is how full the batches of those that make tokens may be, the rest is for bursts, crashes and uneven
	// shares; fillMostDecode is how full while those that read are pressed.
	fillDecode, fillMostDecode = 0.8, 0.9
	// pressedRead is how many prompts are under way at each that reads, on the mean, when they are pressed; readHalf is the
	// time in which what is known of that halves, ms.
	pressedRead, readHalf = 1.5, 2000
	// easyRead is how many may be under way at each for one of them to make tokens instead.
	easyRead = 1
	// leastReaders is one in how many reads at the least.
	leastReaders = 4
	// leastDecode is how many make tokens at the least, where there are twice as many: one may be lost while no order
	// can be given.
	leastDecode = 3
	// startDecode is one in how many makes tokens before there is any work.
	startDecode = 2
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

// Again has an order that was not sent, or of which nothing was heard, be due once more at the next step.
func (p *Phases) Again(id string) {
	if m, ok := p.moving[id]; ok {
		m.told = false
		p.moving[id] = m
	}
}

// Moving is the backends whose change is announced or under way: nobody should send there.
func (p *Phases) Moving() []string {
	var ids []string
	for id := range p.moving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// pressed tells whether those that read have too much to read.
func (p *Phases) pressed(prefill int) bool {
	return prefill > 0 && p.reading > pressedRead*float64(prefill)
}

// share is how many of all should make tokens at the least, and at the most.
func (p *Phases) share(total, decode, capacity int, active, reading float64, prefill int) (need, most int) {
	places := float64(capacity)
	if p.peak < 1 {
		n := max(leastDecode, total/startDecode)
		n = min(n, (total+1)/2)
		return n, n
	}
	if p.pressed(prefill) {
		need = int(math.Ceil(p.peak/(fillMostDecode*places))) + 1
	} else {
		// Requests come by chance: room for two deviations more than the peak.
		need = max(int(math.Ceil((p.peak+2*math.Sqrt(p.peak))/(fillDecode*places))), int(math.Ceil(p.peak/(fillMostDecode*places)))+1)
	}
	need = max(need, leastDecode)
	if active > fillMostDecode*places*float64(max(decode, 1)) {
		need = max(need, decode+(decode+3)/4) // full batches hide how much more would come
	}
	readers := max(int(math.Ceil(max(p.reading, reading)/easyRead)), total/leastReaders, 1)
	need = min(need, max(total-readers, (total+1)/2))
	if p.reading > easyRead*float64(prefill) {
		return need, need
	}
	return need, max(need, (total+1)/2)
}

// Step looks at all backends of the service, each with so many places in its batch, and gives the changes to be
// announced and the orders to be sent.
func (p *Phases) Step(now float64, capacity int, all []EngineState) []Move {
	if capacity <= 0 {
		return nil
	}
	byID := make(map[string]*EngineState, len(all))
	var decode, prefill []*EngineState
	active, reading := 0.0, 0.0
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
		if e.Prefill {
			reading += float64(e.Active)
		} else {
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
	p.reading += (reading - p.reading) * (1 - math.Exp2(-(now-p.at)/readHalf))
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
	need, most := p.share(total, len(decode), capacity, active, reading, len(prefill))
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
	case len(decode) > most:
		if p.spare == 0 {
			p.spare = now
		}
		// Before there is any work all changes cost nothing; and one that reads comes back at once, where one that makes
		// tokens takes long to run out.
		wait := now-p.spare < spareFor && p.peak >= 1 && !p.pressed(len(prefill))
		for _, e := range steady(decode) {
			if wait || len(decode) <= most {
				break
			}
			start(e, true)
			most++
			wait = p.peak >= 1
			p.spare = now
		}
	default:
		p.spare = 0
	}
	return moves
}
