// Package externalapi declares every call between the system and what is outside of it, in one table: backends, the
// platform and the operator; and the header fields that go with them.
// Source: the operators' page PROTOCOL.
package externalapi

import "net/http"

// Call is one call: who takes it, and how it is asked.
type Call struct {
	Name     string
	Method   string
	Path     string // with a trailing slash: an id follows
	ServedBy Server
	Probe    bool // priced as a probe; needs no slot of the request's kind
	Fenced   bool // carries owner and fence
}

// Server is who takes a call.
type Server uint8

// The parties.
const (
	ServedByProxy Server = iota // this system's proxies
	ServedByControlPlane
	ServedByBackend
	ServedByPlatform
)

// The calls.
var (
	CallReady        = Call{Name: "ready", Method: http.MethodGet, Path: "/molepaddle/readyz", ServedBy: ServedByProxy}
	CallReplace      = Call{Name: "replace", Method: http.MethodPost, Path: "/molepaddle/cfg/replace", ServedBy: ServedByControlPlane}
	CallUpdate       = Call{Name: "update", Method: http.MethodPost, Path: "/molepaddle/cfg/update", ServedBy: ServedByControlPlane}
	CallShow         = Call{Name: "show", Method: http.MethodGet, Path: "/molepaddle/cfg/show", ServedBy: ServedByControlPlane}
	CallResidency    = Call{Name: "residency", Method: http.MethodGet, Path: "/molepaddle/residency", ServedBy: ServedByControlPlane}
	CallOrder        = Call{Name: "order", Method: http.MethodPost, Path: "/molepaddle/order", ServedBy: ServedByBackend, Fenced: true}
	CallReport       = Call{Name: "report", Method: http.MethodGet, Path: "/molepaddle/report", ServedBy: ServedByBackend, Probe: true}
	CallFreeKVHandle = Call{Name: "free", Method: http.MethodDelete, Path: "/molepaddle/kv-handle/", ServedBy: ServedByBackend}
	CallListBackends = Call{Name: "list", Method: http.MethodGet, Path: "/backends", ServedBy: ServedByPlatform}
)

// AllCalls is all of them.
var AllCalls = []Call{CallReady, CallReplace, CallUpdate, CallShow, CallStatus, CallResidency, CallOrder, CallReport, CallFreeKVHandle, CallListBackends}

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
	HeaderBackendID     = "X-Molepaddle-Backend-Id"
	HeaderBackendLoad   = "X-Molepaddle-Backend-Load"
	HeaderNotRun        = "X-Molepaddle-Not-Run"
	HeaderLastEventID   = "Last-Event-Id"
	HeaderRetryAfter    = "Retry-After"
	HeaderBaseVersion   = "X-Molepaddle-Base-Version"
	HeaderPriority      = "Priority"
	HeaderExpectVersion = "Expect-Version"
	PhasePrefill        = "prefill"
	PhaseDecode         = "decode"
)
