package statestore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

const sector = 512 // bytes that a disk writes as one, in any order, until it syncs

// files is what is in a folder.
type files map[string][]byte

func readFiles(c *qt.C, dir string) files {
	f := files{}
	for _, name := range []string{fileName, fileName + "-wal"} {
		if b, err := os.ReadFile(filepath.Join(dir, name)); err == nil {
			f[name] = b
		} else {
			c.Assert(os.IsNotExist(err), qt.IsTrue)
		}
	}
	return f
}

// openFiles opens a store that has these files and gives its state.
func openFiles(c *qt.C, f files) replication.PersistentState {
	dir := c.TempDir()
	for name, b := range f {
		c.Assert(os.WriteFile(filepath.Join(dir, name), b, 0o644), qt.IsNil)
	}
	store, st := mustOpen(c, dir)
	c.Assert(store.SetAsideCause(), qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	return st
}

// torn is what a loss of power leaves of a file on its way from one content to another: of each sector the old or the
// new, nothing (zeros) where the file grew but a sector didn't come, and some length between.
func torn(r *rand.Rand, before, after []byte) []byte {
	size := len(before)
	if d := len(after) - size; d > 0 {
		size += r.IntN(d + 1)
	}
	out := make([]byte, size)
	copy(out, before)
	odds := r.IntN(4) // few come, many, all or none
	for at := 0; at < size; at += sector {
		if at < len(after) && r.IntN(3) < odds {
			copy(out[at:min(at+sector, size)], after[at:])
		}
	}
	return out
}

// TestPowerLossDuringSave: whatever sectors of a Save that is under way reach the disk, the store is as before it or as after it;
// also while the log goes back into the file, and when the log begins anew.
func TestPowerLossDuringSave(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	fill(c, store)
	// Checkpoints come often, so that files stay small.
	_, err := store.conn.ExecContext(context.Background(), "PRAGMA wal_autocheckpoint=16")
	c.Assert(err, qt.IsNil)
	var level int // the copies below can't tell whether a commit is synced
	c.Assert(store.conn.QueryRowContext(context.Background(), "PRAGMA synchronous").Scan(&level), qt.IsNil)
	c.Assert(level, qt.Equals, 2)
	before := readFiles(c, dir)
	last := openFiles(c, before)
	// Each sixth Save is a snapshot, else a change and a vote.
	seq, digest := last.Changes[1].Seq, last.Changes[1].Digest
	moved, anew, taken := 0, 0, 0
	for i := range 24 {
		w := &replication.Write{Vote: &replication.Vote{Promised: replication.Ballot{N: uint64(i + 10), ID: "a1"}}}
		if i%6 == 5 {
			w.Snapshot = &replication.Snapshot{Seq: seq, Digest: digest, Body: bytes.Repeat([]byte{byte(i)}, 20_000)}
		} else {
			seq++
			body := bytes.Repeat([]byte{byte(i)}, 2_000)
			digest = replication.ChainDigest(digest, seq, body)
			w.Changes = []replication.Change{{Seq: seq, Digest: digest, Body: body}}
		}
		c.Assert(store.Save(w), qt.IsNil)
		after := readFiles(c, dir)
		next := openFiles(c, after)
		c.Assert(next.Vote, qt.DeepEquals, *w.Vote)
		const wal = fileName + "-wal"
		for range 4 {
			f := files{fileName: before[fileName], wal: torn(r, before[wal], after[wal])}
			st := openFiles(c, f)
			if st.Vote == next.Vote {
				taken++
				c.Assert(st, qt.DeepEquals, next)
			} else {
				c.Assert(st, qt.DeepEquals, last)
			}
		}
		if !bytes.Equal(before[fileName], after[fileName]) { // the log was synced, then its pages went into the file
			moved++
			for range 4 {
				f := files{fileName: torn(r, before[fileName], after[fileName]), wal: after[wal]}
				c.Assert(openFiles(c, f), qt.DeepEquals, next)
			}
		}
		if len(before[wal]) > 32 && !bytes.Equal(before[wal][:32], after[wal][:32]) {
			anew++
		}
		before, last = after, next
	}
	t.Logf("%d times the log went back, %d times it began anew, %d torn Saves count as done", moved, anew, taken)
	c.Assert(moved > 1 && anew > 1 && taken > 1, qt.IsTrue)
	c.Assert(store.Close(), qt.IsNil)
}

// TestPowerLossDuringCreation: what a loss of power leaves of a store that was being made is an empty disk, not a lost one.
func TestPowerLossDuringCreation(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	made := readFiles(c, dir)
	wal := made[fileName+"-wal"]
	cases := []files{{}, {fileName: nil}, {fileName: made[fileName]}, {fileName + "-wal": wal}}
	for n := 0; n <= len(wal); n += sector {
		cases = append(cases, files{fileName: made[fileName], fileName + "-wal": wal[:n]})
	}
	for i, f := range cases {
		c.Assert(openFiles(c, f), qt.DeepEquals, replication.PersistentState{}, qt.Commentf("case %d", i))
	}
	c.Assert(store.Close(), qt.IsNil)
}

// watchSyncs calls see for what the store itself syncs.
func watchSyncs(c *qt.C, see func(path string)) {
	c.Patch(&syncPath, func(path string) error {
		if _, err := os.Stat(path); err != nil {
			return err
		}
		see(path)
		return nil
	})
}

// TestDirectoriesSynced: each new folder is synced in the one above, and what an earlier process left is synced before it
// is read, as it may have been killed between a write and its sync.
func TestDirectoriesSynced(t *testing.T) {
	c := qt.New(t)
	top := c.TempDir()
	dir := filepath.Join(top, "a", "b")
	var synced []string
	watchSyncs(c, func(path string) { synced = append(synced, path) })
	store, _ := mustOpen(c, dir)
	c.Assert(synced, qt.DeepEquals, []string{top, filepath.Join(top, "a"), dir})
	fill(c, store)
	left := readFiles(c, dir)
	c.Assert(store.Close(), qt.IsNil)
	for name, b := range left { // as a killed process leaves it
		c.Assert(os.WriteFile(filepath.Join(dir, name), b, 0o644), qt.IsNil)
	}
	synced = nil
	store, _ = mustOpen(c, dir)
	c.Assert(synced, qt.DeepEquals, []string{filepath.Join(dir, fileName), filepath.Join(dir, fileName+"-wal"), dir})
	c.Assert(store.Close(), qt.IsNil)
}

// TestSetAsideRemovesJournalsLast: the logs of a broken file are there until its new name is on the disk, as without them it
// might be read completely as it was before.
func TestSetAsideRemovesJournalsLast(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	fill(c, store)
	left := readFiles(c, dir)
	c.Assert(store.Close(), qt.IsNil)
	for name, b := range left {
		c.Assert(os.WriteFile(filepath.Join(dir, name), b, 0o644), qt.IsNil)
	}
	var steps []string
	watchSyncs(c, func(path string) {
		there := func(name string) bool { _, err := os.Stat(filepath.Join(dir, name)); return err == nil }
		if path == dir {
			steps = append(steps, fmt.Sprint(there(fileName), there(brokenName), there(fileName+"-wal")))
		}
	})
	c.Assert(setAside(dir), qt.IsNil)
	c.Assert(steps, qt.DeepEquals, []string{"false true true", "false true false"})
}
