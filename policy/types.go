// Package policy decides, for one agent, where each request goes: which server, when, for how long,
// whether again, and when to give up. It is a state machine without I/O: events with a clock go in,
// actions come back, in order. A Balancer, or a Ranker, belongs to one goroutine at a time.
package policy

import "molepaddle/internal/decide/event"

// What goes in and comes out; package event tells which fields of each count.
type (
	RequestID  = event.RequestID
	Status     = event.Status
	EventKind  = event.EventKind
	Event      = event.Event
	ActionKind = event.ActionKind
	Action     = event.Action
)

// The endings, the events and the actions, as in package event.
const (
	OK, Error, Full, Timeout        = event.OK, event.Error, event.Full, event.Timeout
	ConnectFailed, Reset, Cancelled = event.ConnectFailed, event.Reset, event.Cancelled
	Moot, NoWay, MostTries          = event.Moot, event.NoWay, event.MostTries

	EvRequest, EvOutcome, EvStarted = event.EvRequest, event.EvOutcome, event.EvStarted
	EvDropped, EvList, EvProbed     = event.EvDropped, event.EvList, event.EvProbed
	EvTimer, EvPeer, EvWhole        = event.EvTimer, event.EvPeer, event.EvWhole

	ActSend, ActCancel, ActRefuse = event.ActSend, event.ActCancel, event.ActRefuse
	ActFail, ActProbe, ActTimer   = event.ActFail, event.ActProbe, event.ActTimer
	ActFollow, ActFetch, ActClose = event.ActFollow, event.ActFetch, event.ActClose
)
