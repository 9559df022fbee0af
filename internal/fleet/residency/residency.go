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
	restricted bool
	regions    []string // sorted, each once
}

// Within makes terms that allow only the regions given; with none given they allow nothing.
func Within(regions ...string) Terms {
	all := slices.Clone(regions)
	slices.Sort(all)
	return Terms{restricted: true, regions: slices.Compact(all)}
}

// Restricted tells whether there are terms at all.
func (t Terms) Restricted() bool { return t.restricted }

// Allows tells whether data may rest in a region. An empty name, which stands for an unknown region, is allowed only by
// the zero value.
func (t Terms) Allows(region string) bool {
	if !t.restricted {
		return true
	}
	return region != "" && slices.Contains(t.regions, region)
}

// Intersect gives the terms that hold where both hold.
func (t Terms) Intersect(o Terms) Terms {
	switch {
	case !t.restricted:
		return o
	case !o.restricted:
		return t
	}
	var both []string
	for _, r := range t.regions {
		if slices.Contains(o.regions, r) {
			both = append(both, r)
		}
	}
	return Terms{restricted: true, regions: both}
}

// Equal tells whether both allow the same.
func (t Terms) Equal(o Terms) bool {
	return t.restricted == o.restricted && slices.Equal(t.regions, o.regions)
}

// String lists the regions for people to read.
func (t Terms) String() string {
	switch {
	case !t.restricted:
		return "anywhere"
	case len(t.regions) == 0:
		return "nowhere"
	}
	return strings.Join(t.regions, ", ")
}

// Gate is where plots are laid out: the deployment's regions by zone, and the connections to backends.
type Gate struct {
	pool  *transport.Transport
	zones map[string]string
}

// NewGate takes the region of each zone (settings Settings.Zones; copied) and the connections. A zone that is not there,
// or whose region is empty, is of no known region.
func NewGate(pool *transport.Transport, zones map[string]string) *Gate {
	g := &Gate{pool: pool, zones: make(map[string]string, len(zones))}
	for zone, region := range zones {
		g.zones[zone] = region
	}
	return g
}

// Region is the region of a zone; empty: it is not known.
func (g *Gate) Region(zone string) string { return g.zones[zone] }

// Endpoint is one backend: its id, its address, the region it stands in and the way there. It is safe for concurrent use.
type Endpoint struct {
	gate        *Gate
	id, address string
	region      atomic.Pointer[string]
	conns       *transport.Way
}

// Endpoint lays out a backend by what the platform's list tells of it: address is IP:port.
func (g *Gate) Endpoint(id, address, zone string) *Endpoint {
	p := &Endpoint{gate: g, id: id, address: address, conns: g.pool.Way(address)}
	p.SetZone(zone)
	return p
}

// SetZone takes the zone that the list tells now. Permits given earlier are judged by it from here on.
func (e *Endpoint) SetZone(zone string) {
	region := e.gate.zones[zone]
	if old := e.region.Load(); old == nil || *old != region {
		e.region.Store(&region)
	}
}

// Region is where the backend stands; empty: that is not known.
func (e *Endpoint) Region() string { return *e.region.Load() }

// Allowed tells whether the terms let it hold data.
func (e *Endpoint) Allowed(t Terms) bool { return !t.restricted || t.Allows(*e.region.Load()) }

// Permit gives the permit for a request under the terms. The error is ErrOutside.
func (e *Endpoint) Permit(t Terms) (Permit, error) {
	if !e.Allowed(t) {
		return Permit{}, ErrOutside
	}
	return Permit{endpoint: e}, nil
}

// ReleasePermit gives a permit for calls that carry nothing of a request and end what is held there: a handle is freed also
// where its tenant's data may not rest any more.
func (e *Endpoint) ReleasePermit() Permit { return Permit{endpoint: e, releaseOnly: true} }

// Retire closes the way once it is free: the backend is gone. CloseIdle closes what is not in use.
func (e *Endpoint) Retire()    { e.conns.Retire() }
func (e *Endpoint) CloseIdle() { e.conns.CloseIdle() }

// Permit says that one backend may hold one request's data. Only a Plot makes one that is worth anything: the zero value
// is refused everywhere.
type Permit struct {
	endpoint    *Endpoint
	releaseOnly bool
}

// ID and Address name the backend; empty for the zero value.
func (p Permit) ID() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.id
}

// Address is IP:port.
func (p Permit) Address() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.address
}

// Region is where the backend stands by the newest list; empty: that is not known.
func (p Permit) Region() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.Region()
}

// ReleaseOnly tells whether it is only for calls that carry nothing of a request.
func (p Permit) ReleaseOnly() bool { return p.releaseOnly }

// Check is nil where the backend may hold data under the terms now, by the region that the newest list tells; else the
// error is ErrOutside. A permit that only releases is good for no data.
func (p Permit) Check(t Terms) error {
	if p.endpoint == nil || p.releaseOnly || !p.endpoint.Allowed(t) {
		return ErrOutside
	}
	return nil
}

// AcquireConn lends a connection to the backend for one send of a request under the terms, which are checked here once more:
// ErrOutside, and no connection, where they don't allow it. Other errors are those of the way.
func (p Permit) AcquireConn(ctx context.Context, t Terms, purpose string) (*transport.Lent, error) {
	if err := p.Check(t); err != nil {
		return nil, err
	}
	return p.endpoint.conns.Lend(ctx, purpose)
}

// AcquireReleaseConn lends a connection for a call that carries nothing of a request. The error is ErrOutside where the permit
// is not one to release.
func (p Permit) AcquireReleaseConn(ctx context.Context, purpose string) (*transport.Lent, error) {
	if p.endpoint == nil || !p.releaseOnly {
		return nil, ErrOutside
	}
	return p.endpoint.conns.Lend(ctx, purpose)
}
