package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testRule has the durations of a real deployment.
var testRule = Rule{Window: 5 * time.Second, Lease: 4 * time.Second}

// testOverlap is how long an earlier allocator may still answer; testAllKnownAt is when a new one knows all holdings.
const (
	testOverlap    = 2 * time.Second
	testAllKnownAt = testOverlap + 9*time.Second
)

// tenSlots are the limits of most tests.
func tenSlots() Limits { return Limits{"t": {Total: 10, Normal: 6}} }

// fullReport returns a full report with one tenant's slots.
func fullReport(holder string, incarnation, sequence uint64, held, wanted int) *Report {
	return &Report{
		Holder:      holder,
		Incarnation: incarnation,
		Sequence:    sequence,
		Full:        true,
		Holdings:    []Holding{{Tenant: "t", Held: held, Wanted: wanted}},
	}
}

// TestPendingLoweringBlocksRaise checks that a tenant isn't raised again while a lowering is in flight: if the lowering
// were committed after slots beyond Slots.Normal were allocated, the next allocator would allocate them a second time.
func TestPendingLoweringBlocksRaise(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	_, err := a.Handle(fullReport("p", 1, 1, 0, 0), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	lowered := a.WantedCeilings(testAllKnownAt)
	c.Assert(lowered, qt.DeepEquals, &Ceilings{Complete: true, Holders: []string{"p"}})
	grants, err := a.Handle(fullReport("p", 1, 2, 0, 6), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 6)
	c.Assert(a.WantedCeilings(testAllKnownAt).Equal(lowered), qt.IsTrue)
	grants, err = a.Handle(fullReport("p", 1, 3, 6, 4), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 0)
	a.SetCeilings(lowered)
	raised := a.WantedCeilings(testAllKnownAt)
	c.Assert(raised.Raised("t"), qt.IsTrue)
	a.SetCeilings(raised)
	grants, err = a.Handle(fullReport("p", 1, 4, 6, 4), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 4)
}

// TestLateReportOfAnEndedProcess checks that a report of an ended process that arrives after its successor's first
// report has no effect: the successor keeps its slots, and no other holder gets them until its lease and a window are
// over.
func TestLateReportOfAnEndedProcess(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	start := testAllKnownAt
	for _, report := range []struct {
		incarnation, conn uint64
		at                time.Duration
		held, wanted      int
		err               error
		granted           int
	}{
		{1, 1, 0, 0, 2, nil, 3},
		{2, 2, time.Second, 0, 7, nil, 7}, // the first one's slots are free at 6 s
		{1, 1, 2 * time.Second, 3, 2, errProcessEnded, 0},
		{1, 2, 2 * time.Second, 3, 2, errProcessEnded, 0}, // no process shares a connection with another
	} {
		grants, err := a.Handle(fullReport("p", report.incarnation, uint64(report.at)+1, report.held, report.wanted),
			report.conn, start+report.at)
		c.Assert(err, qt.Equals, report.err)
		if err == nil {
			c.Assert(grants[0].Slots, qt.Equals, report.granted)
		}
	}
	// The second process sends no more reports. It may use its slots until 5 s, and they are free a window later. One
	// search for expired holders retires them, and the next one makes them available.
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

// TestFirstReportIsFull checks that an allocator rejects a partial report of an incarnation that has sent no full one.
func TestFirstReportIsFull(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), nil, 0, testOverlap)
	report := fullReport("p", 1, 1, 0, 1)
	report.Full = false
	_, err := a.Handle(report, 1, testAllKnownAt)
	c.Assert(err, qt.Equals, errFirstReportNotFull)
	_, err = a.Handle(fullReport("p", 1, 2, 0, 1), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	report.Incarnation = 2
	_, err = a.Handle(report, 2, testAllKnownAt)
	c.Assert(err, qt.Equals, errFirstReportNotFull)
}

// TestAllocator sends sequences of full reports, each on a connection of its own, and checks the grants.
func TestAllocator(t *testing.T) {
	type step struct {
		at            time.Duration
		holder        string
		incarnation   uint64
		held, wanted  int
		slots, excess int // granted, and surplus
	}
	const sec, proven = time.Second, testAllKnownAt
	all, none := &Ceilings{All: true}, (*Ceilings)(nil)
	for _, test := range []struct {
		name     string
		ceilings *Ceilings
		steps    []step
	}{
		{"wanted slots and one in advance", all, []step{{proven, "p", 1, 0, 2, 3, 0}}},
		{"nothing in advance if nothing is wanted", all, []step{{proven, "p", 1, 0, 0, 0, 0}}},
		{"no more than the total", all, []step{
			{proven, "p", 1, 0, 7, 8, 0},
			{proven, "q", 2, 0, 7, 2, 0},
			{proven, "q", 2, 2, 7, 0, 0},
		}},
		{"no more than normal without raised ceilings", none, []step{{proven, "p", 1, 0, 10, 6, 0}}},
		{"returned slots are granted to others", all, []step{
			{proven, "p", 1, 0, 10, 10, 0},
			{proven, "p", 1, 4, 0, 0, 0},
			{proven, "q", 2, 0, 6, 6, 0},
		}},
		{"slots of a silent holder are free after lease and window", all, []step{
			{proven, "p", 1, 0, 10, 10, 0},
			{proven + 9*sec, "q", 2, 0, 5, 0, 0},
			{proven + 9*sec + 200*time.Millisecond, "q", 2, 0, 5, 0, 0}, // found, and counted from the next search
			{proven + 9*sec + 400*time.Millisecond, "q", 2, 0, 5, 6, 0},
		}},
		{"slots of a former incarnation are free after a window", all, []step{
			{proven, "p", 1, 0, 10, 10, 0},
			{proven + sec, "p", 2, 0, 5, 0, 0},
			{proven + 6*sec, "p", 2, 0, 5, 0, 0},
			{proven + 6*sec + 100*time.Millisecond, "p", 2, 0, 5, 6, 0},
		}},
		{"before all is known, nothing if all may be allocated", all, []step{
			{0, "p", 1, 0, 5, 0, 0},
			{proven - 1, "p", 1, 0, 5, 0, 0},
			{proven, "p", 1, 0, 5, 6, 0},
		}},
		{"before all is known, nothing beyond the ceilings", none, []step{{0, "p", 1, 0, 5, 0, 0}}},
		{"before all is known, returned slots", all, []step{
			{0, "p", 1, 4, 0, 0, 0},
			{sec, "p", 1, 1, 0, 0, 0},
			{sec, "q", 2, 0, 5, 3, 0},
		}},
		{"before all is known, slots of a silent holder", all, []step{
			{0, "p", 1, 4, 0, 0, 0},
			{10 * sec, "q", 2, 0, 5, 0, 0},
			{10*sec + 100*time.Millisecond, "q", 2, 0, 5, 4, 0},
		}},
		{"more slots held than the total", all, []step{
			{proven, "p", 1, 12, 0, 0, 2},
			{proven, "q", 2, 4, 1, 0, 2},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := NewAllocator(testRule, tenSlots(), test.ceilings, 0, testOverlap)
			for i, s := range test.steps {
				number := uint64(i) + 1
				grants, err := a.Handle(fullReport(s.holder, s.incarnation, number, s.held, s.wanted), number, s.at)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, grants, qt.HasLen, 1)
				qt.Check(t, []int{grants[0].Slots, grants[0].Surplus}, qt.DeepEquals, []int{s.slots, s.excess},
					qt.Commentf("step %d", i))
			}
		})
	}
}

