package replication

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// restoreDisk ends a machine's process and starts it on its disk as it was earlier.
func (t *thinCore) restoreDisk(n *thinNode, earlier PersistentState) {
	n.stop()
	n.disk = earlier
	n.start()
}

// TestRestoredDiskNeverLeads: a backup whose disk was put back as it was before many changes doesn't lead with it when
// the primary is lost at that moment, as the witness knows of what was committed. When the primary is back all is
// there.
func TestRestoredDiskNeverLeads(t *testing.T) {
	c := qt.New(t)
	core := startThinCore(c, 3, FailureTolerance{Nodes: 1}, 10_000)
	primary, backup := core.primary(), core.byRole(Backup)
	earlier, was := backup.disk, core.acked
	earlier.Changes = append([]Change(nil), earlier.Changes...)
	c.Assert(core.until(10*time.Second, func() bool { return core.acked >= was+50 }), qt.IsTrue)
	// A beat has told the witness of it.
	acked := core.acked
	witness := core.byRole(Witness)
	c.Assert(core.until(time.Second, func() bool { return witness.m.log.reportedCommit >= acked }), qt.IsTrue)
	acked = witness.m.log.reportedCommit
	primary.stop()
	core.restoreDisk(backup, earlier)
	led := func() bool { return core.primary() != nil }
	c.Assert(core.until(10*time.Second, led), qt.IsFalse, qt.Commentf("an old disk leads: %s", core.describe()))
	primary.start()
	c.Assert(
		core.until(10*time.Second, func() bool { return core.acked >= acked+20 }), qt.IsTrue,
		qt.Commentf("nothing is acknowledged with all there: %s", core.describe()),
	)
	c.Assert(core.until(10*time.Second, func() bool {
		p, b := core.primary(), core.byRole(Backup)
		return p != nil && b != nil && p.app.seq == b.app.seq && p.app.digest == b.app.digest
	}), qt.IsTrue, qt.Commentf("%s", core.describe()))
}

// TestRestoredDiskCatchesUp: where there is nobody to take its place, a backup whose disk was put back within one epoch
// is brought what it lacks, and changes are acknowledged again.
func TestRestoredDiskCatchesUp(t *testing.T) {
	for _, logBytes := range []int{1 << 20, 4000} { // by changes, and by the whole
		c := qt.New(t)
		core := startThinCoreWith(c, 2, FailureTolerance{Nodes: 1}, 10_000, logBytes)
		backup := core.byRole(Backup)
		earlier, was := backup.disk, core.acked
		earlier.Changes = append([]Change(nil), earlier.Changes...)
		c.Assert(core.until(10*time.Second, func() bool { return core.acked >= was+50 }), qt.IsTrue)
		acked := core.acked
		core.restoreDisk(backup, earlier)
		c.Assert(
			core.until(10*time.Second, func() bool { return core.acked >= acked+20 }), qt.IsTrue,
			qt.Commentf("it never catches up: %s", core.describe()),
		)
		c.Assert(core.until(time.Second, func() bool { return backup.app.seq >= core.acked }), qt.IsTrue)
	}
}
