package arith

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestFinite(t *testing.T) {
	for x, want := range map[float64]float64{-1: 0, 0: 0, 2.5: 2.5, math.Inf(1): 1e15, math.Inf(-1): 0, 1e300: 1e15} {
		if got := Finite(x); got != want {
			t.Errorf("Finite(%v) = %v, want %v", x, got, want)
		}
	}
	if got := Finite(math.NaN()); got != 0 {
		t.Errorf("Finite(NaN) = %v", got)
	}
}

func TestMeanAndStepWeight(t *testing.T) {
	if Mean(0, 8, 0.1) != 8 || Mean(8, 4, 0.25) != 7 {
		t.Error("want the first value itself, and the next by its weight")
	}
	if StepWeight(1, 0.05, false, 0, 1) != 1 || StepWeight(0.5, 0.05, true, 0.49, 1) != 0.49 {
		t.Error("a weight is outside of its bounds")
	}
}

func TestMedian(t *testing.T) {
	if Median([]float64{1, 9}) != 0 || Median([]float64{9, 1, 4}) != 4 {
		t.Error("median")
	}
}

// Points on a line yield that line, in any order.
func TestLinearFit(t *testing.T) {
	var l LinearFit
	if l.At(3, 0) != 0 {
		t.Error("a fit without points is not 0")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		x := 10 * rng.Float64()
		l.Add(x, 5+3*x, 0.02)
	}
	for _, x := range []float64{0, 4, 20} {
		if got := l.At(x, 200); math.Abs(got-(5+3*x)) > 1e-6 {
			t.Errorf("At(%v) = %v, want %v", x, got, 5+3*x)
		}
	}
	if l.At(4, 201) != 0 || l.At(-100, 0) != 0 {
		t.Error("not 0 with too few points, or below 0")
	}
}

// The shares equal those of a plain count over the last n values.
func TestRecentCounts(t *testing.T) {
	const n = 16
	r := NewRecentCounts(n)
	rng := rand.New(rand.NewPCG(3, 4))
	var all []uint64
	for range 500 {
		v := rng.Uint64N(6)
		all = append(all, v)
		last := all[max(0, len(all)-n):]
		same := 0
		for _, o := range last {
			if o == v {
				same++
			}
		}
		if got, want := r.Add(v), float64(same)/float64(len(last)); got != want {
			t.Fatalf("share %v, want %v", got, want)
		}
	}
	if len(r.count) > 6 {
		t.Errorf("%d counts are kept for 6 distinct values", len(r.count))
	}
}

func TestFadingWeights(t *testing.T) {
	s := make(FadingWeights, 2)
	for range 2000 {
		s.Add(0, 0.99)
		s.Add(1, 0.99)
		s.Add(5, 0.99)
	}
	if math.Abs(s[0]-0.5) > 0.01 || math.Abs(s[1]-0.5) > 0.01 {
		t.Errorf("weights %v of two equally frequent kinds", s)
	}
}
