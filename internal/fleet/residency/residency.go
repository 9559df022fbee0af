// Package residency keeps a tenant's data inside the regions that its contract names (data residency).
//
// A Gate hands out Endpoints: a backend, the region it is in, and the connections to it. An Endpoint issues a Permit,
// which says that this backend may hold the data of one request. The connections don't leave the package: whoever
// sends needs a Permit, which only an Endpoint can issue, and the Permit is checked again when a connection is
// acquired for the send, since the terms or the region may have changed in between. What isn't known is refused.
// docs/design/regions.md has the whole picture.
//
// The package decides nothing else: which backend is chosen is package proxy's business, and what is reported of
// tenants' data is package residencyreport's. Everything here may be called from any goroutine; only the AcquireConn
// methods block.
package residency

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"

	"molepaddle/internal/protocol/transport"
)

// ErrOutside says that a send was refused since the backend's region is not known to be one that the terms allow.
// Nothing of the request was sent.
var ErrOutside = errors.New("outside the regions of the tenant")

// Terms are the regions that may hold a request's data. They are immutable. The zero value allows every backend, also
// one of an unknown region: it stands for requests under no contract.
type Terms struct {
	restricted bool
	regions    []string // sorted, each once
}

// Within returns terms that allow only the regions given; with none given they allow nothing.
func Within(regions ...string) Terms {
	all := slices.Clone(regions)
	slices.Sort(all)
	return Terms{restricted: true, regions: slices.Compact(all)}
}

// Restricted tells whether there are terms at all.
func (t Terms) Restricted() bool { return t.restricted }

// Allows tells whether data may be held in a region. An empty name, which stands for an unknown region, is allowed
// only by the zero value.
func (t Terms) Allows(region string) bool {
	if !t.restricted {
		return true
	}
	return region != "" && slices.Contains(t.regions, region)
}

// Intersect returns the terms that allow what both allow. Where they have no region in common, these allow nothing.
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

// String returns the regions for people to read: a list, "anywhere" or "nowhere".
func (t Terms) String() string {
	switch {
	case !t.restricted:
		return "anywhere"
	case len(t.regions) == 0:
		return "nowhere"
	}
	return strings.Join(t.regions, ", ")
}

// Gate hands out endpoints. It knows the deployment's regions by zone, and the connections to backends.
type Gate struct {
	pool  *transport.Transport
	zones map[string]string
}

// NewGate returns a Gate with the connections and the region of each zone (settings Settings.Zones), which is copied.
// A zone that is missing, or whose region is empty, is of no known region.
func NewGate(pool *transport.Transport, zones map[string]string) *Gate {
	g := &Gate{pool: pool, zones: make(map[string]string, len(zones))}
	for zone, region := range zones {
		g.zones[zone] = region
	}
	return g
}

// Region returns the region of a zone; empty where it is not known.
func (g *Gate) Region(zone string) string { return g.zones[zone] }

// Endpoint is one backend: its id, its address, its region and the connections to it.
type Endpoint struct {
	gate    *Gate
	id      string
	address string
	region  atomic.Pointer[string]
	conns   *transport.Way
}

// Endpoint returns the endpoint of a backend by the endpoint list: its id, its address as IP:port, and its zone.
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

// SetZone takes the zone that the endpoint list has now. Permits issued earlier are judged by it from here on: a
// region may have been reported wrongly before.
func (e *Endpoint) SetZone(zone string) {
	region := e.gate.zones[zone]
	if old := e.region.Load(); old == nil || *old != region {
		e.region.Store(&region)
	}
}

// Region returns the region of the backend; empty where it is not known.
func (e *Endpoint) Region() string { return *e.region.Load() }

// Allowed tells whether the terms let the backend hold data.
func (e *Endpoint) Allowed(t Terms) bool { return !t.restricted || t.Allows(*e.region.Load()) }

// Permit issues the permit for a request under the terms. The error is ErrOutside.
func (e *Endpoint) Permit(t Terms) (Permit, error) {
	if !e.Allowed(t) {
		return Permit{}, ErrOutside
	}
	return Permit{endpoint: e}, nil
}

// ReleasePermit issues a permit for calls that carry nothing of a request and end what is held there: a handle is
// freed also where its tenant's data may no longer be held.
func (e *Endpoint) ReleasePermit() Permit { return Permit{endpoint: e, releaseOnly: true} }

// Retire closes the connections once they are free: the backend is gone.
func (e *Endpoint) Retire() { e.conns.Retire() }

// CloseIdle closes the connections that are not in use.
func (e *Endpoint) CloseIdle() { e.conns.CloseIdle() }

// Permit says that one backend may hold one request's data. Only an Endpoint issues one that is good for anything:
// the zero value is refused everywhere.
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

// Region returns the region of the backend by the newest endpoint list; empty where it is not known.
func (p Permit) Region() string {
	if p.endpoint == nil {
		return ""
	}
	return p.endpoint.Region()
}

// ReleaseOnly tells whether the permit is only for calls that carry nothing of a request.
func (p Permit) ReleaseOnly() bool { return p.releaseOnly }

// Check returns nil where the backend may hold data under the terms now, by the region of the newest endpoint list;
// else ErrOutside. A permit that only releases is good for no data.
func (p Permit) Check(t Terms) error {
	if p.endpoint == nil || p.releaseOnly || !p.endpoint.Allowed(t) {
		return ErrOutside
	}
	return nil
}

// AcquireConn acquires a connection to the backend for one send of a request under the terms; requestID names the
// request and is not empty. The terms are checked here once more, since they may have changed after the permit was
// issued: where they don't allow the send, the error is ErrOutside and no connection is made. Other errors are those
// of transport.Way.Lend. It blocks while a connection is dialled, until the context ends.
func (p Permit) AcquireConn(ctx context.Context, t Terms, requestID string) (*transport.Lent, error) {
	if err := p.Check(t); err != nil {
		return nil, err
	}
	return p.endpoint.conns.Lend(ctx, requestID)
}

// AcquireReleaseConn acquires a connection for a call that carries nothing of a request. The error is ErrOutside
// where the permit is not one to release, else that of transport.Way.Lend. It blocks as AcquireConn does.
func (p Permit) AcquireReleaseConn(ctx context.Context, requestID string) (*transport.Lent, error) {
	if p.endpoint == nil || !p.releaseOnly {
		return nil, ErrOutside
	}
	return p.endpoint.conns.Lend(ctx, requestID)
}
