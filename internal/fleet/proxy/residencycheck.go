package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/protocol/transport"
)

// errResidencyWithdrawn ends an attempt whose backend's region was withdrawn from the request's terms during the
// attempt. It wraps context.Canceled, which is no evidence against the backend.
var errResidencyWithdrawn = errors.Wrap(context.Canceled, "the region was withdrawn")

// residencyCheck keeps one request's data inside the regions that its terms allow. The terms are those of the newest
// configuration, also while the request is in flight. It belongs to the request's goroutine.
//
// Each send is checked three times, as each check alone has a gap: when a backend is selected, when a connection to it
// is acquired, and, for attempts in flight, by the tracker with each new configuration or endpoint list.
type residencyCheck struct {
	latest  *atomic.Pointer[routingSnapshot]
	tracker *residencyTracker

	snapshot       *routingSnapshot // source of residencyTerms
	subject        subject          // route or tenant whose data the request carries
	residencyTerms residency.Terms
}

// newResidencyCheck returns the check of a request that arrives at a route under a snapshot.
func newResidencyCheck(p *Proxy, route *routingconfig.Route, snapshot *routingSnapshot) residencyCheck {
	rc := residencyCheck{
		latest:   &p.snapshot,
		tracker:  p.residency,
		snapshot: snapshot,
		subject:  subject{route: route.Name},
	}
	if !route.HasResidencyTerms() {
		return rc
	}
	rc.subject.tenant = route.Tenant
	if bound := snapshot.residencyByRoute[route.Name]; bound != nil {
		rc.residencyTerms = bound.terms
	} else {
		rc.residencyTerms = residency.Within() // unreachable for a valid snapshot; fails closed, with no region allowed
	}
	rc.subject.arrivalTerms = rc.residencyTerms
	return rc
}

// bindResidency binds the request to the residency terms in force at its arrival.
func (cr *clientRequest) bindResidency(snapshot *routingSnapshot) {
	cr.residencyCheck = newResidencyCheck(cr.proxy, cr.route, snapshot)
}

// terms returns the request's terms under the newest configuration.
func (rc *residencyCheck) terms() residency.Terms {
	if snapshot := rc.latest.Load(); snapshot != rc.snapshot {
		rc.snapshot = snapshot
		rc.residencyTerms = snapshot.termsOf(&rc.subject)
	}
	return rc.residencyTerms
}

// checkResidency returns nil while an exchange may continue under the newest terms, else errResidencyWithdrawn. The
// tracker cancels the attempts of requests that arrived under terms; this check covers requests whose route got terms
// afterwards.
func (rc *residencyCheck) checkResidency(e *exchange) error {
	if e.tracked != nil {
		return e.tracked.withdrawn()
	}
	if rc.latest.Load() == rc.snapshot {
		return nil
	}
	if terms := rc.terms(); terms.Restricted() && e.permit.Check(terms) != nil {
		return errResidencyWithdrawn
	}
	return nil
}

// acquireConn acquires a connection for an attempt. The error is residency.ErrOutside if the terms do not allow the
// backend. A release-only permit gets a connection only for a request without client data: no body and no client
// header.
func (cr *clientRequest) acquireConn(ctx context.Context, permit residency.Permit,
	out *outboundRequest) (*transport.Lent, error) {
	if !permit.ReleaseOnly() {
		return permit.AcquireConn(ctx, cr.terms(), out.id)
	}
	if len(out.body) > 0 || len(out.header) > 0 || out.method != externalapi.CallFreeKVHandle.Method {
		return nil, residency.ErrOutside
	}
	return permit.AcquireReleaseConn(ctx, out.id)
}

// track registers an attempt of a residency-bound request with the tracker and returns the context that it has to run
// under, which is cancelled if its region is withdrawn. The attempt is registered before its terms are checked, so that
// a configuration that arrives at the same time is either seen by that check or cancels the attempt. The tracked send
// is nil, and the context the given one, if the request is not bound to regions, or the attempt carries none of its
// data.
func (rc *residencyCheck) track(ctx context.Context, permit residency.Permit,
	opts *attemptOptions) (context.Context, *trackedSend, error) {
	if permit.ReleaseOnly() || !rc.terms().Restricted() {
		return ctx, nil, nil
	}
	send := &trackedSend{
		tracker: rc.tracker,
		subject: rc.subject,
		permits: []residency.Permit{permit},
		purpose: purposeOf(opts),
	}
	if opts.handle != nil {
		send.permits = append(send.permits, opts.handle.permit)
	}
	send.ctx, send.cancel = context.WithCancelCause(ctx)
	send.since = time.Now()
	send.tracker.add(send)
	terms := rc.terms()
	for _, p := range send.permits {
		if err := p.Check(terms); err != nil {
			send.end(false)
			return ctx, nil, err
		}
	}
	return send.ctx, send, nil
}

// purposeOf returns the purpose of an attempt, by its options.
func purposeOf(opts *attemptOptions) sendPurpose {
	switch {
	case opts.stage != "":
		return purposePrefill
	case opts.lastID != "":
		return purposeResume
	case opts.priority >= 0: // only generations have a priority
		return purposeDecode
	}
	return purposePlain
}
