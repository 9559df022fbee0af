// Package residency keeps a tenant's data inside the regions its contract names (data residency). A Plot is a backend with the way to it and the region it stands in; a
// Permit says that the Plot may hold the data of one request. The way does not leave the package: whoever sends needs a
// Permit, which only a Plot can make, and the Permit is checked again when a connection is lent for the send. What is not
// known is refused. docs/design/regions.md has the whole picture.
package residency

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"molepaddle/internal/protocol/transport"
)

// ErrOutside says that a send was refused since the backend's region is not known to be one of the terms'. Nothing of the
// request was sent.
var ErrOutside = errors.New("outside the regions of the tenant")

// Terms are the regions that may hold a request's data. They are immutable. The zero value allows every backend, also one
// of an unknown region: it stands for requests under no contract.
type Terms struct {
	bound   bool
	regions []string // sorted, each once
}

// Within makes terms that allow only the regions given; with none given they allow nothing.
func Within(regions ...string) Terms {
	all := slices.Clone(regions)
	slices.Sort(all)
	return Terms{bound: true, regions: slices.Compact(all)}
}

// Bound tells whether there are terms at all.
func (t Terms) Bound() bool { return t.bound }

// Allows tells whether data may rest in a region. An empty name, which stands for an unknown region, is allowed only by
// the zero value.
func (t Terms) Allows(region string) bool {
	if !t.bound {
		return true
	}
	return region != "" && slices.Contains(t.regions, region)
}

// Meet gives the terms that hold where both hold.
func (t Terms) Meet(o Terms) Terms {
	switch {
	case !t.bound:
		return o
	case !o.bound:
		return t
	}
	var both []string
	for _, r := range t.regions {
		if slices.Contains(o.regions, r) {
			both = append(both, r)
		}
	}
	return Terms{bound: true, regions: both}
}

// Equal tells whether both allow the same.
func (t Terms) Equal(o Terms) bool {
	return t.bound == o.bound && slices.Equal(t.regions, o.regions)
}

// String lists the regions for people to read.
func (t Terms) String() string {
	switch {
	case !t.bound:
		return "anywhere"
	case len(t.regions) == 0:
		return "nowhere"
	}
	return strings.Join(t.regions, ", ")
}

// Ground is where plots are laid out: the deployment's regions by zone, and the connections to backends.
type Ground struct {
	pool  *transport.Transport
	zones map[string]string
}

// NewGround takes the region of each zone (settings Settings.Zones; copied) and the connections. A zone that is not there,
// or whose region is empty, is of no known region.
func NewGround(pool *transport.Transport, zones map[string]string) *Ground {
	g := &Ground{pool: pool, zones: make(map[string]string, len(zones))}
	for zone, region := range zones {
		g.zones[zone] = region
	}
	return g
}

// Region is the region of a zone; empty: it is not known.
func (g *Ground) Region(zone string) string { return g.zones[zone] }

// Plot is one backend: its id, its address, the region it stands in and the way there. It is safe for concurrent use.
type Plot struct {
	ground      *Ground
	id, address string
	region      atomic.Pointer[string]
	way         *transport.Way
}

// Plot lays out a backend by what the platform's list tells of it: address is IP:port.
func (g *Ground) Plot(id, address, zone string) *Plot {
	p := &Plot{ground: g, id: id, address: address, way: g.pool.Way(address)}
	p.Relist(zone)
	return p
}

// Relist takes the zone that the list tells now. Permits given earlier are judged by it from here on.
func (p *Plot) Relist(zone string) {
	region := p.ground.zones[zone]
	if old := p.region.Load(); old == nil || *old != region {
		p.region.Store(&region)
	}
}

// Region is where the backend stands; empty: that is not known.
func (p *Plot) Region() string { return *p.region.Load() }

// Allowed tells whether the terms let it hold data.
func (p *Plot) Allowed(t Terms) bool { return !t.bound || t.Allows(*p.region.Load()) }

// Permit gives the permit for a request under the terms. The error is ErrOutside.
func (p *Plot) Permit(t Terms) (Permit, error) {
	if !p.Allowed(t) {
		return Permit{}, ErrOutside
	}
	return Permit{plot: p}, nil
}

// Release gives a permit for calls that carry nothing of a request and end what is held there: a handle is freed also
// where its tenant's data may not rest any more.
func (p *Plot) Release() Permit { return Permit{plot: p, release: true} }

// Retire closes the way once it is free: the backend is gone. CloseIdle closes what is not in use.
func (p *Plot) Retire()    { p.way.Retire() }
func (p *Plot) CloseIdle() { p.way.CloseIdle() }

// Permit says that one backend may hold one request's data. Only a Plot makes one that is worth anything: the zero value
// is refused everywhere.
type Permit struct {
	plot    *Plot
	release bool
}

// ID and Address name the backend; empty for the zero value.
func (p Permit) ID() string {
	if p.plot == nil {
		return ""
	}
	return p.plot.id
}

// Address is IP:port.
func (p Permit) Address() string {
	if p.plot == nil {
		return ""
	}
	return p.plot.address
}

// Region is where the backend stands by the newest list; empty: that is not known.
func (p Permit) Region() string {
	if p.plot == nil {
		return ""
	}
	return p.plot.Region()
}

// Releases tells whether it is only for calls that carry nothing of a request.
func (p Permit) Releases() bool { return p.release }

// Check is nil where the backend may hold data under the terms now, by the region that the newest list tells; else the
// error is ErrOutside. A permit that only releases is good for no data.
func (p Permit) Check(t Terms) error {
	if p.plot == nil || p.release || !p.plot.Allowed(t) {
		return ErrOutside
	}
	return nil
}

// Lend lends a connection to the backend for one send of a request under the terms, which are checked here once more:
// ErrOutside, and no connection, where they don't allow it. Other errors are those of the way.
func (p Permit) Lend(ctx context.Context, t Terms, purpose string) (*transport.Lent, error) {
	if err := p.Check(t); err != nil {
		return nil, err
	}
	return p.plot.way.Lend(ctx, purpose)
}

// LendRelease lends a connection for a call that carries nothing of a request. The error is ErrOutside where the permit
// is not one to release.
func (p Permit) LendRelease(ctx context.Context, purpose string) (*transport.Lent, error) {
	if p.plot == nil || !p.release {
		return nil, ErrOutside
	}
	return p.plot.way.Lend(ctx, purpose)
}
