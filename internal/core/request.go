package core

import (
	"time"

	"molepaddle/policy"
)

// MaxBody bounds the body of a request and of an answer, in bytes: a front end takes no
// more, and a transport counts an answer that is longer as broken.
const MaxBody = 64 << 10

// Message is what goes on to a server unchanged, whatever protocol brought it and
// whatever carries it on.
type Message struct {
	Method         string
	Target         string // path and query, as they came
	Host           string
	ContentType    string // empty: none
	IdempotencyKey string // empty: none
	Body           []byte // at most MaxBody
}

// Request is one request of a client. A front end fills in the exported fields, hands it
// to Do once, and neither changes it nor the body until nothing of it can be out any
// more, which it can't know: it never uses them again.
type Request struct {
	ID       string // the client's, new with every request; goes on to the server
	Class    int    // index into the settings' classes
	Tenant   int    // index into the settings' tenants; -1: none of them
	Key      uint64 // what the request is about; 0: nothing
	HintMs   float64
	HasHint  bool
	Retry    bool      // the client has asked for the same before
	Deadline time.Time // when the client stops waiting
	Message  Message

	// What stands below belongs to the core's goroutine.
	answers  chan Answer // room for the one that is sent
	id       policy.RequestID
	answered bool
	attempts []*Attempt
	open     int // attempts out
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	Failed   Outcome = iota // it may have run
	Served                  // Body and ContentType are a server's, whole
	Refused                 // asking again is harmless; RetryAfter says when
	Repeated                // not taken: its id came before
	Overdue                 // its time is up; it may have run
	Gone                    // its client has left: nobody is to be told
)

// Answer is the final answer to a request: there is one for each.
type Answer struct {
	Outcome     Outcome
	Body        []byte
	ContentType string
	RetryAfter  time.Duration // 0: no advice
}
