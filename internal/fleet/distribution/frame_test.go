package distribution

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFramesAreBounded(t *testing.T) {
	c := qt.New(t)
	var p Request
	err := ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})), &p)
	c.Assert(err, qt.ErrorMatches, ".*over the bound.*")
	err = ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0, 0, 1, 0, 1, 2, 3})), &p)
	c.Assert(err, qt.ErrorMatches, ".*cut short.*")
	var b bytes.Buffer
	c.Assert(WriteFrame(&b, &Request{From: "a", Versions: map[string]Version{"config": v(3)}}), qt.IsNil)
	c.Assert(ReadFrame(bufio.NewReader(&b), &p), qt.IsNil)
	c.Assert(p.From, qt.Equals, "a")
}
