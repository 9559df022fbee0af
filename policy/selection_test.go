package policy

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A cap is the share of what is in flight with the next, times c, rounded up; never under one.
func TestCap(t *testing.T) {
	c := qt.New(t)
	c.Assert(Cap(1, 0, 1.0/49), qt.Equals, 1.0)
	c.Assert(Cap(1, 8, 1.0/3), qt.Equals, 3.0)
	c.Assert(Cap(1, 9, 1.0/3), qt.Equals, 4.0)
	c.Assert(Cap(1.25, 9, 1.0/2), qt.Equals, 7.0)
	c.Assert(Cap(3, 99, 0.25), qt.Equals, 75.0)
}
