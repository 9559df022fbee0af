package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"molepaddle/internal/fleet/settings"
)

const (
	// memoryLimitFraction is the share of the memory limit from which on the garbage collector works harder. The rest
	// is for what it doesn't count: the program itself, SQLite, bytes that sockets hold.
	memoryLimitFraction = 0.7
	// initialBackoff and maxBackoff are the first and the longest wait between two attempts to start.
	initialBackoff, maxBackoff = 50 * time.Millisecond, time.Second
)

// configureRuntime keeps the process from ending by itself needlessly: by a log whose reader has gone (writing
// to it would raise SIGPIPE), and by garbage that grows past the memory limit.
func configureRuntime(limits settings.Limits) {
	signal.Ignore(syscall.SIGPIPE)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}

// retryTransient calls start until it succeeds or fails with an error that stays, or ctx ends. Each transient
// failure is passed to onFailure.
func retryTransient(ctx context.Context, isTransient func(error) bool, onFailure func(error),
	start func() error) error {
	backoff := initialBackoff
	for {
		err := start()
		if err == nil || !isTransient(err) {
			return err
		}
		onFailure(err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
