package pace

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/decide/settings"
)

// The subset is the number of servers reached in the keepalive time, a quarter of it where connections
// have a price, and always between the minimum and the number of servers.
func TestSubsetSize(t *testing.T) {
	c := qt.New(t)
	set := &settings.Settings{Limits: settings.Limits{KeepaliveMs: 1000}}
	p := New(0)
	for range 400 {
		p.ObserveRequest(0, 1000)
	}
	c.Assert(p.SubsetSize(set, 0, 1000), qt.Equals, 400)
	c.Assert(p.SubsetSize(set, 0, 300), qt.Equals, 300)
	c.Assert(p.SubsetSize(set, 2, 1000), qt.Equals, 100) // the list has a minimum
	set.Prices.Handshake = 1
	c.Assert(p.SubsetSize(set, 0, 1000), qt.Equals, 100)
	c.Assert(p.SubsetSize(set, 150, 1000), qt.Equals, 150)
	p = New(0)
	c.Assert(p.SubsetSize(set, 0, 1000), qt.Equals, MinServers)
	c.Assert(p.SubsetSize(set, 0, 5), qt.Equals, 5)
	set.Limits.KeepaliveMs = 0
	c.Assert(p.SubsetSize(set, 0, 1000), qt.Equals, 1000)
}

// The weight of older requests decays over the keepalive time.
func TestRoundTime(t *testing.T) {
	c := qt.New(t)
	p := New(0)
	c.Assert(p.RoundTime(1000, 20), qt.Equals, 20000.0)
	for range 9 {
		p.ObserveRequest(0, 1000)
	}
	p.ObserveRequest(1000, 1000)
	c.Assert(math.Abs(p.RoundTime(1000, 20)-20000/(9/math.E+1)) < 1e-6, qt.IsTrue)
}

func TestShouldCloseIdle(t *testing.T) {
	c := qt.New(t)
	set := &settings.Settings{Replicas: 10}
	p := New(0)
	for range 100 {
		p.ObserveRequest(500, 1000)
	}
	c.Assert(p.ShouldCloseIdle(set, 1000, 0, 5), qt.IsFalse) // connections have no price
	set.Prices.Connection, set.Prices.Handshake = 1, 2
	c.Assert(p.ShouldCloseIdle(set, 1000, 0, 5), qt.IsTrue) // gap unknown
	// One request per ms of all agents: at a gap of 1000 ms, keeping connections costs as much as reopening.
	c.Assert(p.ShouldCloseIdle(set, 1000, 1000, 5), qt.IsFalse)
	c.Assert(p.ShouldCloseIdle(set, 1000, 1001, 5), qt.IsTrue)
}
