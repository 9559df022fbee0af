package work

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Step is the expected begin and end of a request, in seconds of the log's time.
type Step struct {
	ID, Machine string
	Begin, End  int64
	With        []string // other machines that count as out when it begins
	Late        bool     // it would end after DueBy
}

// Plan simulates the schedule from now on, assuming that machines drain at once, that each work takes its
// expected duration, that machines come back warm and that nothing fails. It is a forecast only: no
// decision depends on it. blocked holds, by request ID, the reasons of the requests that never start.
func (s *State) Plan() (steps []Step, blocked map[string]string) {
	p := s.clone()
	p.fleet.ExclusionVersion = 1 << 63 // the fleet state counts as newer than any exclusion
	for _, m := range p.machines {
		m.Drained, m.Unacknowledged = true, 0
		if m.Health == Warming {
			m.Health = Up
		}
	}
	ends, begun := map[*Request]int64{}, map[*Request]bool{}
	for _, r := range p.order {
		if r.Phase.countsAsOut() {
			begun[r] = true
			ends[r] = max(r.Since+r.Seconds, p.now+1)
			if r.Phase < Out {
				ends[r] = p.now + r.Seconds
			}
			steps = append(steps, Step{ID: r.ID, Machine: r.Machine, Begin: r.Since, End: ends[r],
				Late: r.DueBy > 0 && ends[r] > r.DueBy})
		}
	}
	for range 4*len(p.order) + 4 {
		p.advance()
		for _, r := range p.order {
			if r.Phase == Emptying || r.Phase == Granted {
				p.transition(r, Out, "planned")
				if !begun[r] {
					begun[r] = true
					ends[r] = p.now + r.Seconds
					away := p.machinesOut()
					delete(away, r.Machine)
					steps = append(steps, Step{r.ID, r.Machine, p.now, ends[r],
						slices.Sorted(maps.Keys(away)), r.DueBy > 0 && ends[r] > r.DueBy})
				}
			}
		}
		next := int64(-1)
		soon := func(at int64) {
			if at > p.now && (next < 0 || at < next) {
				next = at
			}
		}
		for _, r := range p.order {
			switch {
			case r.Phase == Out || r.Phase == Returning:
				soon(ends[r])
			case r.Phase == Asked:
				soon(r.NotBefore)
			}
		}
		if next < 0 {
			break
		}
		p.now = next
		for _, r := range p.order {
			if (r.Phase == Out || r.Phase == Returning) && ends[r] <= p.now {
				p.transition(r, Done, "planned")
				if m := p.machines[r.Machine]; m != nil {
					m.Health = Up
				}
			}
		}
	}
	blocked = map[string]string{}
	for _, r := range p.order {
		if r.Phase == Asked {
			blocked[r.ID] = r.Note
		}
	}
	return steps, blocked
}

// clone returns a copy that can be changed without changing s.
func (s *State) clone() *State {
	c := *s
	c.machines, c.requests, c.order, c.record =
		map[string]*Machine{}, map[string]*Request{}, nil, slices.Clone(s.record)
	for name, m := range s.machines {
		copied := *m
		c.machines[name] = &copied
	}
	for _, r := range s.order {
		q := *r
		c.requests[q.ID] = &q
		c.order = append(c.order, &q)
	}
	return &c
}

// Snapshot is a serializable State, for members that have not applied the log.
type Snapshot struct {
	Now              int64
	Fleet            FleetState `cbor:"Facts"`
	Requests         []Request
	LastPermit       uint64 `cbor:"Permits"`
	LastSequence     uint64 `cbor:"Places"`
	FleetUpdates     uint64 `cbor:"Seen"`
	ExclusionVersion uint64 `cbor:"Orders"`
	Record           []string
}

// Snapshot returns the state as a Snapshot.
func (s *State) Snapshot() Snapshot {
	n := Snapshot{Now: s.now, Fleet: s.fleet, LastPermit: s.lastPermit, LastSequence: s.lastSequence,
		FleetUpdates: s.fleetUpdates, ExclusionVersion: s.exclusionVersion, Record: slices.Clone(s.record)}
	for _, r := range s.order {
		n.Requests = append(n.Requests, *r)
	}
	return n
}

// Restore returns the state of a snapshot. The bounds b apply if the snapshot's fleet state has none. It
// returns an error if the snapshot is invalid.
func Restore(b Bounds, n Snapshot) (*State, error) {
	s := New(b)
	if err := s.setFleet(&n.Fleet); err != nil {
		return nil, err
	}
	s.now, s.lastPermit, s.lastSequence, s.fleetUpdates, s.exclusionVersion, s.record =
		n.Now, n.LastPermit, n.LastSequence, n.FleetUpdates, n.ExclusionVersion, slices.Clone(n.Record)
	for i := range n.Requests {
		r := n.Requests[i]
		if r.ID == "" || s.requests[r.ID] != nil || r.Phase > Cancelled ||
			r.Permit > n.LastPermit || r.Sequence > n.LastSequence {
			return nil, fmt.Errorf("snapshot: request %q: id missing or repeated, or phase, permit or place invalid",
				r.ID)
		}
		s.requests[r.ID] = &r
		s.order = append(s.order, &r)
		if r.Phase.excluded() {
			s.excluded = append(s.excluded, r.Machine)
		}
	}
	slices.Sort(s.excluded)
	return s, nil
}

// Requests returns the stored requests, in the order of submission.
func (s *State) Requests() []Request { return s.Snapshot().Requests }

// Overdue reports whether a request's work has taken longer than expected. It has no effect on the
// request, which stays out until a Complete or Fail entry.
func (s *State) Overdue(r *Request) bool { return r.Phase == Out && s.now > r.Since+r.Seconds }

// Record returns the recorded phase changes, one line each, the oldest first.
func (s *State) Record() []string { return slices.Clone(s.record) }

// Explain returns a sentence for operators about the phase of a request and its reason.
func (s *State) Explain(id string) string {
	r := s.requests[id]
	if r == nil {
		return fmt.Sprintf("no request %q", id)
	}
	text := fmt.Sprintf("%s (%s) is %s: %s", r.ID, r.Machine, r.Phase, r.Note)
	switch {
	case r.Phase == Asked:
		var before []string
		for _, o := range s.queue() {
			if o == r {
				break
			}
			before = append(before, o.Machine)
		}
		if len(before) > 0 {
			text += "; before it: " + strings.Join(before, ", ")
		}
	case r.Phase == Emptying:
		if m := s.machines[r.Machine]; m != nil && m.Unacknowledged > 0 {
			text += "; not yet said that they send it nothing: " + m.unacknowledgedText()
		} else if m != nil && !m.Drained {
			text += "; its agents or its seat are still at work"
		}
	case s.Overdue(r):
		text += fmt.Sprintf("; overdue by %d s, and out until it is seen back", s.now-r.Since-r.Seconds)
	}
	return text
}
