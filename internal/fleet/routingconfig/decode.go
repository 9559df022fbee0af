package routingconfig

import (
	"encoding/json"
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

// Replace is Decode for a configuration sent on top of current (nil: none yet); its version must be above current's.
func Replace(current *Document, body []byte, checks ...Check) (*Document, Findings) {
	var found Findings
	top := parseObject(body, &found)
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
	if caps := top.child("caps"); !absent(d.caps) && caps.requireObject(d.caps) {
		d.limits = caps.limits(d.caps)
	}

	known := make(map[string]bool, len(d.services))
	for _, s := range d.services {
		known[s.Name] = true
	}
	listed := tenantsByName(d.tenants)
	for i, t := range d.tenants {
		checkKnownRegions(checks, t.Regions, &found, func() string { return indexed("tenants", i) })
	}
	taken := make(map[routeMatch]int, len(d.routes))
	for i, r := range d.routes {
		checkServices(r, known, &found, func() string { return indexed("routing", i) })
		if r.HasResidencyTerms() {
			checkKnownRegions(checks, r.Regions, &found, func() string { return indexed("routing", i) })
			checkResidencyTerms(r, listed, &found, func() string { return indexed("routing", i) })
		}
		checkDuplicateMatch(r, i, taken, "routing", &found)
	}
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

// parseObject checks that body can be read as one object; nil, with findings, when it can't.
func parseObject(body []byte, found *Findings) *object {
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
	if !o.integerValue("ver", raw, &v) {
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
	if absent(raw) || !o.requireList(key, raw) {
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
	if absent(raw) || !o.requireList(key, raw) {
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
	if absent(raw) || !o.requireList(key, raw) {
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
		o.found.add(o.fieldPath(indexed(key, i)+".name"), "%q is the name of %s too", name, o.fieldPath(indexed(key, first)))
		return
	}
	names[name] = i
}

// nameSet reads a list of names. One that is null is empty.
func (o *object) nameSet(key string, raw json.RawMessage) map[string]bool {
	if absent(raw) || !o.requireList(key, raw) {
		return nil
	}
	out := make(map[string]bool)
	eachItem(raw, func(i int, v json.RawMessage) {
		if v[0] != '"' {
			o.found.add(o.fieldPath(indexed(key, i)), "must be a string")
			return
		}
		out[string(unquote(v))] = true
	})
	return out
}
