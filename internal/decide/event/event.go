// Package event names what goes into the decisions of an agent and what comes out. Values only; times
// are in ms.
package event

import "molepaddle/internal/decide/cluster"

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	OK            Status = 100
	Error         Status = 301
	Full          Status = 302
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	Moot          Status = 307
	NoConnection  Status = 308 // the way to the server had no room: says nothing of the server
)

// MaxAttemptsWithoutConnection bounds a request's attempts, spread over its aim, that found no way and are not its tries.
const MaxAttemptsWithoutConnection = 32

// NeverRan tells whether the ending proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == Full || s == ConnectFailed || s == Moot || s == NoConnection
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EvRequest      EventKind = iota + 1 // all from Class to Tries
	EvOutcome                           // Request, Attempt, Server, Status, LatencyMs, Final, Report, Tries
	EvStarted                           // Request, Attempt, Server, LatencyMs: a streamed answer began
	EvDropped                           // Request: the client left
	EvList                              // List, Entries, Least
	EvProbed                            // Server, Status, LatencyMs, Report
	EvTimer                             // Token
	EvPeer                              // a message of another agent; carries nothing that is used
	EvBodyComplete                      // Request, Attempt, LeftMs: a body that was Coming is whole
)

// Event is something that happened to one agent.
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
	BodyIncomplete bool // a part of the body has not come; LeftMs reckons with that
	Tries          int  // of a request: those it may have, 0: as set; of an outcome: spent beyond the one
	Attempt        int
	Server         cluster.Addr
	Status         Status
	LatencyMs      float64
	Final          bool // the request is finished
	Report         []float32
	List           cluster.ListKind
	Entries        []cluster.Entry // not changed and not kept by the Balancer
	MinServers     int             // servers to keep to while nothing is wrong; 0: the Balancer's own figure
	Token          uint32
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActSend   ActionKind = iota + 1 // Request, Server, Ms: time-out, BeginMs
	ActCancel                       // Request, Attempt
	ActRefuse                       // Request, Ms: advice
	ActFail                         // Request
	ActProbe                        // Server
	ActTimer                        // Ms, Token
	ActFollow                       // subscribe to the list
	ActFetch                        // ask for the whole list once
	ActClose                        // Server: close idle connections to it
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  cluster.Addr
	Attempt int
	Ms      float64
	BeginMs float64 // of a send: within which its first byte goes out, or none; above 0
	Token   uint32
}
