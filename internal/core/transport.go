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

// Transport sends attempts to servers. It is used by the core's goroutine only.
type Transport interface {
	// Endpoint returns an endpoint for one process of a listed server; a server without an
	// address has no process. It opens no connection yet. The core uses one endpoint at a
	// time for a server, and retires it when the server is gone, its address changes or its
	// process is new.
	Endpoint(s *cluster.Server) Endpoint
}

// Endpoint is a connection pool to one process of a server. The core's goroutine calls its
// methods, and none of them may block: blocking work belongs into goroutines of the
// transport, such as those started by Attempt.Go.
type Endpoint interface {
	// Start sends the attempt, and ends it by Attempt.End or Attempt.Go exactly once. The
	// connection that an attempt uses is chosen before Start returns, so that attempts
	// get connections in the order of their start. An error means that the attempt can't
	// be sent: nothing of it was written, and the transport no longer uses it.
	Start(a *Attempt) error
	// CloseIdle closes the connections that carry no attempt.
	CloseIdle()
	// Retire closes the idle connections, and the others when their attempts end.
	Retire()
}

// OverloadObserver is implemented by an Endpoint that closes idle connections sooner while its server is
// at its connection limit.
type OverloadObserver interface {
	// Crowded notifies the endpoint that its server is at its connection limit until the given time.
	Crowded(until time.Time)
}

// The stages of an attempt.
const (
	notStarted int32 = iota // no byte was written
	sending                 // a byte may have been written
	withdrawn               // no byte was written, and none will be
)

// Attempt is one send of a request to a server. The core creates it; the transport carries
// it out, and may use it until it has ended it.
//
// A transport writes nothing of the request before Begin has returned true, and nothing at
// all if Begin returns false. It stops when Context ends. Before it ends the attempt, it
// closes the connection or makes sure otherwise that no further byte of the attempt is
// written, because the core may start another attempt at once.
//
// A transport may report that an attempt never ran (Status.NeverRan) only if Begin was not
// called or returned false, if the last byte of the request was not written and never will
// be, or if the server has said so. In any other case it may have run. FailedResult detects
// the first case; its caller reports the second.
type Attempt struct {
	Request      *Request // must not be changed
	AttemptsLeft int      // attempts that the request may still have, including this one
	// OnAbandoned is called in its own goroutine when the client no longer waits for the answer and the attempt,
	// which has begun, is not cancelled: a gateway behind the transport may not have begun it yet. Start may set
	// it; nil: not called.
	OnAbandoned func()

	end           func(Result)
	notify        func(inputKind, *Result) // reports events before the end; nil: not called
	timer         *time.Timer              // of the time-out
	started       time.Time
	answerStarted time.Time // start of a streamed answer; zero: not streamed
	deadline      time.Time
	ctx           context.Context
	cancel        context.CancelCauseFunc
	stage         atomic.Int32
	beginBy       time.Time // latest start; zero: no limit but the context

	// The fields below are owned by the core's goroutine.
	index    int
	backend  *backend
	ended    bool // its result was handled
	ending   loss.Ending
	duration time.Duration
}

// NewAttempt returns an attempt that ends with the context, or after the time-out at the
// latest; end is called once with its result. It is used by the core, and by code that
// uses a transport without a core, such as the transports' tests.
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

// ErrNoSocket means that an attempt never ran because no file descriptor was available, which
// is no fault of the server. Transports wrap it in the error passed to FailedResult.
var ErrNoSocket = errors.New("no socket left for a new connection")

// ErrNoConnection means that an attempt never ran because no connection to its server is available
// at present, which is no sign of a fault of the server.
var ErrNoConnection = errors.New("no connection to the server available")

// startErrorStatus returns the status of an attempt that could not begin because of err.
func startErrorStatus(err error) policy.Status {
	switch {
	case errors.Is(err, ErrNoConnection):
		return policy.NoConnection
	case errors.Is(err, ErrNoSocket):
		return policy.Full // does not demote the server
	}
	return policy.ConnectFailed
}

// The causes with which the contexts of attempts are cancelled.
var (
	// ErrCancelled is the cause if the request is over or the Decider cancelled the attempt.
	ErrCancelled = errors.New("attempt cancelled")
	// ErrDrained is the cause if the server is no longer usable.
	ErrDrained = errors.New("server is draining or gone")

	errBeginTimeout = errors.New("attempt did not begin in time")
)

// Context returns a context that ends with the attempt: at its time-out, when it is cancelled
// or when the agent ends; its cause tells these apart. The context has no deadline of its own.
func (a *Attempt) Context() context.Context { return a.ctx }

// Deadline returns the time at which the agent stops waiting for the attempt.
func (a *Attempt) Deadline() time.Time { return a.deadline }

