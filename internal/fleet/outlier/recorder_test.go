package outlier

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

func TestRecorderCounts(t *testing.T) {
	c := qt.New(t)
	r := NewRecorder()
	r.End(r.Begin("a", 100), Good)
	r.End(r.Begin("a", 100), Inconclusive)
	c.Assert(r.Adverse(), qt.IsFalse)
	r.End(r.Begin("a", 100), Failed)
	r.ObservePart("a", Slow)
	r.ObservePart("a", StreamedOnPace)
	c.Assert(r.Adverse(), qt.IsTrue)
	want := []distribution.Outcome{{Backend: "a", Attempts: 4, Failed: 1, Slow: 1, Streamed: 2}}
	c.Assert(r.Drain(), qt.DeepEquals, want)
	c.Assert(r.Adverse(), qt.IsFalse)
	c.Assert(r.Drain(), qt.IsNil)
}

// TestRecorderOverdue checks that an overdue attempt is counted before its answer arrives, and only once.
func TestRecorderOverdue(t *testing.T) {
	c := qt.New(t)
	r := NewRecorder()
	waits, begun := r.Begin("a", 100), r.Begin("a", 100)
	r.HeadersReceived(begun)
	r.CountOverdue(99)
	c.Assert(r.Drain(), qt.IsNil)
	r.CountOverdue(100)
	c.Assert(r.Drain(), qt.DeepEquals, []distribution.Outcome{{Backend: "a", Attempts: 1, Overdue: 1}})
	r.CountOverdue(200)
	r.HeadersReceived(waits)
	r.End(waits, Slow)
	r.End(begun, Good)
	r.End(begun, Failed)
	c.Assert(r.Drain(), qt.DeepEquals, []distribution.Outcome{{Backend: "a", Attempts: 1, Late: 1}})
}

// TestRecorderIsBounded checks that attempts and backends beyond the limits aren't counted.
func TestRecorderIsBounded(t *testing.T) {
	c := qt.New(t)
	r := NewRecorder()
	for i := range maxBackends + maxPending {
		r.Begin("open", 1e9)
		r.ObservePart(string(rune('a'+i%26))+string(rune(i)), Failed)
	}
	c.Assert(len(r.pending) <= maxPending, qt.IsTrue)
	c.Assert(len(r.Drain()) <= maxBackends, qt.IsTrue)
}
