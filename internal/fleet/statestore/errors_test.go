package statestore

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
)

// TestTransient checks that errors of a failing disk are transient, and those that persist until an operator acts are
// not.
func TestTransient(t *testing.T) {
	c := qt.New(t)
	refused := func(number syscall.Errno) error {
		return errors.Wrap(&os.PathError{Op: "open", Path: "control.db", Err: number}, "statestore: create directory")
	}
	for _, err := range []error{
		refused(syscall.ENOSPC),
		refused(syscall.EIO),
		refused(syscall.EROFS),
		refused(syscall.EMFILE),
		errors.Wrap(sqlite3.Error{Code: sqlite3.ErrFull}, "commit"),
		errors.Wrap(sqlite3.Error{Code: sqlite3.ErrIoErr}, "check"),
	} {
		c.Check(Transient(err), qt.IsTrue, qt.Commentf("%v", err))
	}
	for _, err := range []error{
		nil,
		errors.New("schema 2 is newer than 1"),
		refused(syscall.EACCES),
		refused(syscall.ENOTDIR),
		&UnusableError{File: "control.db", Err: sqlite3.Error{Code: sqlite3.ErrCorrupt}},
	} {
		c.Check(Transient(err), qt.IsFalse, qt.Commentf("%v", err))
	}
}

// TestOpenIsTransientUntilTheFileCanBeMade opens a store while a directory has its file's name, and again without it.
func TestOpenIsTransientUntilTheFileCanBeMade(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	inTheWay := filepath.Join(dir, fileName)
	c.Assert(os.Mkdir(inTheWay, 0o700), qt.IsNil)
	_, _, err := Open(dir)
	c.Assert(err, qt.IsNotNil)
	c.Assert(Transient(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(os.Remove(inTheWay), qt.IsNil)
	store, state, err := Open(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(state.DiskLost, qt.IsFalse)
	c.Assert(store.Close(), qt.IsNil)
}

// TestOpenNewerSchema checks that the error for a newer schema is not transient.
func TestOpenNewerSchema(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	store, _, err := Open(dir)
	c.Assert(err, qt.IsNil)
	_, err = store.conn.ExecContext(t.Context(), "PRAGMA user_version=99")
	c.Assert(err, qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	_, _, err = Open(dir)
	c.Assert(err, qt.ErrorMatches, ".*schema 99 is newer than 1.*")
	c.Assert(Transient(err), qt.IsFalse)
}
