package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenWithin is how long the programs retry at startup while a listen address is in use.
const ListenWithin = 5 * time.Second

const (
	// listenPause is the wait between two attempts to listen, acceptPause the wait after a failed Accept.
	listenPause = 50 * time.Millisecond
	acceptPause = 20 * time.Millisecond
)

// Listen listens on a TCP address. While the address is in use, for example because the previous process is still
// exiting, or while descriptors or memory are short, it retries until within has passed or ctx has ended. The listener
// survives errors of single connections: its Accept fails only once it is closed or its deadline has passed.
func Listen(ctx context.Context, address string, within time.Duration) (net.Listener, error) {
	listener, err := retryListen(ctx, within, func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return nil, err
	}
	return persistentListener{listener}, nil
}

// retryListen calls listen until it succeeds, fails with a permanent error, or within has passed.
func retryListen(ctx context.Context, within time.Duration, listen func() (net.Listener, error)) (net.Listener, error) {
	giveUp := time.Now().Add(within)
	for {
		listener, err := listen()
		if err == nil || !mayPass(err) || !time.Now().Before(giveUp) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(listenPause):
		}
	}
}

// mayPass reports whether a listen error is temporary.
func mayPass(err error) bool {
	for _, number := range []syscall.Errno{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// persistentListener continues to accept after a temporary error. A server that stops at the first such error, as
// net/http's does, would end the process or leave it without a listener.
type persistentListener struct{ net.Listener }

// Accept waits for the next connection. It retries on every error but net.ErrClosed and os.ErrDeadlineExceeded.
func (l persistentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		time.Sleep(acceptPause)
	}
}
