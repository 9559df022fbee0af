package outlier

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

// group returns n backends of one group.
func group(n int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{ID: backendName(i), Group: "g"}
	}
	return peers
}

// report makes a proxy of a zone report the outcomes of one backend.
func report(d *Detector, now float64, proxy int, zone string, o distribution.Outcome) {
	d.Observe(now, &distribution.OutcomeReport{
		Proxy:    fmt.Sprintf("p%d", proxy),
		Zone:     zone,
		Outcomes: []distribution.Outcome{o},
	})
}

// served makes many proxies of two zones report good results of all backends.
func served(d *Detector, now float64, backends int) {
	for b := range backends {
		for p := range 8 {
			report(d, now, p, zoneName(p%2), distribution.Outcome{Backend: backendName(b), Attempts: 2})
		}
	}
}

func TestFailingBackendIsEjected(t *testing.T) {
	c := qt.New(t)
	d := NewDetector()
	served(d, 0, 6)
	c.Assert(d.Step(0, group(6)), qt.HasLen, 0)
	for p := range 2 {
		report(d, 100, p, zoneName(p%2), distribution.Outcome{Backend: "b01", Attempts: 5, Failed: 5})
	}
	c.Assert(d.Step(100, group(6)), qt.HasLen, 0, qt.Commentf("two complaints are not enough"))
	report(d, 100, 2, zoneName(0), distribution.Outcome{Backend: "b01", Attempts: 5, Failed: 5})
	c.Assert(d.Step(100, group(6)), qt.DeepEquals, []distribution.Ejection{{Backend: "b01"}})
	c.Assert(d.Step(200, group(1)), qt.HasLen, 0, qt.Commentf("backends that are no longer listed are dropped"))
}

// TestEjectedShareIsBounded checks that at most 1/maxEjectedDivisor of a group is ejected.
func TestEjectedShareIsBounded(t *testing.T) {
	c := qt.New(t)
	d := NewDetector()
	served(d, 0, 9)
	for b := range 4 {
		for p := range 8 {
			report(d, 100, p, zoneName(p%2), distribution.Outcome{Backend: backendName(b), Attempts: 20, Failed: 20})
		}
	}
	c.Assert(d.Step(100, group(9)), qt.HasLen, 9/maxEjectedDivisor)
}

// TestLoadEjectsNobody checks that no backend is ejected if all do equally badly.
func TestLoadEjectsNobody(t *testing.T) {
	c := qt.New(t)
	d := NewDetector()
	for b := range 9 {
		for p := range 8 {
			report(d, 100, p, zoneName(p%2), distribution.Outcome{Backend: backendName(b), Attempts: 4, Failed: 2})
		}
	}
	c.Assert(d.Step(100, group(9)), qt.HasLen, 0)
}

// TestEjectionIsWidened checks that a backend ejected for one zone's proxies is ejected for all proxies once those of
// another zone have complaints.
func TestEjectionIsWidened(t *testing.T) {
	c := qt.New(t)
	d := NewDetector()
	served(d, 0, 6)
	for p := range 8 {
		if p%2 == 0 {
			report(d, 100, p, zoneName(0), distribution.Outcome{Backend: "b01", Attempts: 9, Failed: 9})
		}
	}
	c.Assert(d.Step(100, group(6)), qt.DeepEquals, []distribution.Ejection{{Backend: "b01", Zone: zoneName(0)}})
	report(d, 2000, 1, zoneName(1), distribution.Outcome{Backend: "b01", Attempts: 3, Failed: 3})
	c.Assert(d.Step(2000, group(6)), qt.DeepEquals, []distribution.Ejection{{Backend: "b01"}})
}

// ejectOne returns a Detector that has ejected b01 of six backends at 100 ms, since all attempts there failed.
func ejectOne(c *qt.C) *Detector {
	d := NewDetector()
	served(d, 0, 6)
	for p := range 8 {
		report(d, 100, p, zoneName(p%2), distribution.Outcome{Backend: "b01", Attempts: 9, Failed: 9})
	}
	c.Assert(d.Step(100, group(6)), qt.HasLen, 1)
	return d
}

