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

// errWithdrawn ends a send whose backend's region was withdrawn from the request's terms while it was under way. It counts
// as cancelled: it tells nothing of the backend.
var errWithdrawn = errors.Wrap(context.Canceled, "the region was withdrawn")

// subject tells whose data a request carries, as it was when the request came.
type subject struct {
	route  string
	tenant string
	came   residency.Terms // the terms it came under
}

// name is what the ledger and answers call the subject.
func (s *subject) name() string {
	if s.tenant != "" {
		return "tenant " + strconv.Quote(s.tenant)
	}
	return "route " + strconv.Quote(s.route)
}

// routeTerms is an enclosed route.
type routeTerms struct {
	tenant string
	terms  residency.Terms
}

// enclose works out the terms of a configuration. A tenant that is not listed allows nothing.
func (w *world) enclose(d *routingconfig.Document) {
	all := d.RoutesWithResidencyTerms()
	if len(all) == 0 {
		return
	}
	w.routes, w.tenants = make(map[string]*routeTerms, len(all)), map[string]residency.Terms{}
	for _, t := range d.Tenants() {
		w.tenants[t.Name] = residency.Within(t.Regions...)
	}
	for _, r := range all {
		one := &routeTerms{tenant: r.Tenant}
		if r.Tenant != "" {
			if base, ok := w.tenants[r.Tenant]; ok {
				one.terms = base
			} else {
				one.terms = residency.Within()
			}
		}
		if r.Regions != nil {
			one.terms = one.terms.Intersect(residency.Within(r.Regions...))
		}
		w.routes[r.Name] = one
	}
}

// termsOf gives the terms of a request by this configuration: those of its route while that is the same tenant's; else its
// tenant's as far as it came under them; where the configuration no longer tells, those it came under.
func (w *world) termsOf(s *subject) residency.Terms {
	now := w.routes[s.route]
	switch {
	case now != nil && now.tenant == s.tenant:
		return now.terms
	case now != nil && !s.came.Restricted():
		return now.terms // the route got terms after the request came
	}
	if base, ok := w.tenants[s.tenant]; ok && s.tenant != "" {
		return base.Intersect(s.came)
	}
	return s.came
}

// enclose finds the terms that a request comes under.
func (t *try) enclose(w *world) {
	t.world = w
	t.subject.route = t.route.Name
	if !t.route.HasResidencyTerms() {
		return
	}
	t.subject.tenant = t.route.Tenant
	if now := w.routes[t.route.Name]; now != nil {
		t.bounds = now.terms
	} else {
		t.bounds = residency.Within() // an enclosed route without terms can't be: nothing is allowed
	}
	t.subject.came = t.bounds
}

// terms gives the request's terms by the newest configuration there is.
func (t *try) terms() residency.Terms {
	if w := t.v.world.Load(); w != t.world {
		t.world = w
		t.bounds = w.termsOf(&t.subject)
	}
	return t.bounds
}

// stays is nil while an exchange may go on under the newest terms.
func (t *try) stays(e *exchange) error {
	if e.held != nil {
		return e.held.cut()
	}
	if t.v.world.Load() == t.world {
		return nil
	}
	if terms := t.terms(); terms.Restricted() && e.at.Check(terms) != nil {
		return errWithdrawn
	}
	return nil
}

// lend lends a connection for a send. What only releases may carry nothing of the request: neither body nor header.
func (t *try) lend(ctx context.Context, at residency.Permit, m *message) (*transport.Lent, error) {
	if !at.ReleaseOnly() {
		return at.AcquireConn(ctx, t.terms(), m.id)
	}
	if len(m.body) > 0 || len(m.header) > 0 || m.method != externalapi.CallFreeKVHandle.Method {
		return nil, residency.ErrOutside
	}
	return at.AcquireReleaseConn(ctx, m.id)
}

// hold has a send of an enclosed request watched: it is known before its terms are looked at, so that a configuration that
// comes now is seen here or sees it. held is nil where the request is not enclosed or nothing of it is sent.
func (t *try) hold(ctx context.Context, at residency.Permit, x *extra) (context.Context, *held, error) {
	if at.ReleaseOnly() || !t.terms().Restricted() {
		return ctx, nil, nil
	}
	h := &held{of: t.v.enclosed, subject: t.subject, rests: []residency.Permit{at}, use: usePlain}
	switch {
	case x.stage != "":
		h.use = usePrefill
	case x.lastID != "":
		h.use = useResume
	case x.priority >= 0: // only generations have one
		h.use = useDecode
	}
	if x.handle != nil {
		h.rests = append(h.rests, x.handle.at)
	}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	h.since = time.Now()
	h.of.add(h)
	terms := t.terms()
	for _, p := range h.rests {
		if err := p.Check(terms); err != nil {
			h.end(false)
			return ctx, nil, err
		}
	}
	return h.ctx, h, nil
}

// held is one send of an enclosed request under way. All its methods do nothing for nil.
type held struct {
	of      *enclosed
	subject subject
	rests   []residency.Permit // where its data is: the backend first, then where the handle that it takes lies
	use     use
	ctx     context.Context
	cancel  context.CancelCauseFunc
	since   time.Time
	ran     bool
}

// answered notes that an answer has begun, and whether the request may have run.
func (h *held) answered(ran bool) {
	if h != nil {
		h.ran = ran
		h.of.note(h, time.Now(), ran)
	}
}

// cut tells whether the send was cut off since its region was withdrawn: nil, or an error that counts as cancelled.
func (h *held) cut() error {
	if h != nil && h.ctx.Err() != nil && errors.Is(context.Cause(h.ctx), errWithdrawn) {
		return errWithdrawn
	}
	return nil
}

// end ends the watch; wrote: data may have gone out.
func (h *held) end(wrote bool) {
	if h == nil {
		return
	}
	h.cancel(context.Canceled)
	h.of.remove(h)
	if wrote {
		h.of.note(h, time.Now(), false)
	}
}

// enclosed is what a proxy knows of enclosed requests: the sends under way, and the ledger of where data was.
type enclosed struct {
	mu     sync.Mutex
	sends  map[*held]struct{}
	ledger ledger
}

func newEnclosed() *enclosed {
	return &enclosed{sends: map[*held]struct{}{}, ledger: newLedger()}
}

func (e *enclosed) add(h *held) {
	e.mu.Lock()
	e.sends[h] = struct{}{}
	e.mu.Unlock()
}

func (e *enclosed) remove(h *held) {
	e.mu.Lock()
	delete(e.sends, h)
	e.mu.Unlock()
}

// withdraw cuts off the sends that a new configuration or list no longer allows.
func (e *enclosed) withdraw(w *world) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for h := range e.sends {
		terms := w.termsOf(&h.subject)
		if slices.ContainsFunc(h.rests, func(p residency.Permit) bool { return p.Check(terms) != nil }) {
			h.cancel(errWithdrawn)
		}
	}
}

// insideText tells what there is of a service inside the terms, for an answer that refuses.
func (s *service) insideText(of subject, terms residency.Terms) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	inside, unknown := 0, 0
	for _, b := range s.byID {
		switch {
		case b.plot.Allowed(terms):
			inside++
		case b.plot.Region() == "":
			unknown++
		}
	}
	return of.name() + " may be held in: " + terms.String() + "; backends listed there: " + strconv.Itoa(inside) +
		", of no known region: " + strconv.Itoa(unknown)
}
