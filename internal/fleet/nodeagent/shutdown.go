package nodeagent

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// graceMargin is the time between the latest end of this process and the end of the platform's grace period.
	graceMargin = 300 * time.Millisecond
	// pullMargin is the time that a pull may take beyond its long poll.
	pullMargin = 200 * time.Millisecond
	// drainNotice is the time after this process's SIGTERM within which the proxy, which is terminated too, must report
	// that it drains.
	drainNotice = 500 * time.Millisecond
	// noticeCheckInterval is the interval of checks whether the proxy has reported that it drains.
	noticeCheckInterval = 20 * time.Millisecond
	// leaseCheckInterval is the interval of checks whether a draining proxy still has its lease.
	leaseCheckInterval = 250 * time.Millisecond
)

// awaitShutdown blocks, after the request to end this process, until the proxy, which shuts down at the same time, has
// ended and its last residency report has been forwarded. Until then the proxy needs updates of the configuration for
// its streams. It returns after Bounds.Grace less graceMargin at the latest.
func (a *Agent) awaitShutdown(ctx context.Context, longPoll time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Bounds.Grace-graceMargin)
	defer cancel()
	began := time.Now()
	if a.proxyDrains(ctx) {
		a.awaitProxyEnd(ctx)
		a.log.Info("proxy drained", zap.Duration("took", time.Since(began)))
	}
	a.awaitFinalReport(ctx, longPoll)
}

// proxyDrains waits until the proxy reports that it drains, at most for drainNotice, and reports whether it did. It
// returns false at once if no proxy has a lease.
func (a *Agent) proxyDrains(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, drainNotice)
	defer cancel()
	check := time.NewTicker(noticeCheckInterval)
	defer check.Stop()
	for {
		state := a.proxyState()
		if state != proxyServing {
			return state == proxyDraining
		}
		select {
		case <-check.C:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitProxyEnd waits until the proxy has sent its final request, or its lease has expired without one.
func (a *Agent) awaitProxyEnd(ctx context.Context) {
	check := time.NewTicker(leaseCheckInterval)
	defer check.Stop()
	for a.proxyState() != proxyGone {
		select {
		case <-a.cache.Residency.SendersDone():
			return
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}

// proxyState is the state of this machine's proxy according to its lease.
type proxyState uint8

const (
	proxyGone     proxyState = iota // no lease
	proxyServing                    // a lease
	proxyDraining                   // a lease, and draining
)

// proxyState returns the state of this machine's proxy.
func (a *Agent) proxyState() proxyState {
	state := proxyGone
	for _, m := range a.cache.Members(time.Now(), a.leaseTerm()) {
		if m.Draining {
			return proxyDraining
		}
		state = proxyServing
	}
	return state
}

// awaitFinalReport waits until the proxy has sent its last residency report, and then for the pull that forwards it to
// a control server. It returns at once if the proxy never sent a report, and otherwise when ctx ends at the latest.
func (a *Agent) awaitFinalReport(ctx context.Context, longPoll time.Duration) {
	if !a.cache.Residency.Used() {
		return
	}
	select {
	case <-a.cache.Residency.SendersDone():
	case <-ctx.Done():
		return
	}
	pull := time.NewTimer(longPoll + pullMargin)
	defer pull.Stop()
	select {
	case <-pull.C: // the pull in flight has ended by then, and the next one has begun
	case <-ctx.Done():
	}
}
