// Package sockets provides socket operations that the standard library lacks: listening with retries, socket options,
// looking for unread bytes, and listeners that accept only at times. Its functions may be called from any goroutine.
package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Shared is a Control function for net.ListenConfig that sets SO_REUSEPORT, so that another process of the same user
// may listen on the same address.
func Shared(_, _ string, raw syscall.RawConn) error {
	var bad error
	err := raw.Control(func(fd uintptr) { bad = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, bad)
}

type purposeKey struct{}

// WithPurpose returns a context for a dial that carries what the connection is opened for, such as a request id, for
// logs and traces.
func WithPurpose(ctx context.Context, what string) context.Context {
	return context.WithValue(ctx, purposeKey{}, what)
}

// Purpose returns the purpose set by WithPurpose, or an empty string.
func Purpose(ctx context.Context) string {
	what, _ := ctx.Value(purposeKey{}).(string)
	return what
}

// Peeker is a connection that reports itself whether it has unread bytes, such as one that is not a socket. Pending
// returns -1 at its end, 0 if nothing can be read, 1 if bytes can.
type Peeker interface{ Pending() int }

// Pending reports without blocking what can be read from a connection: -1 its end or an error, 0 nothing, 1 bytes. It
// returns 0 for a connection that is neither a socket nor a Peeker.
func Pending(c net.Conn) int {
	if p, ok := c.(Peeker); ok {
		return p.Pending()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	found := -1
	// Control, as the raw connection's Read would wait for a concurrent reader
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			found = 0
		case err == nil && n > 0:
			found = 1
		}
	})
	if err != nil {
		return -1
	}
	return found
}

// AcceptState states whether a process is to accept connections; lifecycle.Machine implements it.
type AcceptState interface {
	Accepts() bool
	Changed() <-chan struct{}
}

// deadlineSetter is a listener whose Accept can be woken by a deadline.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// Accept accepts a connection while life allows it, and returns net.ErrClosed if end is closed while life does not.
func Accept(ln net.Listener, life AcceptState, end <-chan struct{}) (net.Conn, error) {
	for {
		changed := life.Changed()
		if !life.Accepts() {
			select {
			case <-changed:
				continue
			case <-end:
				return nil, net.ErrClosed
			}
		}
		c, err := ln.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		_ = ln.(deadlineSetter).SetDeadline(time.Time{}) // woken by Wake: check life again
	}
}

// Wake interrupts blocked Accept calls whenever life changes to not accepting, until the context ends.
func Wake(ctx context.Context, life AcceptState, listeners []net.Listener) {
	for {
		changed := life.Changed()
		for _, ln := range listeners {
			if t, able := ln.(deadlineSetter); able && !life.Accepts() {
				_ = t.SetDeadline(time.Unix(1, 0))
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT: a connection whose sent bytes stay
// unacknowledged for that long breaks, where it would hang for minutes on a machine that does not respond.
func UserTimeout(after time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var bad error
		err := raw.Control(func(fd uintptr) {
			bad = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		return errors.Join(err, bad)
	}
}
