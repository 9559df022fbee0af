package policy

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The transitions through the four states (demoted, refreshed, validated) and their entry times.
func TestHealth(t *testing.T) {
	c := qt.New(t)
	s := NewHealth(5)
	c.Assert(s, qt.Equals, Health{Unknown, 5})
	c.Assert(s.Served(10), qt.IsFalse) // Connected is of the same tier
	c.Assert(s, qt.Equals, Health{Connected, 10})
	c.Assert(s.Served(11), qt.IsFalse)
	c.Assert(s.since, qt.Equals, 10.0)

	c.Assert(s.Demote(20), qt.IsTrue)
	c.Assert(s.Demote(25), qt.IsFalse)
	c.Assert(s, qt.Equals, Health{Unhealthy, 20})
	c.Assert(s.Probed(26, true), qt.IsFalse) // not pending
	c.Assert(s.Refresh(29, 10), qt.IsFalse)
	c.Assert(s, qt.Equals, Health{Unhealthy, 20})
	c.Assert(s.Refresh(30, 10), qt.IsTrue)
	c.Assert(s, qt.Equals, Health{UnhealthyPending, 30})
	c.Assert(s.Refresh(31, 0), qt.IsFalse)

	failed := s
	c.Assert(failed.Probed(40, false), qt.IsTrue)
	c.Assert(failed, qt.Equals, Health{Unhealthy, 40})
	c.Assert(s.Probed(40, true), qt.IsTrue)
	c.Assert(s, qt.Equals, Health{Connected, 40})
}

func TestHealthTier(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		state   State
		age     float64
		timeout float64
		tier    int
	}{
		{Connected, 0, 100, 0}, {Unknown, 0, 100, 0}, {UnhealthyPending, 0, 100, 1}, {UnhealthyPending, 99, 100, 1},
		{UnhealthyPending, 100, 100, 0}, {UnhealthyPending, 0, 0, 0}, {UnhealthyPending, 0, -1, 0},
		{Unhealthy, 0, 100, 2}, {Unhealthy, 1e9, 100, 2}, {Unhealthy, 0, 0, 2},
	} {
		s := Health{x.state, 7}
		c.Check(s.Tier(7+x.age, x.timeout), qt.Equals, x.tier, qt.Commentf("%+v", x))
	}
}

// For any sequence of transitions: one that reports no tier change keeps the tier, a failed attempt leads to the
// last tier, and from any state a refresh followed by a validation or by the pending time-out leads to the first.
func TestHealthProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, timeout := 0.0, rapid.Float64Range(0, 100).Draw(t, "timeout")
		s := NewHealth(now)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 50).Draw(t, "ms"))
			was, tier := s, s.Tier(now, timeout)
			var moved bool
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if moved = s.Demote(now); s.Tier(now, timeout) != 2 {
					t.Fatalf("demoted: %+v", s)
				}
			case 1:
				if moved = s.Served(now); s.state != Connected {
					t.Fatalf("served: %+v", s)
				}
			case 2:
				moved = s.Refresh(now, rapid.Float64Range(0, 60).Draw(t, "hold"))
			case 3:
				moved = s.Probed(now, rapid.Bool().Draw(t, "ok"))
			}
			if !moved && s.Tier(now, timeout) != tier {
				t.Fatalf("%+v became %+v without reporting a tier change", was, s)
			}
			if s.state == was.state && s.since != was.since || s.state != was.state && s.since != now {
				t.Fatalf("%+v became %+v at %v", was, s, now)
			}
		}
		validated := s
		validated.Refresh(now, 0)
		validated.Probed(now, true)
		s.Refresh(now, 0)
		if validated.Tier(now, timeout) != 0 || s.Tier(now+timeout+1, timeout) != 0 {
			t.Fatalf("does not return to the first tier: %+v, %+v", validated, s)
		}
	})
}
