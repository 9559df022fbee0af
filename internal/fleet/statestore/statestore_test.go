package statestore

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

// fill saves an initial state, a snapshot at change 2 and two changes, and returns the state expected from Open.
func fill(c *qt.C, store *Store) replication.PersistentState {
	st := replication.PersistentState{
		Identity: replication.Identity{ID: "a1", Addr: "10.0.0.1:7000", Joined: true},
		View: replication.View{
			Epoch: 3, Members: []replication.Member{{ID: "a1", Addr: "10.0.0.1:7000", Zone: "z", Region: "r"}},
			Primary: "a1",
		},
		Vote:    replication.Vote{Promised: replication.Ballot{N: 4, ID: "a1"}},
		Replica: replication.ReplicaState{RecordEpoch: 3, InSyncEpoch: 3, Committed: 2},
	}
	c.Assert(store.Save(&replication.Write{
		Reset: true, Identity: &st.Identity, View: &st.View, Vote: &st.Vote, Replica: &st.Replica,
	}), qt.IsNil)
	var all []replication.Change
	var digest uint64
	for seq := uint64(1); seq <= 4; seq++ {
		body := bytes.Repeat([]byte{byte(seq)}, 100)
		digest = replication.ChainDigest(digest, seq, body)
		all = append(all, replication.Change{Seq: seq, Digest: digest, Body: body})
	}
	st.Snapshot = &replication.Snapshot{Seq: 2, Digest: all[1].Digest, Body: []byte("two")}
	st.Changes = all[2:]
	c.Assert(store.Save(&replication.Write{Changes: all[:2]}), qt.IsNil)
	c.Assert(store.Save(&replication.Write{Snapshot: st.Snapshot, Changes: all[2:3]}), qt.IsNil)
	c.Assert(store.Save(&replication.Write{Changes: all[3:]}), qt.IsNil)
	return st
}

