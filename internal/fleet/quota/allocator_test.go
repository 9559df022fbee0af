package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testRule has the times of a deployment.
var testRule = Rule{Window: 5 * time.Second, Lease: 4 * time.Second}

// testOverlap is for how long an earlier allocator may answer; testProven is when a new one knows all holdings.
const (
	testOverlap = 2 * time.Second
	testProven  = testOverlap + 9*time.Second
)

// tenSlots are the limits of most tests.
func tenSlots() Limits { return Limits{"t": {Total: 10, Normal: 6}} }

// fullReport is a report of one tenant's slots.
func fullReport(holder string, incarnation, sequence uint64, held, wanted int) *Report {
	return &Report{
		Holder:      holder,
		Incarnation: incarnation,
		Sequence:    sequence,
		Full:        true,
		Holdings:    []Holding{{Tenant: "t", Held: held, Wanted: wanted}},
	}
}

// TestLoweringThatMayStillBeCommitted checks that a tenant isn't raised again while a lowering is under way: were it
// committed after slots beyond Slots.Normal were handed out, the next allocator would hand them out once more.
func TestLoweringThatMayStillBeCommitted(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	lowered := a.WantedCeilings(testProven)
	c.Assert(lowered.Equal(nil), qt.IsTrue)
	grants, err := a.Handle(fullReport("p", 1, 1, 0, 6), testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 6)
	c.Assert(a.WantedCeilings(testProven).Equal(lowered), qt.IsTrue)
	grants, err = a.Handle(fullReport("p", 1, 2, 6, 4), testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 0)
	a.SetCeilings(&Ceilings{})
	raised := a.WantedCeilings(testProven)
	c.Assert(raised.Raised("t"), qt.IsTrue)
	a.SetCeilings(raised)
	grants, err = a.Handle(fullReport("p", 1, 3, 6, 4), testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 4)
}
