package controlplane

import (
	"context"
	"time"
)

// sleep blocks for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitFor blocks until event is closed or ctx ends.
func waitFor(ctx context.Context, event <-chan struct{}) {
	select {
	case <-event:
	case <-ctx.Done():
	}
}

// waitForEither blocks until one of two events, for atMost at most. It returns false if ctx ended first.
func waitForEither(ctx context.Context, atMost time.Duration, one, other <-chan struct{}) bool {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-one:
	case <-other:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
