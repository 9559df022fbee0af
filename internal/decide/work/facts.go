package work

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/decide/members"
)

// MachineSpec is a machine as configured in the operator's file.
type MachineSpec struct {
	Name, Zone, Kind string
	Group            string  // machines of one group are never out together; empty: none
	Capacity         float64 // 0: the sum of its servers' capacity on the endpoint list
}

// Server is the state of one server, from the endpoint list and from the agents' observations.
type Server struct {
	Machine      string
	Capacity     float64
	Ready        bool    // per the endpoint list; a draining or removed server has no capacity
	Unresponsive bool    // gets no response, as observed by the agents
	Warmth       float64 // slow-start progress from 0 to 1; 1: warm
}

// Observation is the data from which the council's leader builds a FleetState.
type Observation struct {
	Specs            []MachineSpec
	View             members.View
	Servers          []Server
	Needs            []Need
	Seats            int
	Bounds           Bounds
	Voters           []uint64          // seats of the council's voting members
	Moving           []uint64          // of those, the seats that are being moved to another machine
	ExclusionVersion uint64            // the version of the exclusion list that is in force
	Excluded         map[string]uint64 // machines on that list, with the first version that has them
}

// FleetState builds a fleet state. A machine without servers counts as down if one of its members is
// believed dead or is suspected by two or more others. ok is false while the observer suspects that it is
// itself the one that is partitioned.
func (s *Observation) FleetState() (f FleetState, ok bool) {
	if s.View.SelfSuspicion != "" {
		return f, false
	}
	f = FleetState{Needs: s.Needs, Seats: s.Seats, Bounds: &s.Bounds, ExclusionVersion: s.ExclusionVersion}
	for _, p := range s.Specs {
		f.Machines = append(f.Machines, s.machine(&p))
	}
	slices.SortFunc(f.Machines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	return f, true
}

func (s *Observation) machine(p *MachineSpec) Machine {
	m := Machine{Name: p.Name, Zone: p.Zone, Kind: p.Kind, Group: p.Group, Health: Up, Drained: true}
	good, warm, all, servers := 0.0, 0.0, 0.0, 0
	for _, v := range s.Servers {
		if v.Machine != p.Name {
			continue
		}
		servers++
		all += v.Capacity
		if v.Ready && !v.Unresponsive {
			good += v.Capacity
			warm += v.Capacity * min(max(v.Warmth, 0), 1)
		}
	}
	if m.Capacity = good; p.Capacity > 0 && all > 0 {
		m.Capacity = p.Capacity * good / all
	}
	if servers > 0 && good == 0 {
		m.Health = Down
	} else if good > 0 && warm < good {
		// In tenths, so that the warm-up doesn't append to the log continuously.
		m.Health, m.Warmth = Warming, math.Floor(10*warm/good)/10
	}
	known, running := false, false
	for _, b := range s.View.Members {
		if b.Info.Machine != p.Name {
			continue
		}
		known, running = true, running || b.State < members.Dead
		broken := b.State == members.Dead || len(b.SuspectedBy) > 1
		// A member that is only suspected may have requests in flight: its machine is not drained.
		gone := b.State >= members.Dead
		m.Agent = m.Agent || b.Info.Role == "agent"
		m.Gateway = m.Gateway || b.Info.Role == "gateway"
		m.Council = m.Council || b.Info.Seat != 0 && slices.Contains(s.Voters, b.Info.Seat)
		if broken && servers == 0 {
			m.Health = Down
		}
		leaving := b.Info.Process == "evacuating" || b.Info.Process == "ending"
		if !gone && (!leaving || b.Info.Load > 0 || slices.Contains(s.Moving, b.Info.Seat)) {
			m.Drained = false
		}
	}
	if servers == 0 && known && !running {
		m.Health = Down // also if its members have left: the machine is not observed up
	}
	if servers > 0 { // a machine without servers needs no acknowledgements
		who := s.Unacknowledged(p.Name)
		m.Unacknowledged = len(who)
		m.UnacknowledgedNames = who[:min(len(who), maxNames)]
	}
	return m
}

// Unacknowledged returns the names of the running members that have not acknowledged that they send no
// requests to the machine's servers any more.
func (s *Observation) Unacknowledged(machine string) (unacknowledged []string) {
	since := s.Excluded[machine]
	for _, b := range s.View.Members {
		// A member that is believed dead may be alive behind a partition. Its requests reach a machine that
		// is still up, or are refused, so no permit waits for it.
		if b.State != members.Dead && b.State != members.Left && (since == 0 || b.Info.Stopped < since) {
			unacknowledged = append(unacknowledged, b.ID.Name)
		}
	}
	return unacknowledged
}

// RequestRate returns the requests per second that all agents together report.
func RequestRate(v *members.View) (rate float64) {
	for _, b := range v.Members {
		if b.State != members.Left {
			rate += b.Info.Rate
		}
	}
	return rate
}

// Peak tracks the maximum of a value over the last 24 hours, with one bucket per hour. The zero Peak is
// empty and ready to use. It isn't safe for concurrent use.
type Peak struct {
	hours [24]float64
	last  int64 // the latest hour that was added to
}

// Add records the value at the time now, in seconds, and returns the peak rounded up to two digits, so
// that the reported value changes rarely. A time before the latest hour counts as the latest hour.
func (p *Peak) Add(now int64, figure float64) float64 {
	hour := max(now/3600, p.last)
	for h := max(p.last+1, hour-23); h <= hour; h++ {
		p.hours[h%24] = 0
	}
	p.last = hour
	p.hours[hour%24] = max(p.hours[hour%24], figure)
	most := slices.Max(p.hours[:])
	if most <= 0 {
		return 0
	}
	digit := math.Pow(10, math.Floor(math.Log10(most))-1)
	return math.Ceil(most/digit-1e-9) * digit
}
