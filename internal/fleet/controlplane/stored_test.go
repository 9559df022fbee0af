package controlplane

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/statestore"
	"molepaddle/internal/goldenbytes"
)

// storedFile is the state of a control server left by an earlier build.
const storedFile = "testdata/stored/control.db"

// storedChanges returns the changes that led to storedFile, as proposed: configurations, residency writes, and an
// update of named items.
func storedChanges(c *qt.C) (bodies [][]byte) {
	for version := int64(1); version <= 12; version++ {
		bodies = append(bodies, configCommand(version-1, version))
		if version == 3 {
			bodies = append(bodies, residencyCommand(9, 1, 4))
		}
	}
	update := &Command{Base: 12, Body: []byte(`{"ver":20,"upsert":{"svcs":[{"name":"t","later":1}]}}`)}
	body, err := update.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	return append(bodies, residencyCommand(9, 2, 5), body, residencyCommand(1<<63, 1, 6))
}

// writeStored writes storedFile: three servers in virtual time commit the changes, the first primary is restarted on
// the way, and the state of the last one is saved.
func writeStored(c *qt.C) {
	core := newSimulatedCore(5, 3, 1)
	for _, m := range core.members {
		core.start(m)
	}
	primary := func() *member {
		i := slices.IndexFunc(core.members, func(m *member) bool {
			return m.replica != nil && m.replica.Status().Role == replication.Primary && m.replica.Status().Ready
		})
		if i < 0 {
			return nil
		}
		return core.members[i]
	}
	run := func(what string, until func() bool) {
		c.Assert(core.runUntil(core.now+time.Minute, until), qt.IsTrue, qt.Commentf("%s, %v", what, core.err))
	}
	run("a primary", func() bool { return primary() != nil && core.allInSync() })
	for i, body := range storedChanges(c) {
		if i == 6 {
			first := primary()
			core.kill(first)
			run("another primary", func() bool { return primary() != nil })
			core.start(first)
			run("all three in one view", core.allInSync)
		}
		done := false
		core.ask(primary(), func(now time.Duration, token uint64) replication.Output {
			return primary().replica.Propose(now, token, body)
		}, func(a replication.Answer) { done = a.Result == replication.Committed })
		run("a change", func() bool { return done })
	}
	core.runUntil(core.now+time.Second, nil)

	st := core.members[2].disk
	dir := c.TempDir()
	store, _, err := statestore.Open(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(&replication.Write{
		Identity: &st.Identity, View: &st.View, Vote: &st.Vote, Replica: &st.Replica,
		Snapshot: st.Snapshot, Changes: st.Changes,
	}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	file, err := os.ReadFile(filepath.Join(dir, filepath.Base(storedFile)))
	c.Assert(err, qt.IsNil)
	c.Assert(os.MkdirAll(filepath.Dir(storedFile), 0o755), qt.IsNil)
	c.Assert(os.WriteFile(storedFile, file, 0o644), qt.IsNil)
}

// TestStoredFolder checks that the state left by a control server of an earlier build is read: its members, the
// configuration, the accepted changes and the residency record. A machine of this build takes over the state and adds
// to it. With -update the state is generated anew.
func TestStoredFolder(t *testing.T) {
	c := qt.New(t)
	if goldenbytes.Updating() {
		writeStored(c)
	}
	dir := c.TempDir()
	body, err := os.ReadFile(storedFile)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "control.db"), body, 0o644), qt.IsNil)
	store, st, err := statestore.OpenFor(dir, "10.0.2.1:7000")
	c.Assert(err, qt.IsNil)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Check(st.Identity, qt.Equals, replication.Identity{
		ID: "2581f0a5c74822e12df9f42644b30984", Addr: "10.0.2.1:7000", Founder: true, Joined: true,
	})
	c.Check(st.View, qt.DeepEquals, replication.View{
		Epoch: 2,
		Members: []replication.Member{
			{ID: "b6c3607730c92abfe0e3e0b0b87f212a", Addr: "10.0.0.1:7000", Zone: "z0", Region: "r"},
			{ID: "c7eaa548eb126633d472f906a47df7a9", Addr: "10.0.1.1:7000", Zone: "z1", Region: "r"},
			{ID: "2581f0a5c74822e12df9f42644b30984", Addr: "10.0.2.1:7000", Zone: "z2", Region: "r"},
		},
		Primary: "c7eaa548eb126633d472f906a47df7a9",
		Backups: []replication.ID{"2581f0a5c74822e12df9f42644b30984"},
	})
	c.Check(st.Replica, qt.Equals, replication.ReplicaState{RecordEpoch: 2, InSyncEpoch: 2})
	c.Assert(st.Snapshot, qt.IsNotNil)
	c.Check(st.Snapshot.Seq, qt.Equals, uint64(10))
	c.Check(st.Changes, qt.HasLen, 6)

	// A machine of this build takes over the state.
	r := &controlState{}
	_, err = replication.New(replication.Options{
		Self:              replication.Member{Addr: "10.0.2.1:7000", Zone: "z2", Region: "r"},
		Tolerance:         replication.FailureTolerance{Nodes: 1},
		Seeds:             []string{"10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"},
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   500 * time.Millisecond,
		ElectionStagger:   150 * time.Millisecond,
		WriteTimeout:      600 * time.Millisecond,
		MemberTimeout:     3 * time.Second,
		Rand:              func() uint64 { return 1 },
	}, st, r)
	c.Assert(err, qt.IsNil)
	c.Check(r.seq, qt.Equals, uint64(16))
	c.Check(r.docSeq, qt.Equals, uint64(15))
	c.Check(string(r.doc.Show()), qt.Equals, `{"ver":20,"routing":[{"name":"r","hostname":"h","pfx":"/",`+
		`"kind":"readonly","deadline_ms":1000,"svc":"s","tenant":"labs"}],"svcs":[{"name":"s","probe":"/healthz"},`+
		`{"name":"t","later":1}],"tenants":[{"name":"labs","regions":["east"]}]}`)
	c.Check(r.accepted.oldestBase, qt.Equals, int64(0))
	c.Check(r.accepted.versions, qt.DeepEquals, []int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 20})
	for _, body := range storedChanges(c) {
		var sent Command
		_, err := sent.UnmarshalMsg(body)
		c.Assert(err, qt.IsNil)
		if sent.Residency == nil {
			c.Check(r.accepted.lookup(&sent), qt.Equals, sameChange, qt.Commentf("a change on top of %d", sent.Base))
		}
	}
	c.Check(r.residency.Report(nil), qt.DeepEquals, []residencyreport.Entry{{
		Pair: residencyreport.Pair{Tenant: "labs", Region: "east"}, First: 5, Last: 9,
		Counts: residencyreport.Counts{Plain: 15},
	}})
	c.Check(r.residency.AckedUpTo(9), qt.Equals, uint64(2))
	c.Check(r.residency.AckedUpTo(1<<63), qt.Equals, uint64(1))

	// A change written afterwards is present with the others after a restart.
	last := st.Changes[len(st.Changes)-1]
	next := replication.Change{Seq: 17, Body: configCommand(20, 21)}
	next.Digest = replication.ChainDigest(last.Digest, next.Seq, next.Body)
	c.Assert(store.Save(&replication.Write{Changes: []replication.Change{next}}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	store, again, err := statestore.OpenFor(dir, "10.0.2.1:7000")
	c.Assert(err, qt.IsNil)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	st.Changes = append(st.Changes, next)
	c.Check(again, qt.DeepEquals, st)
	r.Apply(next.Seq, again.Changes[len(again.Changes)-1].Body)
	c.Check(r.doc.Version(), qt.Equals, int64(21))
}
