// Package sockets asks of connections what the standard library does not tell.
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

// Shared is a net.ListenConfig's Control: another process of the same user may listen at the same
// address.
func Shared(_, _ string, raw syscall.RawConn) error {
	var bad error
	err := raw.Control(func(fd uintptr) { bad = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(err, bad)
}

type purposeKey struct{}

// For notes in the context of a dial what the connection is opened for, such as a
// request's id; whoever dials may log or trace it.
func For(ctx context.Context, what string) context.Context {
	return context.WithValue(ctx, purposeKey{}, what)
}

// Purpose is what For has noted; empty: nothing.
func Purpose(ctx context.Context) string {
	what, _ := ctx.Value(purposeKey{}).(string)
	return what
}

// Peeker is a connection that can tell itself what waits unread on it, such as one that
// is no socket. Pending is -1 at its end, 0 where nothing waits, 1 where bytes do.
type Peeker interface{ Pending() int }

// Pending looks what waits unread on a connection, without waiting: -1 its end, 0 nothing,
// 1 bytes. Of a connection that is neither a socket nor a Peeker it knows nothing: 0.
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
	// Control, as Read would wait for the one that reads from the connection.
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

// Life tells whether a process is to accept connections; a lifecycle.Machine is one.
type Life interface {
	Accepts() bool
	Changed() <-chan struct{}
}

// timed is a listener that can be woken from its Accept.
type timed interface{ SetDeadline(time.Time) error }

// Accept accepts a connection while that is for this process to do, and returns net.ErrClosed once end is
// closed while it is not.
func Accept(ln net.Listener, life Life, end <-chan struct{}) (net.Conn, error) {
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
		_ = ln.(timed).SetDeadline(time.Time{}) // woken, and waits above if that still holds
	}
}

// Wake has those who wait in Accept look whether they are to accept, whenever that has changed, until the
// context ends.
func Wake(ctx context.Context, life Life, listeners []net.Listener) {
	for {
		changed := life.Changed()
		for _, ln := range listeners {
			if t, able := ln.(timed); able && !life.Accepts() {
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

// UserTimeout is a net.Dialer's Control: a connection on which bytes sent go unanswered by the other machine for
// the time given breaks, where it would hang for minutes at a machine that says nothing.
func UserTimeout(after time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var bad error
		err := raw.Control(func(fd uintptr) {
			bad = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		return errors.Join(err, bad)
	}
}
