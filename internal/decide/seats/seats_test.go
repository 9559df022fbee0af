package seats

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func candidates(n int) (all []Candidate) {
	for i := range n {
		all = append(all, Candidate{Seat: uint64(i + 1), Machine: fmt.Sprint("m", i), Zone: string(rune('a' + i%3)), Healthy: true})
	}
	return all
}

func runUntilStable(c *Chooser, sits []uint64, all []Candidate) []uint64 {
	for range 3 * (c.ReplaceAfter + 3) {
		sits = c.Next(sits, all)
	}
	slices.Sort(sits)
	return sits
}

func TestSeatSelection(t *testing.T) {
	c := &Chooser{Size: 3, ReplaceAfter: 5}
	all := candidates(9)
	sits := runUntilStable(c, []uint64{4}, all)
	zone := map[string]bool{}
	for _, id := range sits {
		zone[all[id-1].Zone] = true
	}
	if len(sits) != 3 || !slices.Contains(sits, 4) || len(zone) != 3 {
		t.Fatalf("%v", sits)
	}
	gone := sits[0]
	all[gone-1].Healthy = false
	for range c.ReplaceAfter {
		if next := c.Next(sits, all); !slices.Contains(next, gone) {
			t.Fatal("an unhealthy member was replaced before ReplaceAfter ticks")
		}
	}
	after := runUntilStable(c, sits, all)
	if len(after) != 3 || slices.Contains(after, gone) || !slices.Contains(after, sits[1]) || !slices.Contains(after, sits[2]) {
		t.Errorf("%v, then %v", sits, after)
	}
	all[gone-1].Healthy = true
	if again := runUntilStable(c, after, all); !slices.Equal(again, after) {
		t.Errorf("a member that came back took a seat: %v, then %v", after, again)
	}
	out := after[1]
	all[out-1].Excluded = true
	if next := c.Next(after, all); slices.Contains(next, out) || len(next) != 3 {
		t.Errorf("%v while the machine of %d is excluded", next, out)
	}
	// Without a replacement the member keeps its seat.
	few := candidates(3)
	few[1].Excluded, few[2].Healthy = true, false
	if next := runUntilStable(&Chooser{Size: 3, ReplaceAfter: 1}, []uint64{1, 2, 3}, few); len(next) != 3 {
		t.Errorf("%v", next)
	}
	// Two members on one machine, and more members than wanted.
	same := candidates(6)
	same[1].Machine = "m0"
	if next := runUntilStable(&Chooser{Size: 3}, []uint64{1, 2, 3}, same); slices.Contains(next, 1) && slices.Contains(next, 2) || len(next) != 3 {
		t.Errorf("%v", next)
	}
	if next := runUntilStable(&Chooser{Size: 1}, []uint64{1, 2, 3, 77}, same); len(next) != 1 || next[0] == 77 {
		t.Errorf("%v", next)
	}
	if next := runUntilStable(&Chooser{Size: 3}, []uint64{1, 4, 6}, candidates(6)); len(next) != 3 || slices.Contains(next, 1) == slices.Contains(next, 4) {
		t.Errorf("two members remain in zone a: %v", next)
	}
}

// However the candidates change, at most one seat changes per step, an added member is healthy, not excluded
// and on a machine without another member, the order of the candidates doesn't matter, and the selection
// becomes stable.
func TestSelectionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		size := 1 + 2*rng.IntN(3)
		one, two := &Chooser{Size: size, ReplaceAfter: rng.IntN(4)}, &Chooser{Size: size}
		two.ReplaceAfter = one.ReplaceAfter
		all := candidates(1 + rng.IntN(9))
		for i := range all {
			all[i].Machine, all[i].Zone = fmt.Sprint(rng.IntN(8)), fmt.Sprint(rng.IntN(3))
		}
		sits := []uint64{1}
		for range 40 {
			o := &all[rng.IntN(len(all))]
			o.Healthy, o.Excluded = rng.IntN(3) > 0, rng.IntN(4) == 0
			next := one.Next(sits, all)
			rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
			if other := two.Next(sits, all); !slices.Equal(next, other) {
				t.Fatalf("%v or %v, depending on the order of candidates", next, other)
			}
			came := 0
			for _, id := range next {
				if slices.Contains(sits, id) {
					continue
				}
				came++
				at := slices.IndexFunc(all, func(c Candidate) bool { return c.Seat == id })
				if !all[at].Healthy || all[at].Excluded {
					t.Fatalf("%+v was added", all[at])
				}
				for _, o := range all {
					if o.Seat != id && o.Machine == all[at].Machine && slices.Contains(next, o.Seat) {
						t.Fatalf("%+v was added on the machine of %+v", all[at], o)
					}
				}
			}
			if came > 1 || len(next) == 0 || len(next) < len(sits)-1 {
				t.Fatalf("%v, then %v", sits, next)
			}
			sits = next
		}
		rest := runUntilStable(one, sits, all)
		if again := runUntilStable(one, rest, all); !slices.Equal(rest, again) {
			t.Fatalf("not stable: %v, then %v", rest, again)
		}
	})
}
