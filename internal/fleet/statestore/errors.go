package statestore

import (
	"fmt"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
)

// UnusableError says why a file was set aside: its content is damaged, or it belongs to another machine. The disk then
// counts as lost.
type UnusableError struct {
	File string // path
	Row  string // table and key; "" when it isn't one row
	Err  error
}

// Error returns file, row and cause.
func (e *UnusableError) Error() string {
	if e.Row == "" {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: row %s: %v", e.File, e.Row, e.Err)
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }

// transientErrnos are what the system answers while a disk is full, refuses writes or fails, and while a process is
// short of descriptors or memory.
var transientErrnos = []syscall.Errno{
	syscall.ENOSPC,
	syscall.EDQUOT,
	syscall.EFBIG,
	syscall.EROFS,
	syscall.EIO,
	syscall.ETIMEDOUT,
	syscall.EBUSY,
	syscall.EAGAIN,
	syscall.EINTR,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOMEM,
}

// transientCodes are SQLite's answers for the same.
var transientCodes = []sqlite3.ErrNo{
	sqlite3.ErrFull,
	sqlite3.ErrIoErr,
	sqlite3.ErrReadonly,
	sqlite3.ErrCantOpen,
	sqlite3.ErrBusy,
	sqlite3.ErrLocked,
	sqlite3.ErrNomem,
}

// corruptionCodes are SQLite's answers for a file whose content is damaged.
var corruptionCodes = []sqlite3.ErrNo{
	sqlite3.ErrCorrupt,
	sqlite3.ErrNotADB,
	sqlite3.ErrFormat,
}

// Transient reports whether an error of Open or Save comes from a failing disk, which may succeed at a later attempt: a
// process waits for it in place of ending. An error that stays until an operator acts is not transient: a schema of a
// newer version, a path that may not be entered.
func Transient(err error) bool {
	var code sqlite3.Error
	if errors.As(err, &code) {
		return slices.Contains(transientCodes, code.Code)
	}
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(transientErrnos, number)
}

// classify makes an *UnusableError of an error about the file's content. An error of the disk itself stays what it
// is: the content may be fine.
func classify(path string, err error) error {
	var e sqlite3.Error
	if errors.As(err, &e) && slices.Contains(corruptionCodes, e.Code) {
		return &UnusableError{File: path, Err: err}
	}
	return err
}

// wrap is errors.Wrap for an error that may be nil, which errors.Wrap would make one of.
func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
