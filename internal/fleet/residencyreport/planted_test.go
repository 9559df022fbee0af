package residencyreport

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const (
	readings = "^TestGaugeIsOrderFree$"
	ways     = "^TestRelay"
)

var faults = []plantedfault.Fault{
	{Name: "what is taken counts again", Tests: readings, Texts: []string{"if b.N <= taken {", "if b.N < taken {"}},
	{Name: "a reading counts again after a restart", Tests: readings, Texts: []string{"Processes: t.progresses(), ", ""}},
	{Name: "the latest first time", Tests: readings, Texts: []string{"min(e.First, o.First)", "max(e.First, o.First)"}},
	{Name: "the earliest last time", Tests: readings, Texts: []string{"max(e.Last, o.Last)", "min(e.Last, o.Last)"}},
	{Name: "one kind of sends is left out", Tests: readings, Texts: []string{"c.Resumes += o.Resumes", ""}},
	{Name: "a gauge is changed in place", Tests: readings, Texts: []string{"maps.Clone(t.pairs)", "t.pairs"}},
	{Name: "routes count as tenants do", Tests: readings, Texts: []string{"mergeBounded(pairs, e, MaxPairs)", "e.Pair.Tenant += e.Pair.Route\n\t\t\te.Pair.Route = \"\"\n\t\t\tmergeBounded(pairs, e, MaxPairs)"}},
	{Name: "a forgotten process counts again", Tests: "^TestForgotten", Texts: []string{"lost[b.Process] = taken == 0 && b.N > 1", "lost[b.Process] = false"}},
	{Name: "nobody is forgotten", Tests: "^TestGaugeIsBounded$", Texts: []string{"next.evictProcesses(MaxProcesses)", ""}},
	{Name: "what there is no room for is dropped", Tests: "^TestGaugeIsBounded$", Texts: []string{"e.Pair = Pair{}\n", "return\n"}},
	{Name: "the first is let go before it is kept", Tests: ways, Texts: []string{"r.Acknowledge(Ack{b.Process, b.N - 1})", "r.Acknowledge(Ack{b.Process, b.N})"}},
	{Name: "a batch is let go with the one before", Tests: ways, Texts: []string{"held[n].N <= k.N", "held[n].N <= k.N+1"}},
	{Name: "a gap is taken", Tests: ways, Texts: []string{"b.N != last+1 || n >= MaxPendingBatches", "n >= MaxPendingBatches"}},
	{Name: "a refused batch is passed by", Tests: ways, Texts: []string{"if at.refused > 0 && b.N > at.refused {", "if false {"}},
	{Name: "what was lost on the way is not sent again", Tests: ways, Texts: []string{"if s.sent == nil || now.Sub(s.since) >= resendAfter {", "if s.sent == nil {"}},
	{Name: "a batch counts from the start each time", Dir: "../proxy", Tests: "^TestResidencyLog", Texts: []string{"d[i] -= other[i]", "d[i] -= 0 * other[i]"}},
	{Name: "what found no room is not told any more", Dir: "../proxy", Tests: "^TestResidencyLog", Texts: []string{"l.changed, l.newPair = more, more", "l.changed, l.newPair = more && false, false"}},
	{Name: "the report is not in the record's snapshot", Dir: "../controlplane", Tests: "^TestRecord", Texts: []string{"s := StoredState{Rested: r.residency.Snapshot()}", "s := StoredState{}"}},
	{Name: "a reading counts as a configuration", Dir: "../controlplane", Tests: "^TestRecord", Texts: []string{"s.DocumentSeq = r.docSeq", ""}},
	{Name: "what was not confirmed is let go", Dir: "../controlplane", Tests: "^TestReadings", Texts: []string{"b.N <= settled.residency.AckedUpTo(b.Process) {\n\t\t\tkept", "b.N > 0 {\n\t\t\tkept"}},
}

// TestPlantedFaults plants each fault in turn; the tests named have to find it.
func TestPlantedFaults(t *testing.T) {
	for i := range faults {
		if faults[i].Dir == "" {
			faults[i].Args = []string{"-rapid.nofailfile", "-rapid.shrinktime=0s", "-rapid.checks=1000"}
		}
	}
	plantedfault.Find(t, faults)
}
