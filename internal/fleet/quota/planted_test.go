package quota

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

const modelSearch = "^TestModelNeverOverQuota$"

var planted = []plantedfault.Fault{
	{
		Name:  "a slot is free before its window is over",
		Texts: []string{"takeEarlier(now - window)", "takeEarlier(now - window/2)"},
		Tests: modelSearch,
	},
	{
		Name:  "the window is not closed",
		Texts: []string{"u.times[u.first] < than {", "u.times[u.first] <= than {"},
		Tests: "^Test(Holder|BeginReports)$",
	},
	{
		Name:  "the lease is not checked",
		Texts: []string{"if !h.leased || now >= h.usableUntil {", "if !h.leased {"},
		Tests: modelSearch,
	},
	{
		Name:  "a lease counts from the answer",
		Texts: []string{"max(h.usableUntil, sentAt+h.rule.Lease)", "max(h.usableUntil, now+h.rule.Lease)"},
		Tests: "^Test(Holder|BeginReports)$",
	},
	{
		Name: "used slots are returned",
		Texts: []string{
			"{ s.free = min(s.free, s.keep(now, window)) }",
			"{\n\ts.free = min(s.free, s.keep(now, window))\n\ts.used.first += s.used.count() / 2\n}",
		},
		Tests: modelSearch,
	},
	{
		Name:  "the sequence is ignored",
		Texts: []string{"if report.Sequence <= holder.sequence {", "if report.Sequence == 0 {"},
		Tests: modelSearch,
	},
	{
		Name:  "the epoch is ignored",
		Texts: []string{"epoch == 0 || epoch < h.epoch", "epoch == 0"},
		Tests: "^Test(Holder|BeginReports)$",
	},
	{
		Name:  "a new allocator allocates all slots at once",
		Texts: []string{"if now >= a.allKnownAt {\n\t\treturn", "if now >= 0 {\n\t\treturn"},
		Tests: modelSearch,
	},
	{
		Name:  "inherited raised ceilings are ignored",
		Texts: []string{"\tif a.inherited.Raised(tenant) {\n\t\tbefore = slots.Total\n\t}\n", ""},
		Tests: modelSearch,
	},
	{
		Name:  "lowered ceilings stay in use",
		Texts: []string{"a.committed.Raised(tenant) && a.proposed.Raised(tenant)", "a.committed.Raised(tenant)"},
		Tests: "^TestAllocatorCeilings$",
	},
	{
		Name:  "raised ceilings are used before they are committed",
		Texts: []string{"a.committed.Raised(tenant) && a.proposed.Raised(tenant)", "a.proposed.Raised(tenant)"},
		Tests: "^TestAllocatorCeilings$",
	},
	{
		Name:  "a raise overtakes a pending lowering",
		Texts: []string{"\tif !a.proposed.Equal(a.committed) {\n\t\treturn a.proposed\n\t}\n", ""},
		Tests: "^TestPendingLoweringBlocksRaise$",
	},
	{
		Name:  "slots of an ended process are free at once",
		Texts: []string{"a.retire(report.Holder, now+a.rule.Window)", "a.retire(report.Holder, now-1)"},
		Tests: modelSearch,
	},
	{
		Name:  "slots of a silent holder are free when its lease ends",
		Texts: []string{"> a.rule.Lease+a.rule.Window {", "> a.rule.Lease {"},
		Tests: modelSearch,
	},
	{
		Name:  "an ended process displaces its successor",
		Texts: []string{"case holder != nil && conn <= holder.conn:", "case holder != nil && conn == 0:"},
		Tests: "^TestLateReportOfAnEndedProcess$",
	},
	{
		Name:  "a first report may be partial",
		Texts: []string{"case !report.Full:", "case report.Holder == \"\":"},
		Tests: "^TestFirstReportIsFull$",
	},
	{
		Name:  "slots of a lapsed lease are kept",
		Texts: []string{"h.leased && now >= h.usableUntil+max(h.rule.Window-reportTransit, 0)", "false"},
		Tests: "^TestSlotsGivenUpAfterLeaseLapses$",
	},
	{
		Name:  "requests that wait after a report make its answer a denial",
		Texts: []string{"if held.asked > grant.Slots {", "if held.waiting > grant.Slots {"},
		Tests: "^TestWaitersAfterReportAreNotDenied$",
	},
	{
		Name:  "a late answer is used",
		Texts: []string{"if now-sentAt > answerTimeout {", "if false {"},
		Tests: "^TestLateAnswerIsNotUsed$",
	},
	{
		Name:  "tenants that a full report doesn't name are kept",
		Texts: []string{"\t\ta.recordAbsent(holder, report.Holdings)\n", ""},
		Tests: "^TestFullReportReleasesUnnamedTenants$",
	},
}

// TestPlantedFaults checks that each planted fault is found.
func TestPlantedFaults(t *testing.T) { plantedfault.Find(t, planted) }