// mustOpen opens a store and fails the test on an error.
func mustOpen(c *qt.C, dir string) (*Store, replication.PersistentState) {
	store, st, err := Open(dir)
	c.Assert(err, qt.IsNil)
	return store, st
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(c.TempDir(), "data # 1%")
	store, st := mustOpen(c, dir)
	c.Assert(st, qt.DeepEquals, replication.PersistentState{})
	want := fill(c, store)
	c.Assert(store.Close(), qt.IsNil)
	store, st = mustOpen(c, dir)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Assert(st, qt.DeepEquals, want)

	// Repeating a write has no further effect; a reset drops everything.
	again := &replication.Write{Changes: want.Changes[1:], Replica: &replication.ReplicaState{RecordEpoch: 9}}
	c.Assert(store.Save(again), qt.IsNil)
	c.Assert(store.Save(again), qt.IsNil)
	again = &replication.Write{Snapshot: want.Snapshot, Changes: want.Changes}
	c.Assert(store.Save(again), qt.IsNil)
	c.Assert(store.Save(again), qt.IsNil)
	c.Assert(store.Save(nil), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	want.Replica = replication.ReplicaState{RecordEpoch: 9}
	store, st = mustOpen(c, dir)
	c.Assert(st, qt.DeepEquals, want)
	id := replication.Identity{ID: "a2", Addr: "10.0.0.1:7000"}
	c.Assert(store.Save(&replication.Write{
		Reset: true, Identity: &id, View: &want.View, Vote: &replication.Vote{}, Replica: &replication.ReplicaState{},
	}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	store, st = mustOpen(c, dir)
	c.Assert(st, qt.DeepEquals, replication.PersistentState{Identity: id, View: want.View})
	c.Assert(store.Close(), qt.IsNil)
}

// TestSaveSurvivesKill checks that saved state survives a process that ends without Close, and that no shared memory
// file is used.
func TestSaveSurvivesKill(t *testing.T) {
	c := qt.New(t)
	dir, copied := c.TempDir(), c.TempDir()
	store, _ := mustOpen(c, dir)
	want := fill(c, store)
	files, err := os.ReadDir(dir)
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		c.Assert(f.Name(), qt.Not(qt.Matches), ".*-shm")
		body, err := os.ReadFile(filepath.Join(dir, f.Name()))
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(copied, f.Name()), body, 0o644), qt.IsNil)
	}
	b, st := mustOpen(c, copied)
	c.Assert(st, qt.DeepEquals, want)
	c.Assert(b.Close(), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
}

// TestBrokenRow checks that a modified, missing or unknown row is reported by name, and that the disk is treated as
// lost until something is saved.
func TestBrokenRow(t *testing.T) {
	for query, report := range map[string]string{
		"UPDATE change SET body = zeroblob(100) WHERE seq = 4":  ".*control.db: row change 4: checksum differs",
		"UPDATE part SET body = x'80' WHERE name = 'vote'":      ".*control.db: row part vote: checksum differs",
		"UPDATE part SET sum = sum + 1 WHERE name = 'snapshot'": ".*control.db: row part snapshot: checksum differs",
		"DELETE FROM change WHERE seq = 3":                      ".*control.db: row change 4: does not follow change 2",
		"DELETE FROM change WHERE seq = 4":                      ".*control.db: the log ends at change 3 instead of 4",
		"DELETE FROM part WHERE name = 'vote'":                  ".*control.db: row part vote: missing",
		"INSERT INTO part VALUES ('other', x'', 0)":             ".*control.db: row part other: .*",
		"PRAGMA user_version = 0":                               ".*control.db: schema 0 with 2 tables",
	} {
		c := qt.New(t)
		dir := c.TempDir()
		store, _ := mustOpen(c, dir)
		fill(c, store)
		_, err := store.conn.ExecContext(context.Background(), query)
		c.Assert(err, qt.IsNil)
		c.Assert(store.Close(), qt.IsNil)
		store, st := mustOpen(c, dir)
		c.Assert(st, qt.DeepEquals, replication.PersistentState{DiskLost: true}, qt.Commentf(query))
		c.Assert(store.SetAsideCause(), qt.ErrorMatches, report)
		c.Assert(store.Close(), qt.IsNil)
		store, st = mustOpen(c, dir)
		c.Assert(st, qt.DeepEquals, replication.PersistentState{DiskLost: true})
		c.Assert(store.SetAsideCause(), qt.IsNil)
		want := fill(c, store)
		c.Assert(store.Close(), qt.IsNil)
		store, st = mustOpen(c, dir)
		c.Assert(st, qt.DeepEquals, want)
		c.Assert(store.Close(), qt.IsNil)
	}
}

// TestTornFile checks that a truncated or overwritten file is treated as a lost disk, and that at most one broken file
// is kept.
func TestTornFile(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path := filepath.Join(dir, fileName)
	for i, tear := range []func([]byte) []byte{
		func(b []byte) []byte { return b[:len(b)/2+100] },
		func(b []byte) []byte { return append(bytes.Repeat([]byte{7}, 200), b[200:]...) },
		func(b []byte) []byte {
			copy(b[len(b)-4096:], bytes.Repeat([]byte{0xff}, 4096))
			return b
		},
		func([]byte) []byte { return []byte("no database") },
	} {
		store, _ := mustOpen(c, dir)
		fill(c, store)
		c.Assert(store.Close(), qt.IsNil)
		body, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(path, tear(body), 0o644), qt.IsNil)
		store, st := mustOpen(c, dir)
		c.Assert(st, qt.DeepEquals, replication.PersistentState{DiskLost: true}, qt.Commentf("tear %d", i))
		c.Assert(store.SetAsideCause(), qt.ErrorMatches, "(?s).*control.db: .*")
		c.Assert(store.Close(), qt.IsNil)
		files, err := filepath.Glob(filepath.Join(dir, "*"+".broken*"))
		c.Assert(err, qt.IsNil)
		c.Assert(files, qt.HasLen, 1)
	}
}

