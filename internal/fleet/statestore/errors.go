package statestore

import (
	"fmt"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
)

// UnusableError is the reason why a file was set aside: its content is damaged, or it belongs to another machine. The
// disk is then treated as lost.
type UnusableError struct {
	File string // path
	Row  string // table and key; "" if the error isn't about a single row
	Err  error
}

// Error returns the file, the row and the cause.
func (e *UnusableError) Error() string {
	if e.Row == "" {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: row %s: %v", e.File, e.Row, e.Err)
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }

// transientErrnos are the errors of the operating system while a disk is full, read-only or failing, and while the
// process lacks file descriptors or memory.
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

// transientCodes are SQLite's codes for the same conditions.
var transientCodes = []sqlite3.ErrNo{
	sqlite3.ErrFull,
	sqlite3.ErrIoErr,
	sqlite3.ErrReadonly,
	sqlite3.ErrCantOpen,
	sqlite3.ErrBusy,
	sqlite3.ErrLocked,
	sqlite3.ErrNomem,
}

// corruptionCodes are SQLite's codes for a file with damaged content.
var corruptionCodes = []sqlite3.ErrNo{
	sqlite3.ErrCorrupt,
	sqlite3.ErrNotADB,
	sqlite3.ErrFormat,
}

// Transient reports whether a later attempt may succeed after an error of Open or Save, so that a process retries
// instead of exiting: the disk is full, read-only or failing, the file is locked, or the process lacks memory or file
// descriptors. Not transient are, for example, a newer schema version and the operating system's error for a lack of
// permission. SQLite's ErrCantOpen and ErrReadonly count as transient, whatever their cause.
func Transient(err error) bool {
	var code sqlite3.Error
	if errors.As(err, &code) {
		return slices.Contains(transientCodes, code.Code)
	}
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(transientErrnos, number)
}

// classify wraps an error about the file's content in an *UnusableError. Other errors, such as those of the disk
// itself, are returned as they are: the content may be intact.
func classify(path string, err error) error {
	var e sqlite3.Error
	if errors.As(err, &e) && slices.Contains(corruptionCodes, e.Code) {
		return &UnusableError{File: path, Err: err}
	}
	return err
}

// wrap is errors.Wrap for an error that may be nil; errors.Wrap would turn nil into an error.
func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
