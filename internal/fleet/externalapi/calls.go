// Package externalapi declares the calls between the system and what is outside of it (backends, the platform, the
// operator and clients): methods, paths, queries and header fields, by the operators' page PROTOCOL. It has the
// clients of the platform and of the calls to backends that no client's request causes.
//
// It isn't the proxy's way to backends (package proxy) nor the operator's client (package operatorclient). Its
// clients are safe for use by many goroutines; each call blocks until it is answered or timed out.
package externalapi

import "net/http"

// Call is one call of the table: how it is asked.
type Call struct {
	// Name is unique in the table.
	Name string
	// Method is the HTTP method.
	Method string
	// Path is the URL's path; where it ends with a slash, an id follows.
	Path string
}

// CallReady is the platform's readiness check of a proxy.
var CallReady = Call{Name: "ready", Method: http.MethodGet, Path: "/molepaddle/readyz"}

// Calls to the control plane, by the operator.
var (
	// CallReplace replaces the whole configuration, CallUpdate changes named items of it; both have HeaderBaseVersion.
	CallReplace = Call{Name: "replace", Method: http.MethodPost, Path: "/molepaddle/cfg/replace"}
	CallUpdate  = Call{Name: "update", Method: http.MethodPost, Path: "/molepaddle/cfg/update"}
	// CallShow gives the configuration in force.
	CallShow = Call{Name: "show", Method: http.MethodGet, Path: "/molepaddle/cfg/show"}
	// CallStatus gives the fleet's status. With QueryLocal it isn't redirected to the primary: the machine asked gives
	// what it knows itself.
	CallStatus = Call{Name: "status", Method: http.MethodGet, Path: "/molepaddle/status"}
	// CallResidency gives a ResidencyReport, of everything or of what QueryTenant or QueryRoute names.
	CallResidency = Call{Name: "residency", Method: http.MethodGet, Path: "/molepaddle/residency"}
)

// Calls to a backend. HeaderTargetBackend names it: another one at its address doesn't answer for it.
var (
	// CallOrder has a backend change its phase; it carries the owner and the fencing token.
	CallOrder = Call{Name: "order", Method: http.MethodPost, Path: "/molepaddle/order"}
	// CallReport gives a BackendReport. It costs the backend what a health check does, and takes no slot of a request.
	CallReport = Call{Name: "report", Method: http.MethodGet, Path: "/molepaddle/report"}
	// CallFreeKVHandle frees the handle of a KV cache, whose id follows the path.
	CallFreeKVHandle = Call{Name: "free", Method: http.MethodDelete, Path: "/molepaddle/kv-handle/"}
)

// CallListBackends asks the platform for a page of its list of backends.
var CallListBackends = Call{Name: "list", Method: http.MethodGet, Path: "/backends"}

// Queries of the operator's calls.
const (
	// QueryLocal keeps a CallStatus at the machine asked.
	QueryLocal = "local"
	// QueryTenant and QueryRoute narrow a CallResidency to one tenant, or to one route that has regions without a tenant.
	QueryTenant = "tenant"
	QueryRoute  = "route"
)

// Header fields of requests and answers, in canonical form.
const (
	HeaderAttemptID     = "X-Molepaddle-Attempt-Id"
	HeaderDeadlineMs    = "X-Molepaddle-Deadline-Ms"
	HeaderPromptPrefix  = "X-Molepaddle-Prompt-Prefix"
	HeaderTokenCount    = "X-Molepaddle-Token-Count"
	HeaderModel         = "X-Molepaddle-Model"
	HeaderStage         = "X-Molepaddle-Stage"
	HeaderKVFrom        = "Kv-From"
	HeaderTargetBackend = "X-Molepaddle-Target-Backend"
	HeaderBackendSeal   = "X-Molepaddle-Backend-Seal"
	HeaderBackendLoad   = "X-Molepaddle-Backend-Load"
	HeaderNotRun        = "X-Molepaddle-Not-Run"
	HeaderLastEventID   = "Last-Event-Id"
	HeaderRetryAfter    = "Retry-After"
	HeaderBaseVersion   = "X-Molepaddle-Base-Version"
	HeaderPriority      = "Priority"
)

// Phases of a backend, as reports, orders and the platform's list name them.
const (
	PhasePrefill = "prefill"
	PhaseDecode  = "decode"
)
