package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// PhasePlanner decides how many of a service's backends prefill and how many decode. It serves the control server
// that holds the singleton role of giving orders. It is a state machine without I/O or clock; times are in ms on a
// clock that doesn't go back. It is not safe for concurrent use.
//
// As many decode as the requests need, and one to spare, half of all at the most; all others prefill. More are made
// to decode at once, since a full batch has no other outlet; fewer only slowly, since a backend that changes its
// phase first finishes what it has.
type PhasePlanner struct {
	transitions map[string]pendingTransition // by id

	// Load, of late.
	peakActive     float64 // requests at decode backends, a decaying peak
	meanPrefilling float64 // prompts at prefill backends, a decaying mean
	steppedAt      float64 // when both were last updated, ms

	surplusSince float64 // since when more decode than need be, ms; 0: they don't
}

// pendingTransition is a change of phase that was announced and hasn't been seen complete.
type pendingTransition struct {
	prefill     bool    // the phase that it changes to
	announcedAt float64 // ms
	ordered     bool    // the order was handed out
}

// BackendReport is what a backend last reported of itself.
type BackendReport struct {
	ID       string
	Prefill  bool   // its present phase: prefill, else decode
	Active   int    // requests that run or wait there
	Changing bool   // a change of its phase is under way
	Usable   bool   // it is listed, isn't draining and its report came
	Orders   uint64 // how many orders it has accepted
}

// Transition is a change of one backend's phase.
type Transition struct {
	ID      string
	Prefill bool // the phase to change to: prefill, else decode
	// Due tells that the order is to be sent now; else the change is only announced, so that nobody sends there.
	Due bool
}

const (
	// decodeFillTarget is how full the batches of decode backends may be; the rest is for bursts, crashes and uneven
	// shares.
	decodeFillTarget = 0.8
	// decodeFillMax is how full they may be while the prefill backends are pressed.
	decodeFillMax = 0.9
	// pressedPrefillsPerBackend is the mean number of prompts at a prefill backend above which prefill is pressed.
	pressedPrefillsPerBackend = 1.5
	// easyPrefillsPerBackend is how many prompts there may be at each for one of them to decode instead.
	easyPrefillsPerBackend = 1
	// prefillHalfLifeMs is the time in which the weight of earlier prefill load halves, ms.
	prefillHalfLifeMs = 2000
	// peakHalfLifeMs is the time in which the peak of decode load halves, ms.
	peakHalfLifeMs = 8000
	// minPrefillDivisor is one in how many backends prefills at the least.
	minPrefillDivisor = 4
	// minDecodeBackends is how many decode at the least, where there are twice as many: one may fail while no order
	// can be given.
	minDecodeBackends = 3
	// initialDecodeDivisor is one in how many backends decodes before there is any load.
	initialDecodeDivisor = 2
	// surplusHoldMs is how long too many decode before one prefills instead, ms.
	surplusHoldMs = 3000
	// announceMs is how long a change is announced before its order is sent, ms.
	announceMs = 1000
	// transitionTimeoutMs is how long a change is believed under way, ms.
	transitionTimeoutMs = 20000
	// minPlannedBackends is the least number of backends for which there is anything to plan: of fewer, each keeps
	// its phase.
	minPlannedBackends = 3
)

// NewPhasePlanner returns a PhasePlanner that has seen no load.
func NewPhasePlanner() *PhasePlanner {
	return &PhasePlanner{transitions: map[string]pendingTransition{}}
}

// RetryOrder has the next step hand out an order again that was not sent or got no answer.
func (p *PhasePlanner) RetryOrder(id string) {
	if t, ok := p.transitions[id]; ok {
		t.ordered = false
		p.transitions[id] = t
	}
}

// InTransition returns the ids, sorted, of the backends whose change is announced or under way: nobody should send
// there.
func (p *PhasePlanner) InTransition() []string {
	return slices.Sorted(maps.Keys(p.transitions))
}

// Step takes the reports of all backends of the service, each with a batch of so many requests, and returns the
// changes to announce and the orders to send. Without a capacity it does nothing.
func (p *PhasePlanner) Step(now float64, capacity int, reports []BackendReport) []Transition {
	if capacity <= 0 {
		return nil
	}
	s := p.survey(now, reports)
	p.dropUnlisted(reports)
	p.observeLoad(now, &s)
	due := p.dueOrders(now)
	if s.total() < minPlannedBackends {
		return due
	}
	need, most := p.decodeTargets(&s, capacity)
	switch {
	case len(s.decode) < need:
		p.surplusSince = 0
		return append(due, p.growDecode(now, &s, need)...)
	case len(s.decode) > most:
		return append(due, p.shrinkDecode(now, &s, most)...)
	}
	p.surplusSince = 0
	return due
}

// survey is the usable backends by the phase that they have or are changing to, and the load of each phase.
type survey struct {
	decode     []*BackendReport
	prefill    []*BackendReport
	decoding   float64 // requests at backends that decode now
	prefilling float64 // requests at backends that prefill now
}

func (s *survey) total() int { return len(s.decode) + len(s.prefill) }

func (p *PhasePlanner) survey(now float64, reports []BackendReport) survey {
	var s survey
	for i := range reports {
		r := &reports[i]
		p.endTransition(now, r)
		if !r.Usable {
			continue
		}
		if r.Prefill {
			s.prefilling += float64(r.Active)
		} else {
			s.decoding += float64(r.Active)
		}
		if p.targetsPrefill(r) {
			s.prefill = append(s.prefill, r)
		} else {
			s.decode = append(s.decode, r)
		}
	}
	return s
}

