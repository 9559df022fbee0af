package residency_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/protocol/transport"
)

// dials counts dial attempts, all of which fail.
type dials struct{ n int }

var errDial = errors.New("no network here")

func (d *dials) gate() *residency.Gate {
	pool := transport.New(transport.Options{
		Timeout: time.Second,
		Idle:    time.Second,
		Most:    1,
		Settle:  time.Millisecond,
		Resting: 1,
		Dial:    d.dial,
	})
	return residency.NewGate(pool, map[string]string{"e1": "east", "w1": "west", "blank": ""})
}

func (d *dials) dial(context.Context, string, string) (net.Conn, error) {
	d.n++
	return nil, errDial
}

func TestTerms(t *testing.T) {
	c := qt.New(t)
	var free residency.Terms
	in := residency.Within
	c.Check(free.Restricted() || in().Allows("east") || in().Allows(""), qt.IsFalse)
	c.Check(free.Allows("") && free.Allows("east") && in("west", "east").Allows("east"), qt.IsTrue)
	c.Check(in("east").Allows(""), qt.IsFalse)
	c.Check(in("").Allows(""), qt.IsFalse) // an empty name in a list is not a region
	c.Check(in("b", "a", "b").Equal(in("a", "b")), qt.IsTrue)
	c.Check(in().Equal(free), qt.IsFalse)
	c.Check(in("a", "b").Intersect(in("b", "c")).Equal(in("b")), qt.IsTrue)
	c.Check(in("a").Intersect(in("b")).Equal(in()), qt.IsTrue) // no common region: nowhere, not anywhere
	c.Check(free.Intersect(in("a")).Equal(in("a")) && in("a").Intersect(free).Equal(in("a")), qt.IsTrue)
	texts := []string{free.String(), in().String(), in("b", "a").String()}
	c.Check(texts, qt.DeepEquals, []string{"anywhere", "nowhere", "a, b"})
	names := []string{"a"}
	terms := in(names...)
	names[0] = "b"
	c.Check(terms.Allows("a"), qt.IsTrue) // immutable
}

func TestPermits(t *testing.T) {
	c := qt.New(t)
	d := &dials{}
	g := d.gate()
	east := g.Endpoint("e", "10.0.0.1:80", "e1")
	west := g.Endpoint("w", "10.0.0.2:80", "w1")
	unlisted := g.Endpoint("l", "10.0.0.3:80", "x")
	blank := g.Endpoint("b", "10.0.0.4:80", "blank")
	in := residency.Within("east")
	ctx := context.Background()

	p, err := east.Permit(in)
	c.Assert(err, qt.IsNil)
	c.Check([]string{p.ID(), p.Address(), p.Region()}, qt.DeepEquals, []string{"e", "10.0.0.1:80", "east"})
	_, err = p.AcquireConn(ctx, in, "x")
	c.Check(errors.Is(err, errDial), qt.IsTrue)
	c.Check(d.n, qt.Equals, 1)

	for _, endpoint := range []*residency.Endpoint{west, unlisted, blank} {
		_, err := endpoint.Permit(in)
		c.Check(err, qt.ErrorIs, residency.ErrOutside)
		free, err := endpoint.Permit(residency.Terms{})
		c.Assert(err, qt.IsNil)
		_, err = free.AcquireConn(ctx, in, "x") // issued under other terms than those of the send
		c.Check(err, qt.ErrorIs, residency.ErrOutside)
	}
	_, err = p.AcquireConn(ctx, residency.Within("west"), "x") // the terms changed between choice and send
	c.Check(err, qt.ErrorIs, residency.ErrOutside)
	_, err = (residency.Permit{}).AcquireConn(ctx, residency.Terms{}, "x")
	c.Check(err, qt.ErrorIs, residency.ErrOutside)
	c.Check((residency.Permit{}).ID()+(residency.Permit{}).Address()+(residency.Permit{}).Region(), qt.Equals, "")
	_, err = p.AcquireReleaseConn(ctx, "x")
	c.Check(err, qt.ErrorIs, residency.ErrOutside)
	_, err = west.ReleasePermit().AcquireConn(ctx, residency.Terms{}, "x")
	c.Check(err, qt.ErrorIs, residency.ErrOutside)
	c.Check(d.n, qt.Equals, 1) // nothing was dialled
	_, err = west.ReleasePermit().AcquireReleaseConn(ctx, "x")
	c.Check(errors.Is(err, errDial), qt.IsTrue)

	east.SetZone("w1") // reported wrongly before: the new region also applies to permits issued earlier
	_, err = p.AcquireConn(ctx, in, "x")
	c.Check(err, qt.ErrorIs, residency.ErrOutside)
	c.Check(p.Region(), qt.Equals, "west")
}
