package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// acceptWindow is for how long a draining proxy still accepts connections: the platform checks every second
	// whether it is ready, and sends clients elsewhere after two misses.
	acceptWindow = 3 * time.Second
	// forceCloseMargin is how long before the end of the grace period what is still open is closed: the process has to
	// end before it is killed.
	forceCloseMargin = 300 * time.Millisecond
	// firstByteTargets is how many latency targets of its route an answer may take to its first byte.
	firstByteTargets = 4
	// paceFactor is how many times as slowly as in recent streams the events of a stream may come.
	paceFactor = 2
	// notReadyLag is how long after a proxy's answer that it isn't ready the platform still sends it clients, at the
	// most: two misses, a second apart, and some time for the way.
	notReadyLag = 2200 * time.Millisecond
	// retryElsewhereAfter is the least Retry-After of a draining proxy: a client that retries then meets another one.
	retryElsewhereAfter = 10 * time.Millisecond
	// manyProxiesPerZone is how many proxies a zone has to have for a client that retries at once to meet another one
	// nearly always. With fewer it meets the draining one too often, and most clients retry but once.
	manyProxiesPerZone = 5
)

// gracefulShutdown is the state of a proxy's shutdown: until when its answers may take, and the requests that arrived
// since it began. Its zero value is that of a proxy that serves on. It may be used from any goroutine.
type gracefulShutdown struct {
	began    time.Time                 // written before closeAt is stored, read after it was seen
	closeAt  atomic.Pointer[time.Time] // when open connections are closed; nil: the proxy serves on
	accepted atomic.Int64              // requests that arrived since it began
	inFlight atomic.Int64              // those of them that are under way
	rejected atomic.Int64              // those of them that were rejected as they might outlast the proxy
}

// begin begins the shutdown: what is open is closed at the time given.
func (gs *gracefulShutdown) begin(now, closeAt time.Time) {
	gs.began = now
	gs.closeAt.Store(&closeAt)
}

// outlasts reports whether an answer that may take so long, and has to be complete by the deadline, may come after the
// proxy has closed its connections.
func (gs *gracefulShutdown) outlasts(now, deadline time.Time, longest time.Duration) bool {
	end := gs.closeAt.Load()
	if end == nil || !deadline.After(*end) {
		return false
	}
	return now.Add(longest).After(*end)
}

// track counts a request that arrives during the shutdown. The caller calls ended when it is over.
func (gs *gracefulShutdown) track() (ended func()) {
	gs.accepted.Add(1)
	gs.inFlight.Add(1)
	return func() { gs.inFlight.Add(-1) }
}

// retryAfter is when a rejected client is to retry: at once in a zone of many proxies, else when the platform sends
// clients to the other ones only.
func (gs *gracefulShutdown) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	if proxiesInZone >= manyProxiesPerZone {
		return retryElsewhereAfter
	}
	return max(notReadyLag-now.Sub(gs.began), retryElsewhereAfter)
}

// longestAnswer is how long an answer may take, at most the time left to the deadline: firstByteTargets latency
// targets to its first byte, and for a stream as long from there on as all of its tokens take one by one, each with
// the longest gap that the route allows, or paceFactor times the gap of recent streams if that is less. Where the
// route or the prompt doesn't bound it, it is the time left.
func (cr *clientRequest) longestAnswer(now time.Time, prompt *scheduler.Prompt) time.Duration {
	remaining := cr.deadline.Sub(now)
	first := firstByteTargets * cr.route.LatencyTarget()
	gap := cr.longestEventGap()
	switch {
	case first <= 0:
		return remaining
	case cr.route.Kind != routingconfig.KindStream:
		return min(first, remaining)
	case prompt == nil || prompt.MaxOutputTokens <= 0 || gap <= 0:
		return remaining
	}
	tokens := time.Duration(prompt.MaxOutputTokens)
	if tokens > remaining/gap { // compared before it is multiplied: a client may name any number
		return remaining
	}
	return min(first+tokens*gap, remaining)
}

// longestEventGap is the longest time that is expected between two events of a stream; 0: nothing bounds it.
func (cr *clientRequest) longestEventGap() time.Duration {
	gap := cr.route.EventGapTarget()
	pace := paceFactor * cr.svc.slowestPace()
	if pace > 0 && (gap <= 0 || pace < gap) {
		return pace
	}
	return gap
}

// rejectIfLeaving rejects a request whose answer may outlast a draining proxy, and reports whether it did. No backend
// has seen the request, and its client has time to retry at a proxy that stays.
func (cr *clientRequest) rejectIfLeaving(prompt *scheduler.Prompt) bool {
	shutdown := &cr.proxy.shutdown
	if shutdown.closeAt.Load() == nil {
		return false
	}
	now := time.Now()
	if !shutdown.outlasts(now, cr.deadline, cr.longestAnswer(now, prompt)) {
		return false
	}
	shutdown.rejected.Add(1)
	proxiesInZone := cr.snapshot.proxies / max(len(cr.proxy.settings.Zones), 1)
	cr.proxy.writeError(cr.w, &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: shutdown.retryAfter(now, proxiesInZone),
		reason:     "this proxy is leaving: the answer may take longer than it stays",
	})
	return true
}

// drainAndClose shuts the proxy down and blocks until that is done, for the platform's grace period at the most. From
// its call on, the proxy isn't ready, and answers close their connections. For acceptWindow, or half the grace period
// if that is less, new requests are still served, as the platform still sends some; then the listener and idle
// connections are closed, and the requests under way have the rest of the grace period.
func (p *Proxy) drainAndClose(server *http.Server) {
	began := time.Now()
	grace := p.settings.Bounds.Grace
	closeAt := began.Add(grace - forceCloseMargin)
	p.shutdown.begin(began, closeAt)
	p.lifecycle.End()
	p.log.Info("draining", zap.Int64("open", p.inFlight.Load()), zap.Duration("grace", grace))
	accepting := time.NewTimer(min(acceptWindow, grace/2))
	defer accepting.Stop()
	<-accepting.C
	closing, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if server.Shutdown(closing) != nil {
		acceptedSince := p.shutdown.inFlight.Load()
		p.log.Warn("requests aborted: grace period over",
			zap.Int64("accepted_before", p.inFlight.Load()-acceptedSince),
			zap.Int64("accepted_draining", acceptedSince))
		_ = server.Close()
	}
	p.log.Info("shut down", append(p.counters(),
		zap.Int64("accepted_draining", p.shutdown.accepted.Load()),
		zap.Int64("rejected_draining", p.shutdown.rejected.Load()),
		zap.Duration("took", time.Since(began)))...)
	p.pool.Close()
}
