package simulation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeaks judges requests that ran in two regions, and their cached parts, under several histories of terms.
func TestLeaks(t *testing.T) {
	c := qt.New(t)
	s := newScene(c)
	j := s.judge(s.read, s.stream)
	rests := j.Residences()
	kinds := map[ResidenceKind]int{}
	for _, r := range rests {
		kinds[r.Kind]++
	}
	c.Assert(kinds[ResidenceRun] > 0 && kinds[ResidenceCached] > 0, qt.IsTrue, qt.Commentf("%v", rests))
	region := rests[0].Region
	always := func(regions ...string) func(Result) []Term {
		return func(Result) []Term { return []Term{{Regions: append([]string{}, regions...)}} }
	}
	leaked, lingering := j.Leaks(always(), 0)
	c.Assert(leaked, qt.HasLen, len(rests))
	c.Assert(lingering, qt.HasLen, 0)
	leaked, _ = j.Leaks(func(Result) []Term { return nil }, 0)
	c.Assert(leaked, qt.HasLen, 0)
	leaked, _ = j.Leaks(always(region, "west", "east"), 0)
	c.Assert(leaked, qt.HasLen, 0)

	// The regions are withdrawn after all requests have ended: only cached parts remain.
	over := time.Now()
	later := func(Result) []Term {
		return []Term{{Regions: []string{region, "west", "east"}}, {From: over, Regions: []string{}}}
	}
	leaked, lingering = j.Leaks(later, time.Minute)
	c.Assert(leaked, qt.HasLen, 0)
	c.Assert(lingering, qt.HasLen, 0)
	leaked, lingering = j.Leaks(later, 0)
	c.Assert(leaked, qt.HasLen, 0, qt.Commentf("%v", leaked))
	c.Assert(len(lingering) > 0, qt.IsTrue)
	for _, r := range lingering {
		c.Assert(r.Kind, qt.Equals, ResidenceCached)
	}
	// They are withdrawn before any request: all data leaked.
	early := func(Result) []Term { return []Term{{}, {From: rests[0].From.Add(-time.Hour), Regions: []string{}}} }
	leaked, _ = j.Leaks(early, time.Second)
	c.Assert(leaked, qt.HasLen, len(rests))
}
