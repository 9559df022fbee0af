package law

import (
	"math"
	"slices"
	"testing"

	"molepaddle/internal/rig/scenario"
)

// A portal's arrivals pass the Kolmogorov-Smirnov test for a Poisson process at one seed and the 1 %
// level; bursts do not.
func TestArrivals(t *testing.T) {
	s, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	distance := func() (d, limit float64) {
		plan := Plan(s, 5)
		gaps := make([]float64, 0, len(plan))
		for i := 1; i < len(plan); i++ {
			gaps = append(gaps, plan[i].At-plan[i-1].At)
		}
		slices.Sort(gaps)
		mean := 1000 / (s.Load() * s.Capacity())
		for i, g := range gaps {
			want := 1 - math.Exp(-g/mean)
			d = max(d, math.Abs(want-float64(i)/float64(len(gaps))), math.Abs(want-float64(i+1)/float64(len(gaps))))
		}
		return d, 1.628 / math.Sqrt(float64(len(gaps)))
	}
	if d, limit := distance(); d > limit {
		t.Errorf("distance %.5f, limit %.5f", d, limit)
	}
	s.Portals[0].Arrivals, s.Portals[0].Swing, s.Portals[0].Period = "bursts", 0.9, s.Length/20
	if d, limit := distance(); d < limit {
		t.Errorf("bursts pass: distance %.5f, limit %.5f", d, limit)
	}
}

// Every arrival shape keeps the mean rate, and the load events of the timeline change it.
func TestRates(t *testing.T) {
	s, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	want := s.Load() * s.Capacity() * 60
	for _, shape := range []string{"poisson", "bursts", "diurnal"} {
		s.Portals[0].Arrivals, s.Portals[0].Swing, s.Portals[0].Period = shape, 0.5, s.Length/10
		if n := float64(len(Plan(s, 1))); math.Abs(n/want-1) > 0.03 {
			t.Errorf("%s: %v requests, want %.0f", shape, n, want)
		}
	}
	s.Portals[0].Arrivals = "poisson"
	s.Events = []scenario.Event{{Kind: "load", At: s.Length / 2, Factor: 3}}
	if n := float64(len(Plan(s, 1))); math.Abs(n/want-2) > 0.05 {
		t.Errorf("%v requests, want twice %.0f", n, want)
	}
}

// Work has the mean and the coefficient of variation of its class.
func TestWorkDistributions(t *testing.T) {
	for _, c := range []scenario.Class{{Law: "fixed"}, {Law: "exp", CV: 1}, {Law: "lognormal", CV: 0.8}, {Law: "pareto", CV: 0.5}} {
		c.Work = scenario.Duration(20e6)
		w := NewWorkDistribution(&c)
		n, sum, squares := 200000, 0.0, 0.0
		for i := range n {
			x := w.At((float64(i) + 0.5) / float64(n))
			sum += x
			squares += x * x
		}
		mean := sum / float64(n)
		cv := math.Sqrt(squares/float64(n)-mean*mean) / mean
		if math.Abs(mean/20-1) > 0.01 || math.Abs(cv-c.CV) > 0.05 {
			t.Errorf("%s: mean %.3f, deviation %.3f of it", c.Law, mean, cv)
		}
	}
}
