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
	// acceptWindow is for how long a leaving proxy still accepts connections: the platform asks every second whether it is
	// ready, and turns clients away after two misses.
	acceptWindow = 3 * time.Second
	// forceCloseMargin is how long before the end of the grace what is still open is closed.
	forceCloseMargin = 300 * time.Millisecond
	// firstByteTargets is how many times a route's aim an answer may take to its first byte.
	firstByteTargets = 4
	// paceFactor is how much slower than of late a stream's events may come.
	paceFactor = 2
	// notReadyLag is how long after a proxy's answer that it isn't ready the platform still sends it clients, at the
	// most: two misses, a second apart, and some time for the way.
	notReadyLag = 2200 * time.Millisecond
	// retryElsewhereAfter is when a client that a leaving proxy sends away is told to come back, where it will meet another one.
	retryElsewhereAfter = 10 * time.Millisecond
	// manyProxiesPerZone is how many proxies a zone has to have for a client that comes back at once to meet another one nearly
	// always. With fewer it comes back to the leaving one too often, and most clients come back but once.
	manyProxiesPerZone = 5
)

// gracefulShutdown is the end of a proxy that was told to end: until when its answers may take, and what has come since.
type gracefulShutdown struct {
	began    time.Time                 // set before end
	closeAt  atomic.Pointer[time.Time] // when what is open is closed; nil: the proxy stays
	accepted atomic.Int64              // requests that came since
	inFlight atomic.Int64              // those of them that are under way
	rejected atomic.Int64              // those of them that were refused as they might outlast the proxy
}

// outlasts tells whether an answer that may take so long, and has to be there by the deadline, may come after the proxy's end.
func (gs *gracefulShutdown) outlasts(now, deadline time.Time, longest time.Duration) bool {
	end := gs.closeAt.Load()
	if end == nil || !deadline.After(*end) {
		return false
	}
	return now.Add(longest).After(*end)
}

// arrivedAt counts a request that comes while the proxy leaves; the caller calls ended when it is over.
func (gs *gracefulShutdown) track() (ended func()) {
	gs.accepted.Add(1)
	gs.inFlight.Add(1)
	return func() { gs.inFlight.Add(-1) }
}

// backendRetryAfter is when a client that is sent away is to come back: at once in a zone of many proxies, else once the platform sends
// clients to the others only.
func (gs *gracefulShutdown) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	if proxiesInZone >= manyProxiesPerZone {
		return retryElsewhereAfter
	}
	return max(notReadyLag-now.Sub(gs.began), retryElsewhereAfter)
}

// longestAnswer is how long an answer may take: to its first byte by the route's aim, and for a stream from there on as long as all of
// its tokens take one by one, each with the longest pause that still is in time, or less where the streams of late were faster.
// Where nothing tells, it is the time left.
func (cr *clientRequest) longestAnswer(now time.Time, prompt *scheduler.Prompt) time.Duration {
	left := cr.deadline.Sub(now)
	first, gap := firstByteTargets*cr.route.LatencyTarget(), cr.route.EventGapTarget()
	if pace := paceFactor * cr.svc.slowestPace(); pace > 0 && (gap <= 0 || pace < gap) {
		gap = pace
	}
	switch {
	case first <= 0:
		return left
	case cr.route.Kind != routingconfig.KindStream:
		return min(first, left)
	case prompt == nil || prompt.MaxOutputTokens <= 0 || gap <= 0:
		return left
	case time.Duration(prompt.MaxOutputTokens) > left/gap: // compared before it is multiplied: a client may name any number
		return left
	}
	return min(first+time.Duration(prompt.MaxOutputTokens)*gap, left)
}

// rejectIfLeaving refuses a request whose answer this proxy may not live to finish. No backend has seen it, and its client has
// time to come to a proxy that stays.
func (cr *clientRequest) rejectIfLeaving(prompt *scheduler.Prompt) bool {
	if cr.proxy.shutdown.closeAt.Load() == nil {
		return false
	}
	now := time.Now()
	if !cr.proxy.shutdown.outlasts(now, cr.deadline, cr.longestAnswer(now, prompt)) {
		return false
	}
	cr.proxy.shutdown.rejected.Add(1)
	retryAfter := cr.proxy.shutdown.retryAfter(now, cr.snapshot.proxies/max(len(cr.proxy.settings.Zones), 1))
	cr.proxy.writeError(cr.w, &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: retryAfter,
		reason:     "this proxy is leaving: the answer may take longer than it stays",
	})
	return true
}

// drainAndClose ends in order: not ready any more, so that the platform sends nobody; answers close their connections; what
// is held is finished; idle connections are closed last.
func (p *Proxy) drainAndClose(server *http.Server) {
	began := time.Now()
	grace := p.settings.Bounds.Grace
	p.shutdown.began = began
	closeAt := began.Add(grace - forceCloseMargin)
	p.shutdown.closeAt.Store(&closeAt)
	p.lifecycle.End()
	p.log.Info("leaving", zap.Int64("open", p.inFlight.Load()), zap.Duration("grace", grace))
	// What comes while the platform still sends clients is served. After that nothing is begun any more, so that what is
	// held has the rest of the grace.
	accepting := time.NewTimer(min(acceptWindow, grace/2))
	defer accepting.Stop()
	<-accepting.C
	closing, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if server.Shutdown(closing) != nil {
		acceptedSince := p.shutdown.inFlight.Load()
		p.log.Warn("answers cut: the grace is over", zap.Int64("from_before", p.inFlight.Load()-acceptedSince), zap.Int64("taken_since", acceptedSince))
		_ = server.Close()
	}
	p.log.Info("left", append(p.counters(), zap.Int64("taken_since", p.shutdown.accepted.Load()),
		zap.Int64("refused_leaving", p.shutdown.rejected.Load()), zap.Duration("took", time.Since(began)))...)
	p.pool.Close()
}
