package scheduler

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// fleet simulates a service's backends, which take a while to execute orders.
type fleet struct {
	reports    []BackendReport
	until      map[string]float64
	to         map[string]bool
	prefilling int // prompts at the prefill backends
}

func newFleet(prefill, decode int) *fleet {
	f := &fleet{until: map[string]float64{}, to: map[string]bool{}}
	for i := range prefill + decode {
		f.reports = append(f.reports, BackendReport{ID: fmt.Sprintf("b%02d", i), Prefill: i < prefill, Usable: true})
	}
	return f
}

func (f *fleet) count() (prefill, decode int) {
	for _, s := range f.reports {
		if s.Prefill {
			prefill++
		} else {
			decode++
		}
	}
	return
}

// step simulates one round: orders take effect, and active requests spread over the decode backends.
func (f *fleet) step(p *PhasePlanner, now float64, capacity, active int) []Transition {
	decode, prefill := 0, 0
	for i := range f.reports {
		s := &f.reports[i]
		if at, ok := f.until[s.ID]; ok && now >= at {
			s.Prefill, s.Changing = f.to[s.ID], false
			delete(f.until, s.ID)
		}
		if !s.Prefill && s.Usable {
			decode++
		} else if s.Usable {
			prefill++
		}
	}
	for i := range f.reports {
		f.reports[i].Active = 0
		if !f.reports[i].Prefill && decode > 0 {
			f.reports[i].Active = active / decode
		} else if f.reports[i].Prefill && prefill > 0 {
			f.reports[i].Active = f.prefilling / prefill
		}
	}
	transitions := p.Step(now, capacity, f.reports)
	for _, m := range transitions {
		if !m.Due {
			continue
		}
		for i := range f.reports {
			if f.reports[i].ID == m.ID {
				f.reports[i].Changing = true
				f.until[m.ID], f.to[m.ID] = now+500, m.Prefill
			}
		}
	}
	return transitions
}

func TestPhasePlannerWithoutLoad(t *testing.T) {
	for _, n := range []struct{ prefill, decode, want int }{{4, 5, 4}, {16, 28, 22}, {1, 2, 2}, {0, 2, 2}, {2, 4, 3}} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f, p := newFleet(n.prefill, n.decode), NewPhasePlanner()
			for now := 0.0; now < 8000; now += 500 {
				f.step(p, now, 64, 0)
			}
			_, decode := f.count()
			c.Assert(decode, qt.Equals, n.want)
			c.Assert(p.InTransition(), qt.HasLen, 0)
		})
	}
}

// Guards against slow growth: with 3 of 44 backends decoding, decode backends report at most their batch size, which
// hid the demand beyond it.
func TestDecodeGrowsFromFullBatches(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(41, 3), NewPhasePlanner()
	f.step(p, 0, 48, 3*48)
	for now := 500.0; now < 12000; now += 500 {
		_, decode := f.count()
		f.step(p, now, 48, min(600, decode*48))
	}
	_, decode := f.count()
	c.Assert(decode >= 14 && decode <= 22, qt.IsTrue, qt.Commentf("%d decode", decode))
}

// A decode backend may fail while no order can be sent, so one more than needed decodes.
func TestDecodeKeepsOneToSpareAndShrinks(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(6, 3), NewPhasePlanner()
	for now := 0.0; now < 20000; now += 500 {
		f.step(p, now, 64, 171)
	}
	_, decode := f.count()
	c.Assert(decode, qt.Equals, 4, qt.Commentf("171 requests at a capacity of 64"))
	for now := 20000.0; now < 80000; now += 500 {
		f.step(p, now, 64, 40)
	}
	_, decode = f.count()
	c.Assert(decode, qt.Equals, 4, qt.Commentf("without prefill overload, up to half may decode, so none changes"))
	f.prefilling = 15
	for now := 80000.0; now < 140000; now += 500 {
		f.step(p, now, 64, 40)
	}
	_, decode = f.count()
	c.Assert(decode, qt.Equals, 3, qt.Commentf("they change back to prefill when prompts need them"))
}

