package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenWithin is how long the programs wait at their start for an address that is still in use.
const ListenWithin = 5 * time.Second

const (
	// listenPause is the wait before the next try to listen, acceptPause the one after a failed Accept.
	listenPause = 50 * time.Millisecond
	acceptPause = 20 * time.Millisecond
)

// Listen listens at a TCP address. While the address is in use, as where the process before this one is still ending,
// or descriptors are short, it tries again until within has passed or ctx has ended. The listener survives errors of
// single connections: its Accept fails only once it is closed.
func Listen(ctx context.Context, address string, within time.Duration) (net.Listener, error) {
	listener, err := retryListen(ctx, within, func() (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return nil, err
	}
	return persistentListener{listener}, nil
}

// retryListen calls listen until it succeeds, fails for good, or the time is over.
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

// mayPass tells whether an error of listening may be gone at the next try.
func mayPass(err error) bool {
	for _, number := range []syscall.Errno{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// persistentListener accepts on after an error that isn't its end. A server that gives up at the first other error,
// as net/http's does, would end the process or leave it deaf.
type persistentListener struct{ net.Listener }

// Accept waits for the next connection.
func (l persistentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		time.Sleep(acceptPause)
	}
}
