package statestore

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

// TestOtherAddress checks that the state of a machine at another address is set aside completely, and that this machine
// has a lost disk, also at its next start.
func TestOtherAddress(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	want := fill(c, store)
	c.Assert(store.Close(), qt.IsNil)
	for range 2 {
		store, st, err := OpenFor(dir, "10.0.0.9:7000")
		c.Assert(err, qt.IsNil)
		c.Assert(st, qt.DeepEquals, replication.PersistentState{DiskLost: true})
		c.Assert(store.Close(), qt.IsNil)
	}
	kept, err := os.ReadFile(filepath.Join(dir, brokenName))
	c.Assert(err, qt.IsNil)
	c.Assert(openFiles(c, files{fileName: kept}), qt.DeepEquals, want)

	store, st, err := OpenFor(dir, "10.0.0.9:7000")
	c.Assert(err, qt.IsNil)
	c.Assert(st.DiskLost, qt.IsTrue)
	identity := replication.Identity{ID: "b2", Addr: "10.0.0.9:7000"}
	c.Assert(store.Save(&replication.Write{
		Reset:    true,
		Identity: &identity,
		View:     &st.View,
		Vote:     &st.Vote,
		Replica:  &st.Replica,
	}), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	store, st, err = OpenFor(dir, "10.0.0.9:7000")
	c.Assert(err, qt.IsNil)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Assert(st.Identity, qt.Equals, identity)
	c.Assert(store.Close(), qt.IsNil)
}

// TestMismatchedFiles checks that a store with a missing file, or a log from another time, loads as a state that was
// saved once or as a lost or empty disk, never as a mixture.
func TestMismatchedFiles(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	fill(c, store)
	const wal = fileName + "-wal"
	times := []files{}
	states := []replication.PersistentState{{}, {DiskLost: true}}
	for i := range 16 {
		vote := replication.Vote{Promised: replication.Ballot{N: uint64(10 + i), ID: "a1"}}
		snapshot := &replication.Snapshot{Seq: uint64(5 + i), Digest: uint64(i), Body: make([]byte, 40_000)}
		w := &replication.Write{Vote: &vote, Snapshot: snapshot}
		c.Assert(store.Save(w), qt.IsNil)
		now := readFiles(c, dir)
		times, states = append(times, now), append(states, openFiles(c, now))
	}
	c.Assert(store.Close(), qt.IsNil)
	saved := func(st replication.PersistentState) bool {
		for i := range states {
			if st.Vote == states[i].Vote && st.DiskLost == states[i].DiskLost {
				return qt.Check(c, st, qt.DeepEquals, states[i])
			}
		}
		return false
	}
	for i, one := range times {
		c.Assert(saved(openEither(c, files{fileName: one[fileName]})), qt.IsTrue, qt.Commentf("without its log, %d", i))
		alone := openEither(c, files{wal: one[wal]})
		c.Assert(alone, qt.DeepEquals, replication.PersistentState{}, qt.Commentf("a log alone, %d", i))
		other := times[(i*7+3)%len(times)]
		mixed := openEither(c, files{fileName: one[fileName], wal: other[wal]})
		c.Assert(saved(mixed), qt.IsTrue, qt.Commentf("a log of another time, %d", i))
	}
}

// openEither opens a store with the given files, which may be incomplete.
func openEither(c *qt.C, f files) replication.PersistentState {
	dir := c.TempDir()
	for name, b := range f {
		c.Assert(os.WriteFile(filepath.Join(dir, name), b, 0o644), qt.IsNil)
	}
	store, st := mustOpen(c, dir)
	c.Assert(store.Close(), qt.IsNil)
	return st
}
