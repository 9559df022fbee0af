package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Decode reads a whole configuration: the body of cfg/replace, or what Show gave. It is valid only with no findings;
// the Document is nil otherwise. The body must be exactly one JSON object with "ver" (a whole number above 0),
// "routing" and "svcs" (lists, which may be empty); "caps" may be missing. Refused are: text that isn't JSON or UTF-8,
// bytes after the value, a key given twice in any object, wrong types, names given twice, a route that names a service
// not known, two routes with the same host (without regard to case) and prefix, negative weights or weights that add up
// to 0, a deadline_ms of 0 or less or missing, a prefix that doesn't begin and end with a slash, an unknown kind. Unknown
// fields are kept. An optional field that is null counts as not given. The Document keeps slices of body, which must not
// be changed afterwards. Refused too are a route that names a tenant not listed, regions that are no list of one or more
// names, and regions of a route that its tenant doesn't have; checks add what the caller knows.
func Decode(body []byte, checks ...Check) (*Document, Findings) { return Replace(nil, body, checks...) }

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

// inRegions notes names that the caller's checks don't know; places are told only for findings.
func inRegions(checks []Check, regions []string, found *Findings, place func() string) {
	for _, c := range checks {
		for i, name := range regions {
			if len(c.regions) > 0 && name != "" && !c.regions[name] {
				found.add(place()+"."+indexed("regions", i), "the deployment has no region %q", name)
			}
		}
	}
}

// checkTerms notes when a route, whose place is given, names a tenant that isn't listed or a region that isn't its tenant's.
func checkTerms(r *routeItem, tenants map[string]*tenantItem, found *Findings, place func() string) {
	if r.Tenant == "" {
		return
	}
	t := tenants[r.Tenant]
	if t == nil {
		found.add(place()+".tenant", "the tenant %q is not listed", r.Tenant)
		return
	}
	for i, name := range r.Regions {
		if name != "" && !slices.Contains(t.Regions, name) {
			found.add(place()+"."+indexed("regions", i), "%q is not among the regions of the tenant %q", name, r.Tenant)
		}
	}
}

func byName(tenants []*tenantItem) map[string]*tenantItem {
	if len(tenants) == 0 {
		return nil
	}
	out := make(map[string]*tenantItem, len(tenants))
	for _, t := range tenants {
		out[t.Name] = t
	}
	return out
}

