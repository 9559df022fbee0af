package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Update applies the body of cfg/update to current (nil: none yet), which is not changed:
//
//	{"ver":9,"upsert":{"routing":[items],"svcs":[items],"tenants":[items],"accounts":[items],"caps":{}},
//	 "remove":{"routing":[names],"svcs":[names],"tenants":[names],"accounts":[names]}}
//
// Items replace the items of the same name at their positions, or are appended. Removing an unknown name is not an
// error; a name that is both removed and upserted gets the new item at the position of the old one. Unknown lists are
// changed by name in the same way. The result must be valid by Decode's rules, and its version above current's; the
// Document is nil otherwise. The cost is linear in the size of the body and in the number of routes, with little work
// for an unchanged route. The new Document shares current's items, and no memory with body.
func Update(current *Document, body []byte, checks ...Check) (*Document, Findings) {
	var found Findings
	top := parseObject(body, &found)
	if top == nil {
		return nil, found
	}
	if current == nil {
		current = &Document{}
	}
	u := top.update(body, checks)
	d := &Document{
		version:  top.version(u.version, current),
		routes:   merge(current.routes, u.routes, u.removedRoutes),
		services: merge(current.services, u.services, u.removedServices),
		tenants:  merge(current.tenants, u.tenants, u.removedTenants),
		accounts: mergeAccounts(current.accounts, u),
		limits:   current.limits,
		caps:     current.caps,
		extra:    u.unknown.apply(current.extra, unlessStored(checks, &found)),
	}
	if u.limits != nil {
		d.limits = u.limits
		d.caps = bytes.Clone(u.caps)
	}
	d.checkChangedRoutes(u.routes, len(u.removedServices) > 0, &found)
	if len(u.accounts) > 0 {
		d.checkAccountKeys(unlessStored(checks, &found))
	}
	d.checkChangedTenants(u.routes, u.tenants, len(u.removedTenants) > 0, checks, &found)
	if len(found) > 0 {
		return nil, found
	}
	return d, nil
}

// update is the parsed body of cfg/update; the version is not yet parsed.
type update struct {
	checks  []Check
	version json.RawMessage

	routes   []*routeItem
	services []*serviceItem
	tenants  []*tenantItem
	accounts []*accountItem
	limits   *Limits // nil if not changed
	caps     json.RawMessage

	removedRoutes   map[string]bool
	removedServices map[string]bool
	removedTenants  map[string]bool
	removedAccounts map[string]bool

	unknown unknownLists
}

// update reads the body of cfg/update and checks each item by itself.
func (o *object) update(body []byte, checks []Check) *update {
	u := &update{checks: checks}
	misplaced := unlessStored(checks, o.found)
	upsert, remove := o.child("upsert"), o.child("remove")
	eachField(body, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "ver":
			u.version = v
		case "routing", "svcs":
			o.found.add(string(k), "belongs under upsert in an update")
		case "upsert":
			if !absent(v) && upsert.requireObject(v) {
				upsert.upserts(v, u)
			}
		case "remove":
			if !absent(v) && remove.requireObject(v) {
				remove.removals(v, u)
			}
		case "tenants", "accounts", "caps":
			misplaced.add(string(k), "belongs under upsert in an update")
		}
	})
	return u
}

// upserts reads the new and changed items of an update.
func (o *object) upserts(raw json.RawMessage, u *update) {
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "routing":
			u.routes = o.routes("routing", v)
		case "svcs":
			u.services = o.services("svcs", v)
		case "tenants":
			u.tenants = o.tenants("tenants", v)
		case "accounts":
			u.accounts = o.withFindings(unlessStored(u.checks, o.found)).accounts("accounts", v)
		case "caps":
			if caps := o.child("caps"); !absent(v) && caps.requireObject(v) {
				u.caps = v
				u.limits = caps.limits(v)
			}
		case "ver":
			unlessStored(u.checks, o.found).add(o.fieldPath("ver"), "belongs beside upsert")
		default:
			if !absent(v) {
				u.unknown.upserts = append(u.unknown.upserts, member{key: string(k), value: v})
			}
		}
	})
	detach(u.routes)
	detach(u.services)
	detach(u.tenants)
	detach(u.accounts)
}

// removals reads the names that an update removes.
func (o *object) removals(raw json.RawMessage, u *update) {
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "routing":
			u.removedRoutes = o.nameSet("routing", v)
		case "svcs":
			u.removedServices = o.nameSet("svcs", v)
		case "tenants":
			u.removedTenants = o.nameSet("tenants", v)
		case "accounts":
			u.removedAccounts = o.nameSet("accounts", v)
		default:
			u.unknown.remove(string(k), o.nameSet(string(k), v))
		}
	})
}

// mergeAccounts applies an update's accounts. A configuration without a list of accounts gets one only by an upsert,
// not by a removal: requests need keys with a list.
func mergeAccounts(current []*accountItem, u *update) []*accountItem {
	if current == nil && u.accounts == nil {
		return nil
	}
	return merge(current, u.accounts, u.removedAccounts)
}

func detach[T namedItem](items []T) {
	for _, item := range items {
		item.detach()
	}
}

// merge returns old without the removed items, with the upserts of the same name at the positions of the old items, and
// with the other upserts at the end. Names in upserts must be unique.
func merge[T namedItem](old, upserts []T, removed map[string]bool) []T {
	if len(upserts) == 0 && len(removed) == 0 {
		return old
	}
	const done = -1
	pending := make(map[string]int, len(upserts)) // index in upserts; done once it is in the result
	for i, item := range upserts {
		pending[item.itemName()] = i
	}
	merged := make([]T, 0, len(old)+len(upserts))
	for _, item := range old {
		name := item.itemName()
		if i, ok := pending[name]; ok {
			merged = append(merged, upserts[i])
			pending[name] = done
		} else if !removed[name] {
			merged = append(merged, item)
		}
	}
	for _, item := range upserts {
		if pending[item.itemName()] != done {
			merged = append(merged, item)
		}
	}
	return slices.Clip(merged)
}
