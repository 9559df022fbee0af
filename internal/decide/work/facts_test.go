package work

import (
	"math"
	"reflect"
	"testing"

	"molepaddle/internal/decide/members"
)

func TestObservedFleetState(t *testing.T) {
	member := func(name, machine, role, process string, load float64, s members.State, doubts ...string) members.Member {
		return members.Member{ID: members.ID{Name: name, Incarnation: 1}, Info: members.Info{Machine: machine, Role: role, Process: process, Load: load}, State: s, SuspectedBy: doubts}
	}
	s := Observation{Seats: 3, Voters: []uint64{7}, Moving: []uint64{9}, ExclusionVersion: 5, Needs: []Need{{Amount: 5}},
		Specs: []MachineSpec{{Name: "servers"}, {Name: "half"}, {Name: "lost"}, {Name: "cold"}, {Name: "agents"}, {Name: "emptied"}, {Name: "crashed"}, {Name: "gone"}, {Name: "doubted"}, {Name: "sits"}, {Name: "rated", Capacity: 90}},
		Servers: []Server{{"servers", 4, true, false, 1}, {"servers", 2, true, false, 1}, {"half", 4, true, false, 1}, {"half", 4, true, true, 1}, {"half", 4, false, false, 1},
			{"lost", 4, true, true, 1}, {"lost", 4, false, false, 1}, {"cold", 4, true, false, 0.5}, {"cold", 4, true, false, 1}, {"rated", 1, true, false, 1}, {"rated", 2, false, false, 1}},
		Excluded: map[string]uint64{"servers": 4, "half": 5},
		View: members.View{Members: []members.Member{member("a1", "agents", "agent", "ready", 1, members.Alive), member("a2", "emptied", "agent", "evacuating", 0, members.Alive),
			member("g", "agents", "gateway", "ready", 0, members.Suspect, "a2"), member("x", "crashed", "agent", "ready", 3, members.Dead, "a1", "a2", "g"),
			member("y", "gone", "agent", "ending", 0, members.Left), member("z", "doubted", "agent", "ready", 0, members.Suspect, "a1", "a2"), member("m", "sits", "agent", "evacuating", 0, members.Alive)}}}
	for i, stopped := range []uint64{5, 4, 4, 0, 0, 3, 9} {
		s.View.Members[i].Info.Stopped = stopped
	}
	s.View.Members[0].Info.Seat, s.View.Members[6].Info.Seat = 7, 9
	f, ok := s.FleetState()
	if !ok || len(f.Machines) != 11 || f.Seats != 3 || len(f.Needs) != 1 || f.ExclusionVersion != 5 {
		t.Fatalf("%v %+v", ok, f)
	}
	want := map[string]Machine{
		"servers": {Capacity: 6, Health: Up, Drained: true, Unacknowledged: 1, UnacknowledgedNames: []string{"z"}}, // z is suspected by two members but running, and has not acknowledged
		"half":    {Capacity: 4, Health: Up, Drained: true, Unacknowledged: 3, UnacknowledgedNames: []string{"a2", "g", "z"}},
		"lost":    {Health: Down, Drained: true, Unacknowledged: 5, UnacknowledgedNames: []string{"a1", "a2", "g", "z", "m"}},
		"cold":    {Capacity: 8, Health: Warming, Warmth: 0.7, Drained: true, Unacknowledged: 5, UnacknowledgedNames: []string{"a1", "a2", "g", "z", "m"}},
		"rated":   {Capacity: 30, Health: Up, Drained: true, Unacknowledged: 5, UnacknowledgedNames: []string{"a1", "a2", "g", "z", "m"}},
		"sits":    {Health: Up, Agent: true}, // its council seat is being moved, and has not left yet
		"agents":  {Health: Up, Agent: true, Gateway: true, Council: true},
		"emptied": {Health: Up, Agent: true, Drained: true},
		"crashed": {Health: Down, Agent: true, Drained: true},
		"gone":    {Health: Down, Agent: true, Drained: true}, // its member has left, so it is not observed up
		"doubted": {Health: Down, Agent: true},                // down, and not drained
	}
	for _, m := range f.Machines {
		w := want[m.Name]
		if w.Name = m.Name; !reflect.DeepEqual(m, w) {
			t.Errorf("%+v, want %+v", m, w)
		}
	}
	s.View.Members[5].Info.Stopped = 4
	if got := s.Unacknowledged("servers"); got != nil {
		t.Errorf("all members have acknowledged, but %v are returned", got)
	}
	s.View.SelfSuspicion = "I may be cut off"
	if _, ok := s.FleetState(); ok {
		t.Error("an observer that suspects its own partition returned a fleet state")
	}
}

func TestPeak(t *testing.T) {
	var p Peak
	for _, x := range []struct {
		at           int64
		figure, want float64
	}{{0, 0, 0}, {3600, 333, 340}, {3700, 331, 340}, {7200, 10, 340}, {3600 * 24, 5, 340}, {3600 * 25, 5, 10}, {3600 * 20, 7, 10}, {3600 * 1000, 0.123, 0.13}} {
		if got := p.Add(x.at, x.figure); math.Abs(got-x.want) > 1e-9 {
			t.Errorf("at %d, %v: %v, want %v", x.at, x.figure, got, x.want)
		}
	}
}
