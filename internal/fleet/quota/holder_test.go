package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// acquireAll takes slots until none is admitted, and returns how many were.
func acquireAll(h *Holder, now time.Duration) int {
	n := 0
	for h.Acquire("t", now) == Admitted {
		n++
	}
	return n
}

// TestSlotsGivenUpAfterLeaseLapses checks that slots held when the lease lapsed are not used again: they may have been
// allocated to other holders while a report that lists them is still in flight.
func TestSlotsGivenUpAfterLeaseLapses(t *testing.T) {
	c := qt.New(t)
	a := NewAllocator(testRule, tenSlots(), &Ceilings{All: true}, 0, testOverlap)
	silent, other := NewHolder(testRule, "p", 1), NewHolder(testRule, "q", 2)
	exchange := func(h *Holder, conn uint64, sentAt, handledAt, takenAt time.Duration, wanted int) {
		h.AddWaiting("t", wanted)
		report := h.NextReport(sentAt, true)
		grants, err := a.Handle(report, conn, handledAt)
		c.Assert(err, qt.IsNil)
		h.Apply(&Answer{Grants: grants}, sentAt, takenAt)
		h.AddWaiting("t", -wanted)
	}
	ms := func(n int) time.Duration { return testAllKnownAt + time.Duration(n)*time.Millisecond }
	for _, h := range []*Holder{silent, other} {
		h.SetLimits(tenSlots(), 0)
		c.Assert(h.BeginReports(1), qt.IsTrue)
	}
	exchange(silent, 1, ms(0), ms(0), ms(0), 10)
	c.Assert(acquireAll(silent, ms(3900)), qt.Equals, 10)
	// The next report is built shortly before the slots are allocated to others, and arrives shortly after.
	exchange(other, 2, ms(9050), ms(9050), ms(9050), 10)
	report := silent.NextReport(ms(8850), true)
	exchange(other, 2, ms(9200), ms(9200), ms(9200), 10)
	c.Assert(acquireAll(other, ms(9200)), qt.Equals, 10)
	grants, err := a.Handle(report, 3, ms(9250))
	c.Assert(err, qt.IsNil)
	silent.Apply(&Answer{Grants: grants}, ms(8850), ms(9300))
	c.Assert(acquireAll(silent, ms(9300)), qt.Equals, 0)
	exchange(silent, 3, ms(9400), ms(9400), ms(9400), 10)
	c.Assert(acquireAll(silent, ms(9400)), qt.Equals, 0)
}

// TestGrantBesideSlotsToBeGivenUp checks that newly granted slots can be used while slots that were held when a lease
// lapsed are not free yet.
func TestGrantBesideSlotsToBeGivenUp(t *testing.T) {
	c := qt.New(t)
	h := NewHolder(testRule, "p", 1)
	h.SetLimits(tenSlots(), 0)
	h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: 4, Spare: 4}}}, 0, 0)
	c.Assert(h.Acquire("t", 3*time.Second), qt.Equals, Admitted)
	lapsed := testRule.Lease + testRule.Window/2
	c.Assert(h.NextReport(lapsed-1, false).Holdings, qt.HasLen, 0)
	c.Assert(h.holdings["t"].total(), qt.Equals, 4) // slots are given up from time lapsed on
	report := h.NextReport(lapsed, true)
	c.Assert(report.Holdings, qt.DeepEquals, []Holding{{Tenant: "t", Held: 1}}) // the free ones are returned
	h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: 2, Spare: 4}}}, lapsed, lapsed)
	c.Assert(acquireAll(h, 7*time.Second), qt.Equals, 2)
	c.Assert(acquireAll(h, 10*time.Second), qt.Equals, 0)
	h.Apply(&Answer{}, 10*time.Second, 10*time.Second)
	c.Assert(acquireAll(h, 12*time.Second+1), qt.Equals, 2)
}

// TestWaitersAfterReportAreNotDenied checks that requests that start to wait after a report was built don't turn its
// answer into a denial.
func TestWaitersAfterReportAreNotDenied(t *testing.T) {
	c := qt.New(t)
	h := NewHolder(testRule, "p", 1)
	h.SetLimits(tenSlots(), 0)
	h.Apply(&Answer{}, 0, 0)
	h.AddWaiting("t", 1)
	h.NextReport(1, false)
	h.AddWaiting("t", 3)
	h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: 1}}}, 1, 2)
	c.Assert(h.Acquire("t", 2), qt.Equals, Admitted)
	c.Assert(h.Acquire("t", 2), qt.Equals, NeedsSlots)
	h.NextReport(3, false)
	h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: 1}}}, 3, 4)
	c.Assert(h.Acquire("t", 4), qt.Equals, Admitted)
	c.Assert(h.Acquire("t", 4), qt.Equals, OverQuota) // 4 were asked for
	c.Assert(h.Acquire("t", 4+denialPause), qt.Equals, NeedsSlots)
}

// leasedHolder returns a holder with slots of tenant t and a lease that starts at 0.
func leasedHolder(slots int) *Holder {
	h := NewHolder(testRule, "p", 1)
	h.SetLimits(tenSlots(), 0)
	h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: slots, Spare: slots}}}, 0, 0)
	return h
}

