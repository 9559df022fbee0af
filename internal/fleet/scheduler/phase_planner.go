package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// PhasePlanner decides how many of a service's backends prefill and how many decode. It runs at the control server that
// has the singleton role of ordering phase changes. It is a state machine without I/O or clock; times are in ms of a
// monotonic clock. It is not safe for concurrent use.
//
// The number of decode backends is the number that the requests need plus one, but at most half of all; the others
// prefill. The number of decode backends is increased immediately, since requests can't be decoded elsewhere when
// batches are full. It is reduced slowly, since a backend must finish its requests before it changes its phase.
type PhasePlanner struct {
	transitions map[string]pendingTransition // by id

	// Recent load.
	peakActive     float64 // decaying peak of the requests at decode backends
	meanPrefilling float64 // decaying mean of the prompts at prefill backends
	steppedAt      float64 // time of the last update of both, ms

	surplusSince float64 // time since which there are too many decode backends, ms; 0: there aren't
}

// pendingTransition is a phase change that was announced and hasn't been reported complete.
type pendingTransition struct {
	prefill     bool    // target phase: prefill, else decode
	announcedAt float64 // ms
	ordered     bool    // Step has returned the order
}

// BackendReport is the newest state report of a backend.
type BackendReport struct {
	ID       string
	Prefill  bool   // current phase: prefill, else decode
	Active   int    // running and queued requests
	Changing bool   // a phase change is in progress
	Usable   bool   // it is listed, isn't draining and its report was received
	Orders   uint64 // number of orders it has accepted
}

// Transition is a change of one backend's phase.
type Transition struct {
	ID      string
	Prefill bool // target phase: prefill, else decode
	// Due is true if the order is to be sent now; otherwise the change is only announced, so that proxies send no
	// further requests to the backend.
	Due bool
}

const (
	// decodeFillTarget is the target utilization of the decode backends' batches. The remainder is headroom for bursts,
	// crashes and uneven load.
	decodeFillTarget = 0.8
	// decodeFillMax is the maximum utilization while the prefill backends are overloaded.
	decodeFillMax = 0.9
	// overloadedPrefillsPerBackend is the mean number of prompts per prefill backend above which prefill is overloaded.
	overloadedPrefillsPerBackend = 1.5
	// easyPrefillsPerBackend is the mean number of prompts per prefill backend up to which one of them may decode
	// instead.
	easyPrefillsPerBackend = 1
	// prefillHalfLifeMs is the half-life of the mean prefill load, ms.
	prefillHalfLifeMs = 2000
	// peakHalfLifeMs is the half-life of the peak decode load, ms.
	peakHalfLifeMs = 8000
	// minPrefillDivisor sets the minimum number of prefill backends: 1/minPrefillDivisor of all.
	minPrefillDivisor = 4
	// minDecodeBackends is the minimum number of decode backends if there are at least twice as many backends: one may
	// fail while no order can be sent.
	minDecodeBackends = 3
	// initialDecodeDivisor sets the number of decode backends without load: 1/initialDecodeDivisor of all.
	initialDecodeDivisor = 2
	// surplusHoldMs is how long there must be too many decode backends before one changes to prefill, ms.
	surplusHoldMs = 3000
	// announceMs is the time between the announcement of a change and its order, ms.
	announceMs = 1000
	// transitionTimeoutMs is the time-out of a change, counted from its announcement, ms.
	transitionTimeoutMs = 20000
	// minPlannedBackends is the minimum number of backends for planning; with fewer, each keeps its phase.
	minPlannedBackends = 3
)

// NewPhasePlanner returns a PhasePlanner without recorded load.
func NewPhasePlanner() *PhasePlanner {
	return &PhasePlanner{transitions: map[string]pendingTransition{}}
}

// RetryOrder makes the next Step return an order again that was not sent or not answered.
func (p *PhasePlanner) RetryOrder(id string) {
	if t, ok := p.transitions[id]; ok {
		t.ordered = false
		p.transitions[id] = t
	}
}

