package outlier

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const search = "^TestSearch$"

var planted = []plantedfault.Fault{
	{
		Name:  "one proxy's complaint is enough",
		Texts: []string{"minComplaints = 3", "minComplaints = 1"},
		Tests: search,
	},
	{
		Name:  "all may be ejected",
		Texts: []string{"if ejected < most {", "if ejected < 2*most {"},
		Tests: "^TestEjectedShareIsBounded$",
	},
	{
		Name: "a backend isn't compared with its peers",
		Texts: []string{"a.badShare >= max(minBadShare, peerFactor*peersBadShare)",
			"a.badShare >= max(minBadShare, 0*peersBadShare)"},
		Tests: "^TestLoadEjectsNobody$",
	},
	{
		Name:  "a broken network path from one zone ejects for all zones",
		Texts: []string{"if reporting >= 2 && complaining == 1 {", "if reporting < 0 {"},
		Tests: search,
	},
	{
		Name:  "a first complaint from another zone doesn't widen an ejection",
		Texts: []string{"\t\tb.widenToAllZones(now)\n", ""},
		Tests: "^TestEjectionIsWidened$",
	},
	{
		Name:  "results from before an ejection end it",
		Texts: []string{"afterEjection := now-b.ejectedAt > reportDelayMs", "afterEjection := true"},
		Tests: "^TestLateReportsDontRestore$",
	},
	{
		Name:  "one proxy's reports restore a backend",
		Texts: []string{"if reporters > 1 {", "if reporters < 0 {"},
		Tests: "^TestOneProxyDoesNotRestore$",
	},
	{
		Name:  "the last proxy never restores a backend",
		Texts: []string{"if reporters > 1 {", "if reporters > 0 {"},
		Tests: "^TestOneProxyDoesNotRestore$",
	},
	{
		Name:  "a bad trial is forgotten",
		Texts: []string{"\t\tb.goodTrials = nil\n\t\treturn\n", "\t\treturn\n"},
		Tests: "^TestTrialsRestore$",
	},
	{
		Name: "an overloaded backend is ejected",
		Texts: []string{"(a.badShare < minLateShare || peers.mayBeOverloaded(&a))",
			"a.badShare < minLateShare"},
		Tests: "^TestOverloadedBackendStays$",
	},
	{
		Name:  "lateness counts where all are overloaded",
		Texts: []string{"case g.upperQuartileBadShare > normalBadShare:", "case false:"},
		Tests: "^TestLatenessUnderLoad$",
	},
	{
		Name:  "some slow answers are enough",
		Texts: []string{"minSlowShare = 0.6", "minSlowShare = 0.2"},
		Tests: "^TestSlowAnswers$",
	},
	{
		Name:  "an unresponsive backend counts as slow",
		Texts: []string{"(p.failed+max(p.overdue-p.late, 0))/p.attempts", "p.failed/p.attempts"},
		Tests: "^TestUnresponsiveIsNotSlow$",
	},
	{
		Name:  "overdue attempts wait for their end",
		Texts: []string{"if now < a.overdueAt {", "if now < 100*a.overdueAt {"},
		Tests: "^TestRecorder",
	},
	{
		Name:  "an overdue attempt counts twice",
		Texts: []string{"\ta.counted = true\n\tif result == Inconclusive {", "\tif result == Inconclusive {"},
		Tests: "^TestRecorder",
	},
	{
		Name:  "an ejection doesn't expire without the control plane",
		Texts: []string{"return now + ejectionTTLMs }", "return now + 1000*ejectionTTLMs }"},
		Tests: "^TestEjectionExpires$",
	},
	{
		Name: "no trials",
		Texts: []string{"if now < b.until && t.trialDue(now, b, risk) && among(b.Backend) {",
			"if false && t.trialDue(now, b, risk) && among(b.Backend) {"},
		Tests: search,
	},
	{
		Name:  "each proxy tries as if it were alone",
		Texts: []string{"float64(interval*max(b.proxies, 1))", "float64(interval)"},
		Tests: "^TestTrialsAreRare$",
	},
	{
		Name:  "requests with long answers try slow backends",
		Texts: []string{"case b.Slow && risk.LongDecode:", "case false:"},
		Tests: "^TestRiskOfTrials$",
	},
	{
		Name: "non-idempotent requests try failing backends",
		Texts: []string{"\t\treturn false // an idempotent request will come",
			"\t\treturn now >= b.nextTrialAt"},
		Tests: "^TestRiskOfTrials$",
	},
}

// TestPlantedFaults checks that the named tests find each planted fault.
func TestPlantedFaults(t *testing.T) { plantedfault.Find(t, planted) }
