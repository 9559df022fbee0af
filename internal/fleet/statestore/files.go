package statestore

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// syncPath syncs a file or directory to the disk. It is a variable so that tests can replace it.
var syncPath = func(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = f.Close() }()
	return wrap(f.Sync(), "sync")
}

// makeDirDurable creates dir and its missing parents, and syncs each in its parent before it creates the next.
func makeDirDurable(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return nil
	}
	if parent := filepath.Dir(dir); parent != dir {
		if err := makeDirDurable(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !os.IsExist(err) {
		return err
	}
	return syncPath(filepath.Dir(dir))
}

// journalSuffixes are the suffixes of SQLite's files beside the database.
var journalSuffixes = []string{"-wal", "-shm", "-journal"}

// syncExistingFiles syncs the files left by an earlier process before they are read. It must run before SQLite opens
// them: closing a file that SQLite has open would release its locks.
func syncExistingFiles(dir string) error {
	path := filepath.Join(dir, fileName)
	for _, suffix := range append([]string{""}, journalSuffixes...) {
		if err := syncPath(path + suffix); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, path+suffix)
		}
	}
	return wrap(syncPath(dir), dir)
}

// setAside renames the database file, replacing one that was set aside earlier, and removes its journals. The rename is
// synced before the journals are removed: without them the file might load as a complete but older state, and votes
// would be lost.
func setAside(dir string) error {
	path := filepath.Join(dir, fileName)
	if err := os.Rename(path, filepath.Join(dir, brokenName)); err != nil {
		return errors.Wrap(err, "rename")
	}
	if err := syncPath(dir); err != nil {
		return err
	}
	for _, suffix := range journalSuffixes {
		if err := os.Remove(path + suffix); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "remove")
		}
	}
	return syncPath(dir)
}
