package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Faster sections of a stream don't hide a slow one, whose pace decays with a half-life of 10 s.
func TestStreamPaceIsTheSlowest(t *testing.T) {
	c := qt.New(t)
	var p StreamPace
	c.Assert(p.Slowest(0), qt.Equals, 0.0)
	p.Observe(1000, 640, 16)
	c.Assert(p.Slowest(1000), qt.Equals, 40.0)
	p.Observe(1000, 160, 16)
	c.Assert(p.Slowest(1000), qt.Equals, 40.0)
	c.Assert(p.Slowest(11_000), qt.Equals, 20.0)
	p.Observe(11_000, 160, 16)
	c.Assert(p.Slowest(11_000), qt.Equals, 20.0, qt.Commentf("a faster section than the decayed pace"))
	p.Observe(11_000, 480, 16)
	c.Assert(p.Slowest(11_000), qt.Equals, 30.0)
}
