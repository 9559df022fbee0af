package outlier

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const search = "^TestSearch$"

var planted = []plantedfault.Fault{
	{Name: "one proxy's word is enough", Texts: []string{"leastComplaints = 3", "leastComplaints = 1"}, Tests: search},
	{Name: "all may be ejected", Texts: []string{"if ejected < most {", "if ejected < 2*most {"}, Tests: "^TestBoundedShare$"},
	{Name: "a backend isn't compared with its peers", Texts: []string{"j.share >= max(leastShare, timesPeers*shares)", "j.share >= leastShare"}, Tests: "^TestLoadIsNoIllness$"},
	{Name: "a broken path condemns for all", Texts: []string{"if told >= 2 && bad == 1 {", "if told < 0 {"}, Tests: search},
	{Name: "a first complaint from elsewhere doesn't widen an ejection", Texts: []string{"			s.widen(now)\n", ""}, Tests: "^TestEjectionIsWidened$"},
	{Name: "what was counted before an ejection ends it", Texts: []string{"now-s.since > lateReports && ", ""}, Tests: "^TestLateReportsDontRestore$"},
	{Name: "a bad trial is forgotten", Texts: []string{"s.badAt, s.good = now, 0", "s.badAt = now"}, Tests: "^TestTrialsRestore$"},
	{Name: "a pressed backend is ejected", Texts: []string{"of.share < leastLate || peers.mayPress(&of)", "of.share < leastLate"}, Tests: "^TestPressedBackendStays$"},
	{Name: "lateness counts where all are pressed", Texts: []string{"case g.high > calmShare:", "case false:"}, Tests: "^TestLatenessUnderLoad$"},
	{Name: "some slow answers are enough", Texts: []string{"leastSlow = 0.6", "leastSlow = 0.2"}, Tests: "^TestSlowAnswers$"},
	{Name: "silence counts as slowness", Texts: []string{"(t.failed+max(t.overdue-t.late, 0))/t.attempts", "t.failed/t.attempts"}, Tests: "^TestSilentIsNotSlow$"},
	{Name: "overdue attempts wait for their end", Texts: []string{"if now < a.overdue {", "if now < 100*a.overdue {"}, Tests: "^TestRecorder"},
	{Name: "an overdue attempt counts twice", Texts: []string{"	a.counted = true\n	if how == Untold {", "	if how == Untold {"}, Tests: "^TestRecorder"},
	{Name: "an ejection stays without the control plane", Texts: []string{"		one.until = now + ejectionLasts\n", "		one.until = now + 1000*ejectionLasts\n"}, Tests: "^TestEjectionLapses$"},
	{Name: "no trials", Texts: []string{"if now < one.until && t.due(now, one, risk) && among(one.Backend) {", "if false && t.due(now, one, risk) && among(one.Backend) {"}, Tests: search},
	{Name: "each proxy tries as if it were alone", Texts: []string{"float64(every*max(of.proxies, 1))", "float64(every)"}, Tests: "^TestTrialsAreRare$"},
	{Name: "long answers try what is slow", Texts: []string{"case one.Slow && risk.Long:", "case false:"}, Tests: "^TestRiskOfTrials$"},
	{Name: "what can't be repeated tries what fails", Texts: []string{"		return false // one that may be repeated will come", "		return now >= one.at"}, Tests: "^TestRiskOfTrials$"},
}

// TestPlantedFaults plants each fault in turn; the tests named have to find it.
func TestPlantedFaults(t *testing.T) { plantedfault.Find(t, planted) }
