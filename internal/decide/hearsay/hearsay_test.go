package hearsay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/members"
)

func server(i int) cluster.Addr { return cluster.Addr{10, 0, byte(i >> 8), byte(i), 1, 2} }

// reportOf returns a report of servers that have been unresponsive twice.
func reportOf(servers ...int) string {
	var l Reporter
	var all []cluster.Addr
	for _, i := range servers {
		all = append(all, server(i))
	}
	l.Report(all, false)
	return l.Report(all, false)
}

func view(reports ...string) *members.View {
	v := &members.View{}
	for i, w := range reports {
		v.Members = append(v.Members, members.Member{
			ID:    members.ID{Name: fmt.Sprint("n", i), Incarnation: 1},
			State: members.Alive,
			Info:  members.Info{Machine: fmt.Sprint("h", i), Silent: w},
		})
	}
	return v
}

// TestReport: a server that is unresponsive only once isn't reported. An agent that suspects itself reports none. Of
// many servers all agents report the same few.
func TestReport(t *testing.T) {
	var l Reporter
	a, b := []cluster.Addr{server(1)}, []cluster.Addr{server(1), server(2)}
	for i, c := range []struct {
		silent []cluster.Addr
		doubts bool
		want   int
	}{{a, false, 0}, {b, false, 1}, {b, false, 2}, {b, true, 0}, {b, false, 2}, {nil, false, 0}, {b, false, 0}} {
		if got := l.Report(c.silent, c.doubts); Count(got) != c.want || len(got) != 8*c.want {
			t.Errorf("report %d: %q names %d servers, want %d", i, got, Count(got), c.want)
		}
	}
	var many []int
	for i := range 40 {
		many = append(many, i)
	}
	first := reportOf(many...)
	rand.Shuffle(len(many), func(i, j int) { many[i], many[j] = many[j], many[i] })
	if again := reportOf(many...); Count(first) != MaxServers || again != first {
		t.Errorf("%q, in another order %q", first, again)
	}
}

// TestQuorum: reports from a quorum of machines count. Those of a single member or machine don't, nor those of members
// that are suspected, dead, duplicates or leaving, nor invalid ones.
func TestQuorum(t *testing.T) {
	w := reportOf(1)
	unresponsive := func(v *members.View) bool { h := Collect(v); return h.Unresponsive(server(1)) }
	for name, c := range map[string]struct {
		v    *members.View
		want bool
	}{
		"no report":            {view("", "", "", "", ""), false},
		"one of five":          {view(w, "", "", "", ""), false},
		"two of five":          {view(w, w, "", "", ""), false},
		"three of five":        {view(w, w, w, "", ""), true},
		"three of twenty":      {view(append([]string{w, w, w}, make([]string, 17)...)...), true},
		"two of three":         {view(w, w, ""), true},
		"one of one":           {view(w), false},
		"of another server":    {view(reportOf(2), reportOf(2), reportOf(2), "", ""), false},
		"invalid reports":      {view("zz", strings.Repeat("00", 400), w[:6], "", ""), false},
		"one reports it twice": {view(w+w, "", "", "", ""), false},
	} {
		if got := unresponsive(c.v); got != c.want {
			t.Errorf("%s: unresponsive: %v", name, got)
		}
	}
	for name, change := range map[string]func(m *members.Member){
		"dead":     func(m *members.Member) { m.State = members.Dead },
		"suspect":  func(m *members.Member) { m.State = members.Suspect },
		"doubted":  func(m *members.Member) { m.SuspectedBy = []string{"n4"} },
		"twin":     func(m *members.Member) { m.Twin = true },
		"leaving":  func(m *members.Member) { m.Info.Left = true },
		"neighbor": func(m *members.Member) { m.Info.Machine = "h0" },
	} {
		v := view(w, w, w, "", "")
		if change(&v.Members[2]); unresponsive(v) {
			t.Errorf("the third of three reports counts though its member is: %s", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(reportOf(1, 2))
	f.Add("")
	f.Add("0")
	f.Fuzz(func(t *testing.T, report string) {
		if all, err := decode(report); err == nil && (len(all) > MaxServers || len(report) != 8*len(all)) {
			t.Errorf("%q: %d", report, len(all))
		}
	})
}
