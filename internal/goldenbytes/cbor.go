package goldenbytes

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// CBOR checks the CBOR encoding of a type, by the name of its files in testdata/wire. The value given is a pointer to
// a value of the type; it is encoded once with all fields filled and once as the zero value. The golden bytes must
// decode to the same values again.
func CBOR(t testing.TB, name string, value any) {
	t.Helper()
	full, zero := newLike(value), newLike(value)
	Fill(full)
	for file, v := range map[string]any{name + ".cbor": full, name + ".zero.cbor": zero} {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		decoded := newLike(value)
		if err := cbor.Unmarshal(Check(t, "wire/"+file, b), decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, v) {
			t.Errorf("%s: decoded:\n%+v\nencoded:\n%+v", file, decoded, v)
		}
	}
}

// Keys checks the keys under which a type is read from or written to text, by the name of its file in testdata/wire.
// The key of a field is the first of the given struct tags that it has, or its Go name; each line of the file has the
// path of a field and its kind. Use it for settings, where the values that Fill sets would be out of range.
func Keys(t testing.TB, name string, value any, tags ...string) {
	t.Helper()
	var lines []string
	appendKeys(&lines, "", reflect.TypeOf(value), tags)
	Check(t, "wire/"+name+".keys", []byte(strings.Join(lines, "\n")+"\n"))
}

// appendKeys appends a line for each field of the type, with its path and its kind.
func appendKeys(lines *[]string, path string, t reflect.Type, tags []string) {
	for slices.Contains([]reflect.Kind{reflect.Pointer, reflect.Slice, reflect.Map}, t.Kind()) {
		path += "[]"
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == timeType {
		*lines = append(*lines, fmt.Sprint(path, " ", t.Kind()))
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		key := field.Name
		for _, tag := range tags {
			if text := field.Tag.Get(tag); text != "" {
				key = text
				break
			}
		}
		appendKeys(lines, path+"/"+key, field.Type, tags)
	}
}
