package distribution

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff between dials. The wait doubles from Min to Max, with jitter of up to half of it so
// that clients that lost a server at the same time don't reconnect at the same time, and is reset to Min after a
// connection that lasted. It must be used by one goroutine.
type Backoff struct {
	// Min is the first wait.
	Min time.Duration
	// Max bounds the wait; a connection that lasted ten times as long resets it.
	Max time.Duration

	next time.Duration
}

// Wait blocks until it is time to dial again or ctx ends; lasted is how long the last connection was open.
func (b *Backoff) Wait(ctx context.Context, lasted time.Duration) {
	if b.next == 0 || lasted > 10*b.Max {
		b.next = b.Min
	}
	wait := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, b.Max)
	sleep(ctx, wait)
}

// sleep blocks for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
