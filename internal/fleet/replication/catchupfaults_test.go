package replication

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedCatchUpFaults plants errors in the transfer of the record to other machines.
func TestPlantedCatchUpFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the tests anew for each fault")
	}
	plantedfault.Find(t, []plantedfault.Fault{
		{Name: "a record corrupted in transit is installed", Tests: "^TestDamagedRecord$", Texts: []string{
			"if xxhash.Sum64(a.body) == a.checksum {", "if a.checksum != 0 {"}},
		{Name: "a lost chunk is not sent again", Tests: "^TestLostChunks$", Texts: []string{
			"\tt.next = t.acked\n\tm.sendChunks(to.Addr, t)", "\tm.sendChunks(to.Addr, t)"}},
		{Name: "a backup that is receiving the record counts as late", Tests: "^TestSlowLinkTakesRecord$", Texts: []string{
			"if p := m.primary.progress[msg.From.ID]; p != nil && p.stalledSince >= 0 {\n\t\t\tp.stalledSince = m.now\n\t\t}", ""}},
		{Name: "a staged record may be older than the stop", Tests: "^TestStagedRecordIsCurrent$", Texts: []string{
			"\t\tm.dropTransfers() // a staged record", "\t\t// a staged record"}},
		{Name: "some of the changes make a holder", Tests: "^TestPartialChangesMakeNoHolder$", Texts: []string{
			"!m.appendChanges(msg) || m.log.seq < msg.Total", "!m.appendChanges(msg)"}},
		{Name: "changes that don't follow make a holder", Tests: "^TestPartialChangesMakeNoHolder$", Texts: []string{
			"!m.appendChanges(msg) || m.log.seq < msg.Total", "!m.appendChanges(msg) && m.log.seq < msg.Total"}},
		{Name: "a staged record is replaced by a learner's", Tests: "^TestStagedRecordStays$", Texts: []string{
			"return !m.holdsRecord() && m.replica.RecordEpoch != m.view.Epoch", "return !m.holdsRecord()"}},
		{Name: "the log is compacted during a transfer", Tests: "^TestLogIsKeptForRecord$", Texts: []string{
			"transferLogFactor = 4", "transferLogFactor = 1"}},
		{Name: "a compaction keeps no changes in memory", Tests: "^TestLogIsKeptForRecord$", Texts: []string{
			"first, bytes := len(l.changes), 0", "first, bytes := len(l.changes), maxBytes"}},
		{Name: "a nearly caught-up learner isn't preferred", Tests: "^TestNearLearnerIsPreferred$", Texts: []string{
			"{c.nearlyCaughtUp, weightNearlyCaughtUp},", "{false, weightNearlyCaughtUp},"}},
		{Name: "a machine with a restored disk leads", Tests: "^TestRestoredDiskNeverLeads$", Texts: []string{
			"return m.log.seq >= m.knownCommit()", "return true"}},
		{Name: "a holder with a restored disk isn't staged again", Tests: "^TestRestoredDiskNeverLeads$", Texts: []string{
			"\t\t\tp.holdsRecord = false\n", ""}},
		{Name: "a backup with a restored disk keeps its old match", Tests: "^TestRestoredDiskCatchesUp$", Texts: []string{
			"msg.Round == round && msg.Seq < p.matchAtRoundStart", "msg.Round == round && false"}},
	})
}
