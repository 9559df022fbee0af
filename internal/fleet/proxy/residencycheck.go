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

// errResidencyWithdrawn ends an attempt whose backend's region was withdrawn from the request's terms while it was
// under way. It is a context.Canceled, which says nothing of the backend.
var errResidencyWithdrawn = errors.Wrap(context.Canceled, "the region was withdrawn")

// residencyCheck keeps one request's data inside the regions that its terms allow. The terms are those of the newest
// configuration, also while the request is under way. It belongs to the request's goroutine.
//
// What is sent is checked three times, as each check alone has a gap: when a backend is chosen, when a connection to
// it is acquired, and, for attempts under way, by the tracker with each new configuration or endpoint list.
type residencyCheck struct {
	latest  *atomic.Pointer[routingSnapshot]
	tracker *residencyTracker

	snapshot       *routingSnapshot // that residencyTerms are from
	subject        subject          // whose data the request carries
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
		rc.residencyTerms = residency.Within() // a residency-bound route without terms can't be: nothing is allowed
	}
	rc.subject.arrivalTerms = rc.residencyTerms
	return rc
}

// bindResidency binds the request to the residency terms that it arrives under.
func (cr *clientRequest) bindResidency(snapshot *routingSnapshot) {
	cr.residencyCheck = newResidencyCheck(cr.proxy, cr.route, snapshot)
}

// terms returns the request's terms by the newest configuration.
func (rc *residencyCheck) terms() residency.Terms {
	if snapshot := rc.latest.Load(); snapshot != rc.snapshot {
		rc.snapshot = snapshot
		rc.residencyTerms = snapshot.termsOf(&rc.subject)
	}
	return rc.residencyTerms
}

// checkResidency returns nil while an exchange may go on under the newest terms, else errResidencyWithdrawn. The
// tracker cancels the attempts of requests that arrived under terms; this finds those of requests whose route got
// terms since.
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

// acquireConn acquires a connection for an attempt. The error is residency.ErrOutside where the terms don't allow the
// backend, and for a permit that only releases unless the request carries nothing of the client's: neither body nor
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
// under, which is cancelled if its region is withdrawn. The attempt is registered before its terms are looked at, so
// that a configuration which comes at this moment either is seen here or sees the attempt. The tracked send is nil,
// and the context the one given, where there is nothing to track: the request is not bound, or the attempt carries
// nothing of it.
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

// purposeOf is what an attempt is for, by its options.
func purposeOf(opts *attemptOptions) sendPurpose {
	switch {
	case opts.stage != "":
		return purposePrefill
	case opts.lastID != "":
		return purposeResume
	case opts.priority >= 0: // only generations have one
		return purposeDecode
	}
	return purposePlain
}
