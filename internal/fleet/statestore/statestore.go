// Package statestore keeps what replication must not forget (replication.PersistentState) on a core machine's disk,
// in one SQLite file.
//
// It knows nothing of what the state means: replication decides what is written, the control plane's driver calls
// Save with it. A Store belongs to one goroutine at a time: in the control plane, Open and Close to the one that
// starts and ends the program, Save to the driver's.
//
// # Integrity
//
// A Save is one transaction, synced when Save returns (WAL, synchronous=FULL). The file is locked for this process,
// so that there is no shared memory file. Each row carries a checksum; the changes also chain from the snapshot to
// the stored head, so that a missing row is noticed. A file that can't be read completely counts as a lost disk: it
// is renamed to control.db.broken (one at most, an older one is replaced) and PersistentState.DiskLost is set, also
// at later openings, until something was saved.
//
// # Loss of power
//
// What Save and Open have returned survives it. SQLite syncs the directory after it has made its files; directories
// made here are synced in their parents. A process that was killed may leave writes that only the system's memory
// has: Open syncs the files before it reads them, as what is read is acted upon without being written again.
//
// # Size
//
// The file holds one snapshot and the changes since, which replication bounds; while a snapshot is replaced, the old
// and the new one and the log (WAL) of the new one are there, about four times a snapshot in all. The log goes back
// into the file every 256 pages of 4,096 bytes and is cut to 1 MiB.
package statestore

import (
	"database/sql"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/replication"
)

// Names in the data directory; they are stored, so they don't change.
const (
	fileName   = "control.db"
	brokenName = fileName + ".broken"
)

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	db            *sql.DB
	conn          *sql.Conn      // the one connection: locks and settings are per connection
	setAsideCause *UnusableError // nil: Open found a usable file, or none
}

// Open opens or creates the store in dir and loads what it holds. A file that can't be read completely is set aside
// and the state comes back empty with DiskLost set; SetAsideCause then says why. It blocks until the files of an
// earlier process are synced. It fails when the directory can't be used at all, see Transient.
func Open(dir string) (*Store, replication.PersistentState, error) {
	if err := makeDirDurable(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore: make folder")
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
		// Nothing was saved since: a file that was set aside earlier still means that this machine lost its disk.
		st = replication.PersistentState{}
		if _, err := os.Stat(filepath.Join(dir, brokenName)); err == nil {
			st.DiskLost = true
		}
	}
	return store, st, nil
}

// OpenFor opens the store of the machine at an address, as Open does. What another address left is set aside as an
// unusable file is: its identity is a member at that address and answers nothing here, so that this machine begins as
// one that lost its disk, and nothing of the old content is destroyed.
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

// SetAsideCause returns what was wrong with the file that Open set aside (a *UnusableError), nil when nothing was.
func (s *Store) SetAsideCause() error {
	if s.setAsideCause == nil {
		return nil
	}
	return s.setAsideCause
}

// Close closes the file. What Save has returned is on the disk whether Close is called or not.
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