// TestAllocatorCeilings checks when an allocator and its successor allocate slots beyond Slots.Normal.
func TestAllocatorCeilings(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), nil, 0, testOverlap)
	sequence := uint64(0)
	want := func(now time.Duration, held, wanted, granted int) {
		c.Helper()
		sequence++
		grants, err := a.Handle(fullReport("p", 1, sequence, held, wanted), 1, now)
		c.Assert(err, qt.IsNil)
		c.Assert(grants[0].Slots, qt.Equals, granted)
	}
	want(0, 0, 3, 0)
	c.Assert(a.WantedCeilings(0), qt.DeepEquals, &Ceilings{All: true})
	want(0, 0, 3, 0) // not committed yet
	a.SetCeilings(&Ceilings{All: true})
	want(0, 0, 5, 4) // earlier allocators may have allocated 6 of 10
	want(0, 4, 3, 0)
	want(8*time.Second, 4, 0, 0)
	named := []string{"p"}
	lowered := &Ceilings{Complete: true, Holders: named}
	c.Assert(a.WantedCeilings(testAllKnownAt), qt.DeepEquals, lowered)
	want(testAllKnownAt, 4, 6, 2) // lowered from the proposal on
	a.SetCeilings(lowered)
	raised := a.WantedCeilings(testAllKnownAt)
	c.Assert(raised, qt.DeepEquals, &Ceilings{Tenants: []string{"t"}, Complete: true, Holders: named})
	want(testAllKnownAt, 6, 4, 0)
	a.SetCeilings(raised)
	want(testAllKnownAt, 6, 4, 4)
	want(testAllKnownAt, 4, 0, 0)
	c.Assert(a.WantedCeilings(testAllKnownAt), qt.DeepEquals, raised) // of 6
	want(testAllKnownAt, 3, 0, 0)
	for at := time.Duration(0); at <= raisedFor; at += time.Second {
		want(testAllKnownAt+at, 3, 0, 0)
		c.Assert(a.WantedCeilings(testAllKnownAt+at), qt.DeepEquals, raised)
	}
	want(testAllKnownAt+raisedFor+time.Second, 3, 0, 0)
	c.Assert(a.WantedCeilings(testAllKnownAt+raisedFor+time.Second), qt.DeepEquals, lowered)

	// The next allocator assumes that all slots of the tenants raised at its start are held, and 6 slots of others.
	limits := Limits{"t": {Total: 10, Normal: 6}, "u": {Total: 10, Normal: 6}}
	next := NewAllocator(testRule, limits, raised, 0, testOverlap)
	all := next.WantedCeilings(0)
	c.Assert(all, qt.DeepEquals, &Ceilings{All: true, Complete: true, Holders: named})
	next.SetCeilings(all)
	grants, err := next.Handle(&Report{Holder: "p", Incarnation: 1, Sequence: 1, Full: true, Holdings: []Holding{
		{Tenant: "t", Wanted: 9}, {Tenant: "u", Wanted: 9},
	}}, 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert([]int{grants[0].Slots, grants[1].Slots}, qt.DeepEquals, []int{0, 4})
}

