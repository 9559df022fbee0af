package distribution

import (
	"testing"

	"molepaddle/internal/plantedfault"
)

// TestPlantedFaults plants faults into the retention of changes, at sources and at relays, and into the sending of
// responses.
func TestPlantedFaults(t *testing.T) {
	plantedfault.Find(t, []plantedfault.Fault{
		{
			Name:  "a new snapshot leaves no changes before it",
			Tests: "^TestSlowLinkCatchesUp$",
			Texts: []string{
				"\te.afterSnapshot = len(e.changes)\n",
				"\te.afterSnapshot = 0\n\te.historyStart = e.version\n\te.changes = nil\n\te.changeBytes = 0\n",
			},
		},
		{
			Name:  "a response has one deadline for all of it",
			Tests: "^TestSlowLinkCatchesUp$",
			Texts: []string{
				"if err = w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {",
				"if err = w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); written > 0 && err != nil {",
				"w.conn.Write(p[written:min(written+writeChunkBytes, len(p))])",
				"w.conn.Write(p[written:])",
			},
		},
		{
			Name:  "changes before the snapshot are sent with it",
			Tests: "^TestChangesAreBounded$",
			Texts: []string{"e.changes[e.afterSnapshot:],", "e.changes,"},
		},
		{
			Name:  "changes are retained without a bound",
			Tests: "^TestChangesAreBounded$",
			Texts: []string{"for drop < e.afterSnapshot && (", "for drop < e.afterSnapshot && false && ("},
		},
		{
			Name:  "a relay applies changes that don't follow on its version",
			Tests: "^TestFetchReturnsMissingChanges$|^TestRelayRequestsSnapshot$",
			Texts: []string{"if e == nil || e.version != resource.BaseVersion {", "if e == nil {"},
		},
		{
			Name:  "a relay retains changes without a bound",
			Tests: "^TestRelayRequestsSnapshot$",
			Texts: []string{
				"if next.bytesAfterSnapshot > maxRelayBytesAfterSnapshot {",
				"if next.bytesAfterSnapshot > 1000*maxRelayBytesAfterSnapshot {",
			},
		},
	})
}
