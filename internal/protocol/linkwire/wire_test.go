package linkwire

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"molepaddle/internal/goldenbytes"
)

// Frames of each kind have the encoding of gateways and agents of other versions.
func TestWireBytes(t *testing.T) {
	all := append(frames(), extraFrames()...)
	kinds := map[Kind]bool{}
	for _, f := range all {
		kinds[f.Kind()] = true
		name := fmt.Sprintf("wire/frame-%02d.bin", f.Kind())
		b, err := Append(nil, f)
		if err != nil {
			t.Fatalf("%T: %v", f, err)
		}
		got, err := NewReader(bytes.NewReader(goldenbytes.Check(t, name, b))).Next()
		if err != nil || !reflect.DeepEqual(got, f) {
			t.Errorf("%T: %+v, %v", f, got, err)
		}
	}
	for kind := KindHello; kind <= KindVerdict; kind++ {
		if !kinds[kind] {
			t.Errorf("kind %d has no golden bytes", kind)
		}
	}
}

// extraFrames returns frames of the kinds that frames leaves out.
func extraFrames() []Frame {
	return []Frame{
		&Word{Topic: MaxTopic, Number: 1 << 63, More: true, Body: []byte("part")},
		&Query{Number: 1, Holder: "gw-b", Incarnation: 1 << 63, SinceUs: 5},
		&Verdict{Number: 1, Holder: "gw-b", Incarnation: 1 << 63, Outcome: VerdictReplied, Result: Refused,
			ContentType: "x/y", Body: []byte("ok")},
	}
}

// The bodies of a process's own record and of a list of suspicions have the encoding of other
// versions.
func TestRecordBytes(t *testing.T) {
	self := Self{}
	goldenbytes.Fill(&self)
	for name, s := range map[string]Self{"self": self, "self.zero": {}} {
		b, err := EncodeSelf(&s)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeSelf(goldenbytes.Check(t, "wire/"+name+".cbor", b)); err != nil || got != s {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	words := []Head{{Key: 1 << 63, Version: 2}, {Key: 3, Version: 4}}
	b, err := EncodeSuspicions(words)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeSuspicions(goldenbytes.Check(t, "wire/words.cbor", b)); err != nil || !reflect.DeepEqual(got,
		words) {
		t.Errorf("words: %+v, %v", got, err)
	}
}
