package isobar

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// On a day two of three that made tokens had queues while the third was empty: what proxies knew was seconds old.
func TestGaugesTellOfFullBatches(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 1, 2)
	c.Assert(e.Full(1000, "d0"), qt.IsFalse)
	e.Gauged(1000, "d0", 11)
	c.Assert(e.Full(1000, "d0"), qt.IsTrue)
	c.Assert(e.Busy("d0"), qt.Equals, 11.0/8)
	c.Assert(e.Full(1000, "d1"), qt.IsFalse)
	c.Assert(e.Full(1000+gaugedFor, "d0"), qt.IsFalse, qt.Commentf("what is old is not believed"))
	// What a backend says with an answer is newer than a report of the same moment.
	e.Told(2000, "d0", 3, 0)
	e.Gauged(2000, "d0", 8)
	c.Assert(e.Full(2000, "d0"), qt.IsFalse)
	e.Gauged(3000, "d0", 8)
	c.Assert(e.Full(3000, "d0"), qt.IsTrue)
	// What this proxy sent since counts besides, and what ended since is forgotten with the next report only.
	e.Gauged(5000, "d1", 6)
	e.Began("d1")
	c.Assert(e.Full(5000, "d1"), qt.IsFalse)
	e.Began("d1")
	c.Assert(e.Full(5000, "d1"), qt.IsTrue)
	e.Gauged(6000, "gone", 5)
	c.Assert(e.Busy("gone"), qt.Equals, 0.0)
}

func TestSilentBackendsAreSeenWhileTheyAreWaitedFor(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 0, 2)
	c.Assert(e.SilentMs(500, "d0"), qt.Equals, 0.0)
	first := e.Awaits(500, "d0")
	second := e.Awaits(700, "d0")
	c.Assert(e.SilentMs(900, "d0"), qt.Equals, 400.0)
	e.Heard("d0", first)
	c.Assert(e.SilentMs(900, "d0"), qt.Equals, 200.0)
	e.Heard("d0", second)
	e.Heard("d0", second)
	c.Assert(e.SilentMs(900, "d0"), qt.Equals, 0.0)
	for range 2 * maxWaiting {
		e.Awaits(1000, "d1")
	}
	c.Assert(len(e.byID["d1"].waiting), qt.Equals, maxWaiting)
	e.Heard("gone", e.Awaits(1000, "gone"))
}

// A backend whose phase changed turned staged prompts away for seconds, and each proxy went on sending there.
func TestWhoTurnsRequestsAwayIsFull(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 1, 2)
	e.Shed(0, "d0")
	c.Assert(e.Full(1, "d0"), qt.IsTrue)
	c.Assert(e.Full(1, "d1"), qt.IsFalse)
	c.Assert(e.Full(shedFor+1, "d0"), qt.IsFalse)
	e.Shed(5000, "d0")
	e.Took("d0")
	c.Assert(e.Full(5001, "d0"), qt.IsFalse)
	e.Shed(1, "gone")
	e.Took("gone")
}
