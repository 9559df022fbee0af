package statestore

import (
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
)

// transientErrnos lists what the system answers while a disk is full, refuses writes or is in trouble, and while a process is
// short of descriptors or memory.
var transientErrnos = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EROFS, syscall.EIO, syscall.ETIMEDOUT,
	syscall.EBUSY, syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM}

// transientCodes lists SQLite's answers for the same.
var transientCodes = []sqlite3.ErrNo{sqlite3.ErrFull, sqlite3.ErrIoErr, sqlite3.ErrReadonly, sqlite3.ErrCantOpen, sqlite3.ErrBusy,
	sqlite3.ErrLocked, sqlite3.ErrNomem}

// Transient tells whether an error of Open or Save comes from a disk in trouble, which may take the next try: a process
// waits for it in place of ending. An error that stays until an operator acts is not transient: a schema of a newer
// version, a path that may not be entered.
func Transient(err error) bool {
	var code sqlite3.Error
	if errors.As(err, &code) {
		return slices.Contains(transientCodes, code.Code)
	}
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(transientErrnos, number)
}
