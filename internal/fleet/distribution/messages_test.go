package distribution

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEncodingWithoutResidency: without residency reports, messages have the same bytes as in releases before residency
// reports existed.
func TestEncodingWithoutResidency(t *testing.T) {
	c := qt.New(t)
	b, err := (&Request{From: "a", WaitMs: 5}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x84\xa1f\xa1a\xa1w\x05\xa1h\x80\xa1m\x90"))
	b, err = (&Response{From: "a", Primary: "p", LastContactMs: 1}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x84\xa1f\xa1a\xa1p\xa1p\xa1a\x01\xa1x\x90"))
}
