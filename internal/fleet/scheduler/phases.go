package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// PhasePlanner decides how many of a service's backends read prompts and how many make tokens: a state machine without I/O or
// clock, for whoever holds the duty of giving orders. Times are in ms on a clock that doesn't go back.
//
// Those that make tokens are as many as what runs there needs, one to spare, and half of all at the most; all others read. More are made so at
// once, as their batches have no other place; fewer slowly, as a backend that changes first lets run out what it has.
type PhasePlanner struct {
	transitions    map[string]pendingTransition // by id
	surplusSince   float64                      // since when more make tokens than need be; 0: they don't
	peakActive     float64                      // places taken of late
	meanPrefilling float64                      // prompts under way at those that read, a mean of late
	steppedAt      float64
}

type pendingTransition struct {
	prefill     bool
	announcedAt float64
	ordered     bool
}

// BackendReport is what a backend last told of itself.
type BackendReport struct {
	ID       string
	Prefill  bool
	Active   int    // requests that run or wait
	Changing bool   // an order is under way
	Usable   bool   // listed, not draining, and its report came
	Orders   uint64 // orders that it has taken
}

// Transition has a backend change its phase.
type Transition struct {
	ID      string
	Prefill bool
	Due     bool // the order is to be sent now; else it is only announced, so that nobody sends there
}

const (
	// decodeFillTarget is how full the batches of those that make tokens may be, the rest is for bursts, crashes and uneven
	// shares; decodeFillMax is how full while those that read are pressed.
	decodeFillTarget, decodeFillMax = 0.8, 0.9
	// pressedPrefillsPerBackend is how many prompts are under way at each that reads, on the mean, when they are pressed; prefillHalfLifeMs is the
	// time in which what is known of that halves, ms.
	pressedPrefillsPerBackend, prefillHalfLifeMs = 1.5, 2000
	// easyPrefillsPerBackend is how many may be under way at each for one of them to make tokens instead.
	easyPrefillsPerBackend = 1
	// minPrefillDivisor is one in how many reads at the least.
	minPrefillDivisor = 4
	// minDecodeBackends is how many make tokens at the least, where there are twice as many: one may be lost while no order
	// can be given.
	minDecodeBackends = 3
	// initialDecodeDivisor is one in how many makes tokens before there is any work.
	initialDecodeDivisor = 2
	// surplusHoldMs is how long too many have to make tokens before one reads instead, ms.
	surplusHoldMs = 3000
	// announceMs is how long a change is announced before its order is sent, ms.
	announceMs = 1000
	// transitionTimeoutMs is for how long a change is believed under way, ms.
	transitionTimeoutMs = 20000
	// peakHalfLifeMs is the time in which what is known of a peak halves, ms.
	peakHalfLifeMs = 8000
)

// NewPhasePlanner makes one that knows nothing.
func NewPhasePlanner() *PhasePlanner {
	return &PhasePlanner{transitions: map[string]pendingTransition{}}
}

// RetryOrder has an order that was not sent, or of which nothing was heard, be due once more at the next step.
func (p *PhasePlanner) RetryOrder(id string) {
	if m, ok := p.transitions[id]; ok {
		m.ordered = false
		p.transitions[id] = m
	}
}

