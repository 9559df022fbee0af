package proxy

import (
	"time"

	"molepaddle/internal/fleet/distribution"
)

const (
	// acceptWindow is for how long a draining proxy accepts connections at the least: the platform checks every second
	// whether it is ready, and sends clients elsewhere after two misses.
	acceptWindow = 3 * time.Second
	// notReadyLag is how long after a proxy's answer that it isn't ready the platform still sends it clients, at the
	// most: two misses, a second apart, and some time for the way.
	notReadyLag = 2200 * time.Millisecond
	// earlyCloseShare is the share of the proxies that close first where all drain at once, to be back before the others
	// close. Each draws whether it is one of them. The others take what can't wait meanwhile.
	earlyCloseShare = 2.0 / 3
	// earlyAcceptWindow takes the place of acceptWindow for the first ones.
	earlyAcceptWindow = 600 * time.Millisecond
	// lateCloseDelay is how much later than acceptWindow the others close where the control plane can't tell that all
	// drain, but clients still come.
	lateCloseDelay = 1600 * time.Millisecond
	// lastAcceptMargin is how long before open connections are closed the listener is closed at the latest: what comes
	// in after that has no time to be answered.
	lastAcceptMargin = 200 * time.Millisecond
	// restartDelay is the time from a proxy's end until its successor serves and the platform has noticed that, about:
	// some hundred milliseconds, and a second between two questions.
	restartDelay = 1600 * time.Millisecond
)

// drainPhase is how far a proxy's shutdown has come.
type drainPhase uint8

const (
	// drainAccepting: new connections are accepted, and answers close them.
	drainAccepting drainPhase = iota
	// drainFinishing: the listener is closed, requests under way are finished.
	drainFinishing
)

// peers says which proxies serve, as the control plane last counted them. The zero value stands for a fleet of which
// nothing is known.
type peers struct {
	total   int // proxies in all zones
	serving int // those of them that aren't draining

	zoneTotal   int // proxies in this one's zone
	zoneServing int
}

// peersOf returns the counts of a zone.
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

// routedWhileDraining reports whether the platform sends clients of this zone to draining proxies too. It does where fewer than half
// of the zone's proxies are ready, but goes to other zones where none is. False where nothing is known.
func (ps peers) routedWhileDraining() bool {
	if ps.total == 0 {
		return false
	}
	if ps.zoneServing == 0 {
		return ps.serving == 0
	}
	return 2*ps.zoneServing < ps.zoneTotal
}

// drainState decides when a draining proxy closes its listener. It has neither I/O nor clock: the time is given, and
// what it doesn't know it is told by its inputs. It is not safe for concurrent use.
//
// While its peers serve, nothing comes after notReadyLag, and the listener may be closed at any time. While none of
// them is ready the platform goes on sending clients to all of them: then a proxy that has to stay for the sake of
// earlier requests accepts what it can finish, and one that needn't leaves at a time of its own, to be back soon.
type drainState struct {
	began   time.Time
	closeAt time.Time // when open connections are closed
	closesEarly   bool      // this proxy is one of those that close first where all drain at once
	phase   drainPhase

	peers       peers
	lateClients bool // a connection came after notReadyLag
}

// newDrainState begins a drain after which open connections are closed at closeAt. first says that this proxy is one of
// those that close first where all drain at once.
func newDrainState(now, closeAt time.Time, closesEarly bool, known peers) drainState {
	return drainState{
		began:   now,
		closeAt: closeAt,
		closesEarly:   closesEarly,
		peers:   known,
	}
}

// clientsReachDraining reports whether clients that are sent elsewhere may meet this proxy or another draining one: the control
// plane says so, or clients still come when the platform would have sent them to others.
func (d *drainState) clientsReachDraining() bool { return d.peers.routedWhileDraining() || d.lateClients }

// connected tells that a new connection has come.
func (d *drainState) connected(now time.Time) {
	if now.Sub(d.began) > notReadyLag {
		d.lateClients = true
	}
}

// step returns the phase, given how many of the requests are still under way that came within the acceptWindow, and
// when to step next unless something changes before. A listener that is closed stays closed.
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

// earliestClose is before when the listener is not closed.
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

// latestClose is when the listener is closed at the latest.
func (d *drainState) latestClose() time.Time {
	return d.capAtCloseTime(d.closeAt.Add(-lastAcceptMargin))
}

// capAtCloseTime bounds a time by that at which all connections are closed.
func (d *drainState) capAtCloseTime(t time.Time) time.Time {
	if t.After(d.closeAt) {
		return d.closeAt
	}
	return t
}

// window is acceptWindow, or half the time to closeAt if that is less.
func (d *drainState) window() time.Duration {
	return min(acceptWindow, d.closeAt.Sub(d.began)/2)
}

// inWindow reports whether a request that comes now is one of those for whose end the listener stays open.
func (d *drainState) inWindow(now time.Time) bool {
	return now.Sub(d.began) < d.window()
}

// retryAfter is when a rejected client is to retry: at once in a zone of many proxies, else when the platform sends
// clients to the other ones only. While it sends them to draining ones that is when all of those are back.
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
