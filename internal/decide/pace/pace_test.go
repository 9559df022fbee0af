package pace

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/decide/settings"
)

// An agent keeps to as many servers as it meets in the keepalive time, a quarter where connections have a
// price, never under the least and never over all.
func TestSubset(t *testing.T) {
	c := qt.New(t)
	set := &settings.Settings{Limits: settings.Limits{KeepaliveMs: 1000}}
	p := New(0)
	for range 400 {
		p.Asked(0, 1000)
	}
	c.Assert(p.Subset(set, 0, 1000), qt.Equals, 400)
	c.Assert(p.Subset(set, 0, 300), qt.Equals, 300)
	c.Assert(p.Subset(set, 2, 1000), qt.Equals, 100) // a least is told
	set.Prices.Handshake = 1
	c.Assert(p.Subset(set, 0, 1000), qt.Equals, 100)
	c.Assert(p.Subset(set, 150, 1000), qt.Equals, 150)
	p = New(0)
	c.Assert(p.Subset(set, 0, 1000), qt.Equals, LeastServers)
	c.Assert(p.Subset(set, 0, 5), qt.Equals, 5)
	set.Limits.KeepaliveMs = 0
	c.Assert(p.Subset(set, 0, 1000), qt.Equals, 1000)
}

// Older requests count less over the keepalive time.
func TestRound(t *testing.T) {
	c := qt.New(t)
	p := New(0)
	c.Assert(p.Round(1000, 20), qt.Equals, 20000.0)
	for range 9 {
		p.Asked(0, 1000)
	}
	p.Asked(1000, 1000)
	c.Assert(math.Abs(p.Round(1000, 20)-20000/(9/math.E+1)) < 1e-6, qt.IsTrue)
}

func TestHangsUp(t *testing.T) {
	c := qt.New(t)
	set := &settings.Settings{Replicas: 10}
	p := New(0)
	for range 100 {
		p.Asked(500, 1000)
	}
	c.Assert(p.HangsUp(set, 1000, 0, 5), qt.IsFalse) // connections have no price
	set.Prices.Connection, set.Prices.Handshake = 1, 2
	c.Assert(p.HangsUp(set, 1000, 0, 5), qt.IsTrue) // met once
	// One request a ms of all agents: a gap of 1000 ms is the price of opening one of 5 servers' again.
	c.Assert(p.HangsUp(set, 1000, 1000, 5), qt.IsFalse)
	c.Assert(p.HangsUp(set, 1000, 1001, 5), qt.IsTrue)
}
