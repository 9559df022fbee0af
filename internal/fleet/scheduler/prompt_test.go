package scheduler

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParsePrompt(t *testing.T) {
	c := qt.New(t)
	p, ok := ParsePrompt("m", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	c.Assert(ok, qt.IsTrue)
	c.Assert([]int{p.InputTokens, p.MaxOutputTokens, len(p.Segments)}, qt.DeepEquals, []int{1460, 80, 3})
	same, _ := ParsePrompt("m", "1500,10", "5c1e07a2:800,91bd3f06:410,aaaaaaaa:290")
	c.Assert(same.SharedPrefixKey(), qt.Equals, p.SharedPrefixKey(), qt.Commentf("the shared prefix is the same"))
	other, _ := ParsePrompt("n", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	c.Assert(other.SharedPrefixKey(), qt.Not(qt.Equals), p.SharedPrefixKey(),
		qt.Commentf("cached segments are specific to a model"))
	moved, _ := ParsePrompt("m", "1460,80", "91bd3f06:410,5c1e07a2:800,e4402b7d:250")
	c.Assert(moved.SharedPrefixKey(), qt.Not(qt.Equals), p.SharedPrefixKey(),
		qt.Commentf("a segment can be reused only with all before it"))
	for _, bad := range []string{"", "x,1", "-1,2", "1,y", "1,-2"} {
		_, ok := ParsePrompt("m", bad, "")
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", bad))
	}
	long, ok := ParsePrompt("m", "10,1", "a:1,b:1,:,c:1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(long.Segments), qt.Equals, 2, qt.Commentf("the first invalid segment ends the list"))
}

func prompt(in int, parts ...string) *Prompt {
	text := ""
	for i, p := range parts {
		if i > 0 {
			text += ","
		}
		text += p
	}
	p, _ := ParsePrompt("m", fmt.Sprintf("%d,80", in), text)
	return &p
}
