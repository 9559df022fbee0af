package core

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/loss"
	"molepaddle/internal/protocol/window"
	"molepaddle/policy"
)

// Transport carries attempts to servers. It is used by the core's goroutine only.
type Transport interface {
	// Endpoint is one process of a server, as the list has it; with no address, it is of none.
	// It opens nothing yet. The core has one at a time for a server, and retires it when
	// the server is gone, has another address or is a new process.
	Endpoint(s *cluster.Server) Endpoint
}

// Endpoint is the way to one process of a server, with the connections that are kept to
// it. The core's goroutine calls its methods, and none of them may block: what waits goes
// into goroutines of the transport, such as Attempt.Go starts.
type Endpoint interface {
	// Start carries the attempt, and ends it by Attempt.End or Go exactly once. What of
	// its connections an attempt uses is settled before Start returns, so that attempts
	// started one after the other find them in that order. An error means that it can't
	// be carried: nothing of it goes out, and the transport is done with it.
	Start(a *Attempt) error
	// CloseIdle closes the connections that carry no attempt.
	CloseIdle()
	// Retire does the same, and closes the others when their attempts end.
	Retire()
}

// Crowder is an Endpoint that can be told that its server has more connections than it takes:
// for so long, those that stand idle are given back sooner.
type Crowder interface {
	Crowded(until time.Time)
}

// The stages of an attempt.
const (
	waiting int32 = iota // no byte was written
	sending              // a byte may have been written
	over                 // withdrawn before a byte was written: none will be
)

// Attempt is one send of a request to a server. The core makes it; the transport carries
// it, and may use it until it has ended it.
//
// What a transport owes: it writes nothing of the request before Begin has said true, and
// nothing at all if it says false. It stops when the Context ends, and before it ends the
// attempt the connection is closed or otherwise such that no byte of the attempt follows:
// the core may start another at once.
//
// When it may say that an attempt never ran (Status.NeverRan): where Begin was not asked
// or said false, where the last byte of the request was not written and can't be any
// more, or where the server has said so. In doubt it may have run. Broken tells the first
// two apart from the rest.
type Attempt struct {
	Request *Request // not to be changed
	Left    int      // attempts that the request may still have, this one included
	// Unwanted is called, in a goroutine of its own, when nobody waits for the answer any more and
	// the attempt, which has begun, is let run: what the transport has handed on may not have begun
	// there. Start may set it; nil: there is no such place.
	Unwanted func()

	end      func(Result)
	tell     func(inKind, *Result) // what comes before the end; nil: nobody is told
	timer    *time.Timer           // of the time-out
	started  time.Time
	first    time.Time // when its answer began; zero: it is not passed on
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	stage    atomic.Int32
	lapses   time.Time // when it may no longer begin; zero: while the context lasts

	// What stands below belongs to the core's goroutine.
	index   int
	backend *backend
	ended   bool // its outcome was taken
	how     loss.How
	took    time.Duration
}

// NewAttempt makes an attempt that ends with the context or, at the latest, after the
// time-out; end is told how, once. The core makes its attempts so, and so may whoever
// drives a transport without a core, as its tests do.
func NewAttempt(ctx context.Context, r *Request, timeout time.Duration, end func(Result)) *Attempt {
	a := &Attempt{Request: r, end: end, started: time.Now()}
	a.deadline = a.started.Add(timeout)
	var cancel context.CancelCauseFunc
	a.ctx, cancel = context.WithCancelCause(ctx)
	a.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	a.cancel = func(cause error) {
		a.timer.Stop()
		cancel(cause)
	}
	return a
}

// ErrNoSocket is why an attempt never ran for want of a descriptor: its server is not to
// blame. Transports wrap it in what they hand to Broken.
var ErrNoSocket = errors.New("no socket left for a new connection")

// ErrNoWay is why an attempt never ran where the way to its server is closed for now, which
// says nothing of the server.
var ErrNoWay = errors.New("no way to the server for now")

// neverRan is how an attempt ended that could not begin because of err.
func neverRan(err error) policy.Status {
	switch {
	case errors.Is(err, ErrNoWay):
		return policy.NoWay
	case errors.Is(err, ErrNoSocket):
		return policy.Full // its server is not to blame
	}
	return policy.ConnectFailed
}

// Why attempts are given up, as the cause of their contexts' end.
var (
	ErrCancelled = errors.New("attempt cancelled")
	ErrDrained   = errors.New("server drains or is gone")

	errLapsed = errors.New("the time to begin in is over")
)

// Context ends when the attempt is over: at its time-out, when it is cancelled or when
// the agent ends. Its cause tells which; it carries no deadline of its own.
func (a *Attempt) Context() context.Context { return a.ctx }

