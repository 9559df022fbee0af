package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The delay of transfers over a slow link is attributed to the backend with that link, and decays, so that the backend
// is tried again.
func TestSlowTransfersAreChargedToTheirBackend(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 3, 3)
	p := prompt(900, "a:900")
	now := 0.0
	for i := range 60 {
		from, to := fmt.Sprint("p", i%3), fmt.Sprint("d", (i/3)%3)
		ms := 10 + e.TransferMs(from, to, p)
		if to == "d1" {
			ms += 300
		}
		now += 10
		e.ObserveTransfer(now, from, to, p, ms, true)
	}
	c.Assert(e.InboundDelayMs(now, "d1") > 200, qt.IsTrue, qt.Commentf("%v", e.InboundDelayMs(now, "d1")))
	c.Assert(e.InboundDelayMs(now, "d0") < 40, qt.IsTrue, qt.Commentf("%v", e.InboundDelayMs(now, "d0")))
	for _, id := range []string{"p0", "p1", "p2"} {
		c.Assert(e.OutboundDelayMs(now, id) < 60, qt.IsTrue, qt.Commentf("%s %v", id, e.OutboundDelayMs(now, id)))
	}
	c.Assert(e.InboundDelayMs(now+10*transferDelayHalfLifeMs, "d1") < 1, qt.IsTrue)
}
