package cold

import (
	"math"
	"testing"

	"molepaddle/internal/decide/settings"
)

var contract = settings.Contract{ColdFrom: 0.3, ColdMs: 8000, FallMultiple: 2.5}

// Whatever the answers say, an even share never costs a cold server more than the contract lets it
// bear: at the start even where keys save three quarters of the work elsewhere, later as far as
// its own answers bear out that they don't.
func TestShareKeepsTheContract(t *testing.T) {
	s := New(&contract)
	if worst := s.Of(0.3) / 0.3 * 4; worst > contract.FallMultiple {
		t.Errorf("before any answer a cold server may be sent %.2f times what it can do", worst)
	}
	for range 1000 {
		s.Answered(true)
	}
	if got := s.Of(0.4) / 0.4; got <= 1 || got > contract.FallMultiple/2 {
		t.Errorf("with quick answers it gets %.2f of its part", got)
	}
	if got := s.Of(0.99); got > 1 {
		t.Errorf("nearly warm it gets %.2f of an even share", got)
	}
	quick := s.Of(0.4)
	s.Answered(false)
	if late := s.Of(0.4); late >= quick*0.95 {
		t.Errorf("one late answer takes %.3f to %.3f", quick, late)
	}
	for range 1000 {
		s.Answered(false)
	}
	if got := s.Of(0.4) / 0.4 * 8; got > contract.FallMultiple+1e-9 || got <= 0 {
		t.Errorf("with late answers it gets %.2f eighths", got)
	}
	if s.Of(1) != 1 {
		t.Error("a warm server has no even share")
	}
}

// The fleet's answers as one law: cold servers whose answers grow late as their use passes nine tenths are
// driven up to that, and none beyond the contract, whatever their keys cost them.
func TestShareFindsItsPlace(t *testing.T) {
	for _, keys := range []float64{1, 2, 4} {
		s, peak := New(&contract), 0.0
		var use float64
		for range 2000 {
			use = s.Of(0.5) / 0.5 * keys * 0.9 // warm ones at nine tenths
			peak = max(peak, use)
			s.Answered(use < 0.9)
		}
		if peak > contract.FallMultiple {
			t.Errorf("keys cost %v: sent %.2f times what it can do", keys, peak)
		}
		if use < 0.75 || use > max(1.1, 0.9*keys*contract.FallMultiple/8) {
			t.Errorf("keys cost %v: in the end it does %.2f of what it can", keys, use)
		}
	}
}

// Work served fades over the cold time, on any clock, and none is known before there was any.
func TestFlow(t *testing.T) {
	for _, base := range []float64{0, 1e12, -1e9} {
		s := New(&contract)
		if s.Known() || s.Earned(1000, 1, 1) != 0 {
			t.Error("known before anything was served")
		}
		s.Served(base, 5, 0)
		if s.Known() {
			t.Error("learnt of no warm server")
		}
		s.Served(base, 8, 2)
		if got := s.Earned(8000, 1, 1); math.Abs(got-4) > 1e-9 {
			t.Errorf("a warm server's eight seconds are worth %v", got)
		}
		s.Served(base+8000, 0, 2)
		if got := s.Earned(8000, 2, 1); math.Abs(got-8/math.E) > 1e-9 {
			t.Errorf("a cold time later they are worth %v", got)
		}
		s.Served(base-1e6, 0, 2) // a clock that goes back
		if got := s.Earned(8000, 2, 1); math.IsInf(got, 0) || got > 8 {
			t.Errorf("after a step back they are worth %v", got)
		}
	}
}
