package routingconfig

import (
	"bytes"
	"encoding/json"
)

// Document is one valid configuration. It is immutable and safe for use by many goroutines. The nil Document represents
// the state before the first configuration: version 0, no items.
type Document struct {
	version  int64
	routes   []*routeItem
	services []*serviceItem
	limits   *Limits
	tenants  []*tenantItem   // nil if no list was ever sent
	accounts []*accountItem  // nil if no list was ever sent
	caps     json.RawMessage // as sent; nil if not sent
	extra    []member        // unknown top-level fields, in order
}

// namedItem is a named item of a list: a routeItem, a serviceItem, a tenantItem, an accountItem or an unknownItem.
type namedItem interface {
	comparable
	itemName() string
	rawJSON() json.RawMessage
	// detach copies the item's JSON, so that it no longer shares memory with the request's body.
	detach()
}

// routeItem is a route with the operator's own JSON of it.
type routeItem struct {
	RouteSpec
	raw json.RawMessage
}

func (r *routeItem) itemName() string         { return r.Name }
func (r *routeItem) rawJSON() json.RawMessage { return r.raw }
func (r *routeItem) detach()                  { r.raw = bytes.Clone(r.raw) }

// serviceItem is a service with the operator's own JSON of it.
type serviceItem struct {
	Service
	raw json.RawMessage
}

func (s *serviceItem) itemName() string         { return s.Name }
func (s *serviceItem) rawJSON() json.RawMessage { return s.raw }
func (s *serviceItem) detach()                  { s.raw = bytes.Clone(s.raw) }

// tenantItem is a tenant with the operator's own JSON of it.
type tenantItem struct {
	Tenant
	raw json.RawMessage
}

func (t *tenantItem) itemName() string         { return t.Name }
func (t *tenantItem) rawJSON() json.RawMessage { return t.raw }
func (t *tenantItem) detach()                  { t.raw = bytes.Clone(t.raw) }

// member is one field of an object, name and value in the sender's JSON.
type member struct {
	key   string
	value json.RawMessage
}

// Version returns the document's version; 0 for the nil Document.
func (d *Document) Version() int64 {
	if d == nil {
		return 0
	}
	return d.version
}

// Limits returns the operator's limits, nil when none were sent. They must not be changed.
func (d *Document) Limits() *Limits {
	if d == nil {
		return nil
	}
	return d.limits
}

// NumRoutes returns the number of routes.
func (d *Document) NumRoutes() int {
	if d == nil {
		return 0
	}
	return len(d.routes)
}

// Services returns the services in order. The pointers are the same as those of the Index; an update that doesn't
// change a service keeps its pointer. The services must not be changed.
func (d *Document) Services() []*Service {
	if d == nil {
		return nil
	}
	out := make([]*Service, len(d.services))
	for i, s := range d.services {
		out[i] = &s.Service
	}
	return out
}

// Tenants returns the tenants in order. They must not be changed.
func (d *Document) Tenants() []*Tenant {
	if d == nil {
		return nil
	}
	out := make([]*Tenant, len(d.tenants))
	for i, t := range d.tenants {
		out[i] = &t.Tenant
	}
	return out
}

// RoutesWithResidencyTerms returns the routes whose data may be stored only in certain regions, in order, in time
// linear in the number of routes. They must not be changed.
func (d *Document) RoutesWithResidencyTerms() (out []*RouteSpec) {
	if d == nil {
		return nil
	}
	for _, r := range d.routes {
		if r.HasResidencyTerms() {
			out = append(out, &r.RouteSpec)
		}
	}
	return out
}

// Config returns a copy of the typed fields, for logs, tools and tests. It costs time and memory for every route.
func (d *Document) Config() Config {
	c := Config{Routes: []RouteSpec{}, Services: []Service{}}
	if d == nil {
		return c
	}
	c.Version = d.version
	c.Limits = d.limits
	for _, r := range d.routes {
		c.Routes = append(c.Routes, r.RouteSpec)
	}
	for _, s := range d.services {
		c.Services = append(c.Services, s.Service)
	}
	for _, t := range d.tenants {
		c.Tenants = append(c.Tenants, t.Tenant)
	}
	for _, a := range d.accounts {
		c.Accounts = append(c.Accounts, a.Account)
	}
	return c
}
