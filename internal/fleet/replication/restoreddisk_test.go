package replication

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// restoreDisk restarts a machine on an earlier state of its disk.
func (t *slowLinkCore) restoreDisk(n *slowLinkNode, earlier PersistentState) {
	n.stop()
	n.disk = earlier
	n.start()
}

// TestRestoredDiskNeverLeads: a backup whose disk was restored to a state before many changes doesn't become primary
// when the primary is lost at that moment, as the witness knows the commit index. Once the primary is back no change is
// missing.
func TestRestoredDiskNeverLeads(t *testing.T) {
	c := qt.New(t)
	core := startSlowLinkCore(c, 3, FailureTolerance{Nodes: 1}, 10_000)
	primary, backup := core.primary(), core.byRole(Backup)
	earlier, was := backup.disk, core.acked
	earlier.Changes = append([]Change(nil), earlier.Changes...)
	c.Assert(core.runUntil(10*time.Second, func() bool { return core.acked >= was+50 }), qt.IsTrue)
	// A heartbeat has reported the commit index to the witness.
	acked := core.acked
	witness := core.byRole(Witness)
	c.Assert(core.runUntil(time.Second, func() bool { return witness.m.log.reportedCommit >= acked }), qt.IsTrue)
	acked = witness.m.log.reportedCommit
	primary.stop()
	core.restoreDisk(backup, earlier)
	led := func() bool { return core.primary() != nil }
	c.Assert(core.runUntil(10*time.Second, led), qt.IsFalse, qt.Commentf("the machine with the restored disk leads: %s", core.describe()))
	primary.start()
	c.Assert(
		core.runUntil(10*time.Second, func() bool { return core.acked >= acked+20 }), qt.IsTrue,
		qt.Commentf("no change is acknowledged with all machines up: %s", core.describe()),
	)
	c.Assert(core.runUntil(10*time.Second, func() bool {
		p, b := core.primary(), core.byRole(Backup)
		return p != nil && b != nil && p.app.seq == b.app.seq && p.app.digest == b.app.digest
	}), qt.IsTrue, qt.Commentf("%s", core.describe()))
}

// TestRestoredDiskCatchesUp: a backup whose disk was restored within one epoch, and which no machine can replace,
// receives the changes that it lacks, and changes are acknowledged again.
func TestRestoredDiskCatchesUp(t *testing.T) {
	for _, logBytes := range []int{1 << 20, 4000} { // catch-up by changes, and by the complete record
		c := qt.New(t)
		core := startSlowLinkCoreWith(c, 2, FailureTolerance{Nodes: 1}, 10_000, logBytes)
		backup := core.byRole(Backup)
		earlier, was := backup.disk, core.acked
		earlier.Changes = append([]Change(nil), earlier.Changes...)
		c.Assert(core.runUntil(10*time.Second, func() bool { return core.acked >= was+50 }), qt.IsTrue)
		acked := core.acked
		core.restoreDisk(backup, earlier)
		c.Assert(
			core.runUntil(10*time.Second, func() bool { return core.acked >= acked+20 }), qt.IsTrue,
			qt.Commentf("it never catches up: %s", core.describe()),
		)
		c.Assert(core.runUntil(time.Second, func() bool { return backup.app.seq >= core.acked }), qt.IsTrue)
	}
}