// TestHolder runs sequences of steps on a holder and checks the verdicts after each.
func TestHolder(t *testing.T) {
	const window, lease = 5 * time.Second, 4 * time.Second
	renew := func(at time.Duration) func(h *Holder) {
		return func(h *Holder) { h.Apply(&Answer{}, at, at) }
	}
	report := func(at time.Duration) func(h *Holder) { return func(h *Holder) { h.NextReport(at, true) } }
	lower := func(at time.Duration) func(h *Holder) {
		return func(h *Holder) { h.SetLimits(Limits{"t": {Total: 5, Normal: 3}}, at) }
	}
	surplus := func(h *Holder) { h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Surplus: 2}}}, 2, 2) }
	type step struct {
		do   func(h *Holder)
		at   time.Duration
		want []Verdict // of requests at that time
	}
	const yes, none, lapsed = Admitted, NeedsSlots, LeaseLapsed
	for _, test := range []struct {
		name  string
		slots int
		steps []step
	}{
		{"no more than its slots", 2, []step{{nil, 1, []Verdict{yes, yes, none, none}}}},
		{"free strictly after a window", 1, []step{
			{nil, 1, []Verdict{yes}},
			{renew(lease), window + 1, []Verdict{none}},
			{nil, window + 2, []Verdict{yes, none}},
		}},
		{"a lease lapses", 1, []step{
			{nil, lease, []Verdict{lapsed}},
			{renew(lease), lease, []Verdict{yes}},
		}},
		{"a lease counts from the report", 1, []step{
			{func(h *Holder) { h.Apply(&Answer{}, 100, 200) }, lease + 99, []Verdict{yes}},
			{nil, lease + 100, []Verdict{lapsed}},
		}},
		{"an earlier answer doesn't shorten it", 1, []step{
			{renew(100), 100, nil},
			{renew(50), lease + 99, []Verdict{yes}},
		}},
		{"a released slot is free", 1, []step{
			{nil, 1, []Verdict{yes, none}},
			{func(h *Holder) { h.Release("t", 1) }, 2, []Verdict{yes, none}},
			{func(h *Holder) { h.Release("t", 1) }, 2, []Verdict{none}}, // it isn't taken
			{func(h *Holder) { h.Release("other", 2) }, 2, []Verdict{none}},
		}},
		{"free slots are returned, used ones aren't", 6, []step{
			{nil, 1, []Verdict{yes, yes}},
			{report(2), 2, []Verdict{yes, yes, none}}, // one and half as many as are used may be kept
			{renew(lease), window + 3, []Verdict{yes, yes, yes, yes, none}},
		}},
		{"all slots are returned after a window", 6, []step{
			{nil, 1, []Verdict{yes}},
			{renew(lease), lease, nil},
			{report(window + 2), window + 2, []Verdict{none}},
		}},
		{"a lower limit takes the same fraction of each holder", 8, []step{
			{lower(0), 1, []Verdict{yes, yes, yes, yes, none}},
		}},
		{"a lower limit takes used ones as they become free", 8, []step{
			{nil, 1, []Verdict{yes, yes, yes, yes, yes, yes, yes, yes, none}},
			{lower(2), 2, []Verdict{none}},
			{renew(lease), window + 2, []Verdict{yes, yes, yes, yes, none}},
		}},
		{"a higher limit adds no slots", 2, []step{
			{func(h *Holder) { h.SetLimits(Limits{"t": {Total: 50, Normal: 30}}, 0) }, 1, []Verdict{yes, yes, none}},
		}},
		{"a removed limit takes all slots", 2, []step{
			{func(h *Holder) { h.SetLimits(Limits{}, 0); h.SetLimits(tenSlots(), 0) }, 1, []Verdict{none}},
		}},
		{"surplus", 4, []step{
			{nil, 1, []Verdict{yes, yes, yes}},
			{surplus, 2, []Verdict{none}},
			{renew(lease), window + 2, []Verdict{yes, yes, none}},
		}},
		{"a grant without a limit is ignored", 0, []step{
			{func(h *Holder) {
				h.SetLimits(Limits{}, 0)
				h.Apply(&Answer{Grants: []Grant{{Tenant: "t", Slots: 2}}}, 0, 0)
				h.SetLimits(tenSlots(), 0)
			}, 1, []Verdict{none}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := leasedHolder(test.slots)
			for i, s := range test.steps {
				if s.do != nil {
					s.do(h)
				}
				for j, want := range s.want {
					qt.Assert(t, h.Acquire("t", s.at), qt.Equals, want, qt.Commentf("step %d, request %d", i, j))
				}
			}
		})
	}
}

// TestBeginReports checks that an allocator of an earlier epoch is not reported to.
func TestBeginReports(t *testing.T) {
	c := qt.New(t)
	h := NewHolder(testRule, "p", 7)
	for _, step := range []struct {
		epoch uint64
		want  bool
	}{{0, false}, {3, true}, {3, true}, {2, false}, {4, true}, {3, false}} {
		c.Check(h.BeginReports(step.epoch), qt.Equals, step.want, qt.Commentf("epoch %d", step.epoch))
	}
	h.SetLimits(tenSlots(), 0)
	c.Assert(h.Acquire("t", 0), qt.Equals, LeaseLapsed) // no allocator has answered yet
	c.Assert(h.NextReport(0, true), qt.DeepEquals, &Report{
		Holder: "p", Incarnation: 7, Sequence: 1, Epoch: 4, Full: true,
	})
	h.AddWaiting("t", 2)
	c.Assert(h.NextReport(0, false), qt.DeepEquals, &Report{
		Holder: "p", Incarnation: 7, Sequence: 2, Epoch: 4, Holdings: []Holding{{Tenant: "t", Wanted: 2}},
	})
}
