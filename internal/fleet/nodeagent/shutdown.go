package nodeagent

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// graceMargin is how long before the end of the platform's grace this process ends at the latest.
	graceMargin = 300 * time.Millisecond
	// pullMargin is what a pull may take beyond its long poll.
	pullMargin = 200 * time.Millisecond
	// drainNotice is how long after this process is told to end its proxy, which is told as well, may take to say that
	// it drains.
	drainNotice = 500 * time.Millisecond
	// noticeCheckInterval is how often it is looked whether it has said so.
	noticeCheckInterval = 20 * time.Millisecond
	// leaseCheckInterval is how often it is looked whether a draining proxy still has its lease.
	leaseCheckInterval = 250 * time.Millisecond
)

// awaitShutdown returns when this process, which was told to end, is not needed any more: once the proxy, which shuts
// down along with it, has ended and its last residency report is on its way. Until then the proxy's streams follow
// the configuration. It returns after Bounds.Grace less graceMargin at the latest.
func (a *Agent) awaitShutdown(ctx context.Context, longPoll time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Bounds.Grace-graceMargin)
	defer cancel()
	began := time.Now()
	if a.proxyDrains(ctx) {
		a.awaitProxyEnd(ctx)
		a.log.Info("the proxy has drained", zap.Duration("took", time.Since(began)))
	}
	a.awaitFinalReport(ctx, longPoll)
}

// proxyDrains waits until the proxy says that it drains, for drainNotice at the most, and reports whether it did. It
// returns false at once where no proxy has a lease.
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

// awaitProxyEnd waits until the proxy has sent its final request, or has lost its lease without one.
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

// proxyState is what the leases tell of the proxy behind this process.
type proxyState uint8

const (
	proxyGone     proxyState = iota // none has a lease
	proxyServing                    // one has
	proxyDraining                   // one has, and says that it drains
)

// proxyState returns the state of the proxy behind this process.
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

// awaitFinalReport waits until the proxy has sent its last residency report, and then for the pull that carries it to a
// control server. It returns at once where the proxy sent none, and otherwise when ctx ends at the latest.
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
	case <-pull.C: // the pull under way has ended by then, and the next one has begun
	case <-ctx.Done():
	}
}
