package goldenbytes

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFill checks that two types that differ only in the names of their fields get equal values, and that no field
// stays zero.
func TestFill(t *testing.T) {
	type inner struct {
		Text string
		At   time.Time
	}
	type first struct {
		Yes    bool
		Small  uint8
		Number int64
		Big    uint64
		Part   float64
		Body   []byte
		Raw    json.RawMessage
		Item   *inner
		Items  []inner
		ByName map[string]inner
	}
	type second struct {
		A bool
		B uint8
		C int64
		D uint64
		E float64
		F []byte
		G json.RawMessage
		H *inner
		I []inner
		J map[string]inner
	}
	c := qt.New(t)
	var a first
	var b second
	Fill(&a)
	Fill(&b)
	for i := range reflect.TypeFor[first]().NumField() {
		c.Check(reflect.ValueOf(b).Field(i).Interface(), qt.DeepEquals, reflect.ValueOf(a).Field(i).Interface())
	}
	c.Check(a.Yes && a.Small > 0 && a.Number > 0 && a.Big > 0 && a.Part > 0, qt.IsTrue)
	c.Check(a.Body, qt.HasLen, 2)
	c.Check(json.Valid(a.Raw), qt.IsTrue)
	c.Check(a.Item.Text, qt.Not(qt.Equals), "")
	c.Check(a.Item.At.IsZero(), qt.IsFalse)
	c.Check(a.Items, qt.HasLen, 2)
	c.Check(a.Items[0], qt.Not(qt.Equals), a.Items[1])
	c.Check(a.ByName, qt.HasLen, 1)
}

// TestFillRejectsUnexportedFields checks that Fill panics on an unexported field.
func TestFillRejectsUnexportedFields(t *testing.T) {
	c := qt.New(t)
	c.Check(func() { Fill(&struct{ hidden int }{}) }, qt.PanicMatches, "goldenbytes: .* has the unexported field hidden")
}
