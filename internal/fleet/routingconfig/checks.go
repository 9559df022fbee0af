package routingconfig

import (
	"slices"
)

// Check is something that the caller knows and a configuration has to agree with.
type Check struct{ regions map[string]bool }

// KnownRegions has region names refused that aren't among a deployment's: zones gives the region of each zone. With no
// zone nothing is known, and any name is taken.
func KnownRegions(zones map[string]string) Check {
	c := Check{regions: make(map[string]bool, len(zones))}
	for _, region := range zones {
		if region != "" {
			c.regions[region] = true
		}
	}
	return c
}

// checkKnownRegions notes names that the caller's checks don't know; places are told only for findings.
func checkKnownRegions(checks []Check, regions []string, found *Findings, path func() string) {
	for _, c := range checks {
		for i, name := range regions {
			if len(c.regions) > 0 && name != "" && !c.regions[name] {
				found.add(path()+"."+indexed("regions", i), "the deployment has no region %q", name)
			}
		}
	}
}

// checkResidencyTerms notes when a route, whose place is given, names a tenant that isn't listed or a region that isn't its tenant's.
func checkResidencyTerms(r *routeItem, tenants map[string]*tenantItem, found *Findings, path func() string) {
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

func tenantsByName(tenants []*tenantItem) map[string]*tenantItem {
	if len(tenants) == 0 {
		return nil
	}
	out := make(map[string]*tenantItem, len(tenants))
	for _, t := range tenants {
		out[t.Name] = t
	}
	return out
}

// routeMatch is what no two routes share: host in lower case, and prefix.
type routeMatch struct{ host, prefix string }

func (r *RouteSpec) match() routeMatch { return routeMatch{lowerHost(r.Hostname), r.Prefix} }

// checkDuplicateMatch notes when an earlier route of the list has the route's host and prefix.
func checkDuplicateMatch(r *routeItem, i int, taken map[routeMatch]int, list string, found *Findings) {
	if r.Hostname == "" || r.Prefix == "" {
		return
	}
	a := r.match()
	if first, ok := taken[a]; ok {
		found.add(indexed(list, i), "has the same hostname and pfx as %s", indexed(list, first))
		return
	}
	taken[a] = i
}

// checkServices notes services of the route, whose place is given, that aren't known.
func checkServices(r *routeItem, known map[string]bool, found *Findings, path func() string) {
	if r.ServiceName != "" && !known[r.ServiceName] {
		found.add(path()+".svc", "the service %q is not known", r.ServiceName)
	}
	for i, s := range r.Split {
		if s.ServiceName != "" && !known[s.ServiceName] {
			found.add(path()+"."+indexed("shares", i)+".svc", "the service %q is not known", s.ServiceName)
		}
	}
}
