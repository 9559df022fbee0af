package work

import (
	"math"
	"reflect"
	"testing"

	"molepaddle/internal/decide/members"
)

func TestFacts(t *testing.T) {
	member := func(name, machine, role, process string, load float64, s members.State, doubts ...string) members.Member {
		return members.Member{ID: members.ID{Name: name, Incarnation: 1}, Info: members.Info{Machine: machine, Role: role, Process: process, Load: load}, State: s, SuspectedBy: doubts}
	}
	s := Sight{Seats: 3, Voters: []uint64{7}, Moving: []uint64{9}, Orders: 5, Needs: []Need{{Amount: 5}},
		Places: []Place{{Name: "servers"}, {Name: "half"}, {Name: "lost"}, {Name: "cold"}, {Name: "agents"}, {Name: "emptied"}, {Name: "crashed"}, {Name: "gone"}, {Name: "doubted"}, {Name: "sits"}, {Name: "rated", Capacity: 90}},
		Servers: []Server{{"servers", 4, true, false, 1}, {"servers", 2, true, false, 1}, {"half", 4, true, false, 1}, {"half", 4, true, true, 1}, {"half", 4, false, false, 1},
			{"lost", 4, true, true, 1}, {"lost", 4, false, false, 1}, {"cold", 4, true, false, 0.5}, {"cold", 4, true, false, 1}, {"rated", 1, true, false, 1}, {"rated", 2, false, false, 1}},
		Alone: map[string]uint64{"servers": 4, "half": 5},
		View: members.View{Members: []members.Member{member("a1", "agents", "agent", "ready", 1, members.Alive), member("a2", "emptied", "agent", "evacuating", 0, members.Alive),
			member("g", "agents", "gateway", "ready", 0, members.Suspect, "a2"), member("x", "crashed", "agent", "ready", 3, members.Dead, "a1", "a2", "g"),
			member("y", "gone", "agent", "ending", 0, members.Left), member("z", "doubted", "agent", "ready", 0, members.Suspect, "a1", "a2"), member("m", "sits", "agent", "evacuating", 0, members.Alive)}}}
	for i, stopped := range []uint64{5, 4, 4, 0, 0, 3, 9} {
		s.View.Members[i].Info.Stopped = stopped
	}
	s.View.Members[0].Info.Seat, s.View.Members[6].Info.Seat = 7, 9
	f, ok := s.Facts()
	if !ok || len(f.Machines) != 11 || f.Seats != 3 || len(f.Needs) != 1 || f.Orders != 5 {
		t.Fatalf("%v %+v", ok, f)
	}
	want := map[string]Machine{
		"servers": {Capacity: 6, Health: Up, Empty: true, Missing: 1, Who: []string{"z"}}, // z runs, though two can't hear it, and has not said so
		"half":    {Capacity: 4, Health: Up, Empty: true, Missing: 3, Who: []string{"a2", "g", "z"}},
		"lost":    {Health: Down, Empty: true, Missing: 5, Who: []string{"a1", "a2", "g", "z", "m"}},
		"cold":    {Capacity: 8, Health: Cold, Warmth: 0.7, Empty: true, Missing: 5, Who: []string{"a1", "a2", "g", "z", "m"}},
		"rated":   {Capacity: 30, Health: Up, Empty: true, Missing: 5, Who: []string{"a1", "a2", "g", "z", "m"}},
		"sits":    {Health: Up, Agent: true}, // its seat has somewhere to go, and has not gone
		"agents":  {Health: Up, Agent: true, Gateway: true, Council: true},
		"emptied": {Health: Up, Agent: true, Empty: true},
		"crashed": {Health: Down, Agent: true, Empty: true},
		"gone":    {Health: Down, Agent: true, Empty: true}, // it has left: it is not seen up
		"doubted": {Health: Down, Agent: true},              // broken, and not empty
	}
	for _, m := range f.Machines {
		w := want[m.Name]
		if w.Name = m.Name; !reflect.DeepEqual(m, w) {
			t.Errorf("%+v, want %+v", m, w)
		}
	}
	s.View.Members[5].Info.Stopped = 4
	if got := s.Missing("servers"); got != nil {
		t.Errorf("all have stopped, but %v", got)
	}
	s.View.SelfSuspicion = "I may be cut off"
	if _, ok := s.Facts(); ok {
		t.Error("who doubts itself words facts")
	}
}

func TestPeak(t *testing.T) {
	var p Peak
	for _, x := range []struct {
		at           int64
		figure, want float64
	}{{0, 0, 0}, {3600, 333, 340}, {3700, 331, 340}, {7200, 10, 340}, {3600 * 24, 5, 340}, {3600 * 25, 5, 10}, {3600 * 20, 7, 10}, {3600 * 1000, 0.123, 0.13}} {
		if got := p.Note(x.at, x.figure); math.Abs(got-x.want) > 1e-9 {
			t.Errorf("at %d, %v: %v, want %v", x.at, x.figure, got, x.want)
		}
	}
}
