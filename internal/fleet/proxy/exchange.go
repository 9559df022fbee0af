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
	// maxSurplus bounds the responses to earlier requests that are skipped on a connection, and maxSurplusBody the body
	// of each, in bytes.
	maxSurplus     = 3
	maxSurplusBody = 1 << 20
	// maxInterim bounds the 1xx responses ahead of a response.
	maxInterim = 8
	// maxAnswerHead bounds the head of a response, including the 1xx responses ahead of it, in bytes.
	maxAnswerHead = 64 << 10
)

// pastDeadline is a deadline in the past: setting it unblocks pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// exchange is one request to one backend, and its response, on one connection. It belongs to the goroutine that serves
// the client's request; when ctx ends, its blocked reads and writes are interrupted.
type exchange struct {
	ctx       context.Context
	conn      *transport.Lent // nil once it has been returned or closed
	write     *requestWrite
	resp      *http.Response
	stopWatch func() bool // stops watching ctx
	permit    residency.Permit
	tracked   *trackedSend // nil if the request is not bound to regions
}

// setReadDeadline bounds the reads that follow. If ctx has ended the deadline stays in the past: ctx may have ended
// between two reads, and a new deadline would undo the interruption of the next one.
func (e *exchange) setReadDeadline(by time.Time) {
	_ = e.conn.SetReadDeadline(by)
	if e.ctx.Err() != nil {
		_ = e.conn.SetReadDeadline(pastDeadline)
	}
}

// startExchange sends a request to the backend of the permit and reads the head of its response. wrote reports whether
// a byte may have been sent: a backend may act on a request before it has all of it, so that it has certainly not run
// it only if no byte was sent. A connection is awaited until connectDeadline, and the head until headerDeadline; when
// ctx ends, blocked reads are interrupted.
//
// The residency terms are checked here again, for the backend and for the one that holds a KV handle, and are watched
// until the exchange ends: the configuration may have changed since the backend was selected.
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

// roundTrip sends the request and reads the head of its response; wrote: a byte of the request may have been sent.
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

// receiveHeader reads the head of the response to the request. It skips 1xx responses and surplus responses to earlier
// requests of the connection. A response that cannot be proven to belong to this request is errUnrelatedAnswer:
// relaying it would give one client the data of another.
func (e *exchange) receiveHeader(out *outboundRequest) error {
	fresh := !e.conn.Reused // no other request was ever sent on the connection
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
			// An error response without an attempt id belongs to this request only if no other was sent on the
			// connection.
			if fresh && resp.StatusCode >= http.StatusMultipleChoices {
				e.resp = resp
				return nil
			}
			return errUnrelatedAnswer
		case ownerAmbiguous:
			return errUnrelatedAnswer
		}
		// No response follows one that closes the connection. The end of a surplus response cannot be found if this
		// request is a HEAD, as the response is then parsed without a body.
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

// owner classifies which request a response belongs to, by the attempt ids in its head.
type owner int

const (
	// ownerThisRequest is a response to the request that was sent.
	ownerThisRequest owner = iota
	// ownerOther is a response to another request.
	ownerOther
	// ownerUnnamed is a response without an attempt id.
	ownerUnnamed
	// ownerAmbiguous is a response with different attempt ids.
	ownerAmbiguous
)

// ownerOf returns which request a response belongs to, relative to the request with the attempt id.
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

// finish returns the connection to the pool if the response was read completely and the whole request has been sent,
// else closes it. Later calls do nothing.
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

// reusable reports whether another request may follow on the connection. If part of this one has not been sent yet, the
// backend would take the next request for that part. A surplus response to a HEAD has no end that could be found.
func (e *exchange) reusable() bool {
	return !e.resp.Close && e.resp.Request.Method != http.MethodHead && e.write.complete()
}

// abort closes the connection. After it returns, no further byte of the request is sent. noAnswer means that no
// response arrived, which the pool counts against the backend's connections.
func (e *exchange) abort(noAnswer bool) {
	e.conn.Drop(noAnswer)
	e.conn = nil
	if e.write != nil {
		e.write.wait()
	}
}

// readAll reads a response of at most limit bytes completely, and finishes the exchange. The error is
// errResidencyWithdrawn if the exchange was cancelled for that reason, else errIncompleteAnswer with its cause.
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
