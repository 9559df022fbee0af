package routingconfig

import (
	"math"
	"time"
)

// Kinds of route, as PROTOCOL.md names them.
const (
	// KindReadonly requests are idempotent and may run more than once.
	KindReadonly = "readonly"
	// KindMutating requests may run at most once for each request of a client.
	KindMutating = "mutating"
	// KindStream answers are a series of events; treated as mutating unless the route is resumable.
	KindStream = "stream"
)

// Config is the typed view of a complete configuration, without unknown fields, which only the Document retains.
type Config struct {
	// Version is above 0 and rises with every accepted configuration.
	Version int64 `json:"ver"`
	// Routes are in the operator's order; additions by update come last.
	Routes []RouteSpec `json:"routing"`
	// Services are in the operator's order; additions by update come last.
	Services []Service `json:"svcs"`
	// Limits are the limits on clients' requests and connections. Nil: the operator set none.
	Limits *Limits `json:"caps,omitempty"`
	// Tenants are in the operator's order; additions by update come last.
	Tenants []Tenant `json:"tenants,omitempty"`
	// Accounts are in the operator's order; additions by update come last. Their keys are not included.
	Accounts []Account `json:"accounts,omitempty"`
}

// RouteSpec is a route as the operator wrote it. Times are in milliseconds, fractions allowed.
type RouteSpec struct {
	// Name is unique among routes and not empty.
	Name string `json:"name"`
	// Hostname is not empty and compared without regard to ASCII case; it is kept as sent.
	Hostname string `json:"hostname"`
	// Prefix of the path; it begins and ends with a slash.
	Prefix string `json:"pfx"`
	// Kind is KindReadonly, KindMutating or KindStream.
	Kind string `json:"kind"`
	// DeadlineMs is the longest time that a request may be pending, in milliseconds; above 0.
	DeadlineMs float64 `json:"deadline_ms"`
	// LatencyTargetMs is the latency target (SLO) of an answer (streams: of the first event), in milliseconds; 0: not
	// given.
	LatencyTargetMs float64 `json:"target_ms"`
	// Priority is the priority of the requests; 0 is the highest and the default.
	Priority int `json:"prio"`
	// ServiceName is the only service of the route; empty if Split is given.
	ServiceName string `json:"svc,omitempty"`
	// Split divides the route's requests among services by weight. If it is not empty, ServiceName isn't used.
	Split []WeightedServiceSpec `json:"shares,omitempty"`
	// MaxAttempts is the greatest number of backends to which one request of a client may be sent; 1 or more, 1 if not
	// given or given as 0.
	MaxAttempts int `json:"tries"`
	// PrefixAffinity is set on routes whose requests list the parts of their prompt, so that a request can go to a
	// backend that has its prefix cached.
	PrefixAffinity bool `json:"pin"`
	// Resumable streams may be continued at another backend with Last-Event-Id.
	Resumable bool `json:"resumable"`
	// EventGapTargetMs is the latency target (SLO) of the time between two events of a stream, in milliseconds; 0: not
	// given.
	EventGapTargetMs float64 `json:"gap_aim_ms"`
	// Tenant is the name of the tenant that the route's requests belong to, one of Tenants; empty: no tenant.
	Tenant string `json:"tenant,omitempty"`
	// Public routes accept requests without a key even if the configuration has accounts.
	Public bool `json:"public,omitempty"`
	// Regions are the regions in which the data of the route's requests may be stored: one or more, all of them regions
	// of the tenant if there is one. Nil: the tenant's regions, or any region without a tenant.
	Regions []string `json:"regions,omitempty"`
}

// HasResidencyTerms reports whether the route's data may be stored only in certain regions.
func (r *RouteSpec) HasResidencyTerms() bool { return r.Tenant != "" || r.Regions != nil }

// Tenant is a customer whose contract names the regions in which its data may be stored.
type Tenant struct {
	// Name is unique among tenants and not empty.
	Name string `json:"name"`
	// Regions are one or more names, without duplicates.
	Regions []string `json:"regions"`
}

// WeightedServiceSpec is one service of a split route as the operator wrote it.
type WeightedServiceSpec struct {
	// ServiceName is the name of a service of the configuration.
	ServiceName string `json:"svc"`
	// Weight is 0 or more; a service of weight 0 gets no requests. The weights of a route add up to more than 0.
	Weight float64 `json:"wt"`
}

