package proxy

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/residencyreport"
)

// residencyRecorder records attempts directly, for tests of the log.
type residencyRecorder struct{ *residencyTracker }

func (n residencyRecorder) send(tenant string, at residency.Permit, purpose sendPurpose, since, until time.Time) {
	send := &trackedSend{
		tracker: n.residencyTracker,
		subject: subject{route: "r", tenant: tenant},
		permits: []residency.Permit{at},
		purpose: purpose,
		since:   since,
	}
	n.record(send, until, true)
}

// newResidencyRecorder returns an empty log, and permits for a backend in east and one in west.
func newResidencyRecorder(c *qt.C) (recorder residencyRecorder, east, west residency.Permit) {
	p := New(c.Context(), testSettings(testZones), zap.NewNop())
	c.Cleanup(p.pool.Close)
	east, err := p.gate.Endpoint("b1", "127.0.0.1:1", "e1").Permit(residency.Within("east"))
	c.Assert(err, qt.IsNil)
	west, err = p.gate.Endpoint("b2", "127.0.0.1:1", "w1").Permit(residency.Within("west"))
	c.Assert(err, qt.IsNil)
	return residencyRecorder{p.residency}, east, west
}

// TestResidencyLogReportsChanges: batches contain changes only, and each count once, however often a report is made;
// without changes nothing is reported.
func TestResidencyLogReportsChanges(t *testing.T) {
	c := qt.New(t)
	recorder, east, west := newResidencyRecorder(c)
	at := func(s int) time.Time { return time.Unix(1_000_000+int64(s), 0) }
	out := distribution.NewResidencyOutbox()
	pending := func() []residencyreport.Batch { all, _ := out.Pending(); return all }

	recorder.report(at(0), out, false)
	c.Assert(pending(), qt.HasLen, 0)
	recorder.send("labs", east, purposePlain, at(1), at(2))
	recorder.send("labs", east, purposeDecode, at(1), at(3))
	recorder.report(at(3), out, false)
	labs := residencyreport.Pair{Tenant: "labs", Region: "east"}
	first := residencyreport.Batch{
		Process: recorder.history.process,
		N:       1,
		Entries: []residencyreport.Entry{{
			Pair:   labs,
			First:  at(1).UnixMilli(),
			Last:   at(3).UnixMilli(),
			Counts: residencyreport.Counts{Plain: 1, Decodes: 1},
		}},
	}
	c.Assert(pending(), qt.DeepEquals, []residencyreport.Batch{first})

	// Changes of a reported pair wait for batchInterval, a new pair for newPairDelay.
	recorder.send("labs", east, purposePrefill, at(3), at(4))
	recorder.report(at(4), out, false)
	c.Assert(pending(), qt.HasLen, 1)
	recorder.send("", west, purposeResume, at(3), at(4))
	recorder.report(at(3).Add(newPairDelay-1), out, false)
	c.Assert(pending(), qt.HasLen, 1)
	recorder.report(at(4), out, false)
	c.Assert(pending(), qt.HasLen, 2)
	c.Assert(pending()[1].Entries, qt.HasLen, 2)
	for _, one := range pending()[1].Entries {
		switch one.Pair {
		case labs:
			c.Check(one.Counts, qt.Equals, residencyreport.Counts{Prefills: 1})
			c.Check(one.First, qt.Equals, at(1).UnixMilli())
			c.Check(one.Last, qt.Equals, at(4).UnixMilli())
		case residencyreport.Pair{Route: "r", Region: "west"}:
			c.Check(one.Counts, qt.Equals, residencyreport.Counts{Resumes: 1})
		default:
			c.Errorf("%v", one.Pair)
		}
	}
	recorder.report(at(100), out, false)
	c.Assert(pending(), qt.HasLen, 2, qt.Commentf("nothing changed"))
	// At the end of the process the remaining changes are reported at once.
	recorder.send("labs", east, purposePlain, at(101), at(102))
	recorder.report(at(102), out, false)
	c.Assert(pending(), qt.HasLen, 3)
	recorder.send("labs", east, purposePlain, at(102), at(103))
	recorder.report(at(103), out, false)
	c.Assert(pending(), qt.HasLen, 3)
	recorder.report(at(103), out, true)
	c.Assert(pending(), qt.HasLen, 4)
}

// TestResidencyLogWaitsForAcknowledgement: without acknowledgements changes stay in the log, and all are reported once
// the outbox accepts batches again; many pairs are split into several batches.
func TestResidencyLogWaitsForAcknowledgement(t *testing.T) {
	c := qt.New(t)
	recorder, east, _ := newResidencyRecorder(c)
	now := time.Unix(1_000_000, 0)
	out := distribution.NewResidencyOutbox()
	const tenants, rounds = residencyreport.MaxBatchEntries + 44, 40
	sums := map[residencyreport.Pair]int64{}
	last := uint64(0)
	drain := func() {
		pending, _ := out.Pending()
		for _, b := range pending {
			c.Assert(b.N, qt.Equals, last+1)
			c.Assert(len(b.Entries) <= residencyreport.MaxBatchEntries, qt.IsTrue)
			for _, one := range b.Entries {
				sums[one.Pair] += one.Counts.Plain
			}
			last = b.N
		}
		out.Acknowledge(residencyreport.Ack{Process: recorder.history.process, N: last})
	}
	for range rounds {
		for i := range tenants {
			recorder.send(fmt.Sprint("t", i), east, purposePlain, now, now)
		}
		now = now.Add(batchInterval)
		recorder.report(now, out, false)
		pending, _ := out.Pending()
		c.Assert(len(pending) <= residencyreport.MaxPendingBatches, qt.IsTrue)
	}
	c.Assert(out.PendingOf(recorder.history.process), qt.Equals, residencyreport.MaxPendingBatches)
	for range 4 {
		drain()
		now = now.Add(batchInterval)
		recorder.report(now, out, false)
	}
	drain()
	c.Assert(sums, qt.HasLen, tenants)
	for p, n := range sums {
		c.Check(n, qt.Equals, int64(rounds), qt.Commentf("%v", p))
	}
}
