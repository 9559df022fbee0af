package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/scheduler"
)

const (
	// forceCloseMargin is how long before the end of the grace period open connections are closed: the process has to
	// exit before it is killed.
	forceCloseMargin = 300 * time.Millisecond
	// abortAnswerTime is the time for the answers to requests that are aborted, at the end of the grace period.
	abortAnswerTime = 100 * time.Millisecond
	// retryElsewhereAfter is the least Retry-After of a draining proxy, for a client whose retry reaches another proxy.
	retryElsewhereAfter = 10 * time.Millisecond
	// manyProxiesPerZone is the number of proxies in a zone from which an immediate retry nearly always reaches another
	// proxy. With fewer it reaches the draining one too often, and most clients retry only once.
	manyProxiesPerZone = 5
)

// gracefulShutdown is the state of a proxy's shutdown: when its listener and its connections are closed, and the
// requests that arrived since it began. The zero value is that of a proxy that is not shutting down. It may be used
// from any goroutine.
type gracefulShutdown struct {
	mu    sync.Mutex
	state drainState // guarded by mu

	closeAt  atomic.Pointer[time.Time] // when open connections are closed; nil: not shutting down
	accepted atomic.Int64              // requests that arrived since the shutdown began
	inFlight atomic.Int64              // those of them in flight
	late     atomic.Int64              // those in flight that arrived after the acceptWindow
	rejected atomic.Int64              // those rejected because they might outlast the proxy

	changed chan struct{} // signalled, without blocking, when step has to be called again
}

// begin starts the shutdown; open connections are closed at closeAt. For closesEarly see newDrainState.
func (gs *gracefulShutdown) begin(now, closeAt time.Time, closesEarly bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state = newDrainState(now, closeAt, closesEarly, gs.state.peers)
	gs.changed = make(chan struct{}, 1)
	gs.closeAt.Store(&closeAt)
}

// began reports whether the shutdown has begun.
func (gs *gracefulShutdown) began() bool { return gs.closeAt.Load() != nil }

// setPeers records the number of serving proxies.
func (gs *gracefulShutdown) setPeers(now peers) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state.peers = now
	if gs.began() {
		gs.signal() // the number of serving proxies decides when this one may close
	}
}

// connected records a new connection.
func (gs *gracefulShutdown) connected(now time.Time) {
	if !gs.began() {
		return
	}
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.state.connected(now)
}

// step advances the drain, given the number of requests in flight.
func (gs *gracefulShutdown) step(now time.Time, open int64) (phase drainPhase, next time.Time) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.state.step(now, open-gs.late.Load())
}

// outlasts reports whether a response that takes up to longest, and has to be complete by the deadline, may end after
// the proxy has closed its connections.
func (gs *gracefulShutdown) outlasts(now, deadline time.Time, longest time.Duration) bool {
	end := gs.closeAt.Load()
	if end == nil || !deadline.After(*end) {
		return false
	}
	return now.Add(longest).After(*end)
}

// inAcceptWindow reports whether the platform may still send clients to this proxy.
func (gs *gracefulShutdown) inAcceptWindow(now time.Time) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.state.inWindow(now)
}

// track counts a request that arrives during the shutdown. The caller calls ended when the request has ended.
func (gs *gracefulShutdown) track(now time.Time) (ended func()) {
	late := gs.began() && !gs.inAcceptWindow(now)
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

// requestEnded triggers a step, as the drain may have been waiting for the request.
func (gs *gracefulShutdown) requestEnded() {
	if gs.began() {
		gs.signal()
	}
}

// signal triggers a step.
func (gs *gracefulShutdown) signal() {
	select {
	case gs.changed <- struct{}{}:
	default:
	}
}

// retryAfter returns when a rejected client should retry.
func (gs *gracefulShutdown) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.state.retryAfter(now, proxiesInZone)
}

// rejectIfOutlastsDrain rejects a request whose response may outlast a draining proxy, and reports whether it did. No
// backend has seen the request, and its client has time to retry at another proxy.
func (cr *clientRequest) rejectIfOutlastsDrain(prompt *scheduler.Prompt) bool {
	shutdown := &cr.proxy.shutdown
	cr.cameDraining = shutdown.began()
	if !cr.outlastsDrain(prompt) {
		return false
	}
	shutdown.rejected.Add(1)
	cr.proxy.writeError(cr.w, &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: cr.drainRetryAfter(time.Now()),
		reason:     errOutlastsDrain.Error(),
	})
	return true
}

// restOutlastsDrain reports whether a stream that came while the proxy drains, and whose first event has arrived, may
// outlast it.
func (cr *clientRequest) restOutlastsDrain(prompt *scheduler.Prompt) bool {
	if !cr.cameDraining {
		return false
	}
	now := time.Now()
	return cr.proxy.shutdown.outlasts(now, cr.deadline, cr.longestRest(now, prompt))
}

// outlastsDrain reports whether the response may outlast a draining proxy if the request is sent now.
func (cr *clientRequest) outlastsDrain(prompt *scheduler.Prompt) bool {
	shutdown := &cr.proxy.shutdown
	if !shutdown.began() {
		return false
	}
	now := time.Now()
	return shutdown.outlasts(now, cr.deadline, cr.longestAnswer(now, prompt))
}

// drainRetryAfter returns when a client that a draining proxy doesn't serve should retry.
func (cr *clientRequest) drainRetryAfter(now time.Time) time.Duration {
	proxiesInZone := cr.snapshot.proxies / max(len(cr.proxy.settings.Zones), 1)
	return cr.proxy.shutdown.retryAfter(now, proxiesInZone)
}

// drainAndClose shuts the proxy down and blocks until that is done, for at most the platform's grace period. From the
// call on, the proxy is not ready, and responses close their connections. New requests are still served while the
// platform may send clients here (see drainState); then the listener and idle connections are closed, and the requests
// in flight have the rest of the grace period.
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
		p.abortRequests(server)
	}
	p.log.Info("shut down", append(p.counters(),
		zap.Int64("accepted_draining", p.shutdown.accepted.Load()),
		zap.Int64("rejected_draining", p.shutdown.rejected.Load()),
		zap.Duration("accepting", accepting),
		zap.Duration("took", time.Since(began)))...)
}

// abortRequests ends the requests in flight when the grace period is over: those whose response has not started are
// answered with an error, all others are cut.
func (p *Proxy) abortRequests(server *http.Server) {
	acceptedSince := p.shutdown.inFlight.Load()
	p.log.Warn("requests aborted: grace period over",
		zap.Int64("accepted_before", p.inFlight.Load()-acceptedSince),
		zap.Int64("accepted_draining", acceptedSince))
	p.abort(errShuttingDown)
	answering, cancel := context.WithTimeout(context.Background(), abortAnswerTime)
	defer cancel()
	_ = server.Shutdown(answering) // an error means that some have not ended
	_ = server.Close()
}

// awaitListenerClose blocks until the listener has to be closed.
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
