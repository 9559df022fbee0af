package statestore

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/goldenbytes"
)

// storedState returns the content of testdata/stored/control.db: every field of every part, a snapshot and the changes
// after it.
func storedState() replication.PersistentState {
	members := []replication.Member{
		{ID: "0123456789abcdef0123456789abcdef", Addr: "10.0.0.1:7720", Zone: "z1", Region: "r1"},
		{ID: "fedcba9876543210fedcba9876543210", Addr: "10.0.0.2:7720", Zone: "z2", Region: "r2"},
		{ID: "00112233445566778899aabbccddeeff", Addr: "10.0.0.3:7720", Zone: "z3", Region: "r3"},
	}
	st := replication.PersistentState{
		Identity: replication.Identity{ID: members[0].ID, Addr: members[0].Addr, Founder: true, Joined: true},
		View: replication.View{
			Epoch: 5, Members: members, Primary: members[1].ID, Backups: []replication.ID{members[0].ID, members[2].ID},
		},
		Vote: replication.Vote{
			Promised: replication.Ballot{N: 8, ID: members[2].ID},
			Accepted: replication.Ballot{N: 7, ID: members[0].ID},
			Value: &replication.View{
				Epoch: 6, Members: members[:2], Primary: members[0].ID, Backups: []replication.ID{members[1].ID},
			},
		},
		Replica:  replication.ReplicaState{RecordEpoch: 5, InSyncEpoch: 4, StoppedEpoch: 6, Committed: 1<<63 + 1},
		Snapshot: &replication.Snapshot{Seq: 40, Digest: 1<<63 + 40, Body: []byte("the record at 40")},
	}
	digest := st.Snapshot.Digest
	for i, body := range []string{"change 41", "", "change 43"} {
		seq := st.Snapshot.Seq + 1 + uint64(i)
		digest = replication.ChainDigest(digest, seq, []byte(body))
		st.Changes = append(st.Changes, replication.Change{Seq: seq, Digest: digest, Body: []byte(body)})
	}
	return st
}

// TestStoredFolder reads the state file of an earlier build and writes to it. With -update the file is generated anew.
func TestStoredFolder(t *testing.T) {
	c := qt.New(t)
	want := storedState()
	golden := filepath.Join("testdata", "stored", fileName)
	if goldenbytes.Updating() {
		dir := c.TempDir()
		store, _ := mustOpen(c, dir)
		c.Assert(store.Save(&replication.Write{
			Identity: &want.Identity, View: &want.View, Vote: &want.Vote, Replica: &want.Replica,
			Snapshot: want.Snapshot, Changes: want.Changes,
		}), qt.IsNil)
		c.Assert(store.Close(), qt.IsNil)
		body, err := os.ReadFile(filepath.Join(dir, fileName))
		c.Assert(err, qt.IsNil)
		c.Assert(os.MkdirAll(filepath.Dir(golden), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(golden, body, 0o644), qt.IsNil)
	}

	dir := c.TempDir()
	body, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "control.db"), body, 0o644), qt.IsNil)
	store, st, err := OpenFor(dir, "10.0.0.1:7720")
	c.Assert(err, qt.IsNil)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Assert(st, qt.DeepEquals, want)

	// A newer replica state and another change are added to the existing state.
	last := st.Changes[len(st.Changes)-1]
	added := []byte("new")
	next := replication.Change{Seq: 44, Digest: replication.ChainDigest(last.Digest, 44, added), Body: added}
	want.Replica.Committed++
	want.Changes = append(want.Changes, next)
	c.Assert(store.Save(&replication.Write{Replica: &want.Replica, Changes: []replication.Change{next}}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	store, st = mustOpen(c, dir)
	c.Check(store.SetAsideCause(), qt.IsNil)
	c.Check(st, qt.DeepEquals, want)

	// A snapshot replaces the changes.
	snapshot := &replication.Snapshot{Seq: 44, Digest: next.Digest, Body: []byte("the record at 44")}
	c.Assert(store.Save(&replication.Write{Snapshot: snapshot}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	want.Snapshot, want.Changes = snapshot, nil
	store, st = mustOpen(c, dir)
	c.Check(store.SetAsideCause(), qt.IsNil)
	c.Check(st, qt.DeepEquals, want)
	c.Assert(store.Close(), qt.IsNil)
}