// TestLateReport checks that a report with a lower sequence number than the last one processed changes nothing.
func TestLateReport(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	_, err := a.Handle(fullReport("p", 1, 5, 0, 10), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	for _, sequence := range []uint64{4, 5} {
		grants, err := a.Handle(fullReport("p", 1, sequence, 0, 0), 1, testAllKnownAt)
		c.Assert(err, qt.IsNil)
		c.Assert(grants, qt.IsNil)
	}
	grants, err := a.Handle(fullReport("q", 2, 1, 0, 10), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants[0].Slots, qt.Equals, 0)
	for _, bad := range []*Report{
		fullReport("", 1, 1, 0, 0),
		fullReport("p", 0, 1, 0, 0),
		fullReport("p", 1, 9, -1, 0),
		fullReport("p", 1, 9, 0, -1),
	} {
		_, err := a.Handle(bad, 1, testAllKnownAt)
		c.Check(err, qt.Equals, errInvalidReport)
	}
}

// TestFullReportReleasesUnnamedTenants checks that a full report returns the slots of tenants that it doesn't name, and
// that a partial one doesn't.
func TestFullReportReleasesUnnamedTenants(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	_, err := a.Handle(fullReport("p", 1, 1, 0, 10), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	for i, step := range []struct {
		full    bool
		granted int
	}{{false, 0}, {true, 10}} {
		sequence := uint64(i) + 2
		_, err := a.Handle(&Report{Holder: "p", Incarnation: 1, Sequence: sequence, Full: step.full}, 1, testAllKnownAt)
		c.Assert(err, qt.IsNil)
		grants, err := a.Handle(fullReport("q", 2, sequence, 0, 10), 2, testAllKnownAt)
		c.Assert(err, qt.IsNil)
		c.Assert(grants[0].Slots, qt.Equals, step.granted)
	}
}

// TestLimitsLowered checks that holders give up the slots above a lowered limit, and that a tenant whose limit was
// removed has none.
func TestLimitsLowered(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	_, err := a.Handle(fullReport("p", 1, 1, 6, 0), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	_, err = a.Handle(fullReport("q", 2, 1, 4, 0), 2, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	a.SetLimits(Limits{"t": {Total: 5, Normal: 3}})
	grants, err := a.Handle(fullReport("p", 1, 2, 6, 3), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants, qt.DeepEquals, []Grant{{Tenant: "t", Surplus: 3}})
	a.SetLimits(Limits{})
	grants, err = a.Handle(fullReport("p", 1, 3, 6, 3), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(grants, qt.HasLen, 0)
}

// TestSmallQuotas checks that all slots of a tenant can be allocated, however few there are.
func TestSmallQuotas(t *testing.T) {
	for total := 1; total <= 40; total++ {
		limits := Limits{"t": {Total: total, Normal: int(normalShare * float64(total))}}
		a := NewAllocator(testRule, limits, nil, 0, testOverlap)
		held := 0
		for i := range 10 {
			a.SetCeilings(a.WantedCeilings(testAllKnownAt))
			grants, err := a.Handle(fullReport("p", 1, uint64(i)+1, held, total-held), 1, testAllKnownAt)
			qt.Assert(t, err, qt.IsNil)
			held += grants[0].Slots
		}
		qt.Check(t, held, qt.Equals, total)
	}
}

// TestAllSlotsKnownOnceHoldersReport checks that a new allocator knows all slots once the holders named in the record
// have reported and a window has passed since the youngest of them started; and that other holders get no slots.
func TestAllSlotsKnownOnceHoldersReport(t *testing.T) {
	const sec = time.Second
	for _, test := range []struct {
		name      string
		uptimesMs []int64 // of p and q; a holder without an entry doesn't report
		known     time.Duration
	}{
		{"both have long uptimes", []int64{9000, 60_000}, 0},
		{"one was restarted 2 s ago", []int64{9000, 2000}, testRule.Window - 2*sec},
		{"one does not report", []int64{9000}, testAllKnownAt},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			inherited := &Ceilings{Tenants: []string{"t"}, Complete: true, Holders: []string{"p", "q"}}
			a := NewAllocator(testRule, tenSlots(), inherited, 0, testOverlap)
			a.SetCeilings(a.WantedCeilings(0))
			sequence := uint64(0)
			ask := func(holder string, uptimeMs int64, now time.Duration, wanted int) int {
				sequence++
				report := fullReport(holder, 1, sequence, 0, wanted)
				report.UptimeMs = uptimeMs
				grants, err := a.Handle(report, 1, now)
				c.Assert(err, qt.IsNil)
				return grants[0].Slots
			}
			for i, uptime := range test.uptimesMs {
				ask([]string{"p", "q"}[i], uptime, 0, 0)
			}
			c.Assert(ask("stranger", 60_000, 0, 1), qt.Equals, 0)
			if test.known > 0 {
				c.Assert(ask("p", 0, test.known-1, 1), qt.Equals, 0)
			}
			c.Assert(ask("p", 0, test.known, 1) > 0, qt.IsTrue)
			ceilings := a.WantedCeilings(test.known)
			c.Assert(ceilings.Complete, qt.IsTrue)
		})
	}
}

// TestExpiredHoldersLeaveCeilings checks that a stopped proxy is removed from the ceilings, so that later allocators
// don't wait for its report.
func TestExpiredHoldersLeaveCeilings(t *testing.T) {
	c := qt.New(t)
	ceilings := &Ceilings{Complete: true, Holders: []string{"dead", "p"}}
	a := NewAllocator(testRule, tenSlots(), ceilings, 0, testOverlap)
	_, err := a.Handle(fullReport("p", 1, 1, 0, 0), 1, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(a.WantedCeilings(testAllKnownAt-1).Holders, qt.DeepEquals, ceilings.Holders)
	a.SetCeilings(a.WantedCeilings(testAllKnownAt - 1))
	_, err = a.Handle(fullReport("p", 1, 2, 0, 0), 1, testAllKnownAt)
	c.Assert(err, qt.IsNil)
	c.Assert(a.WantedCeilings(testAllKnownAt).Holders, qt.DeepEquals, []string{"p"})
}
