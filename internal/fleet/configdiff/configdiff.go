// Package configdiff tells what changes from one configuration to the next: routes and services by name, and their fields.
// It does no I/O.
package configdiff

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"molepaddle/internal/fleet/routingconfig"
)

// What a Change is of.
const (
	KindRoute         = "route"
	KindService       = "service"
	KindCaps          = "caps"          // the operator's bounds on clients
	KindConfiguration = "configuration" // top-level fields that this program doesn't know, and the order of lists
)

// Change is one difference.
type Change struct {
	// Of is Route, Service, Caps or Configuration.
	Kind string `json:"of"`
	// Name is the route's or service's; empty for the others.
	Name string `json:"name,omitempty"`
	// Field is the way to the field, "shares[1].wt"; empty where the whole item was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the compact JSON of both sides; nil where there was or is nothing.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// Added tells whether there was nothing before; Removed whether there is nothing any more.
func (c Change) Added() bool { return c.Old == nil }

// Removed is as Added tells.
func (c Change) Removed() bool { return c.New == nil }

// Diff gives the changes from one document to another (nil: none yet): routes, then services, each in the order of the
// old document with additions last, then caps and the rest. The version is not among them. A field that is null counts
// as not there, and numbers are compared by value. It costs time and memory for every route.
func Diff(from, to *routingconfig.Document) []Change {
	a, b := objectFields(from.Show()), objectFields(to.Show())
	var out []Change
	out = append(out, diffItems(KindRoute, a["routing"], b["routing"])...)
	out = append(out, diffItems(KindService, a["svcs"], b["svcs"])...)
	d := differ{kind: KindCaps}
	d.diffValue("", a["caps"], b["caps"])
	d.kind = KindConfiguration
	for _, list := range []string{"routing", "svcs"} {
		d.diffOrder(list, a[list], b[list])
	}
	for _, key := range keys(a, b) {
		if key != "ver" && key != "routing" && key != "svcs" && key != "caps" {
			d.diffValue(key, a[key], b[key])
		}
	}
	return append(out, d.changes...)
}

// objectFields are the members of a JSON object; none where it isn't one. Keys are compared exactly, as the documents do.
func objectFields(raw json.RawMessage) map[string]json.RawMessage {
	var m map[string]json.RawMessage
	_ = json.Unmarshal(raw, &m) // from a valid document; nil else
	return m
}

func listItems(raw json.RawMessage) []json.RawMessage {
	var l []json.RawMessage
	_ = json.Unmarshal(raw, &l)
	return l
}

func keys(a, b map[string]json.RawMessage) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]json.RawMessage{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// byName are the items of a list by name, and the names in order.
func byName(raw json.RawMessage) (map[string]json.RawMessage, []string) {
	by := map[string]json.RawMessage{}
	var names []string
	for _, item := range listItems(raw) {
		var name string
		_ = json.Unmarshal(objectFields(item)["name"], &name)
		by[name] = item
		names = append(names, name)
	}
	return by, names
}

func diffItems(kind string, from, to json.RawMessage) []Change {
	a, old := byName(from)
	b, now := byName(to)
	d := differ{kind: kind}
	for _, name := range old {
		d.name = name
		if item, ok := b[name]; ok {
			d.diffValue("", a[name], item)
		} else {
			d.add("", a[name], nil)
		}
	}
	for _, name := range now {
		if _, ok := a[name]; !ok {
			d.name = name
			d.add("", nil, b[name])
		}
	}
	return d.changes
}

type differ struct {
	kind, name string
	changes    []Change
}

func (d *differ) add(field string, from, to json.RawMessage) {
	d.changes = append(d.changes, Change{Kind: d.kind, Name: d.name, Field: field, Old: compact(from), New: compact(to)})
}

// diffOrder notes when the items that both lists have stand in another order.
func (d *differ) diffOrder(field string, from, to json.RawMessage) {
	a, old := byName(from)
	b, now := byName(to)
	old = slices.DeleteFunc(old, func(n string) bool { return b[n] == nil })
	now = slices.DeleteFunc(now, func(n string) bool { return a[n] == nil })
	if !slices.Equal(old, now) {
		x, _ := json.Marshal(old) // strings always marshal
		y, _ := json.Marshal(now)
		d.add(field+" order", x, y)
	}
}

// diffValue compares two values of a field, and goes into objects and lists of the same length.
func (d *differ) diffValue(field string, from, to json.RawMessage) {
	if isNull(from) && isNull(to) {
		return
	}
	if isNull(from) || isNull(to) || from[0] != to[0] {
		if !equalValues(from, to) {
			d.add(field, from, to)
		}
		return
	}
	switch from[0] {
	case '{':
		a, b := objectFields(from), objectFields(to)
		for _, key := range keys(a, b) {
			at := key
			if field != "" {
				at = field + "." + key
			}
			d.diffValue(at, a[key], b[key])
		}
	case '[':
		a, b := listItems(from), listItems(to)
		if len(a) != len(b) {
			d.add(field, from, to)
			return
		}
		for i := range a {
			d.diffValue(field+"["+strconv.Itoa(i)+"]", a[i], b[i])
		}
	default:
		if !equalValues(from, to) {
			d.add(field, from, to)
		}
	}
}

// equalValues compares strings and numbers by value.
func equalValues(a, b json.RawMessage) bool {
	if isNull(a) || isNull(b) {
		return isNull(a) == isNull(b)
	}
	if bytes.Equal(a, b) {
		return true
	}
	if a[0] == '"' && b[0] == '"' {
		var x, y string
		return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x == y
	}
	m, err := strconv.ParseInt(string(a), 10, 64)
	n, err2 := strconv.ParseInt(string(b), 10, 64)
	if err == nil && err2 == nil { // beyond 2^53 a float would not tell them apart
		return m == n
	}
	x, err := strconv.ParseFloat(string(a), 64)
	y, err2 := strconv.ParseFloat(string(b), 64)
	return err == nil && err2 == nil && x == y
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || raw[0] == 'n' }

func compact(raw json.RawMessage) json.RawMessage {
	if isNull(raw) {
		return nil
	}
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
