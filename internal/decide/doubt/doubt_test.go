package doubt

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// evaluate adds attempts that were sent at the time sent and wait for so many times the mean, and evaluates them.
func evaluate(g *Groups, now, sent float64, times ...struct {
	zone int
	x    float64
}) bool {
	for _, t := range times {
		g.AddWaiting(t.zone, sent, t.x)
	}
	return g.Evaluate(now, 100)
}

type waits = struct {
	zone int
	x    float64
}

// TestEvidence: three attempts that wait long, or more that wait less, lead to a suspicion of their zone. Two never do,
// nor do attempts that were sent before their zone's latest answer.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		heard float64 // time of the zone's latest answer
		waits []waits
		want  bool
	}{
		"three long":               {0, []waits{{1, 2.4}, {1, 2.4}, {1, 2.4}}, true},
		"two without end":          {0, []waits{{1, 1000}, {1, 1000}}, false},
		"two long, one new":        {0, []waits{{1, 3.5}, {1, 3}, {1, 0.4}}, false},
		"four shorter":             {0, []waits{{1, 2}, {1, 2}, {1, 1.5}, {1, 1.5}}, true},
		"one without end":          {0, []waits{{1, 1000}}, false},
		"one without end, one new": {0, []waits{{1, 1000}, {1, 1}}, false},
		"of two zones":             {0, []waits{{1, 4}, {1, 4}, {2, 4}}, false},
		"answered since":           {60, []waits{{1, 4}, {1, 4}, {1, 4}}, false},
	} {
		g := New()
		for zone := range 3 {
			g.Answered(zone, 0)
		}
		g.Answered(1, c.heard)
		changed := evaluate(g, 500, 50, c.waits...)
		if g.IsSuspected(1) != c.want || changed != c.want || g.IsSuspected(0) || g.IsSuspected(2) || g.IsSuspected(9) {
			t.Errorf("%s: suspected %v, changed %v", name, g.IsSuspected(1), changed)
		}
		if again := evaluate(g, 510, 50, c.waits...); again {
			t.Errorf("%s: the same suspicion is reported again", name)
		}
	}
}

// TestAllUnresponsive: if all zones are unresponsive, the agent itself is partitioned and no zone counts as suspected.
// The same holds if there is only one zone.
func TestAllUnresponsive(t *testing.T) {
	for zones := 1; zones <= 4; zones++ {
		g := New()
		var all []waits
		for z := range zones {
			all = append(all, waits{z, 4}, waits{z, 4}, waits{z, 4})
		}
		evaluate(g, 500, 50, all...)
		for z := range zones {
			if g.IsSuspected(z) {
				t.Errorf("all %d zones are unresponsive, and %d is suspected", zones, z)
			}
		}
		if zones > 1 {
			if since, lifted := g.Answered(0, 600); !lifted || since != 500 || g.IsSuspected(0) || !g.IsSuspected(1) {
				t.Errorf("one of %d has answered: %v, %v", zones, since, lifted)
			}
		}
	}
}

// TestTrials: a suspected zone is tried after 10 sends, then 20, then 40 each, at most once per base time, and after
// eight base times at the latest. If most zones are suspected, a trial of one counts for all, and an answer of one
// makes the trials of all others due at once.
func TestTrials(t *testing.T) {
	for name, c := range map[string]struct {
		most bool
		gap  float64 // between two sends
		want []float64
	}{
		"busy":               {false, 1, []float64{1100, 1200, 1300, 1400, 1500}},
		"a send in 20 ms":    {false, 20, []float64{1200, 1600, 2400, 3200, 4000}},
		"one in 200 ms":      {false, 200, []float64{1800, 2600, 3400, 4200}},
		"cut off, in 20 ms":  {true, 20, []float64{1200, 1600, 2400, 3200, 4000}},
		"cut off, in 200 ms": {true, 200, []float64{1800, 2600, 3400, 4200}},
	} {
		g := New()
		for zone := range 4 {
			g.Answered(zone, 0)
		}
		all := []waits{{1, 4}, {1, 4}, {1, 4}}
		if c.most {
			for range 3 {
				all = append(all, waits{2, 4}, waits{3, 4})
			}
		}
		evaluate(g, 1000, 50, all...)
		var at []float64
		for now := 1000 + c.gap; now < 4500; now += c.gap {
			zone := 0
			if g.MayTry(1, now) {
				at = append(at, now)
				zone = 1
			}
			g.Sent(zone, now, 100)
			if c.most && g.MayTry(1, now) != g.MayTry(2, now) {
				t.Fatalf("%s: at %v one is due and the other is not", name, now)
			}
		}
		if len(at) < len(c.want) || !slices.EqualFunc(at[:len(c.want)], c.want, func(got, want float64) bool {
			return math.Abs(got-want) <= 2*c.gap
		}) {
			t.Errorf("%s: tried at %v, want %v", name, at, c.want)
		}
		if _, lifted := g.Answered(1, 5000); !lifted || g.IsSuspected(1) ||
			c.most && (!g.MayTry(2, 5000) || !g.IsSuspected(2)) {
			t.Errorf("%s: after an answer", name)
		}
		if _, lifted := g.Answered(1, 5001); lifted {
			t.Error("lifted twice")
		}
	}
}

// TestInvariants: for random inputs, never all zones count as suspected, a zone that has just answered doesn't, and the
// result doesn't depend on the order in which attempts are added.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now, zones := 0.0, rapid.IntRange(1, 5).Draw(t, "zones")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Float64Range(0, 300).Draw(t, "passes")
			zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				a.Answered(zone, now)
				b.Answered(zone, now)
				if a.IsSuspected(zone) {
					t.Fatal("a zone that has just answered is suspected")
				}
			case 1:
				a.Sent(zone, now, 50)
				b.Sent(zone, now, 50)
			default:
				var all []waits
				for range rapid.IntRange(0, 9).Draw(t, "servers") {
					all = append(all, waits{
						rapid.IntRange(0, zones-1).Draw(t, "of"),
						float64(rapid.IntRange(0, 8).Draw(t, "times")),
					})
				}
				sent := now - rapid.Float64Range(0, 500).Draw(t, "ago")
				x := evaluate(a, now, sent, all...)
				rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				if y := evaluate(b, now, sent, all...); x != y {
					t.Fatalf("%v, in another order %v", x, y)
				}
			}
			n := 0
			for z := range zones {
				if a.IsSuspected(z) {
					n++
				}
				if a.IsSuspected(z) != b.IsSuspected(z) || a.MayTry(z, now) != b.MayTry(z, now) {
					t.Fatal("the result depends on the order in which attempts are added")
				}
			}
			if n == zones {
				t.Fatal("all zones count as suspected")
			}
		}
	})
}