// TestLateReportsDontRestore checks that successes from before an ejection, which are reported up to a second later,
// don't count as trials.
func TestLateReportsDontRestore(t *testing.T) {
	c := qt.New(t)
	d := ejectOne(c)
	served(d, 600, 6)
	c.Assert(d.Step(600, group(6)), qt.HasLen, 1)
}

// TestTrialsRestore checks that enough successful trials in a row restore a backend, that more are required if it was
// restored recently, and that those of a single proxy are never enough.
func TestTrialsRestore(t *testing.T) {
	c := qt.New(t)
	d := ejectOne(c)
	good := distribution.Outcome{Backend: "b01", Attempts: 1}
	trial := func(now float64, proxy int, o distribution.Outcome) int {
		report(d, now, proxy, zoneName(0), o)
		return len(d.Step(now, group(6)))
	}
	c.Assert(trial(3000, 1, distribution.Outcome{Backend: "b01", Attempts: 50}), qt.Equals, 1,
		qt.Commentf("one proxy's report"))
	c.Assert(trial(3100, 2, distribution.Outcome{Backend: "b01", Attempts: 1, Failed: 1}), qt.Equals, 1)
	for i := range trialsToRestore - 1 {
		c.Assert(trial(3200+float64(i)*100, i, good), qt.Equals, 1)
	}
	c.Assert(trial(4000, 5, good), qt.Equals, 0)
	served(d, 4100, 6)
	for p := range 8 {
		report(d, 4200, p, zoneName(p%2), distribution.Outcome{Backend: "b01", Attempts: 9, Failed: 9})
	}
	c.Assert(d.Step(4200, group(6)), qt.HasLen, 1)
	for i := range 2*trialsToRestore - 1 {
		c.Assert(trial(7000+float64(i)*100, i, good), qt.Equals, 1, qt.Commentf("after a strike"))
	}
	c.Assert(trial(8000, 9, good), qt.Equals, 0)
}

// TestOneProxyDoesNotRestore checks that however many successful trials one proxy reports, another one must report a
// successful trial too, unless no other proxy reports any more.
func TestOneProxyDoesNotRestore(t *testing.T) {
	c := qt.New(t)
	d := ejectOne(c)
	good := distribution.Outcome{Backend: "b01", Attempts: 50}
	now := 3000.0
	for range 6 {
		now += 100
		report(d, now, 1, zoneName(0), good)
		c.Assert(d.Step(now, group(6)), qt.HasLen, 1, qt.Commentf("reports of one proxy alone"))
	}
	report(d, now, 2, zoneName(0), distribution.Outcome{Backend: "b01", Attempts: 1})
	c.Assert(d.Step(now, group(6)), qt.HasLen, 0)

	d = ejectOne(c)
	now = 3000.0
	for ; len(d.Step(now, group(6))) > 0; now += 500 {
		c.Assert(now < 4*proxyTimeoutMs, qt.IsTrue, qt.Commentf("the only reporting proxy restores it"))
		report(d, now, 1, zoneName(0), distribution.Outcome{Backend: "b01", Attempts: 1})
	}
	c.Assert(now > proxyTimeoutMs, qt.IsTrue, qt.Commentf("the others may still report"))
}

// TestOverloadedBackendStays checks that a late backend with as many answers as its peers is considered overloaded and
// isn't ejected, and that one with few answers is.
func TestOverloadedBackendStays(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		c := qt.New(t)
		d := NewDetector()
		ejected := 0
		for now := 0.0; now < 5000; now += 100 {
			for b := range 6 {
				for p := range 8 {
					o := distribution.Outcome{Backend: backendName(b), Attempts: 1}
					if b == 1 {
						o.Overdue, o.Late = 1, 1
					}
					if b == 1 && faulty && int(now)%500 != 0 {
						o.Late = 0
					}
					report(d, now, p, zoneName(p%2), o)
				}
			}
			ejected = max(ejected, len(d.Step(now, group(6))))
		}
		c.Assert(ejected > 0, qt.Equals, faulty)
	}
}

