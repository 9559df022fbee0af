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
	// acceptFor is for how long a leaving proxy still accepts connections: the platform asks every second whether it is
	// ready, and turns clients away after two misses.
	acceptFor = 3 * time.Second
	// closeEarly is how long before the end of the grace what is still open is closed.
	closeEarly = 300 * time.Millisecond
	// slowAims is how many times a route's aim an answer may take to its first byte.
	slowAims = 4
	// slowerPace is how much slower than of late a stream's events may come.
	slowerPace = 2
	// turnedAwayAfter is how long after a proxy's answer that it isn't ready the platform still sends it clients, at the
	// most: two misses, a second apart, and some time for the way.
	turnedAwayAfter = 2200 * time.Millisecond
	// againElsewhere is when a client that a leaving proxy sends away is told to come back, where it will meet another one.
	againElsewhere = 10 * time.Millisecond
	// manyProxies is how many proxies a zone has to have for a client that comes back at once to meet another one nearly
	// always. With fewer it comes back to the leaving one too often, and most clients come back but once.
	manyProxies = 5
)

// departure is the end of a proxy that was told to end: until when its answers may take, and what has come since.
type departure struct {
	began   time.Time                 // set before end
	end     atomic.Pointer[time.Time] // when what is open is closed; nil: the proxy stays
	taken   atomic.Int64              // requests that came since
	open    atomic.Int64              // those of them that are under way
	refused atomic.Int64              // those of them that were refused as they might outlast the proxy
}

// outlasts tells whether an answer that may take so long, and has to be there by the deadline, may come after the proxy's end.
func (d *departure) outlasts(now, deadline time.Time, longest time.Duration) bool {
	end := d.end.Load()
	if end == nil || !deadline.After(*end) {
		return false
	}
	return now.Add(longest).After(*end)
}

// came counts a request that comes while the proxy leaves; the caller calls ended when it is over.
func (d *departure) came() (ended func()) {
	d.taken.Add(1)
	d.open.Add(1)
	return func() { d.open.Add(-1) }
}

// retryAfter is when a client that is sent away is to come back: at once in a zone of many proxies, else once the platform sends
// clients to the others only.
func (d *departure) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	if proxiesInZone >= manyProxies {
		return againElsewhere
	}
	return max(turnedAwayAfter-now.Sub(d.began), againElsewhere)
}

// longest is how long an answer may take: to its first byte by the route's aim, and for a stream from there on as long as all of
// its tokens take one by one, each with the longest pause that still is in time, or less where the streams of late were faster.
// Where nothing tells, it is the time left.
func (t *try) longest(now time.Time, p *scheduler.Prompt) time.Duration {
	left := t.deadline.Sub(now)
	first, gap := slowAims*t.route.LatencyTarget(), t.route.EventGapTarget()
	if pace := slowerPace * t.svc.slowestPace(); pace > 0 && (gap <= 0 || pace < gap) {
		gap = pace
	}
	switch {
	case first <= 0:
		return left
	case t.route.Kind != routingconfig.KindStream:
		return min(first, left)
	case p == nil || p.MaxOutputTokens <= 0 || gap <= 0:
		return left
	case time.Duration(p.MaxOutputTokens) > left/gap: // compared before it is multiplied: a client may name any number
		return left
	}
	return min(first+time.Duration(p.MaxOutputTokens)*gap, left)
}

// refusedLeaving refuses a request whose answer this proxy may not live to finish. No backend has seen it, and its client has
// time to come to a proxy that stays.
func (t *try) refusedLeaving(p *scheduler.Prompt) bool {
	if t.v.departure.end.Load() == nil {
		return false
	}
	now := time.Now()
	if !t.v.departure.outlasts(now, t.deadline, t.longest(now, p)) {
		return false
	}
	t.v.departure.refused.Add(1)
	again := t.v.departure.retryAfter(now, t.world.proxies/max(len(t.v.set.Zones), 1))
	t.v.refuse(t.w, http.StatusServiceUnavailable, again, "this proxy is leaving: the answer may take longer than it stays")
	return true
}

// leave ends in order: not ready any more, so that the platform sends nobody; answers close their connections; what
// is held is finished; idle connections are closed last.
func (v *Proxy) leave(server *http.Server) {
	began := time.Now()
	grace := v.set.Bounds.Grace
	v.departure.began = began
	closeAt := began.Add(grace - closeEarly)
	v.departure.end.Store(&closeAt)
	v.life.End()
	v.log.Info("leaving", zap.Int64("open", v.working.Load()), zap.Duration("grace", grace))
	// What comes while the platform still sends clients is served. After that nothing is begun any more, so that what is
	// held has the rest of the grace.
	away := time.NewTimer(min(acceptFor, grace/2))
	defer away.Stop()
	<-away.C
	end, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if server.Shutdown(end) != nil {
		taken := v.departure.open.Load()
		v.log.Warn("answers cut: the grace is over", zap.Int64("from_before", v.working.Load()-taken), zap.Int64("taken_since", taken))
		_ = server.Close()
	}
	v.log.Info("left", append(v.counters(), zap.Int64("taken_since", v.departure.taken.Load()),
		zap.Int64("refused_leaving", v.departure.refused.Load()), zap.Duration("took", time.Since(began)))...)
	v.pool.Close()
}
