package cold

import (
	"math"
	"testing"

	"molepaddle/internal/decide/settings"
)

var contract = settings.Contract{SlowStartFraction: 0.3, SlowStartMs: 8000, OverloadFactor: 2.5}

// For any sequence of answers, an even share costs a cold server no more than the contract allows:
// initially even if warm servers save three quarters of the work by their caches, later as far as the
// server's own answers show that they do not.
func TestShareStaysWithinOverloadFactor(t *testing.T) {
	s := New(&contract)
	if worst := s.Fraction(0.3) / 0.3 * 4; worst > contract.OverloadFactor {
		t.Errorf("before any answer a cold server may be sent %.2f times what it can do", worst)
	}
	for range 1000 {
		s.Observe(true)
	}
	if got := s.Fraction(0.4) / 0.4; got <= 1 || got > contract.OverloadFactor/2 {
		t.Errorf("with fast answers it gets %.2f times its capacity", got)
	}
	if got := s.Fraction(0.99); got > 1 {
		t.Errorf("nearly warm it gets %.2f of an even share", got)
	}
	quick := s.Fraction(0.4)
	s.Observe(false)
	if late := s.Fraction(0.4); late >= quick*0.95 {
		t.Errorf("one late answer changes the fraction from %.3f to %.3f", quick, late)
	}
	for range 1000 {
		s.Observe(false)
	}
	if got := s.Fraction(0.4) / 0.4 * 8; got > contract.OverloadFactor+1e-9 || got <= 0 {
		t.Errorf("with late answers it gets %.2f eighths of its capacity", got)
	}
	if s.Fraction(1) != 1 {
		t.Error("a warm server does not get an even share")
	}
}

// In a fleet whose cold servers answer late above nine tenths of their capacity, the share drives them
// up to that, and never beyond the contract, for any cost of uncached keys.
func TestShareConverges(t *testing.T) {
	for _, keys := range []float64{1, 2, 4} {
		s, peak := New(&contract), 0.0
		var use float64
		for range 2000 {
			use = s.Fraction(0.5) / 0.5 * keys * 0.9 // warm servers run at nine tenths
			peak = max(peak, use)
			s.Observe(use < 0.9)
		}
		if peak > contract.OverloadFactor {
			t.Errorf("keys cost %v: sent %.2f times what it can do", keys, peak)
		}
		if use < 0.75 || use > max(1.1, 0.9*keys*contract.OverloadFactor/8) {
			t.Errorf("keys cost %v: converges to %.2f of its capacity", keys, use)
		}
	}
}

// Served work decays over the slow-start time, from any clock origin, and there is no baseline before
// the first observation.
func TestServedWorkFades(t *testing.T) {
	for _, base := range []float64{0, 1e12, -1e9} {
		s := New(&contract)
		if s.HasBaseline() || s.WorkBudget(1000, 1, 1) != 0 {
			t.Error("baseline before any observation")
		}
		s.ObserveServed(base, 5, 0)
		if s.HasBaseline() {
			t.Error("baseline without a warm server")
		}
		s.ObserveServed(base, 8, 2)
		if got := s.WorkBudget(8000, 1, 1); math.Abs(got-4) > 1e-9 {
			t.Errorf("work budget over the slow-start time is %v, want 4", got)
		}
		s.ObserveServed(base+8000, 0, 2)
		if got := s.WorkBudget(8000, 2, 1); math.Abs(got-8/math.E) > 1e-9 {
			t.Errorf("after a slow-start time it is %v, want 8/e", got)
		}
		s.ObserveServed(base-1e6, 0, 2) // the clock goes back
		if got := s.WorkBudget(8000, 2, 1); math.IsInf(got, 0) || got > 8 {
			t.Errorf("after a step back of the clock it is %v", got)
		}
	}
}
