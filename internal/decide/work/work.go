// Package work schedules machine maintenance: which machines may be taken out of service now, which
// requests wait and why, and when a machine counts as back. State is a deterministic state machine that
// is replayed from a log: the same entries give the same state at every agent. It doesn't stop or start
// machines itself. docs/design/work.md explains the design.
//
// The package does no I/O, reads no clock and starts no goroutines; times come with the entries, in
// seconds of the log writer's clock. A State isn't safe for concurrent use: only the goroutine that
// applies the log may call it.
package work

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Bounds limits how many machines may be out of service at once. The bounds are part of the log (in
// FleetState), so that every agent replays the log under the same ones.
type Bounds struct {
	Reserve            float64 // share of the need that must remain as spare capacity
	ZoneShare          float64 // share of a zone's machines that may be out or down at once; at least one machine
	KindShare          float64 // the same, of the machines of one kind
	AgentShare         float64 // the same, of the machines that run agents
	GatewayShare       float64 `cbor:"Gateways"`   // the same, of the machines that run gateways
	MaxOvertaken       int     `cbor:"PassedOver"` // times that other requests may start before a waiting one
	AcknowledgeTimeout int64   `cbor:"Patience"`   // seconds that a permit waits for acknowledgements of agents
}

// DefaultBounds returns the bounds that apply where the operator's file sets none.
func DefaultBounds() Bounds {
	return Bounds{Reserve: 0.1, ZoneShare: 0.34, KindShare: 0.34, AgentShare: 0.34, GatewayShare: 0.5,
		MaxOvertaken: 8, AcknowledgeTimeout: 30}
}

// Validate returns the key and the error of the first bound that is out of range.
func (b *Bounds) Validate() (key string, err error) {
	for _, v := range []struct {
		key        string
		value, top float64
	}{{"reserve", b.Reserve, 10}, {"zone_share", b.ZoneShare, 1}, {"kind_share", b.KindShare, 1},
		{"agent_share", b.AgentShare, 1}, {"gateways", b.GatewayShare, 1}} {
		if !(v.value >= 0 && v.value <= v.top) {
			return v.key, fmt.Errorf("must be from 0 to %v, is %v", v.top, v.value)
		}
	}
	if b.MaxOvertaken < 1 || b.MaxOvertaken > 1000 {
		return "passed_over", fmt.Errorf("must be from 1 to 1000, is %d", b.MaxOvertaken)
	}
	if b.AcknowledgeTimeout < 0 || b.AcknowledgeTimeout > 86400 {
		return "patience", fmt.Errorf("must be from 0 to 86400 s, is %d", b.AcknowledgeTimeout)
	}
	return "", nil
}

// Health is the health of a machine as observed by the council.
type Health uint8

// The health states. A machine whose servers are draining, unresponsive or crashed is Down.
const (
	Down Health = iota
	Warming
	Up
)

// String returns the name of the health as shown to operators.
func (h Health) String() string { return [...]string{"down", "cold", "up"}[h] }

// Machine is the observed state of a machine.
type Machine struct {
	Name                string
	Zone                string
	Kind                string
	Capacity            float64 // of its servers, in the units of Need.Amount
	Health              Health
	Warmth              float64  // of a Warming machine, from 0 to 1; it counts with at most half its capacity
	Agent               bool     // runs an agent
	Gateway             bool     // runs a gateway
	Council             bool     // runs a voting member of the council
	Group               string   // machines of one group are never out together; empty: none
	Drained             bool     `cbor:"Empty"`   // its agents are stopping, with no requests and no seat being moved
	Unacknowledged      int      `cbor:"Missing"` // agents that have not acknowledged that they send it no requests
	UnacknowledgedNames []string `cbor:"Who"`     // the first of those agents
}

// Need is capacity that must stay available for a class, in a zone or, with an empty Zone, anywhere.
type Need struct {
	Class  string
	Zone   string
	Amount float64
}

// FleetState is a complete observation of the fleet by the council.
type FleetState struct {
	Machines         []Machine
	Needs            []Need
	Seats            int     // seats of the council
	Bounds           *Bounds // the observer's bounds; nil: unchanged
	ExclusionVersion uint64  `cbor:"Orders"` // the version of the exclusion list that the observer had applied
}

// Ask describes a maintenance request: a machine to be taken out of service.
type Ask struct {
	ID        string // chosen by the requester; a repeated request counts once
	Machine   string
	Seconds   int64 // expected duration of the work
	NotBefore int64 // earliest start, in the log's time
	DueBy     int64 // latest end, in the log's time; 0: none
	Urgent    bool
	Why       string
	By        string
}

// Phase is the state of a request.
type Phase uint8

// The phases.
const (
	Asked     Phase = iota // queued
	Emptying               // the machine is draining
	Granted                // a permit has been issued
	Out                    // the machine is out of service
	Returning              // the work is done; the machine has not been observed up yet
	Done
	Failed
	Cancelled
)

// String returns the name of the phase as shown to operators and recorded.
func (p Phase) String() string {
	return [...]string{"asked", "emptying", "granted", "out", "returning", "done", "failed", "cancelled"}[p]
}

// finished reports whether the phase is final.
func (p Phase) finished() bool { return p >= Done }

// excluded reports whether agents send no requests to the machine's servers in this phase.
func (p Phase) excluded() bool { return p >= Emptying && p <= Out }

// countsAsOut reports whether the machine counts as out of service for the bounds.
func (p Phase) countsAsOut() bool { return p >= Emptying && p <= Returning }

// Request is an Ask with its state.
type Request struct {
	Ask
	Phase            Phase
	Permit           uint64 // number of the permit, from Granted on; 0: none
	Since            int64  // when the phase began, in the log's time
	Overtaken        int    `cbor:"Passed"` // times that another request started before this one
	Sequence         uint64 `cbor:"Place"`  // position in the order of submission
	FleetUpdates     uint64 `cbor:"Seen"`   // fleet states applied when the phase began; only later ones count for it
	Note             string // why the request is in its phase
	ExclusionVersion uint64 `cbor:"Order"` // the first version of the exclusion list with the machine; 0: not excluded
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entries.
const (
	UpdateFleet Kind = iota // applies Fleet
	Submit                  // submits Ask
	Take                    // uses a permit: the machine is out from now on
	Complete                // the work is done
	Cancel                  // cancels a request whose machine is not out
	Fail                    // the work has failed; the machine counts as out until it is observed up
)

// Entry is one entry of the log. Fields that Kind doesn't use are ignored.
type Entry struct {
	Kind   Kind
	At     int64       // the writer's clock, in seconds; a value before the log's time counts as the log's time
	Fleet  *FleetState `cbor:"Facts"`
	Ask    *Ask
	ID     string // of the request
	Permit uint64 // of a Take entry
}

// Limits of the stored state.
const (
	maxMachines  = 10000
	maxRequests  = 10000
	maxTextBytes = 200
	maxExcluded  = 100  // machines on the exclusion list
	maxNames     = 8    // names in Machine.UnacknowledgedNames
	keptFinished = 1000 // finished requests that are kept
)

// State is the result of applying the log.
type State struct {
	bounds           Bounds
	now              int64
	fleet            FleetState
	machines         map[string]*Machine
	requests         map[string]*Request
	order            []*Request // by Sequence
	lastPermit       uint64     // the last permit number issued
	lastSequence     uint64
	fleetUpdates     uint64   // number of fleet states applied
	exclusionVersion uint64   // version of the exclusion list
	excluded         []string // the exclusion list: machine names, sorted
	record           []string // phase changes, for operators
}

// New returns the state before the first entry.
func New(b Bounds) *State {
	return &State{bounds: b, machines: map[string]*Machine{}, requests: map[string]*Request{}}
}

// Apply applies the next entry. If the entry is rejected, Apply returns the reason, and only the log's
// time has changed.
func (s *State) Apply(e Entry) error {
	s.now = max(s.now, e.At)
	if err := s.applyEntry(&e); err != nil {
		return err
	}
	s.advance()
	return nil
}

func (s *State) applyEntry(e *Entry) error {
	switch e.Kind {
	case UpdateFleet:
		return s.setFleet(e.Fleet)
	case Submit:
		return s.submit(e.Ask)
	}
	r := s.requests[e.ID]
	if r == nil {
		return fmt.Errorf("no request %q", e.ID)
	}
	switch {
	case e.Kind == Take && r.Phase == Out && e.Permit == r.Permit, e.Kind == Complete && r.Phase == Returning,
		e.Kind == Cancel && r.Phase == Cancelled:
		return nil // a repeated entry
	case e.Kind == Take && r.Phase == Granted && e.Permit == r.Permit:
		s.transition(r, Out, fmt.Sprintf("taken under permit %d", r.Permit))
	case e.Kind == Take && e.Permit != r.Permit:
		return fmt.Errorf("permit %d is not one of %q: it is %s (%s)", e.Permit, r.ID, r.Phase, r.Note)
	case e.Kind == Complete && r.Phase == Out:
		s.transition(r, Returning, "its work is done; not seen warm yet")
	case e.Kind == Fail && (r.Phase == Out || r.Phase == Returning):
		s.transition(r, Failed, "somebody said that it failed")
	case e.Kind == Cancel && r.Phase <= Granted:
		s.transition(r, Cancelled, "somebody cancelled it")
	default:
		return fmt.Errorf("%q is %s: %s", r.ID, r.Phase, r.Note)
	}
	return nil
}

func (s *State) setFleet(f *FleetState) error {
	if f == nil || len(f.Machines) > maxMachines || len(f.Needs) > maxMachines {
		return fmt.Errorf("facts: none, or over %d machines", maxMachines)
	}
	seen := map[string]*Machine{}
	for i := range f.Machines {
		m := f.Machines[i]
		if m.Name == "" || seen[m.Name] != nil || !(m.Capacity >= 0 && m.Capacity < 1e12) ||
			!(m.Warmth >= 0 && m.Warmth <= 1) || m.Health > Up {
			return fmt.Errorf("facts: machine %q: missing, twice, or with a figure that makes no sense", m.Name)
		}
		if len(m.UnacknowledgedNames) > maxNames || m.Unacknowledged < len(m.UnacknowledgedNames) {
			return fmt.Errorf("facts: machine %q: over %d names, or more than are missing", m.Name, maxNames)
		}
		seen[m.Name] = &m
	}
	for _, n := range f.Needs {
		if !(n.Amount >= 0 && n.Amount < 1e12) {
			return fmt.Errorf("facts: the need of %q makes no sense", n.Class)
		}
	}
	if f.Bounds != nil {
		if key, err := f.Bounds.Validate(); err != nil {
			return fmt.Errorf("facts: %s %w", key, err)
		}
		s.bounds = *f.Bounds
	}
	s.fleet, s.machines = *f, seen
	s.fleetUpdates++
	return nil
}

func (s *State) submit(a *Ask) error {
	switch {
	case a == nil || a.ID == "" || a.Machine == "" || a.Seconds <= 0:
		return fmt.Errorf("a request needs an id, a machine and how long")
	case len(a.ID) > maxTextBytes || len(a.Machine) > maxTextBytes ||
		len(a.Why) > maxTextBytes || len(a.By) > maxTextBytes:
		return fmt.Errorf("a word is over %d bytes", maxTextBytes)
	}
	if r := s.requests[a.ID]; r != nil {
		if r.Ask != *a {
			return fmt.Errorf("%q was asked before, for something else", a.ID)
		}
		return nil
	}
	if s.machines[a.Machine] == nil {
		return fmt.Errorf("no machine %q is known", a.Machine)
	}
	for _, r := range s.order {
		if r.Machine == a.Machine && !r.Phase.finished() {
			return fmt.Errorf("%q is asked for as %q already", a.Machine, r.ID)
		}
	}
	if len(s.requests) >= maxRequests {
		return fmt.Errorf("%d requests are held already", maxRequests)
	}
	s.lastSequence++
	r := &Request{Ask: *a, Since: s.now, Sequence: s.lastSequence, FleetUpdates: s.fleetUpdates, Note: "just asked"}
	s.requests[a.ID] = r
	s.order = append(s.order, r)
	return nil
}

// transition changes a request's phase and adds a line to the record.
func (s *State) transition(r *Request, to Phase, why string) {
	s.record = append(s.record, fmt.Sprintf("%d %s %s: %s -> %s: %s", s.now, r.ID, r.Machine, r.Phase, to, why))
	if len(s.record) > 4*keptFinished {
		s.record = slices.Clone(s.record[keptFinished:])
	}
	r.Phase, r.Since, r.Note, r.FleetUpdates = to, s.now, why, s.fleetUpdates
	if to < Granted || to == Cancelled {
		r.Permit = 0
	}
	if !to.excluded() {
		r.ExclusionVersion = 0
	}
}

// advance moves requests to the next phase where the bounds allow it, and back to the queue where they
// no longer do.
func (s *State) advance() {
	for _, r := range s.order {
		m := s.machines[r.Machine]
		switch {
		case r.Phase == Returning && m != nil && m.Health == Up && s.fleetUpdates > r.FleetUpdates:
			s.transition(r, Done, "its machine is seen up and warm")
		case m == nil && r.Phase <= Granted:
			s.transition(r, Cancelled, "its machine is no longer known")
		}
	}
	s.withdraw()
	for _, r := range s.order {
		if m := s.machines[r.Machine]; r.Phase == Emptying && m.Drained && s.observedSinceExclusion(r) &&
			(m.Unacknowledged == 0 || s.now >= r.Since+s.bounds.AcknowledgeTimeout) {
			why := "its agents are empty, and nobody sends to it"
			if m.Unacknowledged > 0 {
				why = fmt.Sprintf("its agents are empty; %s have not said that they send it nothing",
					m.unacknowledgedText())
			}
			s.lastPermit++
			s.transition(r, Granted, why)
			r.Permit = s.lastPermit
		}
	}
	s.startNext()
	s.updateExcluded()
	over := 0
	for _, r := range s.order {
		if r.Phase.finished() {
			over++
		}
	}
	for i := 0; over > keptFinished && i < len(s.order); {
		if r := s.order[i]; r.Phase.finished() {
			delete(s.requests, r.ID)
			s.order = slices.Delete(s.order, i, i+1)
			over--
			continue
		}
		i++
	}
}

// observedSinceExclusion reports whether the current fleet state was observed after the request's machine
// was put on the exclusion list.
func (s *State) observedSinceExclusion(r *Request) bool {
	return s.fleetUpdates > r.FleetUpdates && s.fleet.ExclusionVersion >= r.ExclusionVersion
}

// unacknowledgedText returns the names of the agents that have not acknowledged the machine's exclusion.
func (m *Machine) unacknowledgedText() string {
	text := strings.Join(m.UnacknowledgedNames, ", ")
	if more := m.Unacknowledged - len(m.UnacknowledgedNames); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// updateExcluded recomputes the exclusion list, and increases its version if it has changed.
func (s *State) updateExcluded() {
	var names []string
	for _, r := range s.order {
		if r.Phase.excluded() {
			names = append(names, r.Machine)
		}
	}
	slices.Sort(names)
	if !slices.Equal(names, s.excluded) {
		s.excluded = names
		s.exclusionVersion++
	}
	for _, r := range s.order {
		if r.Phase.excluded() && r.ExclusionVersion == 0 {
			r.ExclusionVersion = s.exclusionVersion
		}
	}
}

// Excluded returns the exclusion list, which holds the sorted names of the machines that get no requests
// from any agent, and its version.
func (s *State) Excluded() (version uint64, names []string) {
	return s.exclusionVersion, slices.Clone(s.excluded)
}

// NeedsFleetUpdate reports whether a request waits for a new fleet state, or for a time that has come by
// now: then a fleet state must be proposed even if the fleet has not changed.
func (s *State) NeedsFleetUpdate(now int64) bool {
	due := func(at int64) bool { return s.now < at && at <= now }
	for _, r := range s.order {
		switch {
		case r.Phase == Emptying && (!s.observedSinceExclusion(r) || due(r.Since+s.bounds.AcknowledgeTimeout)),
			r.Phase == Returning && s.fleetUpdates <= r.FleetUpdates, r.Phase == Asked && due(r.NotBefore):
			return true
		}
	}
	return false
}

// FleetState returns the last fleet state that was applied.
func (s *State) FleetState() FleetState { return s.fleet }

// Now returns the log's time, in seconds.
func (s *State) Now() int64 { return s.now }

// withdraw returns requests whose machines are not out yet to the queue, the latest first, as long as a
// bound that covers their machine is violated.
func (s *State) withdraw() {
	for {
		away := s.machinesOut()
		var last *Request
		reason := ""
		for _, r := range s.order {
			if r.Phase != Emptying && r.Phase != Granted ||
				last != nil && (r.Since < last.Since || r.Since == last.Since && r.Sequence < last.Sequence) {
				continue
			}
			if why := s.violation(away, r.Machine); why != "" {
				last, reason = r, why
			}
		}
		if last == nil {
			return
		}
		s.transition(last, Asked, "withdrawn: "+reason)
	}
}

// machinesOut returns the machines that count as out of service.
func (s *State) machinesOut() map[string]bool {
	out := map[string]bool{}
	for _, r := range s.order {
		if r.Phase.countsAsOut() || r.Phase == Failed && !s.up(r.Machine) {
			out[r.Machine] = true
		}
	}
	return out
}

func (s *State) up(name string) bool {
	m := s.machines[name]
	return m != nil && m.Health == Up
}

// startNext starts queued requests, in order, as long as the bounds allow one.
func (s *State) startNext() {
	for {
		queue := s.queue()
		away := s.machinesOut()
		var first *Request
		for i, r := range queue {
			why := s.blockedBy(r, away)
			if why == "" {
				first = r
				// Requests ahead of it in the queue or submitted before it count as overtaken, unless
				// they are not due yet or impossible.
				for k, o := range queue {
					if (k < i || o.Sequence < r.Sequence) && s.now >= o.NotBefore && s.impossibleBecause(o) == "" {
						o.Overtaken++
					}
				}
				break
			}
			r.Note = why
			if r.Overtaken >= s.bounds.MaxOvertaken && s.now >= r.NotBefore && s.impossibleBecause(r) == "" {
				for _, o := range queue[i+1:] {
					if !o.Urgent {
						o.Note = fmt.Sprintf("%s has been passed over %d times and goes first", r.Machine, r.Overtaken)
					}
				}
				queue = slices.DeleteFunc(slices.Clone(queue[i+1:]), func(o *Request) bool { return !o.Urgent })
				for _, o := range queue {
					if why := s.blockedBy(o, away); why != "" {
						o.Note = why
					} else if first == nil {
						first = o
					}
				}
				break
			}
		}
		if first == nil {
			return
		}
		s.transition(first, Emptying, "its turn: within all bounds with "+outText(away))
	}
}

func outText(away map[string]bool) string {
	if len(away) == 0 {
		return "nobody else out"
	}
	return strings.Join(slices.Sorted(maps.Keys(away)), ", ") + " out"
}

// queue returns the queued requests in the order in which they are tried.
func (s *State) queue() (queue []*Request) {
	for _, r := range s.order {
		if r.Phase == Asked {
			queue = append(queue, r)
		}
	}
	slices.SortStableFunc(queue, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(s.rank(a), s.rank(b)), cmp.Compare(s.slack(a), s.slack(b)),
			cmp.Compare(s.capacity(a.Machine), s.capacity(b.Machine)), cmp.Compare(a.Sequence, b.Sequence))
	})
	return queue
}

// rank orders urgent requests first, then those that were overtaken too often.
func (s *State) rank(r *Request) int {
	switch {
	case r.Urgent:
		return 0
	case r.Overtaken >= s.bounds.MaxOvertaken:
		return 1
	}
	return 2
}

// slack returns how long a request can still wait, in seconds.
func (s *State) slack(r *Request) int64 {
	if r.DueBy == 0 {
		return 1 << 62
	}
	return r.DueBy - r.Seconds - s.now
}

// capacity returns the capacity that a machine has now.
func (s *State) capacity(name string) float64 {
	m := s.machines[name]
	switch {
	case m == nil || m.Health == Down:
		return 0
	case m.Health == Warming:
		return m.Capacity * m.Warmth / 2
	}
	return m.Capacity
}

// blockedBy returns the reason why a request can't start now; empty: it can.
func (s *State) blockedBy(r *Request, away map[string]bool) string {
	if s.now < r.NotBefore {
		return fmt.Sprintf("not before %d", r.NotBefore)
	}
	if why := s.impossibleBecause(r); why != "" {
		return why
	}
	if len(away) >= maxExcluded {
		return fmt.Sprintf("%d machines are out, and no more can be told to everybody", len(away))
	}
	with := maps.Clone(away)
	with[r.Machine] = true
	return s.violation(with, r.Machine)
}

// impossibleBecause returns the reason why a request would be blocked even with all machines up and no
// other machine out, and what would help; empty: it could start then.
func (s *State) impossibleBecause(r *Request) string {
	best := State{bounds: s.bounds, fleet: s.fleet, machines: map[string]*Machine{}}
	for name, m := range s.machines {
		copied := *m
		copied.Health = Up
		best.machines[name] = &copied
	}
	if why := best.violation(map[string]bool{r.Machine: true}, r.Machine); why != "" {
		return "never, as the fleet is: " + why
	}
	return ""
}