// InTransition is the backends whose change is announced or under way: nobody should send there.
func (p *PhasePlanner) InTransition() []string {
	var ids []string
	for id := range p.transitions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// prefillPressed tells whether those that read have too much to read.
func (p *PhasePlanner) prefillPressed(prefill int) bool {
	return prefill > 0 && p.meanPrefilling > pressedPrefillsPerBackend*float64(prefill)
}

// decodeTargets is how many of all should make tokens at the least, and at the most.
func (p *PhasePlanner) decodeTargets(total, decode, capacity int, active, reading float64, prefill int) (need, most int) {
	places := float64(capacity)
	if p.peakActive < 1 {
		n := max(minDecodeBackends, total/initialDecodeDivisor)
		n = min(n, (total+1)/2)
		return n, n
	}
	if p.prefillPressed(prefill) {
		need = int(math.Ceil(p.peakActive/(decodeFillMax*places))) + 1
	} else {
		// Requests come by chance: room for two deviations more than the peak.
		need = max(int(math.Ceil((p.peakActive+2*math.Sqrt(p.peakActive))/(decodeFillTarget*places))), int(math.Ceil(p.peakActive/(decodeFillMax*places)))+1)
	}
	need = max(need, minDecodeBackends)
	if active > decodeFillMax*places*float64(max(decode, 1)) {
		need = max(need, decode+(decode+3)/4) // full batches hide how much more would come
	}
	readers := max(int(math.Ceil(max(p.meanPrefilling, reading)/easyPrefillsPerBackend)), total/minPrefillDivisor, 1)
	need = min(need, max(total-readers, (total+1)/2))
	if p.meanPrefilling > easyPrefillsPerBackend*float64(prefill) {
		return need, need
	}
	return need, max(need, (total+1)/2)
}

// Step looks at all backends of the service, each with so many places in its batch, and gives the changes to be
// announced and the orders to be sent.
func (p *PhasePlanner) Step(now float64, capacity int, all []BackendReport) []Transition {
	if capacity <= 0 {
		return nil
	}
	byID := make(map[string]*BackendReport, len(all))
	var decode, prefill []*BackendReport
	active, reading := 0.0, 0.0
	for i := range all {
		e := &all[i]
		byID[e.ID] = e
		if m, ok := p.transitions[e.ID]; ok && m.ordered && e.Prefill == m.prefill && !e.Changing || ok && (now-m.announcedAt > transitionTimeoutMs || !e.Usable) {
			delete(p.transitions, e.ID)
		}
		if !e.Usable {
			continue
		}
		is := e.Prefill
		if m, ok := p.transitions[e.ID]; ok {
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
	for id := range p.transitions {
		if byID[id] == nil {
			delete(p.transitions, id)
		}
	}
	p.peakActive = max(active, p.peakActive*math.Exp2(-(now-p.steppedAt)/peakHalfLifeMs))
	p.meanPrefilling += (reading - p.meanPrefilling) * (1 - math.Exp2(-(now-p.steppedAt)/prefillHalfLifeMs))
	p.steppedAt = now
	var moves []Transition
	for id, m := range p.transitions {
		if !m.ordered && now-m.announcedAt >= announceMs {
			m.ordered = true
			p.transitions[id] = m
			moves = append(moves, Transition{ID: id, Prefill: m.prefill, Due: true})
		}
	}
	total := len(decode) + len(prefill)
	if total < 3 {
		return moves // each has its part
	}
	need, most := p.decodeTargets(total, len(decode), capacity, active, reading, len(prefill))
	start := func(e *BackendReport, toPrefill bool) {
		p.transitions[e.ID] = pendingTransition{prefill: toPrefill, announcedAt: now}
		moves = append(moves, Transition{ID: e.ID, Prefill: toPrefill})
	}
	steady := func(es []*BackendReport) []*BackendReport {
		es = slices.DeleteFunc(slices.Clone(es), func(e *BackendReport) bool { _, ok := p.transitions[e.ID]; return ok || e.Changing })
		slices.SortStableFunc(es, func(a, b *BackendReport) int { return cmp.Or(cmp.Compare(a.Active, b.Active), cmp.Compare(a.ID, b.ID)) })
		return es
	}
	switch {
	case len(decode) < need:
		p.surplusSince = 0
		for _, e := range steady(prefill) {
			if len(decode) >= need {
				break
			}
			start(e, false)
			need--
		}
	case len(decode) > most:
		if p.surplusSince == 0 {
			p.surplusSince = now
		}
		// Before there is any work all changes cost nothing; and one that reads comes back at once, where one that makes
		// tokens takes long to run out.
		wait := now-p.surplusSince < surplusHoldMs && p.peakActive >= 1 && !p.prefillPressed(len(prefill))
		for _, e := range steady(decode) {
			if wait || len(decode) <= most {
				break
			}
			start(e, true)
			most++
			wait = p.peakActive >= 1
			p.surplusSince = now
		}
	default:
		p.surplusSince = 0
	}
	return moves
}
