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
	// memoryLimitFraction is the fraction of the process's memory limit that becomes Go's soft memory limit. The rest
	// is for memory that the Go runtime doesn't count: the program itself, SQLite, socket buffers.
	memoryLimitFraction = 0.7
	// initialBackoff and maxBackoff are the shortest and the longest wait between two attempts to start.
	initialBackoff, maxBackoff = 50 * time.Millisecond, time.Second
)

// configureRuntime guards against two avoidable ends of the process: by SIGPIPE when it writes to a log whose reader
// has closed the pipe, and by an out-of-memory kill because garbage grows past the memory limit.
func configureRuntime(limits settings.Limits) {
	signal.Ignore(syscall.SIGPIPE)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}

// retryTransient calls start until it succeeds, fails with an error that isn't transient, or ctx ends. Each transient
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
