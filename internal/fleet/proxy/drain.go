package proxy

import (
	"time"

	"molepaddle/internal/fleet/distribution"
)

const (
	// acceptWindow is the least time for which a draining proxy accepts connections: the platform checks readiness
	// every second, and sends clients elsewhere after two failed checks.
	acceptWindow = 3 * time.Second
	// notReadyLag is the longest time for which the platform still sends clients to a proxy after its first not-ready
	// response: two failed checks, a second apart, and some network delay.
	notReadyLag = 2200 * time.Millisecond
	// earlyCloseShare is the share of proxies that close first if all drain at once, so that they are back before the
	// others close. Each proxy decides at random whether it closes early. The others meanwhile serve requests that
	// cannot wait.
	earlyCloseShare = 2.0 / 3
	// earlyAcceptWindow replaces acceptWindow for the proxies that close early.
	earlyAcceptWindow = 600 * time.Millisecond
	// lateCloseDelay is added to acceptWindow for the others if the control plane cannot report that all drain, but
	// clients keep arriving.
	lateCloseDelay = 1600 * time.Millisecond
	// lastAcceptMargin is how long before open connections are closed the listener is closed at the latest: later
	// requests would have no time to be answered.
	lastAcceptMargin = 200 * time.Millisecond
	// restartDelay is the approximate time from a proxy's exit until its successor serves and the platform has noticed
	// that: some hundred milliseconds, and a second between two readiness checks.
	restartDelay = 1600 * time.Millisecond
)

// drainPhase is the phase of a proxy's shutdown.
type drainPhase uint8

const (
	// drainAccepting: new connections are accepted, and responses close them.
	drainAccepting drainPhase = iota
	// drainFinishing: the listener is closed, and requests in flight are completed.
	drainFinishing
)

// peers holds the number of serving proxies, as last reported by the control plane. The zero value means that nothing
// has been reported.
type peers struct {
	total   int // proxies in all zones
	serving int // proxies in all zones that are not draining

	zoneTotal   int // proxies in this proxy's zone
	zoneServing int
}

// peersOf returns the counts for a zone.
func peersOf(size *distribution.MembershipSize, zone string) peers {
	draining := 0
	for _, n := range size.Draining {
		draining += n
	}
	return peers{
		total:       size.Proxies,
		serving:     size.Proxies - draining,
		zoneTotal:   size.Zones[zone],
		zoneServing: size.Zones[zone] - size.Draining[zone],
	}
}

// routedWhileDraining reports whether the platform also sends clients of this zone to draining proxies. It does so if
// fewer than half of the zone's proxies are ready, but uses other zones if none is. It returns false if nothing has
// been reported.
func (ps peers) routedWhileDraining() bool {
	if ps.total == 0 {
		return false
	}
	if ps.zoneServing == 0 {
		return ps.serving == 0
	}
	return 2*ps.zoneServing < ps.zoneTotal
}

// drainState decides when a draining proxy closes its listener. It does no I/O and reads no clock: time and events are
// passed in. It is not safe for concurrent use.
//
// While its peers serve, no clients arrive after notReadyLag, and the listener may be closed at any time. While none of
// them is ready, the platform keeps sending clients to all of them. Then a proxy that has to keep running for earlier
// requests accepts those that it can complete, and one that does not closes early or late by its own random choice, so
// as to be back soon.
type drainState struct {
	began       time.Time
	closeAt     time.Time // when open connections are closed
	closesEarly bool      // this proxy closes first if all drain at once
	phase       drainPhase

	peers       peers
	lateClients bool // a connection arrived after notReadyLag
}

// newDrainState starts a drain after which open connections are closed at closeAt. closesEarly means that this proxy is
// one of those that close first if all drain at once.
func newDrainState(now, closeAt time.Time, closesEarly bool, known peers) drainState {
	return drainState{
		began:       now,
		closeAt:     closeAt,
		closesEarly: closesEarly,
		peers:       known,
	}
}

// clientsReachDraining reports whether clients that are sent elsewhere may reach this proxy or another draining one:
// the control plane reports it, or clients still arrive when the platform would have sent them to others.
func (d *drainState) clientsReachDraining() bool {
	return d.peers.routedWhileDraining() || d.lateClients
}

// connected records a new connection.
func (d *drainState) connected(now time.Time) {
	if now.Sub(d.began) > notReadyLag {
		d.lateClients = true
	}
}

// step returns the phase, and when to step next unless something changes before. early is the number of requests in
// flight that arrived within the acceptWindow. A closed listener stays closed.
func (d *drainState) step(now time.Time, early int64) (phase drainPhase, next time.Time) {
	if d.phase == drainFinishing {
		return drainFinishing, d.closeAt
	}
	earliest := d.earliestClose()
	latest := d.latestClose()
	switch {
	case !now.Before(latest):
		d.phase = drainFinishing
	case now.Before(earliest):
		return drainAccepting, earliest
	case early > 0:
		return drainAccepting, latest
	default:
		d.phase = drainFinishing
	}
	return drainFinishing, d.closeAt
}

// earliestClose returns the earliest time at which the listener may be closed.
func (d *drainState) earliestClose() time.Time {
	window := d.window()
	switch {
	case d.peers.routedWhileDraining() && d.closesEarly:
		window = min(earlyAcceptWindow, window)
	case d.peers.routedWhileDraining():
	case d.lateClients && !d.closesEarly:
		window += lateCloseDelay
	}
	return d.capAtCloseTime(d.began.Add(window))
}

// latestClose returns the latest time at which the listener is closed.
func (d *drainState) latestClose() time.Time {
	return d.capAtCloseTime(d.closeAt.Add(-lastAcceptMargin))
}

// capAtCloseTime limits a time to that at which all connections are closed.
func (d *drainState) capAtCloseTime(t time.Time) time.Time {
	if t.After(d.closeAt) {
		return d.closeAt
	}
	return t
}

// window returns acceptWindow, or half the time to closeAt if that is less.
func (d *drainState) window() time.Duration {
	return min(acceptWindow, d.closeAt.Sub(d.began)/2)
}

// inWindow reports whether a request that arrives now keeps the listener open until it ends.
func (d *drainState) inWindow(now time.Time) bool {
	return now.Sub(d.began) < d.window()
}

// retryAfter returns when a rejected client should retry: at once in a zone of many proxies, else once the platform
// sends clients to serving proxies only. While it sends them to draining ones, that is when all of those are back.
func (d *drainState) retryAfter(now time.Time, proxiesInZone int) time.Duration {
	if d.clientsReachDraining() {
		back := d.closeAt.Add(restartDelay)
		return max(back.Sub(now), minRetryAfter)
	}
	if proxiesInZone >= manyProxiesPerZone {
		return retryElsewhereAfter
	}
	return max(notReadyLag-now.Sub(d.began), retryElsewhereAfter)
}
