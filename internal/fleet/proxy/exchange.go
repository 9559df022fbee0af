package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/protocol/transport"
)

const (
	// maxSurplus bounds the answers to earlier requests that are read past on a connection, and maxSurplusBody the body
	// of each, in bytes.
	maxSurplus     = 3
	maxSurplusBody = 1 << 20
	// maxInterim bounds the 1xx answers ahead of an answer.
	maxInterim = 8
	// maxAnswerHead bounds the head of an answer, with the 1xx answers ahead of it, in bytes.
	maxAnswerHead = 64 << 10
)

// pastDeadline is a deadline that has passed: it wakes who reads or writes.
var pastDeadline = time.Unix(1, 0)

// exchange is one request to one backend, and its response, on one connection. It belongs to the goroutine that serves
// the client's request; when ctx ends, that goroutine is woken from its reads and writes.
type exchange struct {
	ctx       context.Context
	conn      *transport.Lent // nil once it has been given back or closed
	write     *requestWrite
	resp      *http.Response
	stopWatch func() bool // ends the watch over ctx
	permit    residency.Permit
	tracked   *trackedSend // nil where the request may go to any region
}

// setReadDeadline bounds the reads that follow. A send that has ended stays so: its end may have come between two
// reads, and a new bound would undo what is to wake the next.
func (e *exchange) setReadDeadline(by time.Time) {
	_ = e.conn.SetReadDeadline(by)
	if e.ctx.Err() != nil {
		_ = e.conn.SetReadDeadline(pastDeadline)
	}
}

// startExchange sends a request to the backend of the permit and reads the head of its answer. wrote reports whether a
// byte may have gone out: a backend may act on a request before it has all of it, and has not run it only where none
// went. The connection is looked for until connectDeadline, the head waited for until headerDeadline; when ctx ends,
// whoever reads from the connection is woken.
//
// The residency terms are checked here again, for the backend and for the one that holds a KV handle, and are watched
// until the exchange ends: between the choice of the backend and now the configuration may have changed.
func (cr *clientRequest) startExchange(
	ctx context.Context,
	permit residency.Permit,
	out *outboundRequest,
	opts *attemptOptions,
	connectDeadline, headerDeadline time.Time,
) (e *exchange, wrote bool, err error) {
	opts.target = permit.ID()
	ctx, tracked, err := cr.track(ctx, permit, opts)
	if err != nil {
		return nil, false, err
	}
	dial, cancel := context.WithDeadline(ctx, connectDeadline)
	conn, err := cr.acquireConn(dial, permit, out)
	cancel()
	if err != nil {
		tracked.end(false)
		if ctx.Err() != nil {
			return nil, false, ctx.Err()
		}
		if errors.Is(err, residency.ErrOutside) {
			return nil, false, err
		}
		return nil, false, errors.Wrap(errors.Join(errConnect, err), "connect")
	}
	e = &exchange{
		ctx:     ctx,
		conn:    conn,
		permit:  permit,
		tracked: tracked,
	}
	e.stopWatch = context.AfterFunc(ctx, func() { _ = conn.Conn.SetDeadline(pastDeadline) })
	if wrote, err = e.roundTrip(out, opts, headerDeadline); err != nil {
		e.stopWatch()
		e.abort(true)
		tracked.end(wrote)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, wrote, err
	}
	tracked.answered(!reportsNotRun(e.resp))
	return e, true, nil
}

// roundTrip sends the request and reads the head of its answer; wrote: a byte of the request may have gone out.
func (e *exchange) roundTrip(
	out *outboundRequest,
	opts *attemptOptions,
	headerDeadline time.Time,
) (wrote bool, err error) {
	if err := e.conn.SetDeadline(headerDeadline); err != nil {
		return false, err
	}
	if e.ctx.Err() != nil {
		return false, e.ctx.Err()
	}
	e.write = sendRequest(e.ctx, e.conn, out.encode(opts))
	if wrote, err := e.write.failed(); err != nil {
		return wrote, errors.Wrap(err, "send")
	}
	if err := e.receiveHeader(out); err != nil {
		if isTimeout(err) && e.ctx.Err() == nil {
			err = errAnswerTimeout
		}
		_ = e.conn.SetDeadline(pastDeadline)
		return e.write.wait() > 0, errors.Wrap(err, "answer")
	}
	return true, nil
}

