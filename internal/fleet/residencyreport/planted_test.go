package residencyreport

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const (
	totals = "^TestTotalsAreOrderFree$"
	relays = "^TestRelay"
)

var faults = []plantedfault.Fault{
	{
		Name:  "an applied batch counts again",
		Tests: totals,
		Texts: []string{"if b.N <= acked {", "if b.N < acked {"},
	},
	{
		Name:  "an update counts again after a restart",
		Tests: totals,
		Texts: []string{"\t\tProcesses: t.progresses(),\n", ""},
	},
	{
		Name:  "the latest first time",
		Tests: totals,
		Texts: []string{"min(e.First, o.First)", "max(e.First, o.First)"},
	},
	{
		Name:  "the earliest last time",
		Tests: totals,
		Texts: []string{"max(e.Last, o.Last)", "min(e.Last, o.Last)"},
	},
	{
		Name:  "one kind of send is not counted",
		Tests: totals,
		Texts: []string{"c.Resumes += o.Resumes", ""},
	},
	{
		Name:  "totals are changed in place",
		Tests: totals,
		Texts: []string{"maps.Clone(t.pairs)", "t.pairs"},
	},
	{
		Name:  "routes count as tenants do",
		Tests: totals,
		Texts: []string{"mergeBounded(pairs, e, MaxPairs)",
			"e.Pair.Tenant += e.Pair.Route\n\t\t\te.Pair.Route = \"\"\n\t\t\tmergeBounded(pairs, e, MaxPairs)"},
	},
	{
		Name:  "an evicted process counts again",
		Tests: "^TestEvictedProcess",
		Texts: []string{"evicted[b.Process] = acked == 0 && b.N > 1", "evicted[b.Process] = false"},
	},
	{
		Name:  "no process is evicted",
		Tests: "^TestTotalsAreBounded$",
		Texts: []string{"next.evictProcesses(MaxProcesses)", ""},
	},
	{
		Name:  "pairs beyond the bound are dropped",
		Tests: "^TestTotalsAreBounded$",
		Texts: []string{"e.Pair = Pair{}\n", "return\n"},
	},
	{
		Name:  "the first batch is dropped before it is acknowledged",
		Tests: relays,
		Texts: []string{"r.Acknowledge(Ack{b.Process, b.N - 1})", "r.Acknowledge(Ack{b.Process, b.N})"},
	},
	{
		Name:  "a batch is dropped with the previous one",
		Tests: relays,
		Texts: []string{"pending[n].N <= ack.N", "pending[n].N <= ack.N+1"},
	},
	{
		Name:  "a batch after a gap is accepted",
		Tests: relays,
		Texts: []string{"b.N != last+1 || n >= MaxPendingBatches", "n >= MaxPendingBatches"},
	},
	{
		Name:  "a rejected batch is skipped",
		Tests: relays,
		Texts: []string{"if at == nil || at.refused > 0 && b.N > at.refused {", "if at == nil {"},
	},
	{
		Name:  "a lost batch is not sent again",
		Tests: relays,
		Texts: []string{"if s.sent == nil || now.Sub(s.since) >= resendAfter {", "if s.sent == nil {"},
	},
	{
		Name:  "each batch has the counts since the process's start",
		Dir:   "../proxy",
		Tests: "^TestResidencyLog",
		Texts: []string{"d[i] -= other[i]", "d[i] -= 0 * other[i]"},
	},
	{
		Name:  "entries that didn't fit a batch are never reported",
		Dir:   "../proxy",
		Tests: "^TestResidencyLog",
		Texts: []string{"l.changed, l.newPair = more, more", "l.changed, l.newPair = more && false, false"},
	},
	{
		Name:  "the totals are not in the record's snapshot",
		Dir:   "../controlplane",
		Tests: "^TestState",
		Texts: []string{"s := StoredState{Residency: cs.residency.Snapshot(), ", "s := StoredState{"},
	},
	{
		Name:  "an update counts as a configuration",
		Dir:   "../controlplane",
		Tests: "^TestState",
		Texts: []string{"s.DocumentSeq = cs.docSeq", ""},
	},
	{
		Name:  "an uncommitted batch is acknowledged",
		Dir:   "../controlplane",
		Tests: "^TestResidency",
		Texts: []string{"b.N <= committed.residency.AckedUpTo(b.Process) {\n\t\t\tacks", "b.N > 0 {\n\t\t\tacks"},
	},
}

// TestPlantedFaults checks that the named tests find each planted fault.
func TestPlantedFaults(t *testing.T) {
	for i := range faults {
		if faults[i].Dir == "" {
			faults[i].Args = []string{"-rapid.nofailfile", "-rapid.shrinktime=0s", "-rapid.checks=1000"}
		}
	}
	plantedfault.Find(t, faults)
}
