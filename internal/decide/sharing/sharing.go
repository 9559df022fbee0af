// Package sharing decides about a connection on which several requests are open at once, as FastCGI has it:
// what each record means by what came before, which are taken, what a body may hold whose server is slow,
// and when the connection ends. No I/O, no clock; a Conn belongs to whoever calls it.
package sharing

import "time"

// Limits bound one connection.
type Limits struct {
	Requests int // open at once, at least 1
	Params   int // bytes of one request's params
}

// Verdict is what is to be done with a record.
type Verdict uint8

// The verdicts.
const (
	Ignore     Verdict = iota // nothing: it belongs to no open request
	Begin                     // a request begins
	TakeParams                // its content belongs to the request's params
	Asked                     // the params have come whole
	TakeBody                  // its content belongs to the request's body
	Whole                     // the body has come whole
	Abort                     // the client gives the request up; its end is still owed
	TooMany                   // rejected: OVERLOADED
	BadRole                   // rejected: UNKNOWN_ROLE
	TooLong                   // the params are over their bound: the request is answered so, and what follows of it ignored
	Values                    // values of the application are asked for
	NotKnown                  // a management record of no known type
	Break                     // what follows can't be told apart: the connection ends
)

// Record is what a Conn is told of one.
type Record struct {
	ID        uint16
	Kind      Kind
	Length    int  // of its content, bytes
	Responder bool // of a Beginning: the role is the one that is served
	Keep      bool // of a Beginning: the connection is to stay open
}

// Kind is a record's type, as far as it matters to an application.
type Kind uint8

// The kinds.
const (
	Beginning Kind = iota
	Aborting
	Param
	Input
	Extra  // a stream of a role that is not served
	Asking // for values
	Other  // what only an application sends, or nobody
)

// request is one that is open: it has begun and its end was not sent.
type request struct {
	params  int // bytes of them
	asked   bool
	whole   bool
	aborted bool
	over    bool // answered before it came whole: what comes of it is ignored
}

// Conn is one connection's requests.
type Conn struct {
	limits Limits
	open   map[uint16]*request
	last   bool // it ends when nothing is open
}

// New starts a connection.
func New(l Limits) *Conn { return &Conn{limits: l, open: map[uint16]*request{}} }

// Record says what a record means, and notes it.
func (c *Conn) Record(r Record) Verdict {
	if r.ID == 0 {
		switch r.Kind {
		case Asking:
			return Values
		case Beginning:
			return Break
		}
		return NotKnown
	}
	q := c.open[r.ID]
	if r.Kind == Beginning {
		switch {
		case q != nil:
			return Break // of which of the two is what follows?
		case !r.Responder:
			c.keep(r.Keep)
			return BadRole
		case len(c.open) >= c.limits.Requests:
			c.keep(r.Keep)
			return TooMany
		}
		c.keep(r.Keep)
		c.open[r.ID] = &request{}
		return Begin
	}
	if q == nil || q.over && r.Kind != Aborting {
		return Ignore
	}
	switch r.Kind {
	case Aborting:
		if q.aborted {
			return Ignore
		}
		q.aborted, q.over = true, true
		return Abort
	case Param:
		switch {
		case q.asked:
			return Ignore
		case r.Length == 0:
			q.asked = true
			return Asked
		case q.params+r.Length > c.limits.Params:
			q.over = true
			return TooLong
		}
		q.params += r.Length
		return TakeParams
	case Input:
		switch {
		case q.whole:
			return Ignore
		case r.Length == 0:
			q.whole = true
			return Whole
		}
		return TakeBody
	}
	return Ignore
}

// keep notes whether the connection is to stay. One request that says no has it end when all have.
func (c *Conn) keep(keep bool) { c.last = c.last || !keep }

// Over has what still comes of a request ignored: it has its answer before it came whole.
func (c *Conn) Over(id uint16) {
	if q := c.open[id]; q != nil {
		q.over = true
	}
}

// End notes that a request's end is about to be sent: its id is free. It reports whether it was open.
func (c *Conn) End(id uint16) bool {
	_, open := c.open[id]
	delete(c.open, id)
	return open
}

// Last has the connection end when nothing is open any more.
func (c *Conn) Last() { c.last = true }

// Open is how many requests are open.
func (c *Conn) Open() int { return len(c.open) }

// Ending tells whether the connection is to end now.
func (c *Conn) Ending() bool { return c.last && len(c.open) == 0 }

const (
	// HoldMost is how much of one body is held beside its window, in bytes.
	HoldMost = 256 << 10
	// WaitFor is how long in all one body may keep its connection from being read while others share it, and
	// WaitRate, in bytes a second, what its server has to take of it for more: what is slower gives way.
	WaitFor, WaitRate = 500 * time.Millisecond, 4 << 20
)

// Hold is what becomes of a piece of a body that its window has no room for.
type Hold uint8

// The ways.
const (
	Keep    Hold = iota // hold it beside the window
	Wait                // read nothing more from the connection until there is room
	GiveWay             // end this request, for the others' sake
)

// Body is what HoldOf is told of a body.
type Body struct {
	Held   int           // bytes beside its window
	Came   int64         // bytes of it, what is held included
	Waited time.Duration // with nothing read from the connection, for its sake
	Others int           // requests that share the connection
	Room   bool          // the budget of all bodies has room for the piece
}

// HoldOf says what becomes of a piece of n bytes, and for how long it may be waited with at the most; 0: as
// long as it takes.
func HoldOf(n int, b Body) (Hold, time.Duration) {
	switch {
	case b.Held+n <= HoldMost && b.Room:
		return Keep, 0
	case b.Others == 0:
		return Wait, 0
	}
	passed := max(b.Came-int64(b.Held), 0)
	if left := WaitFor + time.Duration(float64(passed)/WaitRate*float64(time.Second)) - b.Waited; left > 0 {
		return Wait, left
	}
	return GiveWay, 0
}
