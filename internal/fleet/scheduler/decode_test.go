package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLongDecode(t *testing.T) {
	c := qt.New(t)
	e := newTestEstimator(t, 0, 4)
	read, talk := prompt(9000, "a:6000,b:3000"), prompt(200, "c:100,d:100")
	c.Assert(e.LongDecode("read", read), qt.IsFalse)
	c.Assert(e.LongDecode("talk", talk), qt.IsTrue)
	for range 50 {
		e.ObserveDecode("read", read, 30)
		e.ObserveDecode("talk", talk, 4000)
	}
	c.Assert(e.LongDecode("read", read), qt.IsFalse)
	c.Assert(e.LongDecode("talk", talk), qt.IsTrue)
	// The long-decode pool grows with the load, but never takes all backends.
	order := []string{"d0", "d1", "d2", "d3"}
	c.Assert(e.LongDecodePool(0, order), qt.Equals, 1)
	e.ObserveResponseLoad(1000, "d0", 8, 3)
	c.Assert(e.LongDecodePool(1000, order), qt.Equals, 2)
	for now := 2000.0; now < 9000; now += 1000 {
		e.ObserveResponseLoad(now, "d0", 8, 8)
		e.ObserveResponseLoad(now, "d1", 8, 8)
		e.ObserveResponseLoad(now, "d2", 8, 8)
		c.Assert(e.LongDecodePool(now, order) <= 3, qt.IsTrue)
	}
	c.Assert(e.LongDecodePool(0, order[:1]), qt.Equals, 0)
}
