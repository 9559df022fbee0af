package configdiff

import (
	"encoding/json"
	"slices"
	"strconv"
)

// differ collects the changes of one kind; name is the name of the current item.
type differ struct {
	kind, name string
	changes    []Change
}

func (d *differ) add(field string, from, to json.RawMessage) {
	d.changes = append(d.changes, Change{
		Kind:  d.kind,
		Name:  d.name,
		Field: field,
		Old:   compact(from),
		New:   compact(to),
	})
}

// diffItems returns the changes between two lists of named items: changes of the old items, in their order, then new
// items.
func diffItems(kind string, from, to json.RawMessage) []Change {
	old, oldNames := itemsByName(from)
	now, nowNames := itemsByName(to)
	d := differ{kind: kind}
	for _, name := range oldNames {
		d.name = name
		if item, ok := now[name]; ok {
			d.diffValue("", old[name], item)
		} else {
			d.add("", old[name], nil)
		}
	}
	for _, name := range nowNames {
		if _, ok := old[name]; !ok {
			d.name = name
			d.add("", nil, now[name])
		}
	}
	return d.changes
}

// diffOrder adds a change if the items that are in both lists have different orders.
func (d *differ) diffOrder(field string, from, to json.RawMessage) {
	old, oldNames := itemsByName(from)
	now, nowNames := itemsByName(to)
	oldNames = slices.DeleteFunc(oldNames, func(name string) bool { return now[name] == nil })
	nowNames = slices.DeleteFunc(nowNames, func(name string) bool { return old[name] == nil })
	if slices.Equal(oldNames, nowNames) {
		return
	}
	oldOrder, _ := json.Marshal(oldNames) // strings always marshal
	nowOrder, _ := json.Marshal(nowNames)
	d.add(field+" order", oldOrder, nowOrder)
}

// diffPresence adds a change, with the names of the items, if a list was added or removed: an empty list of accounts
// differs from no list, since requests need keys with it.
func (d *differ) diffPresence(field string, from, to json.RawMessage) {
	if isNull(from) == isNull(to) {
		return
	}
	d.add(field, namesOf(from), namesOf(to))
}

// namesOf returns the JSON list of the names of a list's items; nil if there is no list.
func namesOf(list json.RawMessage) json.RawMessage {
	if isNull(list) {
		return nil
	}
	_, names := itemsByName(list)
	if names == nil {
		names = []string{}
	}
	b, _ := json.Marshal(names) // strings always marshal
	return b
}

// diffValue compares two values of a field. It descends into objects, and into lists of the same length.
func (d *differ) diffValue(field string, from, to json.RawMessage) {
	if isNull(from) && isNull(to) {
		return
	}
	if isNull(from) || isNull(to) || from[0] != to[0] {
		d.addUnlessEqual(field, from, to)
		return
	}
	switch from[0] {
	case '{':
		d.diffObject(field, objectFields(from), objectFields(to))
	case '[':
		old, now := listItems(from), listItems(to)
		if len(old) != len(now) {
			d.add(field, from, to)
			return
		}
		for i := range old {
			d.diffValue(field+"["+strconv.Itoa(i)+"]", old[i], now[i])
		}
	default:
		d.addUnlessEqual(field, from, to)
	}
}

// diffObject compares the fields of two objects.
func (d *differ) diffObject(field string, from, to map[string]json.RawMessage) {
	for _, key := range sortedKeys(from, to) {
		path := key
		if field != "" {
			path = field + "." + key
		}
		d.diffValue(path, from[key], to[key])
	}
}

func (d *differ) addUnlessEqual(field string, from, to json.RawMessage) {
	if !equalValues(from, to) {
		d.add(field, from, to)
	}
}
