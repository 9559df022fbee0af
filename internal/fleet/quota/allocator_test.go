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
	_, err := a.Handle(fullReport("p", 1, 1, 0, 0), 1, testProven)
	c.Assert(err, qt.IsNil)
	lowered := a.WantedCeilings(testProven)
	c.Assert(lowered, qt.DeepEquals, &Ceilings{Complete: true, Holders: []string{"p"}})
	grants, err := a.Handle(fullReport("p", 1, 2, 0, 6), 1, testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 6)
	c.Assert(a.WantedCeilings(testProven).Equal(lowered), qt.IsTrue)
	grants, err = a.Handle(fullReport("p", 1, 3, 6, 4), 1, testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 0)
	a.SetCeilings(lowered)
	raised := a.WantedCeilings(testProven)
	c.Assert(raised.Raised("t"), qt.IsTrue)
	a.SetCeilings(raised)
	grants, err = a.Handle(fullReport("p", 1, 4, 6, 4), 1, testProven)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 4)
}

// TestLateReportOfAnEndedProcess checks that a report of a process that has ended, which comes after its successor's,
// has no effect: the successor goes on with its slots, and they are nobody else's while its lease and a window last.
func TestLateReportOfAnEndedProcess(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	start := testProven
	for _, report := range []struct {
		incarnation, conn uint64
		at                time.Duration
		held, wanted      int
		err               error
		granted           int
	}{
		{1, 1, 0, 0, 2, nil, 3},
		{2, 2, time.Second, 0, 7, nil, 7}, // the first one's slots are free at 6 s
		{1, 1, 2 * time.Second, 3, 2, errEnded, 0},
		{1, 2, 2 * time.Second, 3, 2, errEnded, 0}, // no process shares a connection with another
	} {
		grants, err := a.Handle(fullReport("p", report.incarnation, uint64(report.at)+1, report.held, report.wanted),
			report.conn, start+report.at)
		c.Assert(err, qt.Equals, report.err)
		if err == nil {
			c.Assert(grants[0].Slots, qt.Equals, report.granted)
		}
	}
	// The second one, which is not heard any more, may use its slots until 5 s, and they are free a window later. The
	// allocator finds that at one search and hands them out from the next.
	for _, at := range []struct {
		at            time.Duration
		held, granted int
	}{
		{7100 * time.Millisecond, 0, 3},
		{10 * time.Second, 3, 0},
		{10200 * time.Millisecond, 3, 0},
		{10400 * time.Millisecond, 3, 7},
	} {
		grants, err := a.Handle(fullReport("q", 3, uint64(at.at), at.held, 10), 3, start+at.at)
		c.Assert(err, qt.IsNil)
		c.Assert(grants[0].Slots, qt.Equals, at.granted, qt.Commentf("at %v", at.at))
	}
}

// TestFirstReportIsFull checks that an allocator takes nothing of a process that hasn't told all that it holds.
func TestFirstReportIsFull(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), nil, 0, testOverlap)
	report := fullReport("p", 1, 1, 0, 1)
	report.Full = false
	_, err := a.Handle(report, 1, testProven)
	c.Assert(err, qt.Equals, errNotFull)
	_, err = a.Handle(fullReport("p", 1, 2, 0, 1), 1, testProven)
	c.Assert(err, qt.IsNil)
	report.Incarnation = 2
	_, err = a.Handle(report, 2, testProven)
	c.Assert(err, qt.Equals, errNotFull)
}
