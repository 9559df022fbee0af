package core

import (
	"time"

	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/window"
	"molepaddle/policy"
)

// MaxBody is the maximum size, in bytes, of a request or answer body that is buffered. A longer body is
// streamed through a window.Pipe, if front end and transport support it, and has at most window.Most bytes.
const MaxBody = window.Short

// Message is the part of a request that is forwarded to a server unchanged, independent of the
// protocols of front end and transport.
type Message struct {
	Method         string
	Target         string // path and query as received
	Host           string
	ContentType    string // empty: none
	IdempotencyKey string // empty: none
	Body           []byte // at most MaxBody bytes; with a Stream, the first part of the body
	// Stream is the part of the body after Body, which is still being received; nil: none. Length is then
	// the length of the complete body, -1 if unknown. With a Stream, the request's TimeAfterBody must be set.
	Stream *window.Pipe
	Length int64
}

// Request is one request of a client. A front end sets the exported fields and passes it to Do
// or Take once. It must not change or reuse the request or its body afterwards, since attempts
// may use them for an unknown time.
type Request struct {
	ID       string    // set by the client, new for every request; forwarded to the server
	Class    int       // index into the settings' classes
	Tenant   int       // index into the settings' tenants; -1: none
	Key      uint64    // affinity key; 0: none
	HintMs   float64   // expected work, ms
	HasHint  bool      // HintMs is set
	Retry    bool      // the client has sent the same request before
	Deadline time.Time // when the client stops waiting
	Message  Message
	// TimeAfterBody is how long the client waits after the last byte of a body that has a Stream. Deadline
	// then allows for the longest time that the body may take.
	TimeAfterBody time.Duration

	// Set for requests received over a link; all may be zero.
	MaxAttempts  int         // limit of attempts; 0: as the settings say
	BeginBy      time.Time   // latest start of an attempt; zero: none
	Gate         func() bool // called before the first byte of each attempt; false: the attempt must not begin
	Deduplicated bool        // the caller detects duplicates, so the core does not check the id

	// The fields below are owned by the core's goroutine.
	reply         func(Answer)   // receives the final answer; must not block
	buffered      bool           // the answer must not be streamed
	bodyComplete  chan time.Time // receives the deadline for Do's guard once the body is complete
	id            policy.RequestID
	answered      bool
	dropped       bool // reply is to be called with ClientGone once no attempt is in flight
	mayHaveRun    bool // an attempt may have run
	extraAttempts int  // further attempts made by gateways
	attemptLimit  int  // by the settings at its arrival and MaxAttempts
	attempts      []*Attempt
	inFlight      int // attempts in flight
	timing        requestTiming
}

// hasStartedAttempt reports whether an attempt is in flight of which a byte may have been written.
func (r *Request) hasStartedAttempt() bool {
	for _, a := range r.attempts {
		if !a.ended && a.stage.Load() == sending {
			return true
		}
	}
	return false
}

// spentAttempts returns the number of further attempts to report to the Decider: spent, or the limit of
// attempts once a part of the body was consumed, since the request can't be sent again.
func (r *Request) spentAttempts(spent int) int {
	if r.Message.Stream != nil && r.Message.Stream.Taken() {
		return max(spent, r.attemptLimit)
	}
	return spent
}

// Outcome is the result of a request.
type Outcome uint8

// The outcomes.
const (
	Failed           Outcome = iota // the request may have run
	Served                          // Body, Stream and ContentType are from a server
	Refused                         // the client may safely retry, after RetryAfter
	Duplicate                       // rejected: the id was used before
	DeadlineExceeded                // the deadline has passed; the request may have run
	ClientGone                      // the client has disconnected
)

// Answer is the final answer to a request.
type Answer struct {
	Outcome Outcome
	Body    []byte
	Stream  *window.Pipe // the body after Body if Served, nil: none; the receiver must call Leave when done
	// Length is the length of the complete body, -1 if unknown. It is set if Served, with a Stream or for the
	// method HEAD.
	Length      int64
	ContentType string
	RetryAfter  time.Duration // 0: none
	Ran         bool          // an attempt may have run
	Attempts    int           // attempts made
}

// Classes returns the classes of requests by number.
func (c *Core) Classes() []settings.Class { return *c.classes.Load() }
