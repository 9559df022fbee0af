package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// unknownItem is an item of an unknown list: an object with a name.
type unknownItem struct {
	name string
	raw  json.RawMessage
}

func (u *unknownItem) itemName() string         { return u.name }
func (u *unknownItem) rawJSON() json.RawMessage { return u.raw }
func (u *unknownItem) detach()                  { u.raw = bytes.Clone(u.raw) }

// unknownLists holds the upserts and removals of an update with unknown keys. They are applied like those of known
// lists: an acknowledged change must be in the configuration, even if only a newer release, or the operator, knows its
// meaning.
type unknownLists struct {
	upserts  []member
	removals map[string]map[string]bool // names by key
}

// remove adds names to be removed from the list at a key.
func (u *unknownLists) remove(key string, names map[string]bool) {
	if u.removals == nil {
		u.removals = make(map[string]map[string]bool)
	}
	u.removals[key] = names
}

// apply returns a copy of the top-level fields with the upserts and removals applied. It adds a finding for a list that
// can't be changed by name.
func (u *unknownLists) apply(fields []member, found *Findings) []member {
	if len(u.upserts) == 0 && len(u.removals) == 0 {
		return fields
	}
	fields = slices.Clone(fields)
	upserts := make(map[string]json.RawMessage, len(u.upserts))
	for _, upsert := range u.upserts {
		upserts[upsert.key] = upsert.value
		if !slices.ContainsFunc(fields, func(m member) bool { return m.key == upsert.key }) {
			fields = append(fields, member{key: upsert.key})
		}
	}
	for i := range fields {
		f := &fields[i]
		upsert, removed := upserts[f.key], u.removals[f.key]
		if upsert == nil && len(removed) == 0 {
			continue
		}
		value, ok := mergeUnknown(f.value, upsert, removed)
		if !ok {
			found.add("upsert."+f.key, "is no list of items whose names differ, as it is in the configuration")
		}
		f.value = value
	}
	return fields
}

// mergeUnknown returns a field's value after an upsert (nil: none) and removals. Two lists of named items are merged by
// name; a value that isn't a list is replaced completely. ok is false if a list can't be merged.
func mergeUnknown(old, upsert json.RawMessage, removed map[string]bool) (value json.RawMessage, ok bool) {
	if absent(old) || old[0] != '[' {
		if upsert == nil {
			return old, true
		}
		return bytes.Clone(upsert), true
	}
	oldItems, oldNamed := unknownItems(old)
	newItems, newNamed := unknownItems(upsert)
	if !oldNamed || upsert != nil && !newNamed {
		return old, false
	}
	return appendItems(nil, merge(oldItems, newItems, removed)), true
}

// unknownItems returns the items of a list of named objects; ok is false if the value isn't one, or if
// names are duplicate.
func unknownItems(raw json.RawMessage) (items []*unknownItem, ok bool) {
	if absent(raw) || raw[0] != '[' {
		return nil, false
	}
	ok = true
	names := make(map[string]bool)
	eachItem(raw, func(_ int, v json.RawMessage) {
		name := unknownName(v)
		if name == "" || names[name] {
			ok = false
			return
		}
		names[name] = true
		items = append(items, &unknownItem{name: name, raw: v})
	})
	return items, ok
}

// unknownName returns the name of an object; empty if it has none.
func unknownName(raw json.RawMessage) (name string) {
	if raw[0] != '{' {
		return ""
	}
	eachField(raw, func(k []byte, v json.RawMessage) {
		if string(k) == "name" && v[0] == '"' {
			name = string(unquote(v))
		}
	})
	return name
}