// Deadline returns DeadlineMs as a duration; above 0.
func (r *RouteSpec) Deadline() time.Duration { return millis(r.DeadlineMs) }

// LatencyTarget returns LatencyTargetMs as a duration; 0 when not given.
func (r *RouteSpec) LatencyTarget() time.Duration { return millis(r.LatencyTargetMs) }

// EventGapTarget returns EventGapTargetMs as a duration; 0 when not given.
func (r *RouteSpec) EventGapTarget() time.Duration { return millis(r.EventGapTargetMs) }

// Idempotent reports whether requests of the route may run more than once (RULES.md, "Words"): readonly routes and
// streams that may be resumed.
func (r *RouteSpec) Idempotent() bool {
	return r.Kind == KindReadonly || r.Kind == KindStream && r.Resumable
}

// Service is a service as the operator wrote it.
type Service struct {
	// Name is unique among services and not empty.
	Name string `json:"name"`
	// HealthCheckPath is the path of health checks; empty when not given.
	HealthCheckPath string `json:"probe"`
	// MaxConn is the number of connections that each backend accepts from all clients together; 0: not given.
	MaxConn int `json:"maxconn"`
	// Proto is "h1" in all known deployments; not checked.
	Proto string `json:"proto"`
	// SSL is the value sent; not used.
	SSL bool `json:"ssl"`
	// Runtime is set for services that run models.
	Runtime *Runtime `json:"runtime,omitempty"`
}

// Runtime describes how the backends of a model service run requests. Fields not given are 0.
type Runtime struct {
	// Capacity is the number of requests in one batch.
	Capacity int `json:"capacity"`
	// KVCacheTokens is the size of one backend's KV cache, in tokens, shared by running requests and cached prefixes.
	KVCacheTokens int64 `json:"kv_ntok"`
	// KVTokenBytes is the memory that one token takes in the KV cache, in bytes.
	KVTokenBytes float64 `json:"kv_tok_bytes"`
	// KVTransferMbps is the bandwidth at which a backend transfers KV cache to another, in Mbit/s.
	KVTransferMbps float64 `json:"bw_mbps"`
	// Stride is the value sent; not used. PROTOCOL.md doesn't explain it.
	Stride float64 `json:"stride"`
	// KVHandleTTLSeconds is how long a backend retains the KV cache that a handle refers to, in seconds.
	KVHandleTTLSeconds float64 `json:"kv_ref_s"`
	// PhaseChangeSeconds is how long a backend that changes its phase is unavailable once its requests have ended, in
	// seconds.
	PhaseChangeSeconds float64 `json:"swap_s"`
	// Models are the models that the backends serve.
	Models []Model `json:"model_list"`
}

// KVHandleTTL returns KVHandleTTLSeconds as a duration.
func (r *Runtime) KVHandleTTL() time.Duration { return millis(r.KVHandleTTLSeconds * 1000) }

// PhaseChangeDuration returns PhaseChangeSeconds as a duration.
func (r *Runtime) PhaseChangeDuration() time.Duration { return millis(r.PhaseChangeSeconds * 1000) }

// Model is one model of a service.
type Model struct {
	// Name is the value sent; empty when not given.
	Name string `json:"name"`
}

// Limits are the limits on the size and duration of clients' requests and on idle connections. 0: not given.
type Limits struct {
	// MaxHeaderBytes bounds a request's header, in bytes.
	MaxHeaderBytes int64 `json:"hdr_max_bytes"`
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64 `json:"body_max_bytes"`
	// HeaderTimeoutMs bounds the time that a client takes to send a header, in milliseconds.
	HeaderTimeoutMs float64 `json:"hdr_timeout_ms"`
	// IdleTimeoutMs bounds how long a connection stays idle, in milliseconds.
	IdleTimeoutMs float64 `json:"idle_timeout_ms"`
}

// HeaderTimeout returns HeaderTimeoutMs as a duration; 0 when not given.
func (l *Limits) HeaderTimeout() time.Duration { return millis(l.HeaderTimeoutMs) }

// IdleTimeout returns IdleTimeoutMs as a duration; 0 when not given.
func (l *Limits) IdleTimeout() time.Duration { return millis(l.IdleTimeoutMs) }

// millis returns milliseconds as a duration, at most the longest duration.
func millis(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
