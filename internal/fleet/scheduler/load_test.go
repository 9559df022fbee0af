package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against unbalanced decode backends: two of three had queues while the third was empty, because the load known
// to the proxies was seconds old.
func TestPolledLoadShowsFullBatches(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 2)
	c.Assert(e.Full(1000, "d0"), qt.IsFalse)
	e.ObservePolledLoad(1000, "d0", 11)
	c.Assert(e.Full(1000, "d0"), qt.IsTrue)
	c.Assert(e.Utilization("d0"), qt.Equals, 11.0/8)
	c.Assert(e.Full(1000, "d1"), qt.IsFalse)
	c.Assert(e.Full(1000+occupancyFreshMs, "d0"), qt.IsFalse, qt.Commentf("an old report doesn't count"))
	// A load that came with a response is newer than a polled one of the same moment.
	e.ObserveResponseLoad(2000, "d0", 3, 0)
	e.ObservePolledLoad(2000, "d0", 8)
	c.Assert(e.Full(2000, "d0"), qt.IsFalse)
	e.ObservePolledLoad(3000, "d0", 8)
	c.Assert(e.Full(3000, "d0"), qt.IsTrue)
	// Requests that this proxy sent since are added; requests that ended since are subtracted only by the next report.
	e.ObservePolledLoad(5000, "d1", 6)
	e.DecodeStarted("d1")
	c.Assert(e.Full(5000, "d1"), qt.IsFalse)
	e.DecodeStarted("d1")
	c.Assert(e.Full(5000, "d1"), qt.IsTrue)
	e.ObservePolledLoad(6000, "gone", 5)
	c.Assert(e.Utilization("gone"), qt.Equals, 0.0)
}

func TestUnresponsiveWhileHeadersAreAwaited(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 0, 2)
	c.Assert(e.Unresponsive(500, "d0", 0), qt.IsFalse)
	first := e.AwaitHeaders(500, "d0")
	second := e.AwaitHeaders(700, "d0")
	c.Assert(e.Unresponsive(900, "d0", 399), qt.IsTrue)
	c.Assert(e.Unresponsive(900, "d0", 400), qt.IsFalse)
	e.AwaitEnded(900, "d0", first, true)
	c.Assert(e.Unresponsive(900, "d0", 200), qt.IsFalse)
	e.AwaitEnded(900, "d0", second, true)
	e.AwaitEnded(900, "d0", second, true)
	c.Assert(e.Unresponsive(9000, "d0", 0), qt.IsFalse)
	for range 2 * maxAwaiting {
		e.AwaitHeaders(1000, "d1")
	}
	c.Assert(len(e.byID["d1"].awaitingHeaders), qt.Equals, maxAwaiting)
	e.AwaitEnded(1000, "gone", e.AwaitHeaders(1000, "gone"), false)
}

// Guards against repeated waits: clients abandon a silent stream after two seconds, and without the mark the next
// request went to the same backend and waited just as long.
func TestUnresponsiveOutlivesTheWait(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 0, 2)
	since := e.AwaitHeaders(1000, "d0")
	e.AwaitEnded(1000+unresponsiveAfterMs, "d0", since, false)
	c.Assert(e.MarkedUnresponsive(2001, "d0"), qt.IsFalse, qt.Commentf("clients may disconnect early"))
	since = e.AwaitHeaders(2000, "d0")
	e.AwaitEnded(4000, "d0", since, false)
	c.Assert(e.MarkedUnresponsive(4001, "d0"), qt.IsTrue)
	c.Assert(e.MarkedUnresponsive(4000+unresponsiveHoldMs, "d0"), qt.IsFalse, qt.Commentf("it is tried again"))
	e.ObserveResponseLoad(4100, "d0", 1, 0)
	c.Assert(e.MarkedUnresponsive(4101, "d0"), qt.IsFalse, qt.Commentf("it has answered"))
	// Another request was answered in the meantime, so the backend is slow but responsive.
	since = e.AwaitHeaders(5000, "d0")
	e.AwaitEnded(6000, "d0", e.AwaitHeaders(5500, "d0"), true)
	e.AwaitEnded(7500, "d0", since, false)
	c.Assert(e.MarkedUnresponsive(7501, "d0"), qt.IsFalse)
	// The control plane's report is used unless this proxy had recent contact.
	e.MarkUnresponsive(8000, "d0")
	c.Assert(e.MarkedUnresponsive(8001, "d0"), qt.IsTrue)
	e.ObserveResponseLoad(9000, "d0", 1, 0)
	e.MarkUnresponsive(9000+contactPrecedenceMs/2, "d0")
	c.Assert(e.MarkedUnresponsive(9401, "d0"), qt.IsFalse)
	e.MarkUnresponsive(9000, "gone")
}

// Guards against requests to a backend that keeps rejecting them: one that changed its phase rejected staged prompts
// for seconds, and each proxy kept sending to it.
func TestRejectionCountsAsFull(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 1, 2)
	e.ObserveRejection(0, "d0")
	c.Assert(e.Full(1, "d0"), qt.IsTrue)
	c.Assert(e.Full(1, "d1"), qt.IsFalse)
	c.Assert(e.Full(rejectionHoldMs+1, "d0"), qt.IsFalse)
	e.ObserveRejection(5000, "d0")
	e.ObserveAcceptance("d0")
	c.Assert(e.Full(5001, "d0"), qt.IsFalse)
	e.ObserveRejection(1, "gone")
	e.ObserveAcceptance("gone")
}
