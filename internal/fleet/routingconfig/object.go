package routingconfig

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Rules of single fields. Rules that involve several items are in checks.go.
var (
	ruleRequired = validation.Required.Error("must be given and not be empty")
	rulePositive = []validation.Rule{
		validation.Required.Error("must be above 0"),
		validation.Min(0.0).Exclusive().Error("must be above 0"),
	}
	ruleVersion = []validation.Rule{
		validation.Required.Error("must be above 0"),
		validation.Min(int64(1)).Error("must be above 0"),
	}
	ruleNotNegative = validation.Min(0.0).Error("must not be negative")
	ruleCount       = validation.Min(int64(0)).Error("must not be negative")
	ruleKind        = validation.In(KindReadonly, KindMutating, KindStream).
			Error("must be " + KindReadonly + ", " + KindMutating + " or " + KindStream)
	ruleHeaderValue = validation.NewStringRule(isHeaderValue, "must be printable ASCII without spaces at its ends")
	rulePrefix      = validation.NewStringRule(func(s string) bool { return s[0] == '/' && s[len(s)-1] == '/' },
		"must begin and end with a slash")
)

// noIndex is the index of an object that isn't in a list.
const noIndex = -1

// object reads a JSON object of the body. Its path is only computed for a finding: a body has thousands of objects.
type object struct {
	found  *Findings
	names  map[string]string // strings of this body, so that equal ones share memory
	parent *object           // nil for the body itself
	key    string            // of this object in the parent
	index  int               // in the list at key; noIndex if key isn't a list
}

// path returns the path from the body to the object.
func (o *object) path() string {
	if o.parent == nil {
		return ""
	}
	if o.index == noIndex {
		return o.parent.fieldPath(o.key)
	}
	return o.parent.fieldPath(indexed(o.key, o.index))
}

// fieldPath returns the path of a field.
func (o *object) fieldPath(key string) string {
	if path := o.path(); path != "" {
		return path + "." + key
	}
	return key
}

// withFindings returns a copy of the object that adds its findings to found.
func (o *object) withFindings(found *Findings) *object {
	other := *o
	other.found = found
	return &other
}

// child returns the object at a key of this one.
func (o *object) child(key string) *object { return o.item(key, noIndex) }

// item returns the object at an index of the list at a key of this one.
func (o *object) item(key string, index int) *object {
	return &object{found: o.found, names: o.names, parent: o, key: key, index: index}
}

func indexed(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

// check adds a finding if a field's value violates a rule.
func (o *object) check(key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		o.found.add(o.fieldPath(key), "%s", err.Error())
	}
}

// absent reports whether a value is missing or null.
func absent(raw json.RawMessage) bool { return len(raw) == 0 || raw[0] == 'n' }

// stringValue reads a string.
func (o *object) stringValue(key string, raw json.RawMessage, into *string) {
	if absent(raw) {
		return
	}
	if raw[0] != '"' {
		o.found.add(o.fieldPath(key), "must be a string")
		return
	}
	b := unquote(raw)
	s, known := o.names[string(b)]
	if !known {
		s = string(b)
		o.names[s] = s
	}
	*into = s
}

// boolValue reads true or false.
func (o *object) boolValue(key string, raw json.RawMessage, into *bool) {
	if absent(raw) {
		return
	}
	if raw[0] != 't' && raw[0] != 'f' {
		o.found.add(o.fieldPath(key), "must be true or false")
		return
	}
	*into = raw[0] == 't'
}

// numberValue reads a number. It reports whether there is a valid one.
func (o *object) numberValue(key string, raw json.RawMessage, into *float64) bool {
	if absent(raw) {
		return false
	}
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		o.found.add(o.fieldPath(key), "must be a number")
		return false
	}
	f, err := strconv.ParseFloat(string(raw), 64)
	if err != nil {
		o.found.add(o.fieldPath(key), "the number is too large")
		return false
	}
	*into = f
	return true
}

// integerValue reads an integer; 7.0 and 7e0 are integers too. It reports whether there is a valid one.
func (o *object) integerValue(key string, raw json.RawMessage, into *int64) bool {
	if n, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
		*into = n
		return true
	}
	var f float64
	if !o.numberValue(key, raw, &f) {
		return false
	}
	if f != math.Trunc(f) || math.Abs(f) >= 1<<63 {
		o.found.add(o.fieldPath(key), "must be a whole number of at most 64 bits")
		return false
	}
	*into = int64(f)
	return true
}

// nonNegativeInteger reads an integer that isn't negative.
func (o *object) nonNegativeInteger(key string, raw json.RawMessage, into *int64) {
	if o.integerValue(key, raw, into) {
		o.check(key, *into, ruleCount)
	}
}

// nonNegativeInt is nonNegativeInteger for an int, at most math.MaxInt32.
func (o *object) nonNegativeInt(key string, raw json.RawMessage, into *int) {
	var n int64
	o.nonNegativeInteger(key, raw, &n)
	*into = int(min(max(n, 0), math.MaxInt32))
}

// nonNegativeNumber reads a number that isn't negative.
func (o *object) nonNegativeNumber(key string, raw json.RawMessage, into *float64) {
	if o.numberValue(key, raw, into) {
		o.check(key, *into, ruleNotNegative)
	}
}

// requireObject reports whether a value is a JSON object, and adds a finding if it isn't.
func (o *object) requireObject(raw json.RawMessage) bool {
	if raw[0] != '{' {
		o.found.add(o.path(), "must be an object")
	}
	return raw[0] == '{'
}

// requireList reports whether the value at key is a list, and adds a finding if it isn't.
func (o *object) requireList(key string, raw json.RawMessage) bool {
	if raw[0] != '[' {
		o.found.add(o.fieldPath(key), "must be a list")
	}
	return raw[0] == '['
}

// nameSet reads a list of names; nil for null.
func (o *object) nameSet(key string, raw json.RawMessage) map[string]bool {
	if absent(raw) || !o.requireList(key, raw) {
		return nil
	}
	names := make(map[string]bool)
	eachItem(raw, func(i int, v json.RawMessage) {
		if v[0] != '"' {
			o.found.add(o.fieldPath(indexed(key, i)), "must be a string")
			return
		}
		names[string(unquote(v))] = true
	})
	return names
}

// readItems reads a list of items with unique names; nil for null.
func readItems[T namedItem](
	o *object, key string, raw json.RawMessage, read func(*object, json.RawMessage) T,
) []T {
	if absent(raw) || !o.requireList(key, raw) {
		return nil
	}
	var items []T
	names := make(map[string]int)
	eachItem(raw, func(i int, v json.RawMessage) {
		item := read(o.item(key, i), v)
		o.unique(names, item.itemName(), key, i)
		items = append(items, item)
	})
	return items
}

// unique adds a finding if an earlier item of the list has the same name.
func (o *object) unique(names map[string]int, name, key string, i int) {
	if name == "" {
		return
	}
	if first, ok := names[name]; ok {
		o.found.add(o.fieldPath(indexed(key, i)+".name"), "%q is the name of %s too",
			name, o.fieldPath(indexed(key, first)))
		return
	}
	names[name] = i
}

// isHeaderValue reports whether a string is transmitted unchanged as the value of a header field.
func isHeaderValue(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return s == strings.TrimSpace(s)
}
