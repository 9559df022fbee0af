package routingconfig

import (
	"slices"
	"strconv"
)

// Check is an option of Decode, Replace and Update that adds or relaxes rules.
type Check struct {
	regions map[string]bool
	stored  bool
}

// Stored returns a check for a configuration or an update that was acknowledged before and can't be rejected any more:
// it is accepted even if an earlier build accepted it and this build would not. Invalid accounts have no effect, a key
// of two accounts belongs to neither, and misplaced fields of an update are ignored, as by the earlier build.
func Stored() Check { return Check{stored: true} }

// stored reports whether one of the checks is Stored.
func stored(checks []Check) bool {
	return slices.ContainsFunc(checks, func(c Check) bool { return c.stored })
}

// unlessStored returns the list for findings that are ignored in a stored configuration: found, or one that is
// discarded if one of the checks is Stored.
func unlessStored(checks []Check, found *Findings) *Findings {
	if stored(checks) {
		return new(Findings)
	}
	return found
}

// KnownRegions returns a check that rejects names of regions that the deployment doesn't have; zones gives the region
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

// checkItems checks the rules of a complete document that involve several items or the caller's checks.
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

// checkChangedRoutes checks the routes of a merged document. The routes in upserts are new, and all others come from a
// valid document; servicesRemoved reports whether services may be missing now.
func (d *Document) checkChangedRoutes(upserts []*routeItem, servicesRemoved bool, found *Findings) {
	if len(upserts) == 0 && !servicesRemoved {
		return
	}
	services := d.serviceNames()
	isNew := make(map[*routeItem]bool, len(upserts))
	matches := make(map[routeMatch]int, len(upserts)) // only of the new routes; the others differ from each other
	// Most old routes differ from the new ones by the prefix alone, so that their host needn't be converted.
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

// checkChangedTenants checks the residency terms of a merged document. The given routes and tenants are new, and all
// others come from a valid document; tenantsRemoved reports whether tenants may be missing now.
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

// namedPath returns the path, for findings, of a route that isn't in the body being read.
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

// checkRouteRegions adds findings for a route's tenant and regions. Here and in the functions below, path is
// called only for a finding: a document has thousands of routes.
func checkRouteRegions(
	r *routeItem, tenants map[string]*tenantItem, checks []Check, found *Findings, path func() string,
) {
	if !r.HasResidencyTerms() {
		return
	}
	checkKnownRegions(checks, r.Regions, found, path)
	checkTenantRegions(r, tenants, found, path)
}

// checkKnownRegions adds findings for regions that aren't in the caller's checks.
func checkKnownRegions(checks []Check, regions []string, found *Findings, path func() string) {
	for _, c := range checks {
		for i, name := range regions {
			if len(c.regions) > 0 && name != "" && !c.regions[name] {
				found.add(path()+"."+indexed("regions", i), "the deployment has no region %q", name)
			}
		}
	}
}

// checkTenantRegions adds findings if a route names a tenant that isn't listed, or regions that its tenant doesn't
// have.
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

// checkServices adds findings for services of a route that aren't in the configuration.
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

// routeMatch is the match condition of a route, which must be unique: host in lower case, and prefix.
type routeMatch struct{ host, prefix string }

func (r *RouteSpec) match() routeMatch { return routeMatch{lowerHost(r.Hostname), r.Prefix} }

// checkDuplicateMatch adds a finding if an earlier route of the list has the same host and prefix.
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
