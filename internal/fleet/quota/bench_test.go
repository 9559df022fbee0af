package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Sizes of a large fleet.
const (
	benchHolders = 2500
	benchTenants = 1900
)

// benchLimits returns the tenants and limits of a large fleet in which each tenant has many slots.
func benchLimits() (names []string, limits Limits) {
	limits = Limits{}
	for i := range benchTenants {
		names = append(names, fmt.Sprintf("tenant-%04d", i))
		limits[names[i]] = Slots{Total: 5000, Normal: 3000}
	}
	return names, limits
}

// benchReport returns a report of a holder that has slots of the given number of tenants.
func benchReport(names []string, holder, tenants int) *Report {
	report := &Report{
		Holder:      fmt.Sprintf("edge-%04d", holder),
		Incarnation: uint64(holder)<<32 | 1<<60 | 1,
		Epoch:       12,
		Full:        true,
	}
	for i := range tenants {
		tenant := names[(holder*7+i*61)%len(names)]
		report.Holdings = append(report.Holdings, Holding{Tenant: tenant, Held: 3, Wanted: i % 2})
	}
	return report
}

// BenchmarkHandle measures how long an allocator takes to process a full report of 30 tenants, and a report that
// requests one slot, in a fleet of 2,500 holders and 1,900 tenants.
func BenchmarkHandle(b *testing.B) {
	names, limits := benchLimits()
	for _, full := range []bool{true, false} {
		b.Run(map[bool]string{true: "full", false: "one slot"}[full], func(b *testing.B) {
			a := NewAllocator(testRule, limits, &Ceilings{All: true}, 0, testOverlap)
			reports := make([]*Report, benchHolders)
			now := testAllKnownAt
			for i := range reports {
				reports[i] = benchReport(names, i, 30)
				reports[i].Sequence = 1
				if _, err := a.Handle(reports[i], 1, now); err != nil {
					b.Fatal(err)
				}
				if !full {
					reports[i].Full, reports[i].Holdings = false, reports[i].Holdings[1:2]
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				report := reports[i%benchHolders]
				report.Sequence++
				now += 400 * time.Microsecond // 2,500 a second
				if _, err := a.Handle(report, 1, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// benchHolder returns a holder with the given number of slots of each tenant, in steady use.
func benchHolder(slots int) (h *Holder, names []string) {
	names, limits := benchLimits()
	h = NewHolder(testRule, "p", 1)
	h.SetLimits(limits, 0)
	var grants []Grant
	for _, name := range names {
		grants = append(grants, Grant{Tenant: name, Slots: slots})
	}
	h.Apply(&Answer{Grants: grants}, 0, 0)
	return h, names
}

// BenchmarkAcquire measures how long a holder takes to admit a request, for 1,900 tenants in turn and for one tenant
// with 5,000 slots.
func BenchmarkAcquire(b *testing.B) {
	for _, test := range []struct {
		name    string
		tenants int
		slots   int
	}{{"1900 tenants", benchTenants, 4}, {"one tenant", 1, 5000}} {
		b.Run(test.name, func(b *testing.B) {
			h, names := benchHolder(test.slots)
			names = names[:test.tenants]
			step := testRule.Window/time.Duration(test.tenants*test.slots) + 1
			now := time.Duration(0)
			acquire := func(i int) {
				now += step
				h.usableUntil = now + testRule.Lease
				if h.Acquire(names[i%len(names)], now) != Admitted {
					b.Fatal("not admitted")
				}
			}
			for i := range 3 * test.tenants * test.slots {
				acquire(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				acquire(i)
			}
		})
	}
}

// TestAcquireAllocatesNothing checks that taking a free slot allocates no memory once its tenant has been seen.
func TestAcquireAllocatesNothing(t *testing.T) {
	h, names := benchHolder(4)
	now := time.Duration(0)
	acquire := func() {
		now += testRule.Window/4 + 1
		h.usableUntil = now + testRule.Lease
		qt.Assert(t, h.Acquire(names[0], now) == Admitted, qt.IsTrue)
	}
	for range 12 {
		acquire()
	}
	qt.Assert(t, testing.AllocsPerRun(200, func() {
		now += testRule.Window/4 + 1
		h.usableUntil = now + testRule.Lease
		h.Acquire(names[0], now)
	}), qt.Equals, 0.0)
}

// TestReportSize checks the encoded sizes of a typical report and its answer.
func TestReportSize(t *testing.T) {
	names, limits := benchLimits()
	a := NewAllocator(testRule, limits, &Ceilings{All: true}, 0, testOverlap)
	for _, test := range []struct {
		tenants, most int
	}{{0, 60}, {1, 100}, {10, 400}, {30, 1000}} {
		report := benchReport(names, 1, test.tenants)
		report.Sequence = uint64(test.tenants) + 1
		grants, err := a.Handle(report, 1, testAllKnownAt)
		qt.Assert(t, err, qt.IsNil)
		sent, err := report.MarshalMsg(nil)
		qt.Assert(t, err, qt.IsNil)
		answer, err := (&Answer{Epoch: 12, Sequence: report.Sequence, Grants: grants}).MarshalMsg(nil)
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d tenants: report %d bytes, answer %d bytes", test.tenants, len(sent), len(answer))
		qt.Check(t, len(sent) <= test.most && len(answer) <= test.most, qt.IsTrue)
	}
}
