package outlier

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const search = "^TestSearch$"

var planted = []plantedfault.Fault{
	{Name: "one proxy's word is enough", Texts: []string{"minComplaints = 3", "minComplaints = 1"}, Tests: search},
	{Name: "all may be ejected", Texts: []string{"if ejected < most {", "if ejected < 2*most {"}, Tests: "^TestBoundedShare$"},
	{Name: "a backend isn't compared with its peers", Texts: []string{"a.badShare >= max(minBadShare, peerFactor*shares)", "a.badShare >= minBadShare"}, Tests: "^TestLoadIsNoIllness$"},
	{Name: "a broken path condemns for all", Texts: []string{"if told >= 2 && bad == 1 {", "if told < 0 {"}, Tests: search},
	{Name: "a first complaint from elsewhere doesn't widen an ejection", Texts: []string{"\t\t\ts.widenToAllZones(now)\n", ""}, Tests: "^TestEjectionIsWidened$"},
	{Name: "what was counted before an ejection ends it", Texts: []string{"now-s.ejectedAt > reportDelayMs && ", ""}, Tests: "^TestLateReportsDontRestore$"},
	{Name: "a bad trial is forgotten", Texts: []string{"s.lastBadAt, s.goodTrials = now, 0", "s.lastBadAt = now"}, Tests: "^TestTrialsRestore$"},
	{Name: "a pressed backend is ejected", Texts: []string{"of.badShare < minLateShare || peers.mayBeOverloaded(&of)", "of.badShare < minLateShare"}, Tests: "^TestPressedBackendStays$"},
	{Name: "lateness counts where all are pressed", Texts: []string{"case g.upperQuartileBadShare > normalBadShare:", "case false:"}, Tests: "^TestLatenessUnderLoad$"},
	{Name: "some slow answers are enough", Texts: []string{"minSlowShare = 0.6", "minSlowShare = 0.2"}, Tests: "^TestSlowAnswers$"},
	{Name: "silence counts as slowness", Texts: []string{"(p.failed+max(p.overdue-p.late, 0))/p.attempts", "p.failed/p.attempts"}, Tests: "^TestSilentIsNotSlow$"},
	{Name: "overdue attempts wait for their end", Texts: []string{"if now < a.overdueAt {", "if now < 100*a.overdueAt {"}, Tests: "^TestRecorder"},
	{Name: "an overdue attempt counts twice", Texts: []string{"\ta.counted = true\n\tif how == Inconclusive {", "\tif how == Inconclusive {"}, Tests: "^TestRecorder"},
	{Name: "an ejection stays without the control plane", Texts: []string{"\t\tone.until = now + ejectionTTLMs\n", "\t\tone.until = now + 1000*ejectionTTLMs\n"}, Tests: "^TestEjectionLapses$"},
	{Name: "no trials", Texts: []string{"if now < one.until && t.trialDue(now, one, risk) && among(one.Backend) {", "if false && t.trialDue(now, one, risk) && among(one.Backend) {"}, Tests: search},
	{Name: "each proxy tries as if it were alone", Texts: []string{"float64(every*max(of.proxies, 1))", "float64(every)"}, Tests: "^TestTrialsAreRare$"},
	{Name: "long answers try what is slow", Texts: []string{"case one.Slow && risk.LongDecode:", "case false:"}, Tests: "^TestRiskOfTrials$"},
	{Name: "what can't be repeated tries what fails", Texts: []string{"		return false // one that may be repeated will come", "\t\treturn now >= one.nextTrialAt"}, Tests: "^TestRiskOfTrials$"},
}

// TestPlantedFaults plants each fault in turn; the tests named have to find it.
func TestPlantedFaults(t *testing.T) { plantedfault.Find(t, planted) }