// InTransition returns the ids, sorted, of the backends whose phase change is announced or in progress. No requests
// should be sent to them.
func (p *PhasePlanner) InTransition() []string {
	return slices.Sorted(maps.Keys(p.transitions))
}

// Step processes the reports of all backends of the service and returns the changes to announce and the orders to send.
// capacity is the batch size of each backend, in requests; if it is not positive, Step does nothing.
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

// survey has the usable backends by their phase, or the phase that they change to, and the load of each phase.
type survey struct {
	decode     []*BackendReport
	prefill    []*BackendReport
	decoding   float64 // requests at backends whose current phase is decode
	prefilling float64 // requests at backends whose current phase is prefill
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

// endTransition drops a backend's transition if it is complete, has timed out or the backend is not usable.
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

// targetsPrefill reports whether a backend prefills once its transition, if any, is complete.
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

// dueOrders returns the orders whose change was announced at least announceMs ago, and marks them as ordered.
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

// idle reports whether there has been no recent decode load, so that a phase change has no cost.
func (p *PhasePlanner) idle() bool { return p.peakActive < 1 }

// prefillOverloaded reports whether the prefill backends are overloaded.
func (p *PhasePlanner) prefillOverloaded(prefillBackends int) bool {
	return prefillBackends > 0 && p.meanPrefilling > overloadedPrefillsPerBackend*float64(prefillBackends)
}

// decodeTargets returns the minimum and maximum number of backends that should decode.
func (p *PhasePlanner) decodeTargets(s *survey, capacity int) (need, most int) {
	total := s.total()
	half := (total + 1) / 2
	if p.idle() {
		n := min(max(minDecodeBackends, total/initialDecodeDivisor), half)
		return n, n
	}
	need = max(p.decodeNeed(s, capacity), minDecodeBackends)
	// Prefill needs backends too, but its need doesn't reduce the decode backends to fewer than half of all.
	prompts := max(p.meanPrefilling, s.prefilling)
	prefillNeed := max(int(math.Ceil(prompts/easyPrefillsPerBackend)), total/minPrefillDivisor, 1)
	need = min(need, max(total-prefillNeed, half))
	if p.meanPrefilling > easyPrefillsPerBackend*float64(len(s.prefill)) {
		return need, need
	}
	return need, max(need, half)
}

// decodeNeed returns the number of decode backends that the requests need.
func (p *PhasePlanner) decodeNeed(s *survey, capacity int) int {
	batch := float64(capacity)
	need := int(math.Ceil(p.peakActive/(decodeFillMax*batch))) + 1 // one to spare
	if !p.prefillOverloaded(len(s.prefill)) {
		// Arrivals are random: reserve capacity for two standard deviations above the peak.
		burst := p.peakActive + 2*math.Sqrt(p.peakActive)
		need = max(int(math.Ceil(burst/(decodeFillTarget*batch))), need)
	}
	decode := len(s.decode)
	if s.decoding > decodeFillMax*batch*float64(max(decode, 1)) {
		need = max(need, decode+(decode+3)/4) // demand above full batches isn't visible in the reports
	}
	return need
}

// growDecode announces changes to decode until need backends decode or will decode.
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

// shrinkDecode announces changes to prefill while more than most backends decode: one at a time, with a pause, unless
// there is no load.
func (p *PhasePlanner) shrinkDecode(now float64, s *survey, most int) []Transition {
	if p.surplusSince == 0 {
		p.surplusSince = now
	}
	// Without load, changes have no cost. When prefill is overloaded there is no pause either: a prefill backend can
	// change back quickly, whereas a decode backend takes long to finish its requests.
	if now-p.surplusSince < surplusHoldMs && !p.idle() && !p.prefillOverloaded(len(s.prefill)) {
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

// changeable returns the backends without a pending phase change, the least loaded first.
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
