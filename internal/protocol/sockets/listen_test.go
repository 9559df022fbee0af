package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// refusal returns the error that net.Listen or Accept returns for an errno.
func refusal(call string, number syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, number)}
}

// scriptedListener returns the scripted errors, then in-memory connections.
type scriptedListener struct {
	net.Listener
	failures []error
	accepted int
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.accepted++
	if len(l.failures) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

func TestListenWaitsForItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wanted, tries := &scriptedListener{}, 0
		got, err := retryListen(t.Context(), time.Second, func() (net.Listener, error) {
			if tries++; tries < 4 {
				return nil, refusal("bind", syscall.EADDRINUSE)
			}
			return wanted, nil
		})
		if got != wanted || err != nil || tries != 4 {
			t.Errorf("got %v, %v after %d tries", got, err, tries)
		}
	})
}

func TestListenGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := retryListen(t.Context(), time.Second, func() (net.Listener, error) { return nil, refusal("bind", syscall.EADDRINUSE) })
		if took := time.Since(began); !errors.Is(err, syscall.EADDRINUSE) || took < time.Second || took > time.Second+listenPause {
			t.Errorf("gave up with %v after %v", err, took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began = time.Now()
		_, err = retryListen(ctx, time.Second, func() (net.Listener, error) { return nil, refusal("bind", syscall.EADDRINUSE) })
		if took := time.Since(began); !errors.Is(err, syscall.EADDRINUSE) || took != 0 {
			t.Errorf("with its context over: %v after %v", err, took)
		}
	})
}

func TestListenFailsAtOnceForGood(t *testing.T) {
	tries := 0
	_, err := retryListen(t.Context(), time.Hour, func() (net.Listener, error) {
		tries++
		return nil, refusal("bind", syscall.EACCES)
	})
	if !errors.Is(err, syscall.EACCES) || tries != 1 {
		t.Errorf("%v after %d tries", err, tries)
	}
}

func TestAcceptGoesOnAfterErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &scriptedListener{failures: []error{refusal("accept4", syscall.EMFILE), refusal("accept4", syscall.ENOBUFS),
			refusal("accept4", syscall.ENOMEM)}}
		if c, err := (persistentListener{l}).Accept(); c == nil || err != nil || l.accepted != 4 {
			t.Errorf("%v, %v after %d tries", c, err, l.accepted)
		}
		l.failures = []error{net.ErrClosed}
		if _, err := (persistentListener{l}).Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("closed: %v", err)
		}
	})
}

// A listener on loopback reports its address, accepts, and ends its Accept when it is closed.
func TestListen(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(t.Context(), l.Addr().String(), 0); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("an address in use: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Accept goes on after the end")
	}
}
