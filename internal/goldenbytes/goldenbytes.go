// Package goldenbytes lets tests detect changes of encodings: it fills values by the order and the types of their
// fields, encodes them as the programs do, and compares the bytes with files under testdata. Renaming a Go identifier
// does not change these bytes; renaming a key, losing a tag or reordering fields does.
//
// After a deliberate change of an encoding, the files of a package are rewritten with
//
//	go test ./internal/fleet/distribution -run Bytes -update
//
// and their differences must be reviewed: bytes that an older build wrote must still decode.
package goldenbytes

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
)

var update = flag.Bool("update", false, "write the golden files under testdata instead of comparing with them")

// Updating reports whether -update was given, so that the golden files are written.
func Updating() bool { return *update }

// Check compares bytes with the file testdata/name and returns the file's bytes. With -update it writes the file
// first.
func Check(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", filepath.FromSlash(name))
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has changed\ngot:\n%swant:\n%s", path, hex.Dump(got), hex.Dump(want))
	}
	return want
}

// Message is a type with generated MessagePack methods.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// Messages checks the encoding of MessagePack types, by the names of their files in testdata/wire. Each type is
// encoded twice: with all fields filled, and as its zero value, which shows the fields that are left out. The golden
// bytes must decode to the same value again. Every type for which the package in the current folder has generated
// methods must be among them.
func Messages(t *testing.T, messages map[string]Message) {
	t.Helper()
	covered := map[string]bool{}
	for name, m := range messages {
		covered[reflect.TypeOf(m).Elem().Name()] = true
		t.Run(name, func(t *testing.T) {
			full := newLike(m).(Message)
			Fill(full)
			if got := roundTrip(t, "wire/"+name+".msgp", full); !reflect.DeepEqual(got, full) {
				t.Errorf("decoded:\n%+v\nencoded:\n%+v", got, full)
			}
		})
		t.Run(name+" zero", func(t *testing.T) {
			zero := newLike(m).(Message)
			// A nil list decodes to an empty one, so the values are compared by their encodings.
			got, want := encode(t, roundTrip(t, "wire/"+name+".zero.msgp", zero)), encode(t, zero)
			if !bytes.Equal(got, want) {
				t.Errorf("decoded and re-encoded:\n%swant:\n%s", hex.Dump(got), hex.Dump(want))
			}
		})
	}
	for _, name := range generated(t) {
		if !covered[name] {
			t.Errorf("the type %s has generated MessagePack methods and no golden bytes", name)
		}
	}
}

// roundTrip compares the encoding of a message with a golden file, and returns what the file decodes to.
func roundTrip(t *testing.T, file string, m Message) Message {
	t.Helper()
	golden := Check(t, file, encode(t, m))
	decoded := newLike(m).(Message)
	if rest, err := decoded.UnmarshalMsg(golden); err != nil || len(rest) > 0 {
		t.Fatalf("%s: decode: %v, %d bytes left", file, err, len(rest))
	}
	return decoded
}

func encode(t *testing.T, m Message) []byte {
	t.Helper()
	b, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// generated lists the types of the current folder that have generated MessagePack methods.
func generated(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*_gen.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no generated files: %v", err)
	}
	var names []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range parsed.Decls {
			method, ok := decl.(*ast.FuncDecl)
			if !ok || method.Recv == nil || method.Name.Name != "MarshalMsg" {
				continue
			}
			receiver := method.Recv.List[0].Type
			if pointer, ok := receiver.(*ast.StarExpr); ok {
				receiver = pointer.X
			}
			names = append(names, receiver.(*ast.Ident).Name)
		}
	}
	slices.Sort(names)
	return names
}

// JSON checks the JSON encoding of a type, by the name of its files in testdata/wire. The value given is a pointer to
// a value of the type; it is encoded as the servers encode their answers, once with all fields filled and once as the
// zero value. The golden bytes must decode to the same values again.
func JSON(t testing.TB, name string, value any) {
	t.Helper()
	full, zero := newLike(value), newLike(value)
	Fill(full)
	for file, v := range map[string]any{name + ".json": full, name + ".zero.json": zero} {
		var b bytes.Buffer
		if err := json.NewEncoder(&b).Encode(v); err != nil {
			t.Fatal(err)
		}
		decoded := newLike(value)
		if err := json.Unmarshal(Check(t, "wire/"+file, b.Bytes()), decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, v) {
			t.Errorf("%s: decoded:\n%+v\nencoded:\n%+v", file, decoded, v)
		}
	}
}

// newLike returns a pointer to a new zero value of the type that a pointer refers to.
func newLike(pointer any) any { return reflect.New(reflect.TypeOf(pointer).Elem()).Interface() }

// Fill sets every field of the value that pointer refers to, nested ones included, to a nonzero value. The values
// depend only on the order and the types of the fields. Lists get two items, maps one. Fill panics on an unexported
// field, which an encoder can't see, and on an unsupported type.
func Fill(pointer any) {
	new(filler).fill(reflect.ValueOf(pointer).Elem())
}

// filler sets values. It counts them, so that each value differs from the others.
type filler struct{ count int64 }

// Types that need values of their own, independent of their kind.
var (
	timeType    = reflect.TypeFor[time.Time]()
	rawJSONType = reflect.TypeFor[json.RawMessage]()
)

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Type() {
	case timeType:
		start := time.Date(2026, time.January, 2, 3, 4, 5, 0, time.UTC)
		v.Set(reflect.ValueOf(start.Add(time.Duration(f.count) * 1001 * time.Millisecond)))
		return
	case rawJSONType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.count))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int:
		v.SetInt(f.count%100 + 1)
	case reflect.Int64:
		v.SetInt(1<<40 + f.count)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint:
		v.SetUint(uint64(f.count%100 + 1))
	case reflect.Uint64:
		v.SetUint(1<<63 + uint64(f.count))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name == "_" { // carries the options of an encoding
				continue
			}
			if !v.Type().Field(i).IsExported() {
				panic(fmt.Sprintf("goldenbytes: %v has the unexported field %s", v.Type(), v.Type().Field(i).Name))
			}
			f.fill(v.Field(i))
		}
	default:
		panic(fmt.Sprintf("goldenbytes: unsupported type %v", v.Type()))
	}
}
