package distribution

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedFaults lays errors into what sources keep and how it is sent.
func TestPlantedFaults(t *testing.T) {
	plantedfault.Find(t, []plantedfault.Fault{
		{Name: "a new whole leaves no changes before it", Tests: "^TestSlowLinkCatchesUp$", Texts: []string{
			"\te.snapshotVersion, e.snapshot, e.afterSnapshot, e.bytesAfterSnapshot = e.version, snapshot, len(e.changes), 0\n", "\te.snapshotVersion, e.snapshot, e.afterSnapshot, e.bytesAfterSnapshot = e.version, snapshot, 0, 0\n\te.historyStart, e.changes, e.changeBytes = e.version, nil, 0\n"}},
		{Name: "an answer has one deadline for all of it", Tests: "^TestSlowLinkCatchesUp$", Texts: []string{
			"if err = w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {", "if err = w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); written > 0 && err != nil {",
			"w.conn.Write(p[written:min(written+writeChunkBytes, len(p))])", "w.conn.Write(p[written:])"}},
		{Name: "changes before the whole come along with it", Tests: "^TestChangesAreBounded$", Texts: []string{
			"Changes: e.changes[e.afterSnapshot:]}", "Changes: e.changes}"}},
		{Name: "changes are kept without a bound", Tests: "^TestChangesAreBounded$", Texts: []string{
			"for drop < e.afterSnapshot && (", "for drop < e.afterSnapshot && false && ("}},
		{Name: "a relay takes changes that don't follow", Tests: "^TestFetchReturnsMissingChanges$|^TestRelayRequestsSnapshot$", Texts: []string{
			"if e == nil || e.version != p.BaseVersion {", "if e == nil {"}},
		{Name: "a relay keeps changes without a bound", Tests: "^TestRelayRequestsSnapshot$", Texts: []string{
			"if next.bytesAfterSnapshot > maxRelayBytesAfterSnapshot {", "if next.bytesAfterSnapshot > 1000*maxRelayBytesAfterSnapshot {"}},
	})
}