// endTransition drops a backend's transition that is complete, has taken too long or can't go on.
func (p *PhasePlanner) endTransition(now float64, r *BackendReport) {
	t, ok := p.transitions[r.ID]
	if !ok {
		return
	}
	complete := t.ordered && r.Prefill == t.prefill && !r.Changing
	if complete || now-t.announcedAt > transitionTimeoutMs || !r.Usable {
		delete(p.transitions, r.ID)
	}
}

// targetsPrefill tells whether a backend prefills once its transition, if any, is complete.
func (p *PhasePlanner) targetsPrefill(r *BackendReport) bool {
	if t, ok := p.transitions[r.ID]; ok {
		return t.prefill
	}
	return r.Prefill
}

// dropUnlisted drops the transitions of backends that have no report.
func (p *PhasePlanner) dropUnlisted(reports []BackendReport) {
	listed := make(map[string]bool, len(reports))
	for i := range reports {
		listed[reports[i].ID] = true
	}
	maps.DeleteFunc(p.transitions, func(id string, _ pendingTransition) bool { return !listed[id] })
}

func (p *PhasePlanner) observeLoad(now float64, s *survey) {
	elapsed := now - p.steppedAt
	p.peakActive = max(s.decoding, p.peakActive*math.Exp2(-elapsed/peakHalfLifeMs))
	p.meanPrefilling += (s.prefilling - p.meanPrefilling) * (1 - math.Exp2(-elapsed/prefillHalfLifeMs))
	p.steppedAt = now
}

// dueOrders hands out the orders whose announcement is old enough.
func (p *PhasePlanner) dueOrders(now float64) []Transition {
	var due []Transition
	for id, t := range p.transitions {
		if t.ordered || now-t.announcedAt < announceMs {
			continue
		}
		t.ordered = true
		p.transitions[id] = t
		due = append(due, Transition{ID: id, Prefill: t.prefill, Due: true})
	}
	return due
}

// idle tells that there has been no decode load of late, so that a change of phase costs nothing.
func (p *PhasePlanner) idle() bool { return p.peakActive < 1 }

// prefillPressed tells whether the prefill backends have more to prefill than they should.
func (p *PhasePlanner) prefillPressed(prefillBackends int) bool {
	return prefillBackends > 0 && p.meanPrefilling > pressedPrefillsPerBackend*float64(prefillBackends)
}

// decodeTargets returns how many of the backends should decode at the least, and at the most.
func (p *PhasePlanner) decodeTargets(s *survey, capacity int) (need, most int) {
	total := s.total()
	half := (total + 1) / 2
	if p.idle() {
		n := min(max(minDecodeBackends, total/initialDecodeDivisor), half)
		return n, n
	}
	need = max(p.decodeNeed(s, capacity), minDecodeBackends)
	// Prefill needs backends, too, but it can't take those that make up half of all from the requests.
	prompts := max(p.meanPrefilling, s.prefilling)
	prefillNeed := max(int(math.Ceil(prompts/easyPrefillsPerBackend)), total/minPrefillDivisor, 1)
	need = min(need, max(total-prefillNeed, half))
	if p.meanPrefilling > easyPrefillsPerBackend*float64(len(s.prefill)) {
		return need, need
	}
	return need, max(need, half)
}

// decodeNeed returns how many decode backends the requests call for.
func (p *PhasePlanner) decodeNeed(s *survey, capacity int) int {
	batch := float64(capacity)
	need := int(math.Ceil(p.peakActive/(decodeFillMax*batch))) + 1 // one to spare
	if !p.prefillPressed(len(s.prefill)) {
		// Requests come at random: capacity for two standard deviations more than the peak.
		burst := p.peakActive + 2*math.Sqrt(p.peakActive)
		need = max(int(math.Ceil(burst/(decodeFillTarget*batch))), need)
	}
	decode := len(s.decode)
	if s.decoding > decodeFillMax*batch*float64(max(decode, 1)) {
		need = max(need, decode+(decode+3)/4) // full batches hide how much more would come
	}
	return need
}

// growDecode announces changes to decode until so many backends decode.
func (p *PhasePlanner) growDecode(now float64, s *survey, need int) []Transition {
	var announced []Transition
	for _, r := range p.changeable(s.prefill) {
		if len(s.decode)+len(announced) >= need {
			break
		}
		announced = append(announced, p.announce(now, r, false))
	}
	return announced
}

// shrinkDecode announces changes to prefill while more than so many backends decode: one at a time, with a pause,
// unless there is no load.
func (p *PhasePlanner) shrinkDecode(now float64, s *survey, most int) []Transition {
	if p.surplusSince == 0 {
		p.surplusSince = now
	}
	// Without load all changes cost nothing; and a backend that prefills can be back at once, where one that decodes
	// takes long to finish.
	if now-p.surplusSince < surplusHoldMs && !p.idle() && !p.prefillPressed(len(s.prefill)) {
		return nil
	}
	var announced []Transition
	for _, r := range p.changeable(s.decode) {
		if len(s.decode)-len(announced) <= most {
			break
		}
		announced = append(announced, p.announce(now, r, true))
		p.surplusSince = now
		if !p.idle() {
			break
		}
	}
	return announced
}

// changeable returns the backends that aren't changing their phase, the least loaded first.
func (p *PhasePlanner) changeable(reports []*BackendReport) []*BackendReport {
	var all []*BackendReport
	for _, r := range reports {
		if _, changing := p.transitions[r.ID]; !changing && !r.Changing {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *BackendReport) int {
		return cmp.Or(cmp.Compare(a.Active, b.Active), cmp.Compare(a.ID, b.ID))
	})
	return all
}

func (p *PhasePlanner) announce(now float64, r *BackendReport, prefill bool) Transition {
	p.transitions[r.ID] = pendingTransition{prefill: prefill, announcedAt: now}
	return Transition{ID: r.ID, Prefill: prefill}
}
