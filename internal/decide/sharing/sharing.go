// Package sharing decides about a connection that multiplexes several requests, as FastCGI allows:
// what each record means given the records before it, which requests are accepted, how much of a body
// is buffered whose server is slow, and when the connection is closed.
//
// It has no I/O, no clock and no locks: a Conn is called by one goroutine at a time.
package sharing

import "time"

// Limits bounds one connection.
type Limits struct {
	Requests int // open at once, at least 1
	Params   int // bytes of the params of one request
}

// Action is what the caller does with a record.
type Action uint8

// The values of Action.
const (
	Ignore           Action = iota // nothing: no open request awaits the record
	Begin                          // start a request
	AppendParams                   // append the content to the params of the request
	ParamsComplete                 // the params are complete
	AppendBody                     // append the content to the body of the request
	BodyComplete                   // the body is complete
	Abort                          // the client aborts the request; its FCGI_END_REQUEST must still be sent
	RejectOverloaded               // reject with FCGI_OVERLOADED
	RejectRole                     // reject with FCGI_UNKNOWN_ROLE
	ParamsTooLong                  // the params exceed Limits.Params: answer with an error, ignore further input
	ReplyValues                    // answer FCGI_GET_VALUES
	ReplyUnknownType               // answer a record with id 0 that is neither FCGI_GET_VALUES nor FCGI_BEGIN_REQUEST
	CloseConnection                // the records that follow are ambiguous: close the connection
)

// Record describes one record that was received.
type Record struct {
	ID        uint16
	Kind      Kind
	Length    int  // of its content, in bytes
	Responder bool // for BeginRequest: the role is Responder, the only one served
	KeepConn  bool // for BeginRequest: the client sets FCGI_KEEP_CONN
}

// Kind is the type of a record, as far as an application distinguishes them.
type Kind uint8

// The values of Kind.
const (
	BeginRequest Kind = iota
	AbortRequest
	ParamsStream
	StdinStream
	ExtraStream // a stream of a role that is not served
	ValuesQuery // FCGI_GET_VALUES
	Other       // a type that only applications send, or an unknown one
)

// request is an open request: it has begun and its end has not been sent.
type request struct {
	paramBytes     int // received so far
	paramsComplete bool
	bodyComplete   bool
	aborted        bool
	answered       bool // answered before it was complete: further input is ignored
}

// Conn tracks the open requests of one connection.
type Conn struct {
	limits        Limits
	open          map[uint16]*request
	closeWhenIdle bool // close once no request is open
}

// New returns a Conn without open requests.
func New(l Limits) *Conn { return &Conn{limits: l, open: map[uint16]*request{}} }

// Record updates the state by a received record and returns what to do with it.
func (c *Conn) Record(r Record) Action {
	if r.ID == 0 {
		switch r.Kind {
		case ValuesQuery:
			return ReplyValues
		case BeginRequest:
			return CloseConnection
		}
		return ReplyUnknownType
	}
	if r.Kind == BeginRequest {
		return c.begin(r)
	}
	q := c.open[r.ID]
	if q == nil || q.answered && r.Kind != AbortRequest {
		return Ignore
	}
	switch r.Kind {
	case AbortRequest:
		if q.aborted {
			return Ignore
		}
		q.aborted, q.answered = true, true
		return Abort
	case ParamsStream:
		switch {
		case q.paramsComplete:
			return Ignore
		case r.Length == 0:
			q.paramsComplete = true
			return ParamsComplete
		case q.paramBytes+r.Length > c.limits.Params:
			q.answered = true
			return ParamsTooLong
		}
		q.paramBytes += r.Length
		return AppendParams
	case StdinStream:
		switch {
		case q.bodyComplete:
			return Ignore
		case r.Length == 0:
			q.bodyComplete = true
			return BodyComplete
		}
		return AppendBody
	}
	return Ignore
}

// begin updates the state by a received record that begins a request and returns what to do with it.
func (c *Conn) begin(r Record) Action {
	if c.open[r.ID] != nil {
		return CloseConnection // the following records could belong to either request
	}
	c.keepConn(r.KeepConn)
	switch {
	case !r.Responder:
		return RejectRole
	case len(c.open) >= c.limits.Requests:
		return RejectOverloaded
	}
	c.open[r.ID] = &request{}
	return Begin
}

// keepConn records whether a request lets the connection stay open. If one does not, the
// connection is closed once all requests have ended.
func (c *Conn) keepConn(keepConn bool) { c.closeWhenIdle = c.closeWhenIdle || !keepConn }

// DiscardInput makes further input of a request be ignored: it was answered before it was complete.
func (c *Conn) DiscardInput(id uint16) {
	if q := c.open[id]; q != nil {
		q.answered = true
	}
}

// End frees the id of a request whose end is about to be sent, and reports whether it was open.
func (c *Conn) End(id uint16) bool {
	_, open := c.open[id]
	delete(c.open, id)
	return open
}

// CloseWhenIdle makes the connection close once no request is open.
func (c *Conn) CloseWhenIdle() { c.closeWhenIdle = true }

// Open returns the number of open requests.
func (c *Conn) Open() int { return len(c.open) }

// ShouldClose reports whether the connection must be closed now.
func (c *Conn) ShouldClose() bool { return c.closeWhenIdle && len(c.open) == 0 }

const (
	// MaxBuffered is how much of one body is buffered beyond its window, in bytes.
	MaxBuffered = 256 << 10
	// MaxPause is how long in total one body may pause reading from a connection that other requests
	// share, in addition to the time that the bytes already passed to its server take at MinDrainRate,
	// in bytes per second. After that its request is terminated.
	MaxPause, MinDrainRate = 500 * time.Millisecond, 4 << 20
)

// Backpressure is what happens to a chunk of a body that does not fit into its window.
type Backpressure uint8

// The values of Backpressure.
const (
	Buffer    Backpressure = iota // buffer it beyond the window
	Pause                         // stop reading from the connection until the window has room
	Terminate                     // end this request, so that the others can continue
)

// Body describes a body whose window is full.
type Body struct {
	Buffered      int           // bytes buffered beyond its window
	Received      int64         // bytes received, buffered ones included
	Paused        time.Duration // total time that reading was paused because of it
	OtherRequests int           // open requests that share the connection
	HasBudget     bool          // the memory budget of all bodies has room for the chunk
}

// BackpressureFor returns what to do with a chunk of n bytes, and for Pause the maximum time to wait;
// 0: no limit.
func BackpressureFor(n int, b Body) (Backpressure, time.Duration) {
	switch {
	case b.Buffered+n <= MaxBuffered && b.HasBudget:
		return Buffer, 0
	case b.OtherRequests == 0:
		return Pause, 0
	}
	passed := max(b.Received-int64(b.Buffered), 0)
	if left := MaxPause + time.Duration(float64(passed)/MinDrainRate*float64(time.Second)) - b.Paused; left > 0 {
		return Pause, left
	}
	return Terminate, 0
}
