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

const sector = 512 // bytes that a disk writes atomically; sectors may be written in any order until a sync

// files holds the contents of the files in a directory by name.
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

// openFiles opens a store with the given files and returns its state.
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

// torn returns a possible content of a file after a loss of power between two contents: each sector is old or new, or
// zeros where the file grew but the sector wasn't written, and the length is between the two.
func torn(r *rand.Rand, before, after []byte) []byte {
	size := len(before)
	if d := len(after) - size; d > 0 {
		size += r.IntN(d + 1)
	}
	out := make([]byte, size)
	copy(out, before)
	odds := r.IntN(4) // share of sectors written: none, few, many or all
	for at := 0; at < size; at += sector {
		if at < len(after) && r.IntN(3) < odds {
			copy(out[at:min(at+sector, size)], after[at:])
		}
	}
	return out
}

// TestPowerLossDuringSave checks that, whichever sectors of an interrupted Save reach the disk, the loaded state is
// that before or after the Save; also during a checkpoint, and when the write-ahead log restarts.
func TestPowerLossDuringSave(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	dir := c.TempDir()
	store, _ := mustOpen(c, dir)
	fill(c, store)
	// Frequent checkpoints keep the files small.
	_, err := store.conn.ExecContext(context.Background(), "PRAGMA wal_autocheckpoint=16")
	c.Assert(err, qt.IsNil)
	var level int // the copies below don't show whether a commit is synced
	c.Assert(store.conn.QueryRowContext(context.Background(), "PRAGMA synchronous").Scan(&level), qt.IsNil)
	c.Assert(level, qt.Equals, 2)
	before := readFiles(c, dir)
	last := openFiles(c, before)
	// Every sixth Save writes a snapshot, the others a change; each also writes a vote.
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
		if !bytes.Equal(before[fileName], after[fileName]) { // checkpoint: the log was synced, then its pages were copied into the file
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
	t.Logf("%d checkpoints, %d restarts of the log, %d torn saves loaded as complete", moved, anew, taken)
	c.Assert(moved > 1 && anew > 1 && taken > 1, qt.IsTrue)
	c.Assert(store.Close(), qt.IsNil)
}

// TestPowerLossDuringCreation checks that a loss of power while the store is created leaves an empty disk, not a lost
// one.
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

// watchSyncs calls see for each path that the store itself syncs.
func watchSyncs(c *qt.C, see func(path string)) {
	c.Patch(&syncPath, func(path string) error {
		if _, err := os.Stat(path); err != nil {
			return err
		}
		see(path)
		return nil
	})
}

// TestDirectoriesSynced checks that each new directory is synced in its parent, and that the files of an earlier
// process are synced before they are read, as that process may have been killed between a write and its sync.
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
	for name, b := range left { // as left by a killed process
		c.Assert(os.WriteFile(filepath.Join(dir, name), b, 0o644), qt.IsNil)
	}
	synced = nil
	store, _ = mustOpen(c, dir)
	c.Assert(synced, qt.DeepEquals, []string{filepath.Join(dir, fileName), filepath.Join(dir, fileName+"-wal"), dir})
	c.Assert(store.Close(), qt.IsNil)
}

// TestSetAsideRemovesJournalsLast checks that the journals of a broken file are removed only after its rename is
// synced: without them the file might load as an older state.
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