// Replace is Decode for a configuration sent on top of current (nil: none yet); its version must be above current's.
func Replace(current *Document, body []byte, checks ...Check) (*Document, Findings) {
	var found Findings
	top := open(body, &found)
	if top == nil {
		return nil, found
	}
	d := &Document{}
	var ver, routing, svcs, tenants json.RawMessage
	eachField(body, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "ver":
			ver = v
		case "routing":
			routing = v
		case "svcs":
			svcs = v
		case "tenants":
			tenants = v
		case "caps":
			d.caps = v
		default:
			d.extra = append(d.extra, member{key: string(k), value: v})
		}
	})
	d.version = top.version(ver, current)
	if absent(routing) {
		found.add("routing", "must be given")
	} else {
		d.routes = top.routes("routing", routing)
	}
	if absent(svcs) {
		found.add("svcs", "must be given")
	} else {
		d.services = top.services("svcs", svcs)
	}
	if !absent(tenants) {
		d.tenants = top.tenants("tenants", tenants)
	}
	if caps := top.within("caps"); !absent(d.caps) && caps.is(d.caps) {
		d.limits = caps.limits(d.caps)
	}

	known := make(map[string]bool, len(d.services))
	for _, s := range d.services {
		known[s.Name] = true
	}
	listed := byName(d.tenants)
	for i, t := range d.tenants {
		inRegions(checks, t.Regions, &found, func() string { return indexed("tenants", i) })
	}
	taken := make(map[address]int, len(d.routes))
	for i, r := range d.routes {
		checkServices(r, known, &found, func() string { return indexed("routing", i) })
		if r.Enclosed() {
			inRegions(checks, r.Regions, &found, func() string { return indexed("routing", i) })
			checkTerms(r, listed, &found, func() string { return indexed("routing", i) })
		}
		checkAddress(r, i, taken, "routing", &found)
	}
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

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
	top := open(body, &found)
	if top == nil {
		return nil, found
	}
	if current == nil {
		current = &Document{}
	}
	d := &Document{limits: current.limits, caps: current.caps, extra: current.extra, tenants: current.tenants}
	var (
		ver             json.RawMessage
		routes          []*routeItem
		services        []*serviceItem
		tenants         []*tenantItem
		goneR, goneS    map[string]bool
		goneT           map[string]bool
		upsert, removed = top.within("upsert"), top.within("remove")
	)
	eachField(body, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "ver":
			ver = v
		case "routing", "svcs":
			found.add(string(k), "belongs under upsert in an update")
		case "upsert":
			if absent(v) || !upsert.is(v) {
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
					if caps := upsert.within("caps"); !absent(v) && caps.is(v) {
						d.caps, d.limits = bytes.Clone(v), caps.limits(v)
					}
				}
			})
		case "remove":
			if absent(v) || !removed.is(v) {
				return
			}
			eachField(v, func(k []byte, v json.RawMessage) {
				switch string(k) {
				case "routing":
					goneR = removed.list("routing", v)
				case "svcs":
					goneS = removed.list("svcs", v)
				case "tenants":
					goneT = removed.list("tenants", v)
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
	d.routes = merge(current.routes, routes, goneR, func(r *routeItem) string { return r.Name })
	d.services = merge(current.services, services, goneS, func(s *serviceItem) string { return s.Name })
	for _, t := range tenants {
		t.raw = bytes.Clone(t.raw)
	}
	d.tenants = merge(current.tenants, tenants, goneT, func(t *tenantItem) string { return t.Name })
	d.checkChanged(routes, len(goneS) > 0, &found)
	d.checkTerms(routes, tenants, len(goneT) > 0, checks, &found)
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

// merge gives old with the named items gone, those in put replaced, and the others of put at the end. Names in put must
// differ.
func merge[T any](old, put []T, gone map[string]bool, name func(T) string) []T {
	if len(put) == 0 && len(gone) == 0 {
		return old
	}
	fresh := make(map[string]int, len(put)) // the place in put; below 0 once it is in
	for i, item := range put {
		fresh[name(item)] = i
	}
	out := make([]T, 0, len(old)+len(put))
	for _, item := range old {
		n := name(item)
		if i, ok := fresh[n]; ok {
			out = append(out, put[i])
			fresh[n] = -1
		} else if !gone[n] {
			out = append(out, item)
		}
	}
	for _, item := range put {
		if fresh[name(item)] >= 0 {
			out = append(out, item)
		}
	}
	return slices.Clip(out)
}

// checkChanged checks a merged document of which the routes in put are new, and all others come from a valid document;
// thinned tells that services may be missing now.
func (d *Document) checkChanged(put []*routeItem, thinned bool, found *Findings) {
	if len(put) == 0 && !thinned {
		return
	}
	known := make(map[string]bool, len(d.services))
	for _, s := range d.services {
		known[s.Name] = true
	}
	isNew := make(map[*routeItem]bool, len(put))
	taken := make(map[address]int, len(put)) // of the new routes only; the others differ from each other
	for i, r := range put {
		isNew[r] = true
		checkServices(r, known, found, func() string { return indexed("upsert.routing", i) })
		checkAddress(r, i, taken, "upsert.routing", found)
	}
	// The prefix alone tells most old routes apart from the new ones, without work on their host.
	prefixes := make(map[string]bool, len(put))
	for _, r := range put {
		prefixes[r.Prefix] = true
	}
	for _, r := range d.routes {
		if isNew[r] {
			continue
		}
		if thinned {
			checkServices(r, known, found, func() string { return "route " + strconv.Quote(r.Name) })
		}
		if !prefixes[r.Prefix] {
			continue
		}
		if i, ok := taken[r.address()]; ok {
			found.add(indexed("upsert.routing", i), "has the hostname and pfx of the route %q", r.Name)
		}
	}
}

// checkTerms checks the terms of a merged document of which the routes and tenants given are new, and all others come from
// a valid document; thinned tells that tenants may be missing now.
func (d *Document) checkTerms(routes []*routeItem, tenants []*tenantItem, thinned bool, checks []Check, found *Findings) {
	for i, t := range tenants {
		inRegions(checks, t.Regions, found, func() string { return indexed("upsert.tenants", i) })
	}
	listed := byName(d.tenants)
	for i, r := range routes {
		if r.Enclosed() {
			inRegions(checks, r.Regions, found, func() string { return indexed("upsert.routing", i) })
			checkTerms(r, listed, found, func() string { return indexed("upsert.routing", i) })
		}
	}
	if len(tenants) == 0 && !thinned {
		return
	}
	isNew := make(map[*routeItem]bool, len(routes))
	for _, r := range routes {
		isNew[r] = true
	}
	for _, r := range d.routes {
		if r.Tenant != "" && !isNew[r] {
			checkTerms(r, listed, found, func() string { return "route " + strconv.Quote(r.Name) })
		}
	}
}

// address is what no two routes share: host in lower case, and prefix.
type address struct{ host, prefix string }

func (r *RouteSpec) address() address { return address{lowerHost(r.Hostname), r.Prefix} }

// checkAddress notes when an earlier route of the list has the route's host and prefix.
func checkAddress(r *routeItem, i int, taken map[address]int, list string, found *Findings) {
	if r.Hostname == "" || r.Prefix == "" {
		return
	}
	a := r.address()
	if first, ok := taken[a]; ok {
		found.add(indexed(list, i), "has the same hostname and pfx as %s", indexed(list, first))
		return
	}
	taken[a] = i
}

// checkServices notes services of the route, whose place is given, that aren't known.
func checkServices(r *routeItem, known map[string]bool, found *Findings, place func() string) {
	if r.ServiceName != "" && !known[r.ServiceName] {
		found.add(place()+".svc", "the service %q is not known", r.ServiceName)
	}
	for i, s := range r.Split {
		if s.ServiceName != "" && !known[s.ServiceName] {
			found.add(place()+"."+indexed("shares", i)+".svc", "the service %q is not known", s.ServiceName)
		}
	}
}

// open checks that body can be read as one object; nil, with findings, when it can't.
func open(body []byte, found *Findings) *object {
	if checkText(body, found); len(*found) > 0 {
		return nil
	}
	if body[skipSpace(body, 0)] != '{' {
		found.add("", "must be an object")
		return nil
	}
	return &object{found: found, names: make(map[string]string), index: -1}
}

// version reads the version, which must be above current's.
func (o *object) version(raw json.RawMessage, current *Document) int64 {
	if absent(raw) {
		o.found.add("ver", "must be given")
		return 0
	}
	var v int64
	if !o.whole("ver", raw, &v) {
		return 0
	}
	o.check("ver", v, ruleVersion...)
	if at := current.Version(); at > 0 && v > 0 && v <= at {
		o.found.add("ver", "%d is not above the current version, %d", v, at)
	}
	return v
}

// routes reads a list of routes with names that differ. A list that is null is empty.
func (o *object) routes(key string, raw json.RawMessage) []*routeItem {
	if absent(raw) || !o.isList(key, raw) {
		return nil
	}
	var out []*routeItem
	names := make(map[string]int)
	eachItem(raw, func(i int, v json.RawMessage) {
		r := o.item(key, i).route(v)
		o.unique(names, r.Name, key, i)
		out = append(out, r)
	})
	return out
}

// services reads a list of services with names that differ. A list that is null is empty.
func (o *object) services(key string, raw json.RawMessage) []*serviceItem {
	if absent(raw) || !o.isList(key, raw) {
		return nil
	}
	var out []*serviceItem
	names := make(map[string]int)
	eachItem(raw, func(i int, v json.RawMessage) {
		s := o.item(key, i).service(v)
		o.unique(names, s.Name, key, i)
		out = append(out, s)
	})
	return out
}

// tenants reads a list of tenants with names that differ; never nil.
func (o *object) tenants(key string, raw json.RawMessage) []*tenantItem {
	out := []*tenantItem{}
	if absent(raw) || !o.isList(key, raw) {
		return out
	}
	names := make(map[string]int)
	eachItem(raw, func(i int, v json.RawMessage) {
		t := o.item(key, i).tenant(v)
		o.unique(names, t.Name, key, i)
		out = append(out, t)
	})
	return out
}

// unique notes when an earlier item of the list has the name.
func (o *object) unique(names map[string]int, name, key string, i int) {
	if name == "" {
		return
	}
	if first, ok := names[name]; ok {
		o.found.add(o.at(indexed(key, i)+".name"), "%q is the name of %s too", name, o.at(indexed(key, first)))
		return
	}
	names[name] = i
}

// list reads a list of names. One that is null is empty.
func (o *object) list(key string, raw json.RawMessage) map[string]bool {
	if absent(raw) || !o.isList(key, raw) {
		return nil
	}
	out := make(map[string]bool)
	eachItem(raw, func(i int, v json.RawMessage) {
		if v[0] != '"' {
			o.found.add(o.at(indexed(key, i)), "must be a string")
			return
		}
		out[string(unquote(v))] = true
	})
	return out
}

// Show is the whole configuration as JSON, for cfg/show and snapshots: each item, caps and tenants as the operator sent
// them, then the top-level fields this program doesn't know. The nil Document shows version 0 with empty lists.
func (d *Document) Show() []byte {
	if d == nil {
		d = &Document{}
	}
	size := 64 + len(d.caps)
	for _, r := range d.routes {
		size += len(r.raw) + 1
	}
	for _, s := range d.services {
		size += len(s.raw) + 1
	}
	for _, t := range d.tenants {
		size += len(t.raw) + 16
	}
	for _, m := range d.extra {
		size += len(m.key) + len(m.value) + 8
	}
	b := append(make([]byte, 0, size), `{"ver":`...)
	b = strconv.AppendInt(b, d.version, 10)
	b = append(b, `,"routing":[`...)
	for i, r := range d.routes {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, r.raw...)
	}
	b = append(b, `],"svcs":[`...)
	for i, s := range d.services {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, s.raw...)
	}
	b = append(b, ']')
	if d.caps != nil {
		b = append(append(b, `,"caps":`...), d.caps...)
	}
	if d.tenants != nil {
		b = append(b, `,"tenants":[`...)
		for i, t := range d.tenants {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, t.raw...)
		}
		b = append(b, ']')
	}
	for _, m := range d.extra {
		key, _ := json.Marshal(m.key) // strings always marshal
		b = append(append(append(append(b, ','), key...), ':'), m.value...)
	}
	return append(b, '}')
}

// Equal tells whether both show the same bytes.
func (d *Document) Equal(other *Document) bool {
	if d == nil {
		d = &Document{}
	}
	if other == nil {
		other = &Document{}
	}
	if d == other {
		return true
	}
	return d.version == other.version &&
		slices.EqualFunc(d.routes, other.routes, func(a, b *routeItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		slices.EqualFunc(d.services, other.services,
			func(a, b *serviceItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		slices.EqualFunc(d.tenants, other.tenants, func(a, b *tenantItem) bool { return a == b || bytes.Equal(a.raw, b.raw) }) &&
		(d.tenants == nil) == (other.tenants == nil) &&
		(d.caps == nil) == (other.caps == nil) && bytes.Equal(d.caps, other.caps) &&
		slices.EqualFunc(d.extra, other.extra,
			func(a, b member) bool { return a.key == b.key && bytes.Equal(a.value, b.value) })
}

// Digest recognises the same call coming again: a hash over the operation ("replace", "update"), the base version and the
// body's bytes. It is not proof against a sender that looks for collisions.
func Digest(op string, base int64, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(op)
	_, _ = h.WriteString("\x00" + strconv.FormatInt(base, 10) + "\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}
