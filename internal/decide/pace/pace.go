// Package pace measures an agent's request rate and derives from it how many servers the agent
// connects to and when an idle connection costs more than it saves. It has no I/O, no clock and no
// locks: callers pass times in milliseconds, and a RequestRate is used by one goroutine at a time.
package pace

import (
	"cmp"
	"math"

	"molepaddle/internal/decide/settings"
)

// MinServers is the smallest subset of the fleet that an agent sends to.
const MinServers = 16

// RequestRate counts the requests of one agent.
type RequestRate struct {
	recent   float64 // recent requests, decaying over the keepalive time, as of recentAt
	recentAt float64
	start    float64
	total    float64 // requests since start
}

// New returns a RequestRate that starts at now.
func New(now float64) RequestRate { return RequestRate{start: now, recentAt: now} }

// ObserveRequest counts a request; the weight of older ones decays over the keepalive time.
func (p *RequestRate) ObserveRequest(now, keepalive float64) {
	p.total++
	p.recent = p.recent*math.Exp((p.recentAt-now)/max(keepalive, 1)) + 1
	p.recentAt = now
}

// SubsetSize returns how many servers of a tier an agent sends to, in its own order: as many as it
// reaches every few seconds, so that it knows which are slow or hung (id753de). Orders differ between
// agents, so each server keeps its share. Where connections have no price, a larger subset keeps more
// keys in caches. least is the minimum from the endpoint list, 0: none; servers is the number of
// servers.
func (p *RequestRate) SubsetSize(set *settings.Settings, least, servers int) int {
	n := p.recent
	if set.Limits.KeepaliveMs <= 0 {
		n = math.Inf(1)
	} else if set.Prices.Handshake > 0 || least > 0 {
		n /= 4
	}
	least = cmp.Or(least, MinServers)
	return int(min(max(n, float64(least)), float64(servers)))
}

// RoundTime returns the time in which the agent sends to each server of a subset once.
func (p *RequestRate) RoundTime(keepalive float64, subset int) float64 {
	return keepalive * float64(subset) / max(p.recent, 1)
}

// ShouldCloseIdle reports whether keeping the idle connections to a server costs more than opening one
// again, at the rate of the last requests to it: gap is the mean time between them, 0: unknown. The
// rate of all agents is estimated as this agent's times their number: a thousand agents kept 400
// connections per server open (i5db14f).
func (p *RequestRate) ShouldCloseIdle(set *settings.Settings, now, gap float64, servers int) bool {
	fleetRate := p.total / max(now-p.start, 1) * float64(set.Replicas) // requests per ms
	price := &set.Prices
	return price.Connection > 0 &&
		(gap == 0 || gap*fleetRate*price.Connection > 100*float64(servers)*price.Handshake)
}
