// Package pace counts an agent's requests, and says what connections that pace is worth: how many servers
// the agent keeps them to, and when an idle one costs more than it saves. No I/O, no clock: times in ms
// come from outside. A Pace belongs to whoever holds it.
package pace

import (
	"cmp"
	"math"

	"molepaddle/internal/decide/settings"
)

// LeastServers is the smallest subset of the fleet an agent sends to.
const LeastServers = 16

// Pace is one agent's.
type Pace struct {
	recent   float64 // requests of late, over the keepalive time, as of recentAt
	recentAt float64
	began    float64
	seen     float64 // requests since
}

// New counts from now on.
func New(now float64) Pace { return Pace{began: now, recentAt: now} }

// Asked counts a request; older ones count less over the keepalive time.
func (p *Pace) Asked(now, keepalive float64) {
	p.seen++
	p.recent = p.recent*math.Exp((p.recentAt-now)/max(keepalive, 1)) + 1
	p.recentAt = now
}

// Subset is how many servers of a tier, in an order of its own, an agent sends to: those it can
// meet every few seconds, to know which are slow or hung (id753de). Orders differ, so each server
// keeps its share. Where connections have no price, more servers keep more keys warm. least is the
// fewest by the list, 0: none is told; servers is how many there are.
func (p *Pace) Subset(set *settings.Settings, least, servers int) int {
	n := p.recent
	if set.Limits.KeepaliveMs <= 0 {
		n = math.Inf(1)
	} else if set.Prices.Handshake > 0 || least > 0 {
		n /= 4
	}
	least = cmp.Or(least, LeastServers)
	return int(min(max(n, float64(least)), float64(servers)))
}

// Round is the time in which the agent comes by each of so many servers.
func (p *Pace) Round(keepalive float64, subset int) float64 {
	return keepalive * float64(subset) / max(p.recent, 1)
}

// HangsUp tells whether keeping a server's idle connections costs more than opening one again, at the
// pace of the last sends there: gap is the mean time between them, 0: unknown. All agents' requests are
// taken for this one's times their number: a thousand agents kept 400 connections a server open (i5db14f).
func (p *Pace) HangsUp(set *settings.Settings, now, gap float64, servers int) bool {
	all := p.seen / max(now-p.began, 1) * float64(set.Replicas) // requests a ms
	price := &set.Prices
	return price.Connection > 0 &&
		(gap == 0 || gap*all*price.Connection > 100*float64(servers)*price.Handshake)
}
