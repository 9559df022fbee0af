package work

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// violation returns a message about the first bound that would be violated with the given machines out,
// and what would help; empty: none. Only the bounds that cover the named machine are checked, so that a
// violation elsewhere doesn't block it.
func (s *State) violation(away map[string]bool, name string) string {
	target := s.machines[name]
	for _, check := range []func(map[string]bool, *Machine) string{
		s.checkCapacity, s.checkUnavailable, s.checkMajority, s.checkGroups,
	} {
		if why := check(away, target); why != "" {
			return why
		}
	}
	return ""
}

// machineNames returns the sorted machine names. The fixed order makes sums and messages the same at every
// agent.
func (s *State) machineNames() []string { return slices.Sorted(maps.Keys(s.machines)) }

// checkCapacity compares the remaining capacity with the need, in total and in the machine's zone.
func (s *State) checkCapacity(away map[string]bool, target *Machine) string {
	left, total := map[string]float64{}, 0.0
	for _, name := range s.machineNames() {
		if c := s.capacity(name); !away[name] || s.machines[name].Health == Warming && s.returning(name) {
			left[s.machines[name].Zone] += c
			total += c
		}
	}
	need, all := map[string]float64{}, 0.0
	for _, n := range s.fleet.Needs {
		all += n.Amount * (1 + s.bounds.Reserve)
		if n.Zone != "" {
			need[n.Zone] += n.Amount * (1 + s.bounds.Reserve)
		}
	}
	if s.capacity(target.Name) == 0 {
		return "" // it has no capacity now, so taking it out loses none
	}
	const tolerance = 1e-9
	if all > total*(1+tolerance) {
		return fmt.Sprintf(
			"%.4g of capacity would be left for a need of %.4g with its reserve: "+
				"%.4g more, or as much less asked, would do",
			total, all, all-total)
	}
	for _, zone := range slices.Sorted(maps.Keys(need)) {
		if target.Zone == zone && need[zone] > left[zone]*(1+tolerance) {
			return fmt.Sprintf(
				"%.4g of capacity would be left in zone %s for a need of %.4g there with its reserve: "+
					"%.4g more would do",
				left[zone], zone, need[zone], need[zone]-left[zone])
		}
	}
	return ""
}

// returning reports whether a machine's work is done and it has not been observed up yet.
func (s *State) returning(name string) bool {
	for _, r := range s.order {
		if r.Machine == name && r.Phase == Returning {
			return true
		}
	}
	return false
}

// checkUnavailable checks the share of machines that may be out or down. A machine that is down is counted
// already, so taking it out is always allowed.
func (s *State) checkUnavailable(away map[string]bool, target *Machine) string {
	if target.Health == Down {
		return ""
	}
	for _, of := range []struct {
		what  string
		share float64
		key   func(m *Machine) string // empty: the bound doesn't cover it
	}{
		{"of zone", s.bounds.ZoneShare, func(m *Machine) string { return m.Zone }},
		{"of kind", s.bounds.KindShare, func(m *Machine) string { return m.Kind }},
		{"with agents", s.bounds.AgentShare, func(m *Machine) string { return textIf(m.Agent, "all") }},
		{"with gateways", s.bounds.GatewayShare, func(m *Machine) string { return textIf(m.Gateway, "all") }},
	} {
		all, unavailable, out := map[string]int{}, map[string]int{}, map[string]int{}
		for name, m := range s.machines {
			if k := of.key(m); k != "" {
				all[k]++
				if away[name] || m.Health == Down {
					unavailable[k]++
				}
				if away[name] {
					out[k]++
				}
			}
		}
		for _, k := range slices.Sorted(maps.Keys(all)) {
			if of.key(target) != k || out[k] == 0 {
				continue
			}
			if most := max(int(math.Floor(of.share*float64(all[k])+1e-9)), 1); unavailable[k] > most {
				return fmt.Sprintf("%d machines %s %s would be out or broken, of %d at the most",
					unavailable[k], of.what, k, most)
			}
		}
	}
	return ""
}

func textIf(x bool, text string) string {
	if x {
		return text
	}
	return ""
}

// checkMajority checks that the remaining voting members of the council are a majority of its seats.
func (s *State) checkMajority(away map[string]bool, target *Machine) string {
	if s.fleet.Seats == 0 || !target.Council || target.Health == Down {
		return ""
	}
	left := 0
	for name, m := range s.machines {
		if m.Council && m.Health != Down && !away[name] {
			left++
		}
	}
	if least := s.fleet.Seats/2 + 1; left < least {
		return fmt.Sprintf("%d members of the council would be left, of %d seats; %d are a majority",
			left, s.fleet.Seats, least)
	}
	return ""
}

// checkGroups checks that no two machines of one group are out.
func (s *State) checkGroups(away map[string]bool, target *Machine) string {
	first := map[string]string{}
	for _, name := range s.machineNames() {
		m := s.machines[name]
		if m.Group == "" || !away[name] || target.Group != m.Group {
			continue
		}
		if other := first[m.Group]; other != "" {
			return fmt.Sprintf("%s and %s hold the same promises (%s)", other, name, m.Group)
		}
		first[m.Group] = name
	}
	return ""
}