// TestSlowAnswers checks that a backend is ejected if nearly all of its answers are slow, but not if only some are,
// since streams are preempted by more urgent ones.
func TestSlowAnswers(t *testing.T) {
	c := qt.New(t)
	for slow, faulty := range map[int]bool{4: false, 9: true} {
		d := NewDetector()
		served(d, 0, 6)
		for p := range 8 {
			o := distribution.Outcome{Backend: "b01", Attempts: 20, Streamed: 10, Slow: slow}
			report(d, 100, p, zoneName(p%2), o)
		}
		c.Assert(d.Step(100, group(6)), qt.HasLen, map[bool]int{true: 1}[faulty])
	}
}

// TestLatenessUnderLoad checks that while many backends are late, one that is later isn't ejected unless it is
// unresponsive.
func TestLatenessUnderLoad(t *testing.T) {
	c := qt.New(t)
	for _, silent := range []bool{false, true} {
		d := NewDetector()
		for now := 0.0; now < 6000; now += 100 {
			for b := range 9 {
				for p := range 8 {
					o := distribution.Outcome{Backend: backendName(b), Attempts: 10}
					switch {
					case b == 1 && silent && now > 1000:
						o.Overdue = 10
					case b == 1:
						o.Overdue, o.Late = 8, 1
					case b%2 == 0:
						o.Overdue, o.Late = 2, 2
					}
					report(d, now, p, zoneName(p%2), o)
				}
			}
			ejected := d.Step(now, group(9))
			if !silent {
				c.Assert(ejected, qt.HasLen, 0, qt.Commentf("at %v", now))
			}
			if silent && now > 5000 {
				c.Assert(ejected, qt.HasLen, 1)
			}
		}
	}
}

// TestUnresponsiveIsNotSlow checks that a backend that doesn't answer isn't marked slow: slow backends are excluded
// from trials with long answers only.
func TestUnresponsiveIsNotSlow(t *testing.T) {
	c := qt.New(t)
	for _, slow := range []bool{false, true} {
		d := NewDetector()
		served(d, 0, 6)
		faulty := distribution.Outcome{Backend: "b01", Attempts: 9, Overdue: 9}
		if slow {
			faulty = distribution.Outcome{Backend: "b01", Attempts: 9, Streamed: 9, Slow: 9}
		}
		var ejected []distribution.Ejection
		for now := 100.0; now < 3000 && len(ejected) == 0; now += 100 {
			for p := range 8 {
				report(d, now, p, zoneName(p%2), faulty)
				for _, healthy := range []string{"b00", "b02", "b03", "b04", "b05"} {
					report(d, now, p, zoneName(p%2), distribution.Outcome{Backend: healthy, Attempts: 2})
				}
			}
			ejected = d.Step(now, group(6))
		}
		c.Assert(ejected, qt.DeepEquals, []distribution.Ejection{{Backend: "b01", Slow: slow}})
	}
}

// TestImpossibleCountsAreIgnored checks that inconsistent counts are ignored.
func TestImpossibleCountsAreIgnored(t *testing.T) {
	c := qt.New(t)
	d := NewDetector()
	for p := range 8 {
		for _, o := range []distribution.Outcome{
			{Attempts: 1, Failed: 9},
			{Attempts: -1},
			{Attempts: 3, Failed: -3, Slow: 3, Streamed: 3},
			{Attempts: 1, Slow: 1},
			{Attempts: 1, Late: -1},
		} {
			o.Backend = "b00"
			report(d, 0, p, "z", o)
		}
	}
	c.Assert(d.backends, qt.HasLen, 0)
}
