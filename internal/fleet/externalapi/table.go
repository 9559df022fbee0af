// Package externalapi declares every call between the system and what is outside of it, in one table: backends, the
// platform and the operator; and the header fields that go with them.
// Source: the operators' page PROTOCOL.
package externalapi

import "net/http"

// Call is one call: who takes it, and how it is asked.
type Call struct {
	Name   string
	Method string
	Path   string // with a trailing slash: an id follows
	To     Party
	Probe  bool // priced as a probe; needs no slot of the request's kind
	Fenced bool // carries owner and fence
}

// Party is who takes a call.
type Party uint8

// The parties.
const (
	Edge Party = iota // this system's proxies
	Control
	Backend
	Platform
)

// The calls.
var (
	Ready   = Call{Name: "ready", Method: http.MethodGet, Path: "/molepaddle/readyz", To: Edge}
	Replace = Call{Name: "replace", Method: http.MethodPost, Path: "/molepaddle/cfg/replace", To: Control}
	Update  = Call{Name: "update", Method: http.MethodPost, Path: "/molepaddle/cfg/update", To: Control}
	Show    = Call{Name: "show", Method: http.MethodGet, Path: "/molepaddle/cfg/show", To: Control}
	Resided = Call{Name: "residency", Method: http.MethodGet, Path: "/molepaddle/residency", To: Control}
	Order   = Call{Name: "order", Method: http.MethodPost, Path: "/molepaddle/order", To: Backend, Fenced: true}
	Report  = Call{Name: "report", Method: http.MethodGet, Path: "/molepaddle/report", To: Backend, Probe: true}
	Free    = Call{Name: "free", Method: http.MethodDelete, Path: "/molepaddle/kv-handle/", To: Backend}
	Listing = Call{Name: "list", Method: http.MethodGet, Path: "/backends", To: Platform}
)

// Table is all of them.
var Table = []Call{Ready, Replace, Update, Show, Status, Resided, Order, Report, Free, Listing}

// Header fields of requests and answers, in canonical form.
const (
	AttemptID    = "X-Molepaddle-Attempt-Id"
	DeadlineMs   = "X-Molepaddle-Deadline-Ms"
	Prefix       = "X-Molepaddle-Prompt-Prefix"
	TokenCount   = "X-Molepaddle-Token-Count"
	Model        = "X-Molepaddle-Model"
	Stage        = "X-Molepaddle-Stage"
	KvFrom       = "Kv-From"
	Target       = "X-Molepaddle-Target-Backend"
	Seal         = "X-Molepaddle-Backend-Seal"
	BackendID    = "X-Molepaddle-Backend-Id"
	Load         = "X-Molepaddle-Backend-Load"
	NotRun       = "X-Molepaddle-Not-Run"
	LastEventID  = "Last-Event-Id"
	RetryAfter   = "Retry-After"
	BaseVersion  = "X-Molepaddle-Base-Version"
	Priority     = "Priority"
	Weights      = "Expect-Version"
	PhasePrefill = "prefill"
	PhaseDecode  = "decode"
)
