package configdiff

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// objectFields returns the members of a JSON object; nil if it isn't one. Keys are case-sensitive, as in package
// routingconfig.
func objectFields(raw json.RawMessage) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(raw, &fields) // from a valid document; nil otherwise
	return fields
}

// listItems returns the items of a JSON list; nil if it isn't one.
func listItems(raw json.RawMessage) []json.RawMessage {
	var items []json.RawMessage
	_ = json.Unmarshal(raw, &items) // as in objectFields
	return items
}

// itemsByName returns the items of a list by their names, and the names in the order of the list.
func itemsByName(raw json.RawMessage) (items map[string]json.RawMessage, names []string) {
	items = map[string]json.RawMessage{}
	for _, item := range listItems(raw) {
		var name string
		_ = json.Unmarshal(objectFields(item)["name"], &name) // a valid document's items have names
		items[name] = item
		names = append(names, name)
	}
	return items, names
}

// sortedKeys returns the keys of both objects, sorted.
func sortedKeys(a, b map[string]json.RawMessage) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]json.RawMessage{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// isNull reports whether a value is missing or null.
func isNull(raw json.RawMessage) bool { return len(raw) == 0 || raw[0] == 'n' }

// equalValues reports whether two values are equal; strings and numbers are compared by value.
func equalValues(a, b json.RawMessage) bool {
	if isNull(a) || isNull(b) {
		return isNull(a) == isNull(b)
	}
	if bytes.Equal(a, b) {
		return true
	}
	if a[0] == '"' && b[0] == '"' {
		return equalStrings(a, b)
	}
	return equalNumbers(string(a), string(b))
}

func equalStrings(a, b json.RawMessage) bool {
	var x, y string
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x == y
}

// equalNumbers compares two integers as such, because floats can't distinguish all integers beyond 2^53.
func equalNumbers(a, b string) bool {
	m, errA := strconv.ParseInt(a, 10, 64)
	n, errB := strconv.ParseInt(b, 10, 64)
	if errA == nil && errB == nil {
		return m == n
	}
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	return errA == nil && errB == nil && x == y
}

// compact returns a value without white space; nil if it is missing or null.
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
