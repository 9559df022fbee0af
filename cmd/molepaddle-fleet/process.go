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
	// memoryShare is the share of the memory limit from which on the garbage collector works harder. The rest is for what
	// it doesn't count: the program itself, SQLite, bytes that sockets hold.
	memoryShare = 0.7
	// retryPause and retryPauseMost are the first and the longest wait between two tries to start.
	retryPause, retryPauseMost = 50 * time.Millisecond, time.Second
)

// protect keeps the process from ending by itself where it needn't: by a log whose reader has gone (writing to it would
// raise SIGPIPE), and by garbage that grows past the memory limit.
func protect(limits settings.Limits) {
	signal.Ignore(syscall.SIGPIPE)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * memoryShare * (1 << 20)))
	}
}

// retry calls start until it succeeds or fails with an error that stays, or ctx ends. Each failure that passes is told.
func retry(ctx context.Context, passes func(error) bool, tell func(error), start func() error) error {
	pause := retryPause
	for {
		err := start()
		if err == nil || !passes(err) {
			return err
		}
		tell(err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
		pause = min(2*pause, retryPauseMost)
	}
}
