// Package residency enforces data residency: it keeps a tenant's data inside the regions that its contract allows.
//
// A Gate creates Endpoints: a backend, its region, and the connections to it. An Endpoint issues a Permit, which allows
// this backend to store and process the data of one request. The connections are not exported: a sender needs a Permit,
// which only an Endpoint can issue, and the Permit is checked again when a connection is acquired for the send, since
// the terms or the region may have changed in between. An unknown region is rejected. The design is described in
// docs/design/regions.md.
//
// Choosing a backend is not part of this package but of package proxy; reporting where tenants' data was is part of
// package residencyreport. Everything here may be called from any goroutine; only AcquireConn and AcquireReleaseConn
// block.
package residency

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"molepaddle/internal/protocol/transport"
)

// ErrOutside is returned for a send that was rejected because the backend's region is unknown or not allowed by the
// terms. No data of the request was sent.
var ErrOutside = errors.New("outside the regions of the tenant")

// Terms is the set of regions that may hold a request's data. It is immutable. The zero value is for requests without a
// contract: it allows every backend, including those in an unknown region.
type Terms struct {
	restricted bool
	regions    []string // sorted, without duplicates
}

// Within returns terms that allow only the given regions; without any, they allow no backend.
func Within(regions ...string) Terms {
	all := slices.Clone(regions)
	slices.Sort(all)
	return Terms{restricted: true, regions: slices.Compact(all)}
}

// Restricted reports whether the terms restrict the regions at all.
func (t Terms) Restricted() bool { return t.restricted }

// Allows reports whether data may be held in a region. An empty name means an unknown region, which only the zero value
// allows.
func (t Terms) Allows(region string) bool {
	if !t.restricted {
		return true
	}
	return region != "" && slices.Contains(t.regions, region)
}

// Intersect returns the terms that allow the regions that both t and o allow. If they have no region in common, the
// result allows no backend.
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

// Equal reports whether both allow the same regions.
func (t Terms) Equal(o Terms) bool {
	return t.restricted == o.restricted && slices.Equal(t.regions, o.regions)
}

// String returns a human-readable list of the regions, "anywhere" or "nowhere".
func (t Terms) String() string {
	switch {
	case !t.restricted:
		return "anywhere"
	case len(t.regions) == 0:
		return "nowhere"
	}
	return strings.Join(t.regions, ", ")
}

// Gate creates endpoints. It has the deployment's regions by zone, and the connections to backends.
type Gate struct {
	pool  *transport.Transport
	zones map[string]string
}

// NewGate returns a Gate with the given connections and the region of each zone (settings.Settings.Zones), which is
// copied. The region of a zone that is missing from zones or has an empty region is unknown.
func NewGate(pool *transport.Transport, zones map[string]string) *Gate {
	g := &Gate{pool: pool, zones: make(map[string]string, len(zones))}
	for zone, region := range zones {
		g.zones[zone] = region
	}
	return g
}

// Region returns the region of a zone; empty if unknown.
func (g *Gate) Region(zone string) string { return g.zones[zone] }

// Endpoint is one backend: its id, its address, its region and the connections to it.
type Endpoint struct {
	gate    *Gate
	id      string
	address string
	region  atomic.Pointer[string]
	conns   *transport.Way
}

// Endpoint returns the endpoint of a backend, given its id, its address as IP:port, and its zone on the endpoint list.
func (g *Gate) Endpoint(id, address, zone string) *Endpoint {
	e := &Endpoint{
		gate:    g,
		id:      id,
		address: address,
		conns:   g.pool.Way(address),
	}
	e.SetZone(zone)
	return e
}

// SetZone sets the zone on the current endpoint list. It also applies to permits issued earlier, since the region may
// have been reported wrongly before.
func (e *Endpoint) SetZone(zone string) {
	region := e.gate.zones[zone]
	if old := e.region.Load(); old == nil || *old != region {
		e.region.Store(&region)
	}
}

// Region returns the region of the backend; empty if unknown.
func (e *Endpoint) Region() string { return *e.region.Load() }

// Allowed reports whether the terms allow the backend to hold data.
func (e *Endpoint) Allowed(t Terms) bool { return !t.restricted || t.Allows(*e.region.Load()) }

// Permit issues a permit for a request under the terms. It returns ErrOutside if the terms don't allow the backend.
func (e *Endpoint) Permit(t Terms) (Permit, error) {
	if !e.Allowed(t) {
		return Permit{}, ErrOutside
	}
	return Permit{endpoint: e}, nil
}

// ReleasePermit issues a permit for calls that carry no data of a request and release data held at the backend: a
// handle must be freed even if its tenant's data may no longer be held there.
func (e *Endpoint) ReleasePermit() Permit { return Permit{endpoint: e, releaseOnly: true} }

// Retire closes the connections once they are no longer in use, after the backend was removed.
func (e *Endpoint) Retire() { e.conns.Retire() }

// CloseIdle closes the connections that are not in use.
func (e *Endpoint) CloseIdle() { e.conns.CloseIdle() }

// Permit allows one backend to hold one request's data. Valid permits are issued only by an Endpoint; the zero value is
// always rejected.
type Permit struct {
	endpoint    *Endpoint
	releaseOnly bool
}

// ID returns the id of the backend; empty for the zero value.
func (p Permit) ID() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.id
}

// Address returns the address of the backend as IP:port; empty for the zero value.
func (p Permit) Address() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.address
}

// Region returns the region of the backend according to the newest endpoint list; empty if unknown.
func (p Permit) Region() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.Region()
}

// ReleaseOnly reports whether the permit is only for calls that carry no data of a request.
func (p Permit) ReleaseOnly() bool { return p.releaseOnly }

// Check returns nil if the terms allow the backend to hold data, by its region on the newest endpoint list, and
// ErrOutside otherwise. A release-only permit allows no data.
func (p Permit) Check(t Terms) error {
	if p.endpoint == nil || p.releaseOnly || !p.endpoint.Allowed(t) {
		return ErrOutside
	}
	return nil
}

// AcquireConn acquires a connection to the backend for one send of a request under the terms; requestID identifies the
// request and must not be empty. The terms are checked again, since they may have changed after the permit was issued:
// if they don't allow the send, the error is ErrOutside and no connection is dialled. Other errors are those of
// transport.Way.Lend. It blocks while a connection is dialled, until the context ends.
func (p Permit) AcquireConn(ctx context.Context, t Terms, requestID string) (*transport.Lent, error) {
	if err := p.Check(t); err != nil {
		return nil, err
	}
	return p.endpoint.conns.Lend(ctx, requestID)
}

// AcquireReleaseConn acquires a connection for a call that carries no data of a request. The error is ErrOutside if the
// permit is not release-only, otherwise that of transport.Way.Lend. It blocks like AcquireConn.
func (p Permit) AcquireReleaseConn(ctx context.Context, requestID string) (*transport.Lent, error) {
	if p.endpoint == nil || !p.releaseOnly {
		return nil, ErrOutside
	}
	return p.endpoint.conns.Lend(ctx, requestID)
}