// receiveHeader reads the head of the answer to the request, past 1xx answers and surplus answers to earlier
// requests of the connection. What can't be shown to be the answer to this very request is errForeignAnswer: passed
// on, it would give one client the data of another.
func (e *exchange) receiveHeader(out *outboundRequest) error {
	fresh := !e.conn.Reused // nothing but this request was ever sent on the connection
	interim := 0
	e.conn.Bound(maxAnswerHead)
	for surplus := 0; surplus <= maxSurplus; {
		resp, err := http.ReadResponse(e.conn.R, &http.Request{Method: out.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return errUnrelatedAnswer
			}
			continue
		}
		e.conn.Bound(math.MaxInt)
		switch ownerOf(resp, out.id) {
		case ownerThisRequest:
			e.resp = resp
			return nil
		case ownerUnnamed:
			// A failure that names no request is ours only where there is no other that it could be for.
			if fresh && resp.StatusCode >= http.StatusMultipleChoices {
				e.resp = resp
				return nil
			}
			return errUnrelatedAnswer
		case ownerAmbiguous:
			return errUnrelatedAnswer
		}
		// Of an answer to a HEAD, or to who knows what on a connection that carries one, the end can't be found.
		if resp.Close || out.method == http.MethodHead {
			return errUnrelatedAnswer
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody+1))
		if err != nil || n > maxSurplusBody {
			return errUnrelatedAnswer
		}
		surplus++
		fresh = false
		e.conn.Bound(maxAnswerHead)
	}
	return errUnrelatedAnswer
}

// owner is which request an answer belongs to, by the attempt ids in its head.
type owner int

const (
	// ownerThisRequest is an answer to the request that was sent.
	ownerThisRequest owner = iota
	// ownerOther is an answer to another request.
	ownerOther
	// ownerUnnamed is an answer that names no request.
	ownerUnnamed
	// ownerAmbiguous is an answer that names several requests.
	ownerAmbiguous
)

// ownerOf returns which request an answer belongs to, seen from the request with the attempt id.
func ownerOf(resp *http.Response, id string) owner {
	ids := resp.Header[externalapi.HeaderAttemptID]
	if len(ids) == 0 {
		return ownerUnnamed
	}
	for _, one := range ids[1:] {
		if one != ids[0] {
			return ownerAmbiguous
		}
	}
	if ids[0] != id {
		return ownerOther
	}
	return ownerThisRequest
}

// finish gives the connection back if the answer was read completely and all of the request has gone out, else closes
// it. Later calls do nothing.
func (e *exchange) finish(complete bool) {
	if e.conn == nil {
		return
	}
	stopped := e.stopWatch()
	if complete && stopped && e.reusable() {
		e.conn.Return()
		e.conn = nil
	} else {
		e.abort(false)
	}
	e.tracked.end(true)
}

// reusable reports whether another request may follow on the connection. Where a part of this one is still to go out,
// the backend would take the next for that part. A surplus answer to a HEAD has no end that could be found.
func (e *exchange) reusable() bool {
	return !e.resp.Close && e.resp.Request.Method != http.MethodHead && e.write.complete()
}

// abort closes the connection; when it returns, no byte of the request goes out any more. noAnswer says that no answer
// came, which the pool counts against the backend's connections.
func (e *exchange) abort(noAnswer bool) {
	e.conn.Drop(noAnswer)
	e.conn = nil
	if e.write != nil {
		e.write.wait()
	}
}

// readAll reads an answer completely, of at most limit bytes, and finishes the exchange. The error is
// errResidencyWithdrawn where the exchange was cancelled for that, else errIncompleteAnswer with its cause.
func (e *exchange) readAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(e.resp.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errors.Errorf("answer over %d bytes", limit)
	}
	withdrawn := e.tracked.withdrawn()
	e.finish(err == nil)
	if err != nil && withdrawn != nil {
		return nil, withdrawn
	}
	if err != nil {
		return nil, errors.Wrap(errors.Join(errIncompleteAnswer, err), "answer")
	}
	return b, nil
}
