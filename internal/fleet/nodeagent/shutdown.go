package nodeagent

import (
	"context"
	"time"
)

const (
	// graceMargin is how long before the end of the platform's grace this process ends at the latest.
	graceMargin = 300 * time.Millisecond
	// pullMargin is what a pull may take beyond its long poll.
	pullMargin = 200 * time.Millisecond
)

// awaitFinalReport waits until the proxy, which shuts down along with this process, has sent its last residency
// report, and then for the pull that carries it to a control server. It returns at once where the proxy sent none,
// and otherwise after Bounds.Grace less graceMargin at the latest.
func (a *Agent) awaitFinalReport(ctx context.Context, longPoll time.Duration) {
	if !a.cache.Residency.Used() {
		return
	}
	graceful, cancel := context.WithTimeout(ctx, a.settings.Bounds.Grace-graceMargin)
	defer cancel()
	select {
	case <-a.cache.Residency.SendersDone():
	case <-graceful.Done():
		return
	}
	pull := time.NewTimer(longPoll + pullMargin)
	defer pull.Stop()
	select {
	case <-pull.C: // the pull under way has ended by then, and the next one has begun
	case <-graceful.Done():
	}
}
