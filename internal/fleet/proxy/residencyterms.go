package proxy

import (
	"strconv"

	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
)

// subject identifies the route or tenant whose data a request carries, as of the request's arrival.
type subject struct {
	route        string
	tenant       string          // empty: the route has terms of its own, or none
	arrivalTerms residency.Terms // the terms at arrival
}

// name returns the subject's name in responses and in the residency log.
func (s *subject) name() string {
	if s.tenant != "" {
		return "tenant " + strconv.Quote(s.tenant)
	}
	return "route " + strconv.Quote(s.route)
}

// routeResidency is the tenant and the terms of a residency-bound route.
type routeResidency struct {
	tenant string // empty: none
	terms  residency.Terms
}

// computeResidency sets the residency terms of a configuration. A tenant that it does not list is allowed no region, as
// terms fail closed.
func (rs *routingSnapshot) computeResidency(d *routingconfig.Document) {
	routes := d.RoutesWithResidencyTerms()
	if len(routes) == 0 {
		return
	}
	rs.residencyByRoute = make(map[string]*routeResidency, len(routes))
	rs.termsByTenant = map[string]residency.Terms{}
	for _, t := range d.Tenants() {
		rs.termsByTenant[t.Name] = residency.Within(t.Regions...)
	}
	for _, route := range routes {
		bound := &routeResidency{tenant: route.Tenant}
		if route.Tenant != "" {
			tenantTerms, listed := rs.termsByTenant[route.Tenant]
			if !listed {
				tenantTerms = residency.Within()
			}
			bound.terms = tenantTerms
		}
		if route.Regions != nil {
			bound.terms = bound.terms.Intersect(residency.Within(route.Regions...))
		}
		rs.residencyByRoute[route.Name] = bound
	}
}

// termsOf returns the terms of a request under this configuration, which may be newer than the request: those of its
// route while the route belongs to the same tenant; else those of its tenant, restricted to the terms at arrival; else,
// if the configuration contains neither any more, the terms at arrival.
func (rs *routingSnapshot) termsOf(s *subject) residency.Terms {
	bound := rs.residencyByRoute[s.route]
	switch {
	case bound != nil && bound.tenant == s.tenant:
		return bound.terms
	case bound != nil && !s.arrivalTerms.Restricted():
		return bound.terms // the route got terms after the request arrived
	}
	if tenantTerms, listed := rs.termsByTenant[s.tenant]; listed && s.tenant != "" {
		return tenantTerms.Intersect(s.arrivalTerms)
	}
	return s.arrivalTerms
}

// describeResidency returns how many backends of a service the terms allow, as text for the response that rejects a
// request.
func (s *service) describeResidency(of subject, terms residency.Terms) string {
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
	return of.name() + " may be held in: " + terms.String() +
		"; backends listed there: " + strconv.Itoa(inside) +
		", of no known region: " + strconv.Itoa(unknown)
}
