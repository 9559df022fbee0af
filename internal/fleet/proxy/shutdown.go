package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// forceCloseMargin is how long before the end of the grace period what is still open is closed: the process has to
	// end before it is killed.
	forceCloseMargin = 300 * time.Millisecond
	// firstByteTargets is how many latency targets of its route an answer may take to its first byte.
	firstByteTargets = 4
	// paceFactor is how many times as slowly as in recent streams the events of a stream may come.
	paceFactor = 2
	// retryElsewhereAfter is the least Retry-After of a draining proxy: a client that retries then meets another one.
	retryElsewhereAfter = 10 * time.Millisecond
	// manyProxiesPerZone is how many proxies a zone has to have for a client that retries at once to meet another one
	// nearly always. With fewer it meets the draining one too often, and most clients retry but once.
	manyProxiesPerZone = 5
)

// gracefulShutdown is a proxy's shutdown: when its listener and its connections are closed, and the requests that
// arrived since it began. Its zero value is that of a proxy that serves on. It may be used from any goroutine.
type gracefulShutdown struct {
	mu    sync.Mutex
	state drainState // guarded by mu

	closeAt  atomic.Pointer[time.Time] // when open connections are closed; nil: the proxy serves on
	accepted atomic.Int64              // requests that arrived since it began
	inFlight atomic.Int64              // those of them that are under way
	late     atomic.Int64              // those of these that came after the acceptWindow
	rejected atomic.Int64              // those that were rejected as they might outlast the proxy

	changed chan struct{} // signalled, without waiting, when the state is to be stepped
}

// begin begins the shutdown: what is open is closed at the time given. first is as newDrainState has it.
func (gs *gracefulShutdown) begin(now, closeAt time.Time, closesEarly bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state = newDrainState(now, closeAt, closesEarly, gs.state.peers)
	gs.changed = make(chan struct{}, 1)
	gs.closeAt.Store(&closeAt)
}

// began reports whether the shutdown has begun.
func (gs *gracefulShutdown) began() bool { return gs.closeAt.Load() != nil }

// setPeers records which proxies serve.
func (gs *gracefulShutdown) setPeers(now peers) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state.peers = now
	if gs.began() {
		gs.signal() // who serves decides when this proxy may close
	}
}

// connected tells of a new connection.
func (gs *gracefulShutdown) connected(now time.Time) {
	if !gs.began() {
		return
	}
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state.connected(now)
}

// step steps the state, where so many requests are under way in all.
func (gs *gracefulShutdown) step(now time.Time, open int64) (phase drainPhase, next time.Time) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.state.step(now, open-gs.late.Load())
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
func (gs *gracefulShutdown) track(now time.Time) (ended func()) {
	gs.mu.Lock()
	late := gs.began() && !gs.state.inWindow(now)
	gs.mu.Unlock()
	gs.accepted.Add(1)
	gs.inFlight.Add(1)
	if late {
		gs.late.Add(1)
	}
	return func() {
		gs.inFlight.Add(-1)
		if late {
			gs.late.Add(-1)
		}
	}
}

// requestEnded has the state stepped, as a request that it may wait for is over.
func (gs *gracefulShutdown) requestEnded() {
	if gs.began() {
		gs.signal()
	}
}

// signal has the state stepped.
func (gs *gracefulShutdown) signal() {
	select {
	case gs.changed <- struct{}{}:
	default:
	}
}

// retryAfter is when a rejected client is to retry.
func (gs *gracefulShutdown) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.state.retryAfter(now, proxiesInZone)
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

// rejectIfOutlastsDrain rejects a request whose answer may outlast a draining proxy, and reports whether it did. No backend
// has seen the request, and its client has time to retry at a proxy that stays.
func (cr *clientRequest) rejectIfOutlastsDrain(prompt *scheduler.Prompt) bool {
	shutdown := &cr.proxy.shutdown
	if !shutdown.began() {
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
// its call on, the proxy isn't ready, and answers close their connections. New requests are still served while clients
// have nowhere else to go (drainState); then the listener and idle connections are closed, and the requests under way
// have the rest of the grace period.
func (p *Proxy) drainAndClose(server *http.Server) {
	began := time.Now()
	grace := p.settings.Bounds.Grace
	closeAt := began.Add(grace - forceCloseMargin)
	p.shutdown.begin(began, closeAt, rand.Float64() < earlyCloseShare)
	p.lifecycle.End()
	p.announceDraining()
	p.log.Info("draining", zap.Int64("open", p.inFlight.Load()), zap.Duration("grace", grace))
	p.awaitListenerClose()
	accepting := time.Since(began)
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
		zap.Duration("accepting", accepting),
		zap.Duration("took", time.Since(began)))...)
}

// awaitListenerClose blocks until the listener is to be closed.
func (p *Proxy) awaitListenerClose() {
	for {
		now := time.Now()
		phase, next := p.shutdown.step(now, p.inFlight.Load())
		if phase != drainAccepting {
			return
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case <-p.shutdown.changed:
		}
		timer.Stop()
	}
}
