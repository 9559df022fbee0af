package residencyreport

import (
	"strings"
	"testing"

	"molepaddle/internal/rig/mutant"
)

const (
	readings = "^TestGaugeIsOrderFree$"
	ways     = "^TestRelay"
)

var faults = []mutant.Mutant{
	{Name: "what is taken counts again", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"if b.N <= taken {", "if b.N < taken {"}},
	{Name: "a reading counts again after a restart", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"Processes: g.progresses(), ", ""}},
	{Name: "the latest first time", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"min(e.First, o.First)", "max(e.First, o.First)"}},
	{Name: "the earliest last time", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"max(e.Last, o.Last)", "min(e.Last, o.Last)"}},
	{Name: "one kind of sends is left out", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"c.Resumes += o.Resumes", ""}},
	{Name: "a gauge is changed in place", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"maps.Clone(g.pairs)", "g.pairs"}},
	{Name: "routes count as tenants do", Dir: ".", Run: readings, File: "gauge.go", Texts: []string{"put(pairs, e, MaxPairs)", "e.Pair.Tenant += e.Pair.Route\n\t\t\te.Pair.Route = \"\"\n\t\t\tput(pairs, e, MaxPairs)"}},
	{Name: "a forgotten process counts again", Dir: ".", Run: "^TestForgotten", File: "gauge.go", Texts: []string{"lost[b.Process] = taken == 0 && b.N > 1", "lost[b.Process] = false"}},
	{Name: "nobody is forgotten", Dir: ".", Run: "^TestGaugeIsBounded$", File: "gauge.go", Texts: []string{"next.forget(MaxProcesses)", ""}},
	{Name: "what there is no room for is dropped", Dir: ".", Run: "^TestGaugeIsBounded$", File: "gauge.go", Texts: []string{"e.Pair = Pair{}\n", "return\n"}},
	{Name: "the first is let go before it is kept", Dir: ".", Run: ways, File: "relay.go", Texts: []string{"r.Keep(Kept{b.Process, b.N - 1})", "r.Keep(Kept{b.Process, b.N})"}},
	{Name: "a batch is let go with the one before", Dir: ".", Run: ways, File: "relay.go", Texts: []string{"held[n].N <= k.N", "held[n].N <= k.N+1"}},
	{Name: "a gap is taken", Dir: ".", Run: ways, File: "relay.go", Texts: []string{"b.N != last+1 || n >= MaxOpen", "n >= MaxOpen"}},
	{Name: "a refused batch is passed by", Dir: ".", Run: ways, File: "relay.go", Texts: []string{"if at.refused > 0 && b.N > at.refused {", "if false {"}},
	{Name: "what was lost on the way is not sent again", Dir: ".", Run: ways, File: "relay.go", Texts: []string{"if s.sent == nil || now.Sub(s.since) >= againAfter {", "if s.sent == nil {"}},
	{Name: "a batch counts from the start each time", Dir: "../proxy", Run: "^TestLedger", File: "../proxy/ledger.go", Texts: []string{"d[i] -= r.given[i]", "d[i] -= 0 * r.given[i]"}},
	{Name: "what found no room is not told any more", Dir: "../proxy", Run: "^TestLedger", File: "../proxy/ledger.go", Texts: []string{"l.changed, l.fresh = more, more", "l.changed, l.fresh = more && false, false"}},
	{Name: "the report is not in the record's snapshot", Dir: "../controlplane", Run: "^TestRecord", File: "../controlplane/record.go", Texts: []string{"s := Stored{Rested: r.rested.Snapshot()}", "s := Stored{}"}},
	{Name: "a reading counts as a configuration", Dir: "../controlplane", Run: "^TestRecord", File: "../controlplane/record.go", Texts: []string{"s.DocumentSeq = r.docSeq", ""}},
	{Name: "what was not confirmed is let go", Dir: "../controlplane", Run: "^TestReadings", File: "../controlplane/rested.go", Texts: []string{"b.N <= settled.rested.Kept(b.Process) {\n\t\t\tkept", "b.N > 0 {\n\t\t\tkept"}},
}

// TestPlantedFaults plants each fault in turn, by the compiler's overlay: nothing in the tree is changed.
func TestPlantedFaults(t *testing.T) {
	for _, one := range faults {
		t.Run(strings.ReplaceAll(one.Name, " ", "_"), func(t *testing.T) {
			var args []string
			if one.Dir == "." {
				args = []string{"-rapid.nofailfile", "-rapid.shrinktime=0s", "-rapid.checks=1000"}
			}
			one.Test(t, args...)
		})
	}
}
