package core

import (
	"time"

	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/window"
	"molepaddle/policy"
)

// MaxBody bounds what is held of a body of a request and of an answer, in bytes. What is longer goes
// through a window.Pipe, where front end and transport have one, and is at most window.Most.
const MaxBody = window.Short

// Message is what goes on to a server unchanged, whatever protocol brought it and
// whatever carries it on.
type Message struct {
	Method         string
	Target         string // path and query, as they came
	Host           string
	ContentType    string // empty: none
	IdempotencyKey string // empty: none
	Body           []byte // at most MaxBody; where there is a Rest, the first part
	// Stream is what comes after Body and has not all come yet; nil: nothing. Length is then that of
	// the whole, -1 where it is not known. Whoever fills in a Stream also fills in the request's Left.
	Stream *window.Pipe
	Length int64
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
	// TimeAfterBody is how long the client waits from when the last byte of its body has come, where that has a
	// Rest; Deadline then reckons with the longest that it may take to come.
	TimeAfterBody time.Duration

	// What came over a link brings more with it; all of it may be zero.
	MaxAttempts  int         // attempts it may have at the most; 0: as many as the settings allow
	BeginBy      time.Time   // when the last moment is for an attempt to begin
	Gate         func() bool // asked before the first byte of each attempt; false: none goes out
	Deduplicated bool        // its id may come again: whoever brings it knows repeats by other means

	// What stands below belongs to the core's goroutine.
	reply         func(Answer)   // called once, and does not block
	buffered      bool           // its answer has to be whole
	bodyComplete  chan time.Time // Do's guard: when the time is up, now that all has come
	id            policy.RequestID
	answered      bool
	dropped       bool // reply is owed a Gone when nothing is out any more
	mayHaveRun    bool // an attempt may have run
	extraAttempts int  // attempts that others made for it
	attemptLimit  int  // attempts it may have, by the settings it came under
	attempts      []*Attempt
	inFlight      int // attempts out
	timing        requestTiming
}

// hasStartedAttempt tells whether an attempt is out of which a byte may have been written.
func (r *Request) hasStartedAttempt() bool {
	for _, a := range r.attempts {
		if !a.ended && a.stage.Load() == sending {
			return true
		}
	}
	return false
}

// spentAttempts is what the module is told to have been spent of a request's attempts: all, once a part
// of its body is no longer to be had.
func (r *Request) spentAttempts(spent int) int {
	if r.Message.Stream != nil && r.Message.Stream.Taken() {
		return max(spent, r.attemptLimit)
	}
	return spent
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes.
const (
	Failed           Outcome = iota // it may have run
	Served                          // Body, Rest and ContentType are a server's
	Refused                         // asking again is harmless; RetryAfter says when
	Duplicate                       // not taken: its id came before
	DeadlineExceeded                // its time is up; it may have run
	ClientGone                      // its client has left: nobody is to be told
)

// Answer is the final answer to a request: there is one for each.
type Answer struct {
	Outcome Outcome
	Body    []byte
	Stream  *window.Pipe // of a served one, what comes after Body; whoever takes the answer leaves it at the end
	// Of a served one, where there is a Rest or the method is HEAD: of the whole; -1: not known.
	Length      int64
	ContentType string
	RetryAfter  time.Duration // 0: no advice
	Ran         bool          // an attempt may have run
	Attempts    int           // that were made
}

// Classes are the classes of requests that the core knows, by their numbers.
func (c *Core) Classes() []settings.Class { return *c.classes.Load() }
