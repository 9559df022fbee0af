// Package routingconfig holds the operator's configuration: reading and checking whole documents, applying changes of named
// items, showing the document again as it was sent, and the route table that the data plane looks requests up in.
//
// A Document is immutable. It keeps the operator's own JSON of every item beside the fields parsed from it, so that
// fields this program doesn't know are shown again unchanged. The wire form is that of PROTOCOL.md, "The operator's API".
// The package does no I/O and reads no clock.
package routingconfig

import (
	"encoding/json"
	"math"
	"time"
)

// Kinds of route, as PROTOCOL.md names them.
const (
	// KindReadonly requests are idempotent and may run more than once.
	KindReadonly = "readonly"
	// KindMutating requests may run at most once for each try.
	KindMutating = "mutating"
	// KindStream answers are a series of events; treated as mutating unless the route is resumable.
	KindStream = "stream"
)

// Config is the typed view of a whole configuration. Fields this program doesn't know are not in it; the Document
// keeps them.
type Config struct {
	// Version is above 0 and rises with every accepted configuration.
	Version int64 `json:"ver"`
	// Routes are in the operator's order; additions by update come last.
	Routes []RouteSpec `json:"routing"`
	// Services are in the operator's order; additions by update come last.
	Services []Service `json:"svcs"`
	// Limits bound what a client may send and how long it may take. Nil: the operator set none.
	Limits *Limits `json:"caps,omitempty"`
	// Tenants are in the operator's order; additions by update come last.
	Tenants []Tenant `json:"tenants,omitempty"`
}

// RouteSpec is a route as the operator wrote it. Times are in milliseconds, fractions allowed.
type RouteSpec struct {
	// Name is unique among routes and not empty.
	Name string `json:"name"`
	// Hostname is not empty and compared without regard to ASCII case; it is kept as sent.
	Hostname string `json:"hostname"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"pfx"`
	// Kind is KindReadonly, KindMutating or KindStream.
	Kind string `json:"kind"`
	// DeadlineMs is the longest the operator wants a request held; above 0.
	DeadlineMs float64 `json:"deadline_ms"`
	// LatencyTargetMs is the time within which an answer earns its full worth (streams: to the first event); 0: not given.
	LatencyTargetMs float64 `json:"target_ms"`
	// Priority is the rank, 0 is the highest and the default.
	Priority int `json:"prio"`
	// ServiceName is the one service of the route; empty where the route is split by Split.
	ServiceName string `json:"svc,omitempty"`
	// Split lists services with weights. Where it is not empty it goes before ServiceName.
	Split []WeightedServiceSpec `json:"shares,omitempty"`
	// Tries is the most backends to which one try of a client may be sent; 1 or more, 1 when not given or given as 0.
	MaxAttempts int `json:"tries"`
	// Pin is set on routes whose requests tell the parts of their prompt.
	PrefixAffinity bool `json:"pin"`
	// Resumable streams may be taken up at another backend with Last-Event-Id.
	Resumable bool `json:"resumable"`
	// EventGapTargetMs is the longest pause between events that keeps a stream in time; 0: not given.
	EventGapTargetMs float64 `json:"gap_aim_ms"`
	// Tenant names the tenant whose requests these are, one of Tenants; empty: no tenant.
	Tenant string `json:"tenant,omitempty"`
	// Regions are those in which the data of the route's requests may rest: one or more, all of them the tenant's where
	// there is one. Nil: the tenant's, or anywhere without one.
	Regions []string `json:"regions,omitempty"`
}

// HasResidencyTerms tells whether the route's data may rest in some regions only.
func (r *RouteSpec) HasResidencyTerms() bool { return r.Tenant != "" || r.Regions != nil }

// Tenant is who has a contract that names the regions which may hold its data.
type Tenant struct {
	// Name is unique among tenants and not empty.
	Name string `json:"name"`
	// Regions are one or more, each once.
	Regions []string `json:"regions"`
}

// WeightedServiceSpec is one part of a split route.
type WeightedServiceSpec struct {
	ServiceName string `json:"svc"`
	// Weight is 0 or more; a share of weight 0 gets nothing. The weights of a route add up to more than 0.
	Weight float64 `json:"wt"`
}

// Deadline is DeadlineMs as a duration; above 0.
func (r *RouteSpec) Deadline() time.Duration { return millis(r.DeadlineMs) }

// LatencyTarget is LatencyTargetMs as a duration; 0 when not given.
func (r *RouteSpec) LatencyTarget() time.Duration { return millis(r.LatencyTargetMs) }

// EventGapTarget is EventGapTargetMs as a duration; 0 when not given.
func (r *RouteSpec) EventGapTarget() time.Duration { return millis(r.EventGapTargetMs) }

// Idempotent tells whether requests of the route may run more than once (RULES.md, "Words"): readonly routes and
// streams that may be resumed.
func (r *RouteSpec) Idempotent() bool {
	return r.Kind == KindReadonly || r.Kind == KindStream && r.Resumable
}

