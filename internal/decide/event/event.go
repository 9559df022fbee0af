// Package event defines the input events and output actions of an agent's Balancer (package policy). It
// has only values and no state; times are in ms.
package event

import "molepaddle/internal/decide/cluster"

// RequestID identifies one request of a client. A retry by the client has another ID; an ID is never reused.
type RequestID uint32

// Status is the result of an attempt or of a health check.
type Status uint16

// The statuses.
const (
	OK            Status = 100
	Error         Status = 301
	Full          Status = 302
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	Moot          Status = 307
	NoConnection  Status = 308 // no free connection to the server: says nothing about the server
)

// MaxAttemptsWithoutConnection limits the attempts of a request that ended with NoConnection, which are
// spread over its latency target and don't count as its attempts.
const MaxAttemptsWithoutConnection = 32

// NeverRan reports whether the status proves that the server did not run the attempt.
func (s Status) NeverRan() bool {
	return s == Full || s == ConnectFailed || s == Moot || s == NoConnection
}

// EventKind is the kind of an Event. It determines which fields of the Event are used.
type EventKind uint8

// The kinds of events, with the fields that each uses.
const (
	EvRequest      EventKind = iota + 1 // all from Class to Tries
	EvOutcome                           // Request, Attempt, Server, Status, LatencyMs, Final, Report, Tries
	EvStarted                           // Request, Attempt, Server, LatencyMs: a streamed answer began
	EvDropped                           // Request: the client disconnected
	EvList                              // List, Entries, Least
	EvProbed                            // Server, Status, LatencyMs, Report
	EvTimer                             // Token
	EvPeer                              // a message of another agent; no field is used
	EvBodyComplete                      // Request, Attempt, LeftMs: the body is complete (see BodyIncomplete)
)

// Event is an input of the Balancer.
type Event struct {
	Kind           EventKind
	Request        RequestID
	Class          int
	Tenant         int
	Key            uint64 // 0: none
	LeftMs         float64
	HintMs         float64
	HasHint        bool
	Retry          bool
	BodyIncomplete bool // part of the request's body has not arrived; LeftMs takes that into account
	Attempts       int  // of a request: allowed attempts, 0: as configured; of an outcome: attempts beyond this one
	Attempt        int
	Server         cluster.Addr
	Status         Status
	LatencyMs      float64
	Final          bool // the request is finished
	Report         []float32
	List           cluster.ListKind
	Entries        []cluster.Entry // the Balancer neither changes nor retains the slice
	MinServers     int             // size of the server subset while there are no faults; 0: the Balancer's default
	Token          uint32
}

// ActionKind is the kind of an Action. It determines which fields of the Action are used.
type ActionKind uint8

// The kinds of actions, with the fields that each uses.
const (
	ActSend   ActionKind = iota + 1 // Request, Server, Ms: time-out, BeginMs
	ActCancel                       // Request, Attempt
	ActRefuse                       // Request, Ms: retry-after advice
	ActFail                         // Request
	ActProbe                        // Server
	ActTimer                        // Ms, Token
	ActFollow                       // subscribe to the endpoint list
	ActFetch                        // request the complete endpoint list once
	ActClose                        // Server: close idle connections to it
)

// Action is an output of the Balancer. The agent executes actions in the given order.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  cluster.Addr
	Attempt int
	Ms      float64
	BeginMs float64 // of a send: time limit for the first byte to be sent, or nothing is sent; above 0
	Token   uint32
}
