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
	// CallReplace replaces the complete configuration; it has a HeaderBaseVersion.
	CallReplace = Call{Name: "replace", Method: http.MethodPost, Path: "/molepaddle/cfg/replace"}
	// CallUpdate changes named items of the configuration; it has a HeaderBaseVersion.
	CallUpdate = Call{Name: "update", Method: http.MethodPost, Path: "/molepaddle/cfg/update"}
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
	// QueryTenant narrows a CallResidency to one tenant.
	QueryTenant = "tenant"
	// QueryRoute narrows a CallResidency to one route that has regions without a tenant.
	QueryRoute = "route"
)

// Header fields of requests and answers, in canonical form.
const (
	// HeaderAttemptID is the id of a request, which its answer repeats.
	HeaderAttemptID = "X-Molepaddle-Attempt-Id"
	// HeaderDeadlineMs is the time until the request's deadline, in ms.
	HeaderDeadlineMs = "X-Molepaddle-Deadline-Ms"
	// HeaderModel is the model that the request's prompt is for.
	HeaderModel = "X-Molepaddle-Model"
	// HeaderTokenCount is the number of tokens of the prompt and the most that may be generated: "1460,80".
	HeaderTokenCount = "X-Molepaddle-Token-Count"
	// HeaderPromptPrefix is the prompt's segments from the first on, each with its id and number of tokens:
	// "5c1e07a2:800,91bd3f06:410".
	HeaderPromptPrefix = "X-Molepaddle-Prompt-Prefix"
	// HeaderTenant names the account whose key the client sent; the system alone sets it.
	HeaderTenant = "X-Molepaddle-Tenant"
	// HeaderAuthorization carries a client's API key. Backends don't get it.
	HeaderAuthorization = "Authorization"
	// HeaderPriority is the request's priority for a backend, 0 to 9.
	HeaderPriority = "Priority"
	// HeaderExpectVersion has a backend whose weights are of another version reject the request (421).
	HeaderExpectVersion = "Expect-Version"
	// HeaderTargetBackend is the id of the backend that a request is for; any other answers 421.
	HeaderTargetBackend = "X-Molepaddle-Target-Backend"
	// HeaderStage is PhasePrefill for a request that a backend only prefills.
	HeaderStage = "X-Molepaddle-Stage"
	// HeaderKVFrom is where a backend takes the KV cache of a prefilled prompt: the address of the backend that has
	// it, a slash, and the handle.
	HeaderKVFrom = "Kv-From"
	// HeaderLastEventID is the last event that was received of a stream which is to be resumed.
	HeaderLastEventID = "Last-Event-Id"
	// HeaderBackendSeal marks an answer as a backend's own.
	HeaderBackendSeal = "X-Molepaddle-Backend-Seal"
	// HeaderBackendLoad is a backend's load at the time of its answer.
	HeaderBackendLoad = "X-Molepaddle-Backend-Load"
	// HeaderNotRun marks a failure whose request did not run.
	HeaderNotRun = "X-Molepaddle-Not-Run"
	// HeaderRetryAfter is the time after which a rejected request may come again, in s, with a fraction.
	HeaderRetryAfter = "Retry-After"
	// HeaderBaseVersion is the version of the configuration that a change builds on; 0: there is none yet.
	HeaderBaseVersion = "X-Molepaddle-Base-Version"
)

// Phases of a backend, as reports, orders and the platform's list name them.
const (
	// PhasePrefill is that of a backend which reads prompts.
	PhasePrefill = "prefill"
	// PhaseDecode is that of a backend which generates tokens.
	PhaseDecode = "decode"
)