// TestFullDisk checks that Save fails on a full disk without writing anything, and that the same write succeeds later.
func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	want := fill(c, store)
	_, err := store.conn.ExecContext(context.Background(), "PRAGMA max_page_count=20")
	c.Assert(err, qt.IsNil)
	w := &replication.Write{
		Replica:  &replication.ReplicaState{RecordEpoch: 8},
		Snapshot: &replication.Snapshot{Seq: 9, Digest: 9, Body: bytes.Repeat([]byte{1}, 300_000)},
	}
	c.Assert(store.Save(w), qt.ErrorMatches, "statestore: save: .*full.*")
	c.Assert(store.Save(w), qt.ErrorMatches, "statestore: save: .*full.*")
	_, err = store.conn.ExecContext(context.Background(), "PRAGMA max_page_count=100000")
	c.Assert(err, qt.IsNil)
	st, err := store.load(context.Background(), fileName)
	c.Assert(err, qt.IsNil)
	c.Assert(st, qt.DeepEquals, want)
	c.Assert(store.Save(w), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	store, st = mustOpen(c, dir)
	c.Assert(st.Snapshot, qt.DeepEquals, w.Snapshot)
	c.Assert(st.Replica, qt.Equals, *w.Replica)
	c.Assert(st.Changes, qt.HasLen, 0)
	c.Assert(store.Close(), qt.IsNil)
}

// TestFileSizeBound checks that replacing a snapshot many times keeps the files below four times its size plus 1 MiB.
func TestFileSizeBound(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	fill(c, store)
	const size = 2 << 20
	for i := range 20 {
		c.Assert(store.Save(&replication.Write{
			Snapshot: &replication.Snapshot{Seq: uint64(i), Body: bytes.Repeat([]byte{byte(i)}, size)},
		}), qt.IsNil)
	}
	total := int64(0)
	files, err := os.ReadDir(dir)
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		info, err := f.Info()
		c.Assert(err, qt.IsNil)
		total += info.Size()
	}
	c.Assert(total < 4*size+1<<20, qt.IsTrue, qt.Commentf("%d bytes", total))
	c.Assert(store.Close(), qt.IsNil)
}

// TestNewerSchema checks that a file with a newer schema is an error and is not treated as broken.
func TestNewerSchema(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	_, err := store.conn.ExecContext(context.Background(), "PRAGMA user_version = 2")
	c.Assert(err, qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	_, _, err = Open(dir)
	c.Assert(err, qt.ErrorMatches, ".*newer.*")
}

// TestReplicaRestart checks that a replication.Machine resumes from its saved state.
func TestReplicaRestart(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, st := mustOpen(c, dir)
	n := uint64(0)
	opt := replication.Options{
		Self: replication.Member{Addr: "10.0.0.1:7000"}, Seeds: []string{"10.0.0.1:7000"}, Bootstrap: true,
		HeartbeatInterval: 1, ElectionTimeout: 5, ElectionStagger: 1, WriteTimeout: 9, MemberTimeout: 50,
		Rand: func() uint64 { n++; return n },
	}
	app := &text{}
	m, err := replication.New(opt, st, app)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(m.Tick(0).Write), qt.IsNil)
	c.Assert(store.Save(m.Tick(m.NextTick()).Write), qt.IsNil)
	c.Assert(m.Status().Ready, qt.IsTrue)
	out := m.Propose(1, 77, []byte("x"))
	c.Assert(store.Save(out.Write), qt.IsNil)
	c.Assert(out.Answer, qt.DeepEquals, []replication.Answer{{Token: 77, Result: replication.Committed, Seq: 1}})
	c.Assert(store.Close(), qt.IsNil)
	store, st = mustOpen(c, dir)
	app = &text{}
	opt.Bootstrap = false
	m, err = replication.New(opt, st, app)
	c.Assert(err, qt.IsNil)
	c.Assert(app.all, qt.Equals, "x")
	c.Assert(store.Save(m.Tick(0).Write), qt.IsNil)
	c.Assert(m.Status().Ready, qt.IsTrue)
	c.Assert(m.Status().Epoch, qt.Equals, uint64(2))
	c.Assert(store.Close(), qt.IsNil)
}

type text struct{ all string }

func (t *text) Apply(_ uint64, body []byte)         { t.all += string(body) }
func (t *text) Snapshot() []byte                    { return []byte(t.all) }
func (t *text) Restore(_ uint64, body []byte) error { t.all = string(body); return nil }