// Deadline is when the agent stops waiting for the attempt.
func (a *Attempt) Deadline() time.Time { return a.deadline }

// Begin is asked before the first byte is written; false means that none may be. A keyed
// repeat may begin within the window of its key only, however long connecting took. The request's Gate may take
// its time: until it has spoken the attempt can still be withdrawn, and its time to begin in goes on.
func (a *Attempt) Begin() bool {
	if g := a.Request.Gate; a.late() || g != nil && (a.stage.Load() != waiting || !g() || a.late()) {
		a.Withdraw(errLapsed)
		return false
	}
	return a.stage.CompareAndSwap(waiting, sending)
}

// late tells whether the time to begin in is over.
func (a *Attempt) late() bool { return !a.lapses.IsZero() && !time.Now().Before(a.lapses) }

// Tell is what the server is to be told of the time that is left, where its answer takes so long
// back. False means that it is too little for anything: then the attempt is withdrawn, unless it had
// begun, and nothing may be written.
func (a *Attempt) Tell(back time.Duration) (time.Duration, bool) {
	left, ok := budget.NextHop(time.Until(a.deadline), back)
	if !ok {
		a.Withdraw(errLapsed)
	}
	return left, ok
}

// BeginBy is the last moment for Begin; zero: while the context lasts.
func (a *Attempt) BeginBy() time.Time { return a.lapses }

// Withdraw stops an attempt of which no byte went out, for the cause given, and reports
// whether it did: one that had begun or was stopped before it leaves alone.
func (a *Attempt) Withdraw(cause error) bool {
	if !a.stage.CompareAndSwap(waiting, over) {
		return false
	}
	a.cancel(cause)
	return true
}

// Cancel ends the attempt's context for the cause given, whatever has gone out.
func (a *Attempt) Cancel(cause error) { a.cancel(cause) }

// BodyComplete is called when the last byte of a request whose body has a Rest was written: the server
// begins, and the time that the client waits.
func (a *Attempt) BodyComplete() {
	a.started = time.Now()
	a.deadline = a.started.Add(a.Request.Left)
	if a.tell != nil {
		a.tell(inWhole, nil)
	}
}

// Passes tells whether an answer may be passed on as it comes. Else it is taken whole or not at all.
func (a *Attempt) Passes() bool { return a.tell != nil && !a.Request.held }

// Begun hands on an answer that Passes: the Rest of res is written to after that, and the attempt ends
// when all of it was, or can't be. There is no time-out from now on.
func (a *Attempt) Begun(res Result) {
	a.first = time.Now()
	a.timer.Stop()
	a.tell(inStarted, &res)
}

// Go carries the attempt in a goroutine of its own and ends it with what it returns. A
// panic must not end the process with all that it holds: what had begun may have run.
func (a *Attempt) Go(carry func() Result) {
	go func() {
		var res Result
		defer func() {
			if p := recover(); p != nil {
				res = a.Broken(nil, false)
				res.panicked = fmt.Errorf("panic in an attempt: %v\n%s", p, debug.Stack())
			}
			a.End(res)
		}()
		res = carry()
	}()
}

// End tells the core how the attempt ended. It is called once.
func (a *Attempt) End(res Result) {
	a.cancel(nil)
	if res.took = time.Since(a.started); !a.first.IsZero() {
		res.took = a.first.Sub(a.started)
	}
	a.end(res)
}

// Broken is the result of an attempt that got no whole answer, because of err. cut says
// that a part of the request was not written and can't be any more.
func (a *Attempt) Broken(err error, cut bool) Result {
	never := a.stage.CompareAndSwap(waiting, over) || a.stage.Load() == over
	cause := context.Cause(a.ctx)
	status := policy.Reset
	switch {
	case never && errors.Is(cause, errLapsed):
		status = policy.Moot
	case never && errors.Is(cause, ErrDrained):
		status = policy.Full
	case never && neverRan(err) != policy.ConnectFailed:
		status = neverRan(err)
	case errors.Is(cause, ErrCancelled):
		status = policy.Cancelled
	case never || cut:
		status = policy.ConnectFailed
	case cause != nil:
		status = policy.Timeout
	}
	return Result{Status: status}
}

// Result is how an attempt ended.
type Result struct {
	Status      policy.Status
	Body        []byte       // of a served one, whole, or what comes before Rest
	Rest        *window.Pipe // of one that has Begun
	Length      int64        // as Answer has it
	ContentType string
	Load        string // the server's load report, as it came; empty: none
	Spent       int    // attempts that were made for it beyond the one, by a gateway it went through

	took     time.Duration
	panicked error
}
