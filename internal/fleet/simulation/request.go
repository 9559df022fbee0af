package simulation

import (
	"net/http"
	"time"
)

// Kind is the kind of a route, which determines whether a request may run more than once.
type Kind string

// The kinds of routes.
const (
	ReadOnly Kind = "readonly"
	Mutating Kind = "mutating"
	Stream   Kind = "stream"
)

// Request is one attempt of a client.
type Request struct {
	Attempt   string // X-Molepaddle-Attempt-Id; random when empty
	Kind      Kind   // ReadOnly when empty
	Resumable bool   // streams: the route has resumable
	Method    string // POST when empty
	Host      string
	Path      string // with the query
	Body      []byte
	Chunked   bool          // send the body in chunks
	Deadline  time.Duration // X-Molepaddle-Deadline-Ms, and the bound of the attempt; 10 s and no header when 0
	Model     string        // X-Molepaddle-Model; no header when empty
	Tokens    [2]int        // prompt tokens and maximum output tokens; no header when both are 0
	Parts     []Part        // X-Molepaddle-Prompt-Prefix
	LastEvent int           // Last-Event-Id; no header when 0
	Header    http.Header   // further headers
	Key       string        // API key, sent as Authorization: Bearer; no header when empty
	Public    bool          // the route is public in any configuration that may be in force: it needs no key
	// Services are the services to which any configuration that may be in force routes the request. Nil: not judged.
	// Empty, not nil: no service may run it.
	Services []string
	// Regions are the regions in which the request may run, be prefilled and be cached. Nil: any.
	Regions []string
}

// Idempotent reports whether r may run more than once.
func (r Request) Idempotent() bool {
	return r.Kind == ReadOnly || r.Kind == "" || r.Kind == Stream && r.Resumable
}

// Event is one event of a stream as the client received it.
type Event struct {
	ID       int
	Seal     string // seal of the run that generated the event
	Tokens   int
	Versions string // the event's versions line; "" when it had none
	At       time.Time
}

// Result is what a client observed of one request.
type Result struct {
	Request
	BodyHash uint64 // xxhash of Request.Body
	Edge     string
	SentAt   time.Time
	EndedAt  time.Time

	Status     int // 0 when no answer came
	Header     http.Header
	Seal       string
	Answered   string // attempt id in the answer's headers
	AnswerBody []byte
	AnswerHash uint64
	Events     []Event
	Complete   bool // the answer ended in a way that a client accepts as its regular end
	Extra      bool // bytes came after the answer although no request was waiting
	Malformed  bool // the bytes were not a valid answer
	RetryAfter time.Duration
	Closing    bool  // the answer says that the connection closes after it
	Reused     bool  // its connection had carried a request before
	Abandoned  bool  // the client abandoned the request before its deadline
	NotSent    bool  // no connection was made, so that the request was not sent
	Err        error // error that ended the request; nil when Complete
}

// OK reports whether the answer is a complete success: 2xx, with a seal, its own attempt id and all bytes.
func (r Result) OK() bool {
	return r.Status/100 == 2 && r.Seal != "" && r.Answered == r.Attempt && r.Complete && !r.Malformed
}
