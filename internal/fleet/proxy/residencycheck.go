package proxy

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/protocol/transport"
)

// errResidencyWithdrawn ends a send whose backend's region was withdrawn from the request's terms while it was under way. It counts
// as cancelled: it tells nothing of the backend.
var errResidencyWithdrawn = errors.Wrap(context.Canceled, "the region was withdrawn")

// subject tells whose data a request carries, as it was when the request came.
type subject struct {
	route        string
	tenant       string
	arrivalTerms residency.Terms // the terms it came under
}

// name is what the ledger and answers call the subject.
func (s *subject) name() string {
	if s.tenant != "" {
		return "tenant " + strconv.Quote(s.tenant)
	}
	return "route " + strconv.Quote(s.route)
}

// routeResidency is an enclosed route.
type routeResidency struct {
	tenant string
	terms  residency.Terms
}

// computeResidency works out the terms of a configuration. A tenant that is not listed allows nothing.
func (rs *routingSnapshot) computeResidency(d *routingconfig.Document) {
	all := d.RoutesWithResidencyTerms()
	if len(all) == 0 {
		return
	}
	rs.residencyByRoute, rs.termsByTenant = make(map[string]*routeResidency, len(all)), map[string]residency.Terms{}
	for _, t := range d.Tenants() {
		rs.termsByTenant[t.Name] = residency.Within(t.Regions...)
	}
	for _, r := range all {
		one := &routeResidency{tenant: r.Tenant}
		if r.Tenant != "" {
			if base, ok := rs.termsByTenant[r.Tenant]; ok {
				one.terms = base
			} else {
				one.terms = residency.Within()
			}
		}
		if r.Regions != nil {
			one.terms = one.terms.Intersect(residency.Within(r.Regions...))
		}
		rs.residencyByRoute[r.Name] = one
	}
}

// termsOf gives the terms of a request by this configuration: those of its route while that is the same tenant's; else its
// tenant's as far as it came under them; where the configuration no longer tells, those it came under.
func (rs *routingSnapshot) termsOf(s *subject) residency.Terms {
	now := rs.residencyByRoute[s.route]
	switch {
	case now != nil && now.tenant == s.tenant:
		return now.terms
	case now != nil && !s.arrivalTerms.Restricted():
		return now.terms // the route got terms after the request came
	}
	if base, ok := rs.termsByTenant[s.tenant]; ok && s.tenant != "" {
		return base.Intersect(s.arrivalTerms)
	}
	return s.arrivalTerms
}

// computeResidency finds the terms that a request comes under.
func (cr *clientRequest) bindResidency(snapshot *routingSnapshot) {
	cr.snapshot = snapshot
	cr.subject.route = cr.route.Name
	if !cr.route.HasResidencyTerms() {
		return
	}
	cr.subject.tenant = cr.route.Tenant
	if current := snapshot.residencyByRoute[cr.route.Name]; current != nil {
		cr.residencyTerms = current.terms
	} else {
		cr.residencyTerms = residency.Within() // an enclosed route without terms can't be: nothing is allowed
	}
	cr.subject.arrivalTerms = cr.residencyTerms
}

// terms gives the request's terms by the newest configuration there is.
func (cr *clientRequest) terms() residency.Terms {
	if snapshot := cr.proxy.snapshot.Load(); snapshot != cr.snapshot {
		cr.snapshot = snapshot
		cr.residencyTerms = snapshot.termsOf(&cr.subject)
	}
	return cr.residencyTerms
}

// checkResidency is nil while an exchange may go on under the newest terms.
func (cr *clientRequest) checkResidency(e *exchange) error {
	if e.tracked != nil {
		return e.tracked.withdrawn()
	}
	if cr.proxy.snapshot.Load() == cr.snapshot {
		return nil
	}
	if terms := cr.terms(); terms.Restricted() && e.permit.Check(terms) != nil {
		return errResidencyWithdrawn
	}
	return nil
}

// lendConn lends a connection for a send. What only releases may carry nothing of the request: neither body nor header.
func (cr *clientRequest) lendConn(ctx context.Context, permit residency.Permit, out *outboundRequest) (*transport.Lent, error) {
	if !permit.ReleaseOnly() {
		return permit.AcquireConn(ctx, cr.terms(), out.id)
	}
	if len(out.body) > 0 || len(out.header) > 0 || out.method != externalapi.CallFreeKVHandle.Method {
		return nil, residency.ErrOutside
	}
	return permit.AcquireReleaseConn(ctx, out.id)
}

