package scheduler

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
	c.Assert(e.Silent(500, "d0", 0), qt.IsFalse)
	first := e.Awaits(500, "d0")
	second := e.Awaits(700, "d0")
	c.Assert(e.Silent(900, "d0", 399), qt.IsTrue)
	c.Assert(e.Silent(900, "d0", 400), qt.IsFalse)
	e.Heard(900, "d0", first, true)
	c.Assert(e.Silent(900, "d0", 200), qt.IsFalse)
	e.Heard(900, "d0", second, true)
	e.Heard(900, "d0", second, true)
	c.Assert(e.Silent(9000, "d0", 0), qt.IsFalse)
	for range 2 * maxWaiting {
		e.Awaits(1000, "d1")
	}
	c.Assert(len(e.byID["d1"].waiting), qt.Equals, maxWaiting)
	e.Heard(1000, "gone", e.Awaits(1000, "gone"), false)
}

// A client leaves a silent stream after two seconds; the next request went to the same backend, and waited as long.
func TestSilenceOutlivesWhoWaited(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 0, 2)
	since := e.Awaits(1000, "d0")
	e.Heard(1000+muteAfter, "d0", since, false)
	c.Assert(e.Mute(2001, "d0"), qt.IsFalse, qt.Commentf("clients leave for reasons of their own"))
	since = e.Awaits(2000, "d0")
	e.Heard(4000, "d0", since, false)
	c.Assert(e.Mute(4001, "d0"), qt.IsTrue)
	c.Assert(e.Mute(4000+muteFor, "d0"), qt.IsFalse, qt.Commentf("it is tried again"))
	e.Told(4100, "d0", 1, 0)
	c.Assert(e.Mute(4101, "d0"), qt.IsFalse, qt.Commentf("it was heard"))
	// Another request was answered meanwhile: it is slow, not silent.
	since = e.Awaits(5000, "d0")
	e.Heard(6000, "d0", e.Awaits(5500, "d0"), true)
	e.Heard(7500, "d0", since, false)
	c.Assert(e.Mute(7501, "d0"), qt.IsFalse)
	// What the control plane did not hear counts unless this proxy did.
	e.Muted(8000, "d0")
	c.Assert(e.Mute(8001, "d0"), qt.IsTrue)
	e.Told(9000, "d0", 1, 0)
	e.Muted(9000+muteLag/2, "d0")
	c.Assert(e.Mute(9401, "d0"), qt.IsFalse)
	e.Muted(9000, "gone")
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
