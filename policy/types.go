package policy

import "molepaddle/internal/decide/event"

// What goes in and comes out; package event says which fields of each count.
type (
	// RequestID names one try of a client; an id is never used twice.
	RequestID = event.RequestID
	// Status is how an attempt or a probe ended.
	Status = event.Status
	// EventKind says which fields of an Event count.
	EventKind = event.EventKind
	// Event is something that happened to one agent.
	Event = event.Event
	// ActionKind says which fields of an Action count.
	ActionKind = event.ActionKind
	// Action is something that the agent is to do, in the order given.
	Action = event.Action
)

// The statuses, the kinds of events and those of actions; package event documents each.
const (
	OK, Error, Full, Timeout        = event.OK, event.Error, event.Full, event.Timeout
	ConnectFailed, Reset, Cancelled = event.ConnectFailed, event.Reset, event.Cancelled
	Moot, NoWay, MostTries          = event.Moot, event.NoConnection, event.MaxAttemptsWithoutConnection

	EvRequest, EvOutcome, EvStarted = event.EvRequest, event.EvOutcome, event.EvStarted
	EvDropped, EvList, EvProbed     = event.EvDropped, event.EvList, event.EvProbed
	EvTimer, EvPeer, EvBodyComplete = event.EvTimer, event.EvPeer, event.EvBodyComplete

	ActSend, ActCancel, ActRefuse = event.ActSend, event.ActCancel, event.ActRefuse
	ActFail, ActProbe, ActTimer   = event.ActFail, event.ActProbe, event.ActTimer
	ActFollow, ActFetch, ActClose = event.ActFollow, event.ActFetch, event.ActClose
)
