package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// Update applies the body of cfg/update to current (nil: none yet), which is not changed:
//
//	{"ver":9,"upsert":{"routing":[items],"svcs":[items],"tenants":[items],"caps":{}},
//	 "remove":{"routing":[names],"svcs":[names],"tenants":[names]}}
//
// Items replace those of the same name in their place or are added at the end; removing a name that isn't there is
// not an error; of a name both removed and upserted the new item stays, in the old one's place. The result is valid as a
// whole by Decode's rules, its version above current's. The cost is linear in the size of the body and in the number of
// routes, with little work for a route that isn't touched. The new Document shares current's items and keeps none of body.
func Update(current *Document, body []byte, checks ...Check) (*Document, Findings) {
	var found Findings
	top := parseObject(body, &found)
	if top == nil {
		return nil, found
	}
	if current == nil {
		current = &Document{}
	}
	d := &Document{limits: current.limits, caps: current.caps, extra: current.extra, tenants: current.tenants}
	var (
		ver                            json.RawMessage
		routes                         []*routeItem
		services                       []*serviceItem
		tenants                        []*tenantItem
		removedRoutes, removedServices map[string]bool
		removedTenants                 map[string]bool
		upsert, removed                = top.child("upsert"), top.child("remove")
	)
	eachField(body, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "ver":
			ver = v
		case "routing", "svcs":
			found.add(string(k), "belongs under upsert in an update")
		case "upsert":
			if absent(v) || !upsert.requireObject(v) {
				return
			}
			eachField(v, func(k []byte, v json.RawMessage) {
				switch string(k) {
				case "routing":
					routes = upsert.routes("routing", v)
				case "svcs":
					services = upsert.services("svcs", v)
				case "tenants":
					tenants = upsert.tenants("tenants", v)
				case "caps":
					if caps := upsert.child("caps"); !absent(v) && caps.requireObject(v) {
						d.caps, d.limits = bytes.Clone(v), caps.limits(v)
					}
				}
			})
		case "remove":
			if absent(v) || !removed.requireObject(v) {
				return
			}
			eachField(v, func(k []byte, v json.RawMessage) {
				switch string(k) {
				case "routing":
					removedRoutes = removed.nameSet("routing", v)
				case "svcs":
					removedServices = removed.nameSet("svcs", v)
				case "tenants":
					removedTenants = removed.nameSet("tenants", v)
				}
			})
		}
	})
	d.version = top.version(ver, current)
	for _, r := range routes {
		r.raw = bytes.Clone(r.raw)
	}
	for _, s := range services {
		s.raw = bytes.Clone(s.raw)
	}
	d.routes = merge(current.routes, routes, removedRoutes, func(r *routeItem) string { return r.Name })
	d.services = merge(current.services, services, removedServices, func(s *serviceItem) string { return s.Name })
	for _, t := range tenants {
		t.raw = bytes.Clone(t.raw)
	}
	d.tenants = merge(current.tenants, tenants, removedTenants, func(t *tenantItem) string { return t.Name })
	d.checkChanged(routes, len(removedServices) > 0, &found)
	d.checkResidencyTerms(routes, tenants, len(removedTenants) > 0, checks, &found)
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

// merge gives old with the named items gone, those in put replaced, and the others of put at the end. Names in put must
// differ.
func merge[T any](old, upserts []T, removed map[string]bool, name func(T) string) []T {
	if len(upserts) == 0 && len(removed) == 0 {
		return old
	}
	fresh := make(map[string]int, len(upserts)) // the place in put; below 0 once it is in
	for i, item := range upserts {
		fresh[name(item)] = i
	}
	out := make([]T, 0, len(old)+len(upserts))
	for _, item := range old {
		n := name(item)
		if i, ok := fresh[n]; ok {
			out = append(out, upserts[i])
			fresh[n] = -1
		} else if !removed[n] {
			out = append(out, item)
		}
	}
	for _, item := range upserts {
		if fresh[name(item)] >= 0 {
			out = append(out, item)
		}
	}
	return slices.Clip(out)
}

// checkChanged checks a merged document of which the routes in put are new, and all others come from a valid document;
// thinned tells that services may be missing now.
func (d *Document) checkChanged(upserts []*routeItem, servicesRemoved bool, found *Findings) {
	if len(upserts) == 0 && !servicesRemoved {
		return
	}
	known := make(map[string]bool, len(d.services))
	for _, s := range d.services {
		known[s.Name] = true
	}
	isNew := make(map[*routeItem]bool, len(upserts))
	taken := make(map[routeMatch]int, len(upserts)) // of the new routes only; the others differ from each other
	for i, r := range upserts {
		isNew[r] = true
		checkServices(r, known, found, func() string { return indexed("upsert.routing", i) })
		checkDuplicateMatch(r, i, taken, "upsert.routing", found)
	}
	// The prefix alone tells most old routes apart from the new ones, without work on their host.
	prefixes := make(map[string]bool, len(upserts))
	for _, r := range upserts {
		prefixes[r.Prefix] = true
	}
	for _, r := range d.routes {
		if isNew[r] {
			continue
		}
		if servicesRemoved {
			checkServices(r, known, found, func() string { return "route " + strconv.Quote(r.Name) })
		}
		if !prefixes[r.Prefix] {
			continue
		}
		if i, ok := taken[r.match()]; ok {
			found.add(indexed("upsert.routing", i), "has the hostname and pfx of the route %q", r.Name)
		}
	}
}

// checkResidencyTerms checks the terms of a merged document of which the routes and tenants given are new, and all others come from
// a valid document; thinned tells that tenants may be missing now.
func (d *Document) checkResidencyTerms(routes []*routeItem, tenants []*tenantItem, tenantsRemoved bool, checks []Check, found *Findings) {
	for i, t := range tenants {
		checkKnownRegions(checks, t.Regions, found, func() string { return indexed("upsert.tenants", i) })
	}
	listed := tenantsByName(d.tenants)
	for i, r := range routes {
		if r.HasResidencyTerms() {
			checkKnownRegions(checks, r.Regions, found, func() string { return indexed("upsert.routing", i) })
			checkResidencyTerms(r, listed, found, func() string { return indexed("upsert.routing", i) })
		}
	}
	if len(tenants) == 0 && !tenantsRemoved {
		return
	}
	isNew := make(map[*routeItem]bool, len(routes))
	for _, r := range routes {
		isNew[r] = true
	}
	for _, r := range d.routes {
		if r.Tenant != "" && !isNew[r] {
			checkResidencyTerms(r, listed, found, func() string { return "route " + strconv.Quote(r.Name) })
		}
	}
}
