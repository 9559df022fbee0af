package routingconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// unknownItem is an item of a list that this program doesn't know: an object with a name.
type unknownItem struct {
	name string
	raw  json.RawMessage
}

func (u *unknownItem) itemName() string         { return u.name }
func (u *unknownItem) rawJSON() json.RawMessage { return u.raw }
func (u *unknownItem) detach()                  { u.raw = bytes.Clone(u.raw) }

// unknownLists are the upserts and removals of an update whose keys this program doesn't know. They are applied as
// those of known lists are: a change that is acknowledged must be in the configuration, also where only a newer
// program, or the operator, knows what it means.
type unknownLists struct {
	upserts  []member
	removals map[string]map[string]bool // names by key
}

// remove adds names that are removed from the list at a key.
func (u *unknownLists) remove(key string, names map[string]bool) {
	if u.removals == nil {
		u.removals = make(map[string]map[string]bool)
	}
	u.removals[key] = names
}

// apply returns the top-level fields with the upserts and removals applied; the fields given are not changed.
func (u *unknownLists) apply(fields []member) []member {
	if len(u.upserts) == 0 && len(u.removals) == 0 {
		return fields
	}
	fields = slices.Clone(fields)
	for i := range fields {
		if removed := u.removals[fields[i].key]; len(removed) > 0 {
			fields[i].value = mergeUnknown(fields[i].value, nil, removed)
		}
	}
	for _, upsert := range u.upserts {
		i := slices.IndexFunc(fields, func(m member) bool { return m.key == upsert.key })
		if i < 0 {
			fields = append(fields, member{key: upsert.key, value: bytes.Clone(upsert.value)})
			continue
		}
		fields[i].value = mergeUnknown(fields[i].value, upsert.value, nil)
	}
	return fields
}

// mergeUnknown returns a field's value after an upsert (nil: there is none) and removals. Two lists of named items are
// merged by name; any other value is replaced as a whole.
func mergeUnknown(old, upsert json.RawMessage, removed map[string]bool) json.RawMessage {
	oldItems, isList := unknownItems(old)
	if !isList {
		if upsert == nil {
			return old
		}
		return bytes.Clone(upsert)
	}
	newItems, isList := unknownItems(upsert)
	if upsert != nil && !isList {
		return bytes.Clone(upsert)
	}
	return appendItems(nil, merge(oldItems, newItems, removed))
}

// unknownItems returns the items of a list of named objects; ok is false where the value isn't one, or names repeat.
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

// unknownName returns the name of an object; empty where it has none.
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
