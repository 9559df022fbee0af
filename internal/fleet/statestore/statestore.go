// Package statestore stores the persistent state of replication (replication.PersistentState) on a core machine's disk,
// in one SQLite file.
//
// It does not interpret the state: replication decides what is written, and the control plane's driver passes that to
// Save. A Store belongs to one goroutine at a time: in the control plane, Open and Close are called by the goroutine
// that starts and ends the program, Save by the driver's.
//
// # Integrity
//
// A Save is one transaction, synced when Save returns (WAL, synchronous=FULL). The file is locked for this process, so
// that there is no shared memory file. Each row carries a checksum; the changes also form a digest chain from the
// snapshot to the stored head, so that a missing row is detected. A file that can't be read completely is treated as a
// lost disk: it is renamed to control.db.broken (at most one is kept, an older one is replaced) and
// PersistentState.DiskLost is set, also by later calls of Open, until something is saved.
//
// # Loss of power
//
// State that Save or Open has returned survives a loss of power. SQLite syncs the directory after creating its files;
// directories created here are synced in their parents. A killed process may leave writes that are only in the system's
// page cache: Open syncs the files before it reads them, because the loaded state is acted upon without being written
// again.
//
// # Size
//
// The file holds one snapshot and the changes since, which replication bounds. While a snapshot is replaced, the disk
// holds the old and the new one and the new one's write-ahead log, about four times a snapshot in all. The write-ahead
// log is checkpointed every 256 pages of 4,096 bytes and truncated to 1 MiB.
package statestore

import (
	"database/sql"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/replication"
)

// File names in the data directory. They must not change, as earlier builds left such files.
const (
	fileName   = "control.db"
	brokenName = fileName + ".broken"
)

// Store is an open state store. It is not safe for concurrent use.
type Store struct {
	db            *sql.DB
	conn          *sql.Conn      // the only connection, as locks and settings are per connection
	setAsideCause *UnusableError // nil if Open found a usable file, or none
}

// Open opens or creates the store in dir and loads its state. A file that can't be read completely is set aside, and
// the returned state is empty with DiskLost set; SetAsideCause then returns the reason. Open blocks until the files of
// an earlier process are synced. It fails if the directory can't be used; see Transient.
func Open(dir string) (*Store, replication.PersistentState, error) {
	if err := makeDirDurable(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore: create directory")
	}
	if err := syncExistingFiles(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	path := filepath.Join(dir, fileName)
	store, st, err := open(path)
	var unusable *UnusableError
	if errors.As(err, &unusable) {
		if err := setAside(dir); err != nil {
			return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", unusable)
		}
		store, st, err = open(path)
	}
	if err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	store.setAsideCause = unusable
	if st.Identity.ID == "" {
		// Nothing has been saved since a file was set aside, so the disk is still treated as lost.
		st = replication.PersistentState{}
		if _, err := os.Stat(filepath.Join(dir, brokenName)); err == nil {
			st.DiskLost = true
		}
	}
	return store, st, nil
}

// OpenFor opens the store of the machine at addr, as Open does. The state of another address is set aside like an
// unusable file: its identity is that of a member at the other address and can't be used here. This machine then starts
// as one that has lost its disk, and none of the old content is destroyed.
func OpenFor(dir, addr string) (*Store, replication.PersistentState, error) {
	store, st, err := Open(dir)
	if err != nil || st.Identity.ID == "" || st.Identity.Addr == addr {
		return store, st, err
	}
	foreign := &UnusableError{
		File: filepath.Join(dir, fileName),
		Err:  errors.Errorf("the state belongs to %s, not to %s", st.Identity.Addr, addr),
	}
	if err := store.Close(); err != nil {
		return nil, replication.PersistentState{}, err
	}
	if err := setAside(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", foreign)
	}
	if store, st, err = Open(dir); err == nil {
		store.setAsideCause = foreign
	}
	return store, st, err
}

// SetAsideCause returns why Open or OpenFor set a file aside (an *UnusableError); nil if none was set aside.
func (s *Store) SetAsideCause() error {
	if s.setAsideCause == nil {
		return nil
	}
	return s.setAsideCause
}

// Close closes the file. State that Save has returned is on the disk whether or not Close is called.
func (s *Store) Close() error {
	var err error
	if s.conn != nil {
		err = s.conn.Close()
	}
	if dbErr := s.db.Close(); err == nil {
		err = dbErr
	}
	return wrap(err, "statestore: close")
}