// Service is a service as the operator wrote it.
type Service struct {
	// Name is unique among services and not empty.
	Name string `json:"name"`
	// Probe is the path of health checks; empty when not given.
	HealthCheckPath string `json:"probe"`
	// MaxConn is the number of connections each backend takes from all callers together; 0: not given.
	MaxConn int `json:"maxconn"`
	// Proto is "h1" in all known deployments; not checked.
	Proto string `json:"proto"`
	SSL   bool   `json:"ssl"`
	// Runtime is set for services that run models.
	Runtime *Runtime `json:"runtime,omitempty"`
}

// Runtime tells how the backends of a model service run requests. Fields not given are 0.
type Runtime struct {
	// Capacity is the number of requests in one batch.
	Capacity int `json:"capacity"`
	// KVCacheTokens is the memory of one backend, in tokens, shared by running requests and cached parts.
	KVCacheTokens int64 `json:"kv_ntok"`
	// KVTokenBytes is the memory of one token, in bytes.
	KVTokenBytes float64 `json:"kv_tok_bytes"`
	// KVTransferMbps is the bandwidth of a backend's moves of memory, in Mbit/s.
	KVTransferMbps float64 `json:"bw_mbps"`
	// Stride is as sent. PROTOCOL.md doesn't explain it.
	Stride float64 `json:"stride"`
	// KVHandleTTLSeconds is how long the memory of a handle is kept, in seconds.
	KVHandleTTLSeconds float64 `json:"kv_ref_s"`
	// PhaseChangeSeconds is how long a backend is away after an order, in seconds.
	PhaseChangeSeconds float64 `json:"swap_s"`
	Models             []Model `json:"model_list"`
}

// KVHandleTTL is KVHandleTTLSeconds as a duration.
func (r *Runtime) KVHandleTTL() time.Duration { return millis(r.KVHandleTTLSeconds * 1000) }

// PhaseChangeDuration is PhaseChangeSeconds as a duration.
func (r *Runtime) PhaseChangeDuration() time.Duration { return millis(r.PhaseChangeSeconds * 1000) }

// Model is one model of a service.
type Model struct {
	Name string `json:"name"`
}

// Limits bound what a client may send and how long it may take or stay idle. 0: not given.
type Limits struct {
	// MaxHeaderBytes bounds a request's head, in bytes.
	MaxHeaderBytes int64 `json:"hdr_max_bytes"`
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64 `json:"body_max_bytes"`
	// HeaderTimeoutMs bounds the time a client takes to send a head, in milliseconds.
	HeaderTimeoutMs float64 `json:"hdr_timeout_ms"`
	// IdleTimeoutMs bounds how long a connection stays idle, in milliseconds.
	IdleTimeoutMs float64 `json:"idle_timeout_ms"`
}

// HeaderTimeout is HeaderTimeoutMs as a duration; 0 when not given.
func (l *Limits) HeaderTimeout() time.Duration { return millis(l.HeaderTimeoutMs) }

// IdleTimeout is IdleTimeoutMs as a duration; 0 when not given.
func (l *Limits) IdleTimeout() time.Duration { return millis(l.IdleTimeoutMs) }

// millis turns milliseconds into a duration; what doesn't fit becomes the longest one.
func millis(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}

// Document is one valid configuration. It is immutable and safe for use by many goroutines. The nil Document stands
// for "no configuration yet": version 0, nothing in it.
type Document struct {
	version  int64
	routes   []*routeItem
	services []*serviceItem
	limits   *Limits
	tenants  []*tenantItem   // nil when none were ever sent
	caps     json.RawMessage // as sent; nil when it was not
	extra    []member        // top-level fields this program doesn't know, in order
}

// routeItem is a route with the operator's own JSON of it.
type routeItem struct {
	RouteSpec
	raw json.RawMessage
}

// serviceItem is a service with the operator's own JSON of it.
type serviceItem struct {
	Service
	raw json.RawMessage
}

// tenantItem is a tenant with the operator's own JSON of it.
type tenantItem struct {
	Tenant
	raw json.RawMessage
}

// member is one field of an object, name and value in the sender's JSON.
type member struct {
	key   string
	value json.RawMessage
}

// Version is the document's version; 0 for the nil Document.
func (d *Document) Version() int64 {
	if d == nil {
		return 0
	}
	return d.version
}

// Limits are the operator's limits, nil when none were sent. They must not be changed.
func (d *Document) Limits() *Limits {
	if d == nil {
		return nil
	}
	return d.limits
}

// NumRoutes is the number of routes.
func (d *Document) NumRoutes() int {
	if d == nil {
		return 0
	}
	return len(d.routes)
}

// Services lists the services in order. The pointers are the same that the Index gives out; an update that leaves a
// service alone keeps its pointer. They must not be changed.
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

// Tenants lists the tenants in order. They must not be changed.
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

// HasResidencyTerms lists the routes whose data may rest in some regions only, in order, in time linear in the number of routes.
// They must not be changed.
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

// Config is a copy of the typed fields, for logs, tools and tests. It costs time and memory for every route.
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
	return c
}
