package work

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/decide/members"
)

// Place is a machine as the operator's file has it.
type Place struct {
	Name, Zone, Kind string
	Group            string  // holders of one group are never out together
	Capacity         float64 // 0: what its servers have by the list
}

// Server is what is known of one server: by the list, and by what the agents see of it.
type Server struct {
	Machine      string
	Capacity     float64
	Ready        bool    // the list says so; one that it calls draining or gone gives nothing
	Unresponsive bool    // the agents hear nothing of it
	Warmth       float64 // from 0 up to 1; 1: warm
}

// Sight is what the member of the council that leads sees when it words facts.
type Sight struct {
	Places  []Place
	View    members.View
	Servers []Server
	Needs   []Need
	Seats   int
	Bounds  Bounds
	Voters  []uint64          // seats of the council
	Moving  []uint64          // of them, those that go elsewhere
	Orders  uint64            // the version of the orders
	Alone   map[string]uint64 // machines on that list, with the version from which on they are
}

// Facts words them. Who is believed dead or can't be heard by two counts as broken, and an agent that
// doubts itself words none: ok is false.
func (s *Sight) Facts() (f Facts, ok bool) {
	if s.View.SelfSuspicion != "" {
		return f, false
	}
	f = Facts{Needs: s.Needs, Seats: s.Seats, Bounds: &s.Bounds, Orders: s.Orders}
	for _, p := range s.Places {
		f.Machines = append(f.Machines, s.machine(&p))
	}
	slices.SortFunc(f.Machines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	return f, true
}

func (s *Sight) machine(p *Place) Machine {
	m := Machine{Name: p.Name, Zone: p.Zone, Kind: p.Kind, Group: p.Group, Health: Up, Empty: true}
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
		// In tenths, so that the log is not written with each moment.
		m.Health, m.Warmth = Cold, math.Floor(10*warm/good)/10
	}
	known, running := false, false
	for _, b := range s.View.Members {
		if b.Info.Machine != p.Name {
			continue
		}
		known, running = true, running || b.State < members.Dead
		broken := b.State == members.Dead || len(b.SuspectedBy) > 1
		gone := b.State >= members.Dead // who is only doubted may hold requests: its machine is not empty
		m.Agent = m.Agent || b.Info.Role == "agent"
		m.Gateway = m.Gateway || b.Info.Role == "gateway"
		m.Council = m.Council || b.Info.Seat != 0 && slices.Contains(s.Voters, b.Info.Seat)
		if broken && servers == 0 {
			m.Health = Down
		}
		leaving := b.Info.Process == "evacuating" || b.Info.Process == "ending"
		if !gone && (!leaving || b.Info.Load > 0 || slices.Contains(s.Moving, b.Info.Seat)) {
			m.Empty = false
		}
	}
	if servers == 0 && known && !running {
		m.Health = Down // also where they have left: it is not seen up
	}
	if servers > 0 { // of a machine without servers nobody needs to say anything
		who := s.Missing(p.Name)
		m.Missing = len(who)
		m.Who = who[:min(len(who), maxWho)]
	}
	return m
}

// Missing is who runs and has not said that it sends a machine's servers nothing any more.
func (s *Sight) Missing(machine string) (names []string) {
	since := s.Alone[machine]
	for _, b := range s.View.Members {
		// Who is believed dead may be alive and cut off: what it still sends meets a machine that is up or
		// refuses, so no permit waits for it.
		if b.State != members.Dead && b.State != members.Left && (since == 0 || b.Info.Stopped < since) {
			names = append(names, b.ID.Name)
		}
	}
	return names
}

// Taken is the requests a second that all agents together say that they take.
func Taken(v *members.View) (rate float64) {
	for _, b := range v.Members {
		if b.State != members.Left {
			rate += b.Info.Rate
		}
	}
	return rate
}

// Peak is the most of a figure over the last day, by the hour. The zero Peak knows nothing; it is its
// owner's.
type Peak struct {
	hours [24]float64
	last  int64 // the hour that was written last
}

// Note takes the figure at a time in seconds, and returns the peak in two digits, so that what is told
// changes seldom. A time that goes back counts as the last.
func (p *Peak) Note(now int64, figure float64) float64 {
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
