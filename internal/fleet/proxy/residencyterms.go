package proxy

import (
	"strconv"

	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
)

// subject says whose data a request carries, as it was when the request arrived.
type subject struct {
	route        string
	tenant       string          // empty: the route has terms of its own, or none
	arrivalTerms residency.Terms // the terms at arrival
}

// name is what answers and the residency log call the subject.
func (s *subject) name() string {
	if s.tenant != "" {
		return "tenant " + strconv.Quote(s.tenant)
	}
	return "route " + strconv.Quote(s.route)
}

// routeResidency is what the configuration says of a residency-bound route.
type routeResidency struct {
	tenant string // empty: none
	terms  residency.Terms
}

// computeResidency fills in the residency terms of a configuration. A tenant that it doesn't list allows no region,
// since what is not known to be allowed is refused.
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

// termsOf returns the terms of a request by this configuration, which may be newer than the request: those of its route
// while that belongs to the same tenant; else its tenant's, as far as the terms at arrival allow; else, where the
// configuration says nothing any more, the terms at arrival.
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

// describeResidency says how many backends of a service the terms allow, for an answer that rejects a request.
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