// Guards against idle decode backends: two of nine were idle while prefill backends had 40 prompts each. The plan
// depends on the load of both phases.
func TestPhasePlannerWeighsPrefill(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(4, 5), NewPhasePlanner()
	f.prefilling = 2
	for now := 0.0; now < 10000; now += 500 {
		f.step(p, now, 64, 115)
	}
	_, decode := f.count()
	c.Assert(decode, qt.Equals, 5, qt.Commentf("without prefill overload"))
	f.prefilling = 40
	at := 0.0
	for now := 10000.0; at == 0 && now < 20000; now += 500 {
		f.step(p, now, 64, 115)
		if _, decode = f.count(); decode == 4 {
			at = now
		}
	}
	c.Assert(at > 0 && at <= 10000+2*prefillHalfLifeMs+announceMs+1000, qt.IsTrue,
		qt.Commentf("the change waits only for the mean load and the announcement: %v", at))
	// More decode load takes over busy prefill backends only until half of all, rounded up, decode.
	f, p = newFleet(5, 4), NewPhasePlanner()
	f.prefilling = 15
	for now := 0.0; now < 20000; now += 500 {
		f.step(p, now, 64, 230)
	}
	prefill, _ := f.count()
	c.Assert(prefill, qt.Equals, 4, qt.Commentf("half of all backends, rounded down, prefill"))
}

func TestTransitionIsAnnouncedBeforeItsOrder(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(3, 6), NewPhasePlanner()
	transitions := f.step(p, 0, 64, 0)
	c.Assert(len(transitions), qt.Equals, 2)
	c.Assert(transitions[0].Due, qt.IsFalse)
	c.Assert(p.InTransition(), qt.HasLen, 2, qt.Commentf("no requests should be sent there"))
	c.Assert(f.step(p, announceMs/2, 64, 0), qt.HasLen, 0)
	transitions = f.step(p, announceMs, 64, 0)
	c.Assert(len(transitions), qt.Equals, 2)
	c.Assert(transitions[0].Due && transitions[1].Due, qt.IsTrue)
	// Transitions of backends that were removed are dropped; those of the others are unaffected.
	lost := p.InTransition()
	f.reports = f.reports[:3]
	f.step(p, announceMs+100, 64, 0)
	for _, id := range p.InTransition() {
		c.Assert(slices.Contains(lost, id), qt.IsFalse, qt.Commentf("%s was removed", id))
	}
}

// Guards against a lost order: an order that could not be confirmed in time was not sent again, and its backend got no
// requests for 20 s.
func TestOrderIsRetried(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(4, 5), NewPhasePlanner()
	due := func(now float64) (ids []string) {
		for _, m := range p.Step(now, 64, f.reports) {
			if m.Due {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	c.Assert(due(0), qt.HasLen, 0)
	first := due(announceMs)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(due(announceMs+1500), qt.HasLen, 0)
	p.RetryOrder(first[0])
	p.RetryOrder("gone")
	c.Assert(due(announceMs+3000), qt.DeepEquals, first)
}

func TestPhasePlannerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "backends")
		f, p := newFleet(rapid.IntRange(0, n).Draw(t, "prefill"), 0), NewPhasePlanner()
		for len(f.reports) < n {
			f.reports = append(f.reports, BackendReport{ID: fmt.Sprintf("d%02d", len(f.reports)), Usable: true})
		}
		now := 0.0
		for range 40 {
			now += float64(rapid.IntRange(50, 3000).Draw(t, "ms"))
			for i := range f.reports {
				f.reports[i].Usable = rapid.IntRange(0, 9).Draw(t, "up") > 0
			}
			due := map[string]bool{}
			for _, m := range f.step(p, now, 8, rapid.IntRange(0, 8*30).Draw(t, "active")) {
				for _, s := range f.reports {
					if s.ID == m.ID && !s.Usable {
						t.Fatalf("a transition of %s, which isn't usable", m.ID)
					}
				}
				if m.Due && due[m.ID] {
					t.Fatalf("two orders to %s in one step", m.ID)
				}
				due[m.ID] = m.Due
			}
			if len(p.InTransition()) > n {
				t.Fatalf("%d in transition of %d", len(p.InTransition()), n)
			}
		}
	})
}
