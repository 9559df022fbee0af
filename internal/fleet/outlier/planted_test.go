package outlier

import (
	"strings"
	"testing"

	"molepaddle/internal/rig/mutant"
)

const (
	fileDetector = "detector.go"
	fileRecorder = "recorder.go"
	fileTrials   = "trials.go"
	search       = "^TestSearch$"
)

var planted = []mutant.Mutant{
	{Name: "one proxy's word is enough", File: fileDetector, Texts: []string{"leastComplaints = 3", "leastComplaints = 1"}, Run: search},
	{Name: "all may be ejected", File: fileDetector, Texts: []string{"if ejected < most {", "if ejected < 2*most {"}, Run: "^TestBoundedShare$"},
	{Name: "a backend isn't compared with its peers", File: fileDetector, Texts: []string{"j.share >= max(leastShare, timesPeers*shares)", "j.share >= leastShare"}, Run: "^TestLoadIsNoIllness$"},
	{Name: "a broken path condemns for all", File: fileDetector, Texts: []string{"if told >= 2 && bad == 1 {", "if told < 0 {"}, Run: search},
	{Name: "a first complaint from elsewhere doesn't widen an ejection", File: fileDetector, Texts: []string{"			s.widen(now)\n", ""}, Run: "^TestEjectionIsWidened$"},
	{Name: "what was counted before an ejection ends it", File: fileDetector, Texts: []string{"now-s.since > lateReports && ", ""}, Run: "^TestLateReportsDontRestore$"},
	{Name: "a bad trial is forgotten", File: fileDetector, Texts: []string{"s.badAt, s.good = now, 0", "s.badAt = now"}, Run: "^TestTrialsRestore$"},
	{Name: "a pressed backend is ejected", File: fileDetector, Texts: []string{"of.share < leastLate || peers.mayPress(&of)", "of.share < leastLate"}, Run: "^TestPressedBackendStays$"},
	{Name: "lateness counts where all are pressed", File: fileDetector, Texts: []string{"case g.high > calmShare:", "case false:"}, Run: "^TestLatenessUnderLoad$"},
	{Name: "some slow answers are enough", File: fileDetector, Texts: []string{"leastSlow = 0.6", "leastSlow = 0.2"}, Run: "^TestSlowAnswers$"},
	{Name: "silence counts as slowness", File: fileDetector, Texts: []string{"(t.failed+max(t.overdue-t.late, 0))/t.attempts", "t.failed/t.attempts"}, Run: "^TestSilentIsNotSlow$"},
	{Name: "overdue attempts wait for their end", File: fileRecorder, Texts: []string{"if now < a.overdue {", "if now < 100*a.overdue {"}, Run: "^TestRecorder"},
	{Name: "an overdue attempt counts twice", File: fileRecorder, Texts: []string{"	a.counted = true\n	if how == Untold {", "	if how == Untold {"}, Run: "^TestRecorder"},
	{Name: "an ejection stays without the control plane", File: fileTrials, Texts: []string{"		one.until = now + ejectionLasts\n", "		one.until = now + 1000*ejectionLasts\n"}, Run: "^TestEjectionLapses$"},
	{Name: "no trials", File: fileTrials, Texts: []string{"if now < one.until && t.due(now, one, risk) && among(one.Backend) {", "if false && t.due(now, one, risk) && among(one.Backend) {"}, Run: search},
	{Name: "each proxy tries as if it were alone", File: fileTrials, Texts: []string{"float64(every*max(of.proxies, 1))", "float64(every)"}, Run: "^TestTrialsAreRare$"},
	{Name: "long answers try what is slow", File: fileTrials, Texts: []string{"case one.Slow && risk.Long:", "case false:"}, Run: "^TestRiskOfTrials$"},
	{Name: "what can't be repeated tries what fails", File: fileTrials, Texts: []string{"		return false // one that may be repeated will come", "		return now >= one.at"}, Run: "^TestRiskOfTrials$"},
}

// TestPlantedFaults plants each fault in turn; the tests named have to find it.
func TestPlantedFaults(t *testing.T) {
	for _, one := range planted {
		t.Run(strings.ReplaceAll(one.Name, " ", "_"), func(t *testing.T) { one.Test(t) })
	}
}
