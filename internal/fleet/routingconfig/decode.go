package routingconfig

import (
	"encoding/json"
)

// Decode parses a complete configuration: the body of cfg/replace, or the result of Show. The Document is nil if there
// are findings. The body must be exactly one JSON object with "ver" (an integer above 0),
// "routing" and "svcs" (lists, which may be empty); "caps", "tenants" and "accounts" may be missing. An optional field
// that is null counts as absent. Unknown fields are retained. The Document shares memory with body, which must not be
// changed afterwards. The checks add or relax rules.
//
// Decode rejects: text that isn't JSON or UTF-8, bytes after the value, duplicate keys in any object, wrong types,
// duplicate names, a route with an unknown service, two routes with the same host (without regard to case) and prefix,
// negative weights or weights that add up to 0, a deadline_ms of 0 or less or missing, a prefix that doesn't begin and
// end with a slash, an unknown kind, a route whose tenant isn't listed, regions that aren't a list of one or more
// names, regions of a route that its tenant doesn't have, and an API key that belongs to two accounts.
func Decode(body []byte, checks ...Check) (*Document, Findings) { return Replace(nil, body, checks...) }

// Replace is Decode for a configuration sent on top of current (nil: none yet); its version must be above current's.
func Replace(current *Document, body []byte, checks ...Check) (*Document, Findings) {
	var found Findings
	top := parseObject(body, &found)
	if top == nil {
		return nil, found
	}
	d := top.document(body, current, checks)
	d.checkItems(checks, &found)
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

// parseObject returns the reader of a body that is one valid JSON object; nil, with findings, if it isn't.
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

// document reads a complete configuration and checks each item by itself.
func (o *object) document(body []byte, current *Document, checks []Check) *Document {
	d := &Document{}
	var ver, routing, svcs, tenants, accounts json.RawMessage
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
		case "accounts":
			accounts = v
		case "caps":
			d.caps = v
		default:
			d.extra = append(d.extra, member{key: string(k), value: v})
		}
	})
	d.version = o.version(ver, current)
	if absent(routing) {
		o.found.add("routing", "must be given")
	} else {
		d.routes = o.routes("routing", routing)
	}
	if absent(svcs) {
		o.found.add("svcs", "must be given")
	} else {
		d.services = o.services("svcs", svcs)
	}
	if !absent(tenants) {
		d.tenants = o.tenants("tenants", tenants)
	}
	if !absent(accounts) {
		d.accounts = o.withFindings(unlessStored(checks, o.found)).accounts("accounts", accounts)
	}
	if caps := o.child("caps"); !absent(d.caps) && caps.requireObject(d.caps) {
		d.limits = caps.limits(d.caps)
	}
	return d
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
