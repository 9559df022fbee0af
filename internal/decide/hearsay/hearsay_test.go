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

// says is a member's word of servers that it has found silent twice.
func says(servers ...int) string {
	var l Look
	var all []cluster.Addr
	for _, i := range servers {
		all = append(all, server(i))
	}
	l.Word(all, false)
	return l.Word(all, false)
}

func view(words ...string) *members.View {
	v := &members.View{}
	for i, w := range words {
		v.Members = append(v.Members, members.Member{ID: members.ID{Name: fmt.Sprint("n", i), Incarnation: 1}, State: members.Alive,
			Info: members.Info{Machine: fmt.Sprint("h", i), Silent: w}})
	}
	return v
}

// One that is silent at one look only is nobody's to tell; who doubts itself tells nothing, and is believed again after two looks;
// of many the same few are told by all.
func TestWord(t *testing.T) {
	var l Look
	a, b := []cluster.Addr{server(1)}, []cluster.Addr{server(1), server(2)}
	for i, c := range []struct {
		silent []cluster.Addr
		doubts bool
		want   int
	}{{a, false, 0}, {b, false, 1}, {b, false, 2}, {b, true, 0}, {b, false, 2}, {nil, false, 0}, {b, false, 0}} {
		if got := l.Word(c.silent, c.doubts); Count(got) != c.want || len(got) != 8*c.want {
			t.Errorf("look %d: %q names %d, want %d", i, got, Count(got), c.want)
		}
	}
	var many []int
	for i := range 40 {
		many = append(many, i)
	}
	first := says(many...)
	rand.Shuffle(len(many), func(i, j int) { many[i], many[j] = many[j], many[i] })
	if again := says(many...); Count(first) != Most || again != first {
		t.Errorf("%q, in another order %q", first, again)
	}
}

// A quorum on machines of their own is believed, one liar or one machine never is, nor who is doubted, dead, twice there or
// leaving; words that make no sense are none.
func TestQuorum(t *testing.T) {
	w := says(1)
	silent := func(v *members.View) bool { h := Gather(v); return h.Silent(server(1)) }
	for name, c := range map[string]struct {
		v    *members.View
		want bool
	}{
		"nobody":                {view("", "", "", "", ""), false},
		"one of five":           {view(w, "", "", "", ""), false},
		"two of five":           {view(w, w, "", "", ""), false},
		"three of five":         {view(w, w, w, "", ""), true},
		"three of twenty":       {view(append([]string{w, w, w}, make([]string, 17)...)...), true},
		"two of three":          {view(w, w, ""), true},
		"one of one":            {view(w), false},
		"of another server":     {view(says(2), says(2), says(2), "", ""), false},
		"words without sense":   {view("zz", strings.Repeat("00", 400), w[:6], "", ""), false},
		"another says it twice": {view(w+w, "", "", "", ""), false},
	} {
		if got := silent(c.v); got != c.want {
			t.Errorf("%s: %v", name, got)
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
		if change(&v.Members[2]); silent(v) {
			t.Errorf("the third of three counts though it is: %s", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(says(1, 2))
	f.Add("")
	f.Add("0")
	f.Fuzz(func(t *testing.T, word string) {
		if all, err := read(word); err == nil && (len(all) > Most || len(word) != 8*len(all)) {
			t.Errorf("%q: %d", word, len(all))
		}
	})
}
