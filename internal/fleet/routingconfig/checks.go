package routingconfig

import (
	"slices"
	"strconv"
)

// Check is a rule that a configuration must satisfy beside those of Decode, from what the caller knows.
type Check struct {
	regions map[string]bool
	stored  bool
}

// Stored returns a check for what was acknowledged before and can't be refused any more: what an earlier build accepted
// is read where this one would refuse it. Accounts that aren't valid have no effect, a key that two of them share is
// nobody's, and what an update has in the wrong place is passed over, as it was then.
func Stored() Check { return Check{stored: true} }

// stored returns whether one of the checks is Stored.
func stored(checks []Check) bool {
	return slices.ContainsFunc(checks, func(c Check) bool { return c.stored })
}

// unlessStored returns where findings are added that don't count for what was acknowledged before.
func unlessStored(checks []Check, found *Findings) *Findings {
	if stored(checks) {
		return new(Findings)
	}
	return found
}

// KnownRegions returns a check that refuses names of regions that the deployment doesn't have; zones gives the region
// of each zone. Without any zone the regions aren't known, and every name is accepted.
func KnownRegions(zones map[string]string) Check {
	c := Check{regions: make(map[string]bool, len(zones))}
	for _, region := range zones {
		if region != "" {
			c.regions[region] = true
		}
	}
	return c
}

// checkItems checks a complete document for what one item alone can't show.
func (d *Document) checkItems(checks []Check, found *Findings) {
	services := d.serviceNames()
	tenants := tenantsByName(d.tenants)
	for i, t := range d.tenants {
		checkKnownRegions(checks, t.Regions, found, func() string { return indexed("tenants", i) })
	}
	d.checkAccountKeys(unlessStored(checks, found))
	matches := make(map[routeMatch]int, len(d.routes))
	for i, r := range d.routes {
		path := func() string { return indexed("routing", i) }
		checkServices(r, services, found, path)
		checkRouteRegions(r, tenants, checks, found, path)
		checkDuplicateMatch(r, i, matches, "routing", found)
	}
}

// checkChangedRoutes checks a merged document of which the routes in upserts are new, and all others come from a valid
// document; servicesRemoved says that services may be missing now.
func (d *Document) checkChangedRoutes(upserts []*routeItem, servicesRemoved bool, found *Findings) {
	if len(upserts) == 0 && !servicesRemoved {
		return
	}
	services := d.serviceNames()
	isNew := make(map[*routeItem]bool, len(upserts))
	matches := make(map[routeMatch]int, len(upserts)) // of the new routes only; the others differ from each other
	// The prefix alone tells most old routes apart from the new ones, without work on their host.
	prefixes := make(map[string]bool, len(upserts))
	for i, r := range upserts {
		isNew[r] = true
		prefixes[r.Prefix] = true
		checkServices(r, services, found, func() string { return indexed("upsert.routing", i) })
		checkDuplicateMatch(r, i, matches, "upsert.routing", found)
	}
	for _, r := range d.routes {
		if isNew[r] {
			continue
		}
		if servicesRemoved {
			checkServices(r, services, found, r.namedPath)
		}
		if !prefixes[r.Prefix] {
			continue
		}
		if i, ok := matches[r.match()]; ok {
			found.add(indexed("upsert.routing", i), "has the hostname and pfx of the route %q", r.Name)
		}
	}
}

// checkChangedTenants checks the residency terms of a merged document of which the routes and tenants given are new,
// and all others come from a valid document; tenantsRemoved says that tenants may be missing now.
func (d *Document) checkChangedTenants(
	routes []*routeItem, upserts []*tenantItem, tenantsRemoved bool, checks []Check, found *Findings,
) {
	for i, t := range upserts {
		checkKnownRegions(checks, t.Regions, found, func() string { return indexed("upsert.tenants", i) })
	}
	tenants := tenantsByName(d.tenants)
	for i, r := range routes {
		checkRouteRegions(r, tenants, checks, found, func() string { return indexed("upsert.routing", i) })
	}
	if len(upserts) == 0 && !tenantsRemoved {
		return
	}
	isNew := make(map[*routeItem]bool, len(routes))
	for _, r := range routes {
		isNew[r] = true
	}
	for _, r := range d.routes {
		if r.Tenant != "" && !isNew[r] {
			checkTenantRegions(r, tenants, found, r.namedPath)
		}
	}
}

// namedPath is the path of a route that isn't in the body at hand.
func (r *routeItem) namedPath() string { return "route " + strconv.Quote(r.Name) }

func (d *Document) serviceNames() map[string]bool {
	names := make(map[string]bool, len(d.services))
	for _, s := range d.services {
		names[s.Name] = true
	}
	return names
}

func tenantsByName(tenants []*tenantItem) map[string]*tenantItem {
	if len(tenants) == 0 {
		return nil
	}
	byName := make(map[string]*tenantItem, len(tenants))
	for _, t := range tenants {
		byName[t.Name] = t
	}
	return byName
}

// checkRouteRegions adds findings for a route's tenant and regions. Its path, as in the functions below, is called only
// for a finding: a document has thousands of routes.
func checkRouteRegions(
	r *routeItem, tenants map[string]*tenantItem, checks []Check, found *Findings, path func() string,
) {
	if !r.HasResidencyTerms() {
		return
	}
	checkKnownRegions(checks, r.Regions, found, path)
	checkTenantRegions(r, tenants, found, path)
}

// checkKnownRegions adds findings for regions that the caller's checks don't know.
func checkKnownRegions(checks []Check, regions []string, found *Findings, path func() string) {
	for _, c := range checks {
		for i, name := range regions {
			if len(c.regions) > 0 && name != "" && !c.regions[name] {
				found.add(path()+"."+indexed("regions", i), "the deployment has no region %q", name)
			}
		}
	}
}

// checkTenantRegions adds findings where a route names a tenant that isn't listed, or a region that isn't its tenant's.
func checkTenantRegions(r *routeItem, tenants map[string]*tenantItem, found *Findings, path func() string) {
	if r.Tenant == "" {
		return
	}
	t := tenants[r.Tenant]
	if t == nil {
		found.add(path()+".tenant", "the tenant %q is not listed", r.Tenant)
		return
	}
	for i, name := range r.Regions {
		if name != "" && !slices.Contains(t.Regions, name) {
			found.add(path()+"."+indexed("regions", i), "%q is not among the regions of the tenant %q", name, r.Tenant)
		}
	}
}

// checkServices adds findings for services of a route that aren't known.
func checkServices(r *routeItem, services map[string]bool, found *Findings, path func() string) {
	if r.ServiceName != "" && !services[r.ServiceName] {
		found.add(path()+".svc", "the service %q is not known", r.ServiceName)
	}
	for i, s := range r.Split {
		if s.ServiceName != "" && !services[s.ServiceName] {
			found.add(path()+"."+indexed("shares", i)+".svc", "the service %q is not known", s.ServiceName)
		}
	}
}

// routeMatch is what no two routes have in common: host in lower case, and prefix.
type routeMatch struct{ host, prefix string }

func (r *RouteSpec) match() routeMatch { return routeMatch{lowerHost(r.Hostname), r.Prefix} }

// checkDuplicateMatch adds a finding where an earlier route of the list has the route's host and prefix.
func checkDuplicateMatch(r *routeItem, i int, matches map[routeMatch]int, list string, found *Findings) {
	if r.Hostname == "" || r.Prefix == "" {
		return
	}
	m := r.match()
	if first, ok := matches[m]; ok {
		found.add(indexed(list, i), "has the same hostname and pfx as %s", indexed(list, first))
		return
	}
	matches[m] = i
}