// Begin must be called before the first byte is written; if it returns false, no byte may be
// written. It enforces the latest start of the attempt, such as the end of a retry's idempotency
// window, however long connecting took. The request's Gate may block: until it returns, the
// attempt can be withdrawn and its time to begin can run out.
func (a *Attempt) Begin() bool {
	if g := a.Request.Gate; a.pastBeginBy() || g != nil && (a.stage.Load() != notStarted || !g() || a.pastBeginBy()) {
		a.Withdraw(errBeginTimeout)
		return false
	}
	return a.stage.CompareAndSwap(notStarted, sending)
}

// pastBeginBy reports whether the latest start of the attempt has passed.
func (a *Attempt) pastBeginBy() bool { return !a.beginBy.IsZero() && !time.Now().Before(a.beginBy) }

// ServerTimeout returns the time-out to send to the server: the time left less back, the time that its
// answer takes to return. It returns false if too little time is left; the attempt is then withdrawn,
// unless it has begun, and nothing may be written.
func (a *Attempt) ServerTimeout(back time.Duration) (time.Duration, bool) {
	left, ok := budget.NextHop(time.Until(a.deadline), back)
	if !ok {
		a.Withdraw(errBeginTimeout)
	}
	return left, ok
}

// BeginBy returns the latest start of the attempt; zero: no limit but the context.
func (a *Attempt) BeginBy() time.Time { return a.beginBy }

// Withdraw cancels an attempt of which no byte was written, with the given cause, and reports
// whether it did. It has no effect on an attempt that has begun or was withdrawn before.
func (a *Attempt) Withdraw(cause error) bool {
	if !a.stage.CompareAndSwap(notStarted, withdrawn) {
		return false
	}
	a.cancel(cause)
	return true
}

// Cancel cancels the attempt's context with the given cause, whether or not the attempt has begun.
func (a *Attempt) Cancel(cause error) { a.cancel(cause) }

// BodyComplete must be called when the last byte of a request whose body has a Stream was written. The
// server's work and the client's time (Request.TimeAfterBody) begin then.
func (a *Attempt) BodyComplete() {
	a.started = time.Now()
	a.deadline = a.started.Add(a.Request.TimeAfterBody)
	if a.notify != nil {
		a.notify(inBodyComplete, nil)
	}
}

// CanStream reports whether the answer may be streamed. If not, only a complete answer is accepted.
func (a *Attempt) CanStream() bool { return a.notify != nil && !a.Request.buffered }

// StartStream passes on the beginning of a streamed answer; CanStream must be true. The transport then writes
// to the Stream of res, and ends the attempt when the answer is complete or has failed. The attempt has no
// time-out from now on.
func (a *Attempt) StartStream(res Result) {
	a.answerStarted = time.Now()
	a.timer.Stop()
	a.notify(inStarted, &res)
}

// Go runs carry in a new goroutine and ends the attempt with its result. A panic in carry is
// recovered, so that it does not end the process: an attempt that had begun may have run.
func (a *Attempt) Go(carry func() Result) {
	go func() {
		var res Result
		defer func() {
			if p := recover(); p != nil {
				res = a.FailedResult(nil, false)
				res.panicked = fmt.Errorf("panic in an attempt: %v\n%s", p, debug.Stack())
			}
			a.End(res)
		}()
		res = carry()
	}()
}

// End reports the result of the attempt to the core. It must be called exactly once.
func (a *Attempt) End(res Result) {
	a.cancel(nil)
	if res.duration = time.Since(a.started); !a.answerStarted.IsZero() {
		res.duration = a.answerStarted.Sub(a.started)
	}
	a.end(res)
}

// FailedResult returns the result of an attempt that got no complete answer because of err. incomplete
// means that a part of the request was not written and never will be.
func (a *Attempt) FailedResult(err error, incomplete bool) Result {
	never := a.stage.CompareAndSwap(notStarted, withdrawn) || a.stage.Load() == withdrawn
	cause := context.Cause(a.ctx)
	status := policy.Reset
	switch {
	case never && errors.Is(cause, errBeginTimeout):
		status = policy.Abandoned
	case never && errors.Is(cause, ErrDrained):
		status = policy.Full
	case never && startErrorStatus(err) != policy.ConnectFailed:
		status = startErrorStatus(err)
	case errors.Is(cause, ErrCancelled):
		status = policy.Cancelled
	case never || incomplete:
		status = policy.ConnectFailed
	case cause != nil:
		status = policy.Timeout
	}
	return Result{Status: status}
}

// Result is the result of an attempt.
type Result struct {
	Status        policy.Status
	Body          []byte       // if served, the complete body or the part before Stream
	Stream        *window.Pipe // if started by StartStream
	Length        int64        // see Answer.Length
	ContentType   string
	Load          string // the server's load report as received; empty: none
	ExtraAttempts int    // further attempts made by a gateway on the path

	duration time.Duration
	panicked error
}
