package policy

import "molepaddle/internal/decide/event"

// The inputs and outputs of a Balancer; package event documents which fields each kind uses.
type (
	// RequestID identifies one request of a client, retries of the client being new requests; it is never
	// reused.
	RequestID = event.RequestID
	// Status is the result of an attempt or a probe.
	Status = event.Status
	// EventKind is the kind of an Event; it determines which fields are set.
	EventKind = event.EventKind
	// Event is an input of the Balancer: a client request, the end of an attempt, a list update, a timer.
	Event = event.Event
	// ActionKind is the kind of an Action; it determines which fields are set.
	ActionKind = event.ActionKind
	// Action is an operation that the agent carries out, in the order returned.
	Action = event.Action
)

// The statuses, event kinds and action kinds; package event documents each.
const (
	OK, Error, Full, Timeout                        = event.OK, event.Error, event.Full, event.Timeout
	ConnectFailed, Reset, Cancelled                 = event.ConnectFailed, event.Reset, event.Cancelled
	Abandoned, NoConnection, MaxUnconnectedAttempts = event.Moot, event.NoConnection,
		event.MaxAttemptsWithoutConnection

	EvRequest, EvOutcome, EvStarted = event.EvRequest, event.EvOutcome, event.EvStarted
	EvDropped, EvList, EvProbed     = event.EvDropped, event.EvList, event.EvProbed
	EvTimer, EvPeer, EvBodyComplete = event.EvTimer, event.EvPeer, event.EvBodyComplete

	ActSend, ActCancel, ActRefuse = event.ActSend, event.ActCancel, event.ActRefuse
	ActFail, ActProbe, ActTimer   = event.ActFail, event.ActProbe, event.ActTimer
	ActFollow, ActFetch, ActClose = event.ActFollow, event.ActFetch, event.ActClose
)
