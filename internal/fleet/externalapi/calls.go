// Package externalapi declares the calls between the system and external parties (backends, the platform, the operator
// and clients): methods, paths, queries and header fields, as specified in the operators' page PROTOCOL. It has a
// client of the platform, and a client for the calls to backends that aren't made on behalf of a client's request.
//
// Requests of clients are sent to backends by package proxy; the operator's client is package operatorclient. The
// clients are safe for use by many goroutines; each call blocks until it is answered or has timed out.
package externalapi

import "net/http"

// Call is the method and path of one call.
type Call struct {
	// Name is unique among all calls.
	Name string
	// Method is the HTTP method.
	Method string
	// Path is the URL's path; if it ends with a slash, an id is appended.
	Path string
}

// CallReady is the platform's readiness check of a proxy.
var CallReady = Call{Name: "ready", Method: http.MethodGet, Path: "/molepaddle/readyz"}

// Calls to the control plane, by the operator.
var (
	// CallReplace replaces the complete configuration; it has a HeaderBaseVersion.
	CallReplace = Call{Name: "replace", Method: http.MethodPost, Path: "/molepaddle/cfg/replace"}
	// CallUpdate changes named items of the configuration; it has a HeaderBaseVersion.
	CallUpdate = Call{Name: "update", Method: http.MethodPost, Path: "/molepaddle/cfg/update"}
	// CallShow returns the configuration in force.
	CallShow = Call{Name: "show", Method: http.MethodGet, Path: "/molepaddle/cfg/show"}
	// CallStatus returns the fleet's status. With QueryLocal it isn't redirected to the primary: the control server
	// returns the status that it knows itself.
	CallStatus = Call{Name: "status", Method: http.MethodGet, Path: "/molepaddle/status"}
	// CallResidency returns a ResidencyReport of all data, or of the tenant or route in QueryTenant or QueryRoute.
	CallResidency = Call{Name: "residency", Method: http.MethodGet, Path: "/molepaddle/residency"}
)

// Calls to a backend. HeaderTargetBackend has its id: another backend at the same address rejects the call.
var (
	// CallOrder makes a backend change its phase; it carries the owner and the fencing token.
	CallOrder = Call{Name: "order", Method: http.MethodPost, Path: "/molepaddle/order"}
	// CallReport returns a BackendReport. It costs the backend as much as a health check, and uses no request slot.
	CallReport = Call{Name: "report", Method: http.MethodGet, Path: "/molepaddle/report"}
	// CallFreeKVHandle frees the handle of a KV cache, whose id follows the path.
	CallFreeKVHandle = Call{Name: "free", Method: http.MethodDelete, Path: "/molepaddle/kv-handle/"}
)

// CallListBackends asks the platform for a page of its list of backends.
var CallListBackends = Call{Name: "list", Method: http.MethodGet, Path: "/backends"}

// Queries of the operator's calls.
const (
	// QueryLocal prevents the redirect of a CallStatus to the primary.
	QueryLocal = "local"
	// QueryTenant restricts a CallResidency to one tenant.
	QueryTenant = "tenant"
	// QueryRoute restricts a CallResidency to one route that has regions without a tenant.
	QueryRoute = "route"
)

// Header fields of requests and answers, in canonical form.
const (
	// HeaderAttemptID is the id of a request; its response has the same one.
	HeaderAttemptID = "X-Molepaddle-Attempt-Id"
	// HeaderDeadlineMs is the time until the request's deadline, in milliseconds.
	HeaderDeadlineMs = "X-Molepaddle-Deadline-Ms"
	// HeaderModel is the model that the request's prompt is for.
	HeaderModel = "X-Molepaddle-Model"
	// HeaderTokenCount is the number of tokens of the prompt and the maximum number of generated tokens: "1460,80".
	HeaderTokenCount = "X-Molepaddle-Token-Count"
	// HeaderPromptPrefix is the prompt's segments from the first on, each with its id and number of tokens:
	// "5c1e07a2:800,91bd3f06:410".
	HeaderPromptPrefix = "X-Molepaddle-Prompt-Prefix"
	// HeaderTenant is the name of the account of the client's API key; only the system sets it.
	HeaderTenant = "X-Molepaddle-Tenant"
	// HeaderAuthorization is a client's API key. It isn't forwarded to backends.
	HeaderAuthorization = "Authorization"
	// HeaderPriority is the request's priority for a backend, 0 to 9.
	HeaderPriority = "Priority"
	// HeaderExpectVersion is the expected version of the weights: a backend with another version rejects the request
	// (421).
	HeaderExpectVersion = "Expect-Version"
	// HeaderTargetBackend is the id of the backend that a request is for; any other backend answers 421.
	HeaderTargetBackend = "X-Molepaddle-Target-Backend"
	// HeaderStage is PhasePrefill for a request that a backend only prefills.
	HeaderStage = "X-Molepaddle-Stage"
	// HeaderKVFrom is the source of the KV cache of a prefilled prompt: the address of the backend that has it, a
	// slash, and the handle.
	HeaderKVFrom = "Kv-From"
	// HeaderLastEventID is the id of the last event received from a stream that is to be resumed.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderBackendSeal marks a response as generated by a backend.
	HeaderBackendSeal = "X-Molepaddle-Backend-Seal"
	// HeaderBackendLoad is a backend's load at the time of its response.
	HeaderBackendLoad = "X-Molepaddle-Backend-Load"
	// HeaderNotRun marks an error response whose request was not run.
	HeaderNotRun = "X-Molepaddle-Not-Run"
	// HeaderRetryAfter is the time after which a rejected request may be retried, in seconds, with a fraction.
	HeaderRetryAfter = "Retry-After"
	// HeaderBaseVersion is the version of the configuration that a change is based on; 0: there is none yet.
	HeaderBaseVersion = "X-Molepaddle-Base-Version"
)

// Phases of a backend in reports, orders and the platform's list.
const (
	// PhasePrefill is the phase of a backend that prefills prompts.
	PhasePrefill = "prefill"
	// PhaseDecode is the phase of a backend that generates tokens.
	PhaseDecode = "decode"
)
