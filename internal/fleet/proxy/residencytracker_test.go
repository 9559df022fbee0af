package proxy

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
)

// trackedRequest returns the residency check of a request to a route whose tenant is restricted to east, and a permit
// for a backend there.
func trackedRequest(c *qt.C) (p *Proxy, rc residencyCheck, east residency.Permit) {
	p = New(c.Context(), testSettings(testZones), zap.NewNop())
	c.Cleanup(p.pool.Close)
	p.snapshot.Store(snapshotWithin("east"))
	route := &routingconfig.Route{RouteSpec: &routingconfig.RouteSpec{Name: "r", Tenant: "t"}}
	rc = newResidencyCheck(p, route, p.snapshot.Load())
	east, err := p.gate.Endpoint("b1", "127.0.0.1:1", "e1").Permit(rc.terms())
	c.Assert(err, qt.IsNil)
	return p, rc, east
}

// snapshotWithin returns a snapshot in which the tenant t of the route r is restricted to the regions.
func snapshotWithin(regions ...string) *routingSnapshot {
	terms := residency.Within(regions...)
	return &routingSnapshot{
		residencyByRoute: map[string]*routeResidency{"r": {"t", terms}},
		termsByTenant:    map[string]residency.Terms{"t": terms},
	}
}

// TestTrackedSendIsCancelled: a configuration that withdraws a region cancels the attempts there, and no others.
func TestTrackedSendIsCancelled(t *testing.T) {
	c := qt.New(t)
	p, rc, east := trackedRequest(c)
	ctx, send, err := rc.track(context.Background(), east, &attemptOptions{priority: -1})
	c.Assert(err, qt.IsNil)
	c.Assert(p.residency.sends, qt.HasLen, 1)

	wider := snapshotWithin("east", "mid")
	p.snapshot.Store(wider)
	p.residency.cancelWithdrawn(wider)
	c.Assert(send.withdrawn(), qt.IsNil)
	c.Assert(ctx.Err(), qt.IsNil)

	elsewhere := snapshotWithin("mid")
	p.snapshot.Store(elsewhere)
	p.residency.cancelWithdrawn(elsewhere)
	c.Check(send.withdrawn(), qt.Equals, errResidencyWithdrawn)
	c.Check(context.Cause(ctx), qt.Equals, errResidencyWithdrawn)
	c.Check(rc.checkResidency(&exchange{tracked: send, permit: east}), qt.Equals, errResidencyWithdrawn)

	send.end(true)
	c.Check(p.residency.sends, qt.HasLen, 0)
	c.Check(p.residency.history.entries, qt.HasLen, 1)
	// The next attempt there is not started.
	_, send, err = rc.track(context.Background(), east, &attemptOptions{priority: -1})
	c.Check(err, qt.Equals, residency.ErrOutside)
	c.Check(send, qt.IsNil)
	c.Check(p.residency.sends, qt.HasLen, 0)
}

// TestEndedSendIsNotWithdrawn: an attempt that ended for another reason is not reported as withdrawn.
func TestEndedSendIsNotWithdrawn(t *testing.T) {
	c := qt.New(t)
	p, rc, east := trackedRequest(c)
	ctx, send, err := rc.track(context.Background(), east, &attemptOptions{priority: -1})
	c.Assert(err, qt.IsNil)
	send.end(false)
	c.Check(ctx.Err(), qt.Equals, context.Canceled)
	c.Check(send.withdrawn(), qt.IsNil)
	c.Check(p.residency.history.entries, qt.HasLen, 0, qt.Commentf("nothing was sent"))
	var untracked *trackedSend
	untracked.answered(true)
	untracked.end(true)
	c.Check(untracked.withdrawn(), qt.IsNil)
}
