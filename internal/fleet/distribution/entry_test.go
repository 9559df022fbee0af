package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestChangesAreBounded: the changes after the snapshot are bounded by a new snapshot, and the changes before it by the
// bounds of the history. A client at a version in the history gets only changes, also across a new snapshot; any other
// client gets the snapshot.
func TestChangesAreBounded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{100, 1000, maxBytesAfterSnapshot / 2, 2 * maxBytesAfterSnapshot, 2 * maxHistoryBytes} {
		source := NewCache()
		const snapshotBytes = 1 << 20
		source.SetSnapshot("config", v(0), make([]byte, snapshotBytes))
		snapshots := 0
		newSnapshot := func() []byte {
			snapshots++
			return make([]byte, snapshotBytes)
		}
		for n := uint64(0); n < 3*maxHistoryChanges; n++ {
			change := Change{Version: v(n + 1), Body: make([]byte, size)}
			c.Assert(source.AppendChange("config", v(n), v(n+1), change, newSnapshot), qt.IsTrue)
			e := source.entries["config"]
			after := len(e.changes) - e.afterSnapshot
			c.Assert(after <= maxChangesAfterSnapshot && e.bytesAfterSnapshot <= maxBytesAfterSnapshot, qt.IsTrue)
			fewChanges := len(e.changes) <= maxHistoryChanges+maxChangesAfterSnapshot
			c.Assert(fewChanges && e.changeBytes <= maxHistoryBytes+maxBytesAfterSnapshot, qt.IsTrue)
			if n%97 != 0 {
				continue
			}
			bytes := 0
			for i := range e.changes {
				bytes += len(e.changes[i].Body)
			}
			c.Assert(e.changeBytes, qt.Equals, bytes)
			for behind := uint64(1); behind <= min(n+1, 2*maxHistoryChanges); behind += 1 + behind/3 {
				resource := fetchFrom(source, map[string]Version{"config": v(n + 1 - behind)}).Resources[0]
				retained := behind <= uint64(len(e.changes))
				comment := qt.Commentf("changes of %d bytes, %d behind at %d", size, behind, n+1)
				c.Assert(resource.Snapshot == nil, qt.Equals, retained, comment)
				if retained {
					c.Assert(resource.Changes, qt.HasLen, int(behind))
				}
				last := resource.BaseVersion
				for _, change := range resource.Changes {
					c.Assert(change.Version.Count, qt.Equals, last.Count+1)
					last = change.Version
				}
				c.Assert(last, qt.Equals, v(n+1))
			}
		}
		c.Check(snapshots >= 3*maxHistoryChanges/(maxChangesAfterSnapshot+1), qt.IsTrue)
	}
}