// track has a send of an enclosed request watched: it is known before its terms are looked at, so that a configuration that
// comes now is seen here or sees it. held is nil where the request is not enclosed or nothing of it is sent.
func (cr *clientRequest) track(ctx context.Context, permit residency.Permit, opts *attemptOptions) (context.Context, *trackedSend, error) {
	if permit.ReleaseOnly() || !cr.terms().Restricted() {
		return ctx, nil, nil
	}
	send := &trackedSend{tracker: cr.proxy.residency, subject: cr.subject, permits: []residency.Permit{permit}, purpose: purposePlain}
	switch {
	case opts.stage != "":
		send.purpose = purposePrefill
	case opts.lastID != "":
		send.purpose = purposeResume
	case opts.priority >= 0: // only generations have one
		send.purpose = purposeDecode
	}
	if opts.handle != nil {
		send.permits = append(send.permits, opts.handle.permit)
	}
	send.ctx, send.cancel = context.WithCancelCause(ctx)
	send.since = time.Now()
	send.tracker.add(send)
	terms := cr.terms()
	for _, p := range send.permits {
		if err := p.Check(terms); err != nil {
			send.end(false)
			return ctx, nil, err
		}
	}
	return send.ctx, send, nil
}

// trackedSend is one send of an enclosed request under way. All its methods do nothing for nil.
type trackedSend struct {
	tracker    *residencyTracker
	subject    subject
	permits    []residency.Permit // where its data is: the backend first, then where the handle that it takes lies
	purpose    sendPurpose
	ctx        context.Context
	cancel     context.CancelCauseFunc
	since      time.Time
	mayHaveRun bool
}

// headerReceived notes that an answer has begun, and whether the request may have run.
func (s *trackedSend) answered(ran bool) {
	if s != nil {
		s.mayHaveRun = ran
		s.tracker.record(s, time.Now(), ran)
	}
}

// withdrawn tells whether the send was cut off since its region was withdrawn: nil, or an error that counts as cancelled.
func (s *trackedSend) withdrawn() error {
	if s != nil && s.ctx.Err() != nil && errors.Is(context.Cause(s.ctx), errResidencyWithdrawn) {
		return errResidencyWithdrawn
	}
	return nil
}

// finish ends the watch; wrote: data may have gone out.
func (s *trackedSend) end(wrote bool) {
	if s == nil {
		return
	}
	s.cancel(context.Canceled)
	s.tracker.remove(s)
	if wrote {
		s.tracker.record(s, time.Now(), false)
	}
}

// residencyTracker is what a proxy knows of enclosed requests: the sends under way, and the ledger of where data was.
type residencyTracker struct {
	mu      sync.Mutex
	sends   map[*trackedSend]struct{}
	history residencyLog
}

func newResidencyTracker() *residencyTracker {
	return &residencyTracker{sends: map[*trackedSend]struct{}{}, history: newResidencyLog()}
}

func (rt *residencyTracker) add(send *trackedSend) {
	rt.mu.Lock()
	rt.sends[send] = struct{}{}
	rt.mu.Unlock()
}

func (rt *residencyTracker) remove(send *trackedSend) {
	rt.mu.Lock()
	delete(rt.sends, send)
	rt.mu.Unlock()
}

// cancelWithdrawn cuts off the sends that a new configuration or list no longer allows.
func (rt *residencyTracker) cancelWithdrawn(snapshot *routingSnapshot) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for send := range rt.sends {
		terms := snapshot.termsOf(&send.subject)
		if slices.ContainsFunc(send.permits, func(p residency.Permit) bool { return p.Check(terms) != nil }) {
			send.cancel(errResidencyWithdrawn)
		}
	}
}

// residencyText tells what there is of a service inside the terms, for an answer that refuses.
func (s *service) residencyText(of subject, terms residency.Terms) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	inside, unknown := 0, 0
	for _, b := range s.byID {
		switch {
		case b.endpoint.Allowed(terms):
			inside++
		case b.endpoint.Region() == "":
			unknown++
		}
	}
	return of.name() + " may be held in: " + terms.String() + "; backends listed there: " + strconv.Itoa(inside) +
		", of no known region: " + strconv.Itoa(unknown)
}
