package statestore

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// syncPath puts a file or folder on the disk; a variable for tests alone.
var syncPath = func(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer func() { _ = f.Close() }()
	return wrap(f.Sync(), "sync")
}

// makeDirDurable makes dir and what is missing above it, each on the disk before the next.
func makeDirDurable(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return nil
	}
	if above := filepath.Dir(dir); above != dir {
		if err := makeDirDurable(above); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o755); err != nil && !os.IsExist(err) {
		return err
	}
	return syncPath(filepath.Dir(dir))
}

var journalSuffixes = []string{"-wal", "-shm", "-journal"}

// syncExistingFiles puts what an earlier process left on the disk, before it is read: closing a file that SQLite has open would
// give up its locks.
func syncExistingFiles(dir string) error {
	path := filepath.Join(dir, fileName)
	for _, tail := range append([]string{""}, journalSuffixes...) {
		if err := syncPath(path + tail); err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Wrap(err, path+tail)
		}
	}
	return wrap(syncPath(dir), dir)
}

// setAside renames the file, in the place of an older broken one, and removes its logs. The new name is on the disk before
// they go: without them the file might be read whole as it was earlier, and promises would be forgotten.
func setAside(dir string) error {
	path := filepath.Join(dir, fileName)
	if err := os.Rename(path, filepath.Join(dir, brokenName)); err != nil {
		return errors.Wrap(err, "rename")
	}
	if err := syncPath(dir); err != nil {
		return err
	}
	for _, tail := range journalSuffixes {
		if err := os.Remove(path + tail); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "remove")
		}
	}
	return syncPath(dir)
}
