package orders

import (
	"slices"
	"strings"
	"testing"

	"molepaddle/internal/decide/cluster"
)

func addr(i byte) cluster.Addr { return cluster.Addr{i} }

func ready(n int) (list []cluster.Server) {
	for i := range n {
		list = append(list, cluster.Server{Entry: cluster.Entry{Server: addr(byte(i)), Health: cluster.Ready}})
	}
	return list
}

func machine(t *testing.T) *Agent {
	m, err := New("m0", []MachineServers{{"m0", []cluster.Addr{addr(0), addr(1)}}, {"m1", []cluster.Addr{addr(2)}}, {"m2", []cluster.Addr{addr(3)}}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func list(seat, version uint64, machines ...string) List {
	l := List{Council: 5, Seat: seat, Version: version, Seats: 3}
	for _, name := range machines {
		l.Machines = append(l.Machines, MachineHash(name))
	}
	slices.Sort(l.Machines)
	return l
}

// A list is agreed on once a majority of the seats publish it, with one vote per seat; an older one never is.
func TestMajorityDecidesTheList(t *testing.T) {
	m := machine(t)
	for i, c := range []struct {
		told    []List
		changed bool
		names   string
	}{
		{[]List{list(1, 7, "m1")}, false, ""},
		{[]List{list(1, 7, "m1"), list(1, 7, "m1")}, false, ""},
		{[]List{list(1, 7, "m1"), list(2, 7, "m2")}, false, ""},
		{[]List{list(1, 7, "m1"), list(2, 6), list(3, 7, "m1")}, true, "m1"},
		{[]List{list(1, 6, "m2"), list(2, 6, "m2"), list(3, 6, "m2")}, false, "m1"},
		{nil, false, "m1"},
		{[]List{list(1, 8), list(2, 8), list(3, 9, "m0")}, true, ""},
		{[]List{list(1, 9, "m0"), list(2, 9, "m0")}, true, "m0"},
	} {
		if changed := m.Update(c.told); changed != c.changed || strings.Join(m.ExcludedMachines(), " ") != c.names || m.OwnExcluded() != (c.names == "m0") {
			t.Errorf("%d: %v, %v, own machine excluded %v", i, changed, m.ExcludedMachines(), m.OwnExcluded())
		}
	}
	other := list(1, 10, "m1")
	other.Council = 6
	if m.Update([]List{other, list(2, 10, "m1")}) {
		t.Error("votes for lists of two councils were counted together")
	}
}

// At most half of the ready servers are excluded, and a list is acknowledged only if it is fully in force.
func TestExcludedServers(t *testing.T) {
	m := machine(t)
	if v := m.Apply(ready(8)); v.Version != 0 || v.Servers != nil {
		t.Errorf("%+v before any list was published", v)
	}
	say := func(version uint64, names ...string) {
		m.Update([]List{list(1, version, names...), list(2, version, names...)})
	}
	say(3, "m0", "m2")
	if v := m.Apply(ready(8)); v.Version != 3 || !slices.Equal(v.Servers, []cluster.Addr{addr(0), addr(1), addr(3)}) {
		t.Errorf("%+v", v)
	}
	few := ready(4)
	if v := m.Apply(few); v.Version != 0 || !slices.Equal(v.Servers, []cluster.Addr{addr(0), addr(1)}) || !strings.Contains(v.Reason, "m2") {
		t.Errorf("two of four servers may be excluded: %+v", v)
	}
	few[3].Health = cluster.Draining // per the endpoint list, so it isn't counted as ready
	if v := m.Apply(few); v.Version != 0 || !slices.Equal(v.Servers, []cluster.Addr{addr(3)}) {
		t.Errorf("three servers are ready, so at most one may be excluded: %+v", v)
	}
	say(4, "m1", "elsewhere")
	if v := m.Apply(ready(8)); v.Version != 0 || len(v.Servers) != 1 || !strings.Contains(v.Reason, "1 machines") {
		t.Errorf("%+v", v)
	}
	if _, err := New("m", []MachineServers{{Name: "a"}, {Name: "a"}}); err == nil {
		t.Error("a repeated machine name was accepted")
	}
}

func TestLeader(t *testing.T) {
	a, b := list(1, 1), list(2, 1)
	a.IsLeader = true
	if l, seats := Leader([]List{a, b}); l != 1 || len(seats) != 2 {
		t.Error(l, seats)
	}
	b.IsLeader = true
	if l, _ := Leader([]List{a, b}); l != 0 {
		t.Error(l, "with two lists that claim leadership")
	}
}

func FuzzDecode(f *testing.F) {
	l := list(1, 7, "m1", "m2")
	f.Add(l.Encode())
	f.Add("\x86\x00")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(l.Encode())
		if err != nil || again.Version != l.Version || !slices.Equal(again.Machines, l.Machines) {
			t.Fatalf("%+v, then %+v, %v", l, again, err)
		}
	})
}
