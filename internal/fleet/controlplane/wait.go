package controlplane

import (
	"context"
	"time"
)

// sleep blocks for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitFor blocks until an event or until ctx ends.
func waitFor(ctx context.Context, event <-chan struct{}) {
	select {
	case <-event:
	case <-ctx.Done():
	}
}

// waitForEither blocks until one of two events, for a time at most, and returns false when ctx ended before.
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
