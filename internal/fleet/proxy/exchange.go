package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/protocol/transport"
)

// outboundRequest is a client's request as every backend gets it.
type outboundRequest struct {
	id     string
	method string
	target string // as it came
	host   string
	header http.Header // of the client, without what concerns one connection
	body   []byte
}

// Hop is the header fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization", "Content-Length"}

// dropHopByHop takes out what concerns one connection only.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// attemptOptions is what one send adds to a message.
type attemptOptions struct {
	target   string    // id of the backend, the permit's
	deadline time.Time // when the work is of no use any more
	stage    string
	handle   *kvHandle // that is to be taken; nil: none
	lastID   string
	priority int // -1: none
}

// copyHeader words the request for a backend.
func (o *outboundRequest) encode(opts *attemptOptions) []byte {
	b := make([]byte, 0, 768+len(o.body))
	b = append(b, o.method...)
	b = append(b, ' ')
	b = append(b, o.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.host...)
	b = append(b, "\r\n"...)
	line := func(key, value string) {
		b = append(b, key...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	for key, values := range o.header {
		switch key {
		case externalapi.HeaderDeadlineMs, externalapi.HeaderTargetBackend, externalapi.HeaderStage, externalapi.HeaderKVFrom, externalapi.HeaderPriority, "Host":
			continue
		case externalapi.HeaderLastEventID:
			if opts.lastID != "" {
				continue
			}
		}
		for _, v := range values {
			line(key, v)
		}
	}
	line(externalapi.HeaderDeadlineMs, strconv.FormatInt(max(time.Until(opts.deadline).Milliseconds(), 1), 10))
	line(externalapi.HeaderTargetBackend, opts.target)
	if opts.stage != "" {
		line(externalapi.HeaderStage, opts.stage)
	}
	if opts.handle != nil {
		line(externalapi.HeaderKVFrom, opts.handle.permit.Address()+"/"+opts.handle.ref)
	}
	if opts.lastID != "" {
		line(externalapi.HeaderLastEventID, opts.lastID)
	}
	if opts.priority >= 0 {
		line(externalapi.HeaderPriority, strconv.Itoa(min(opts.priority, 9)))
	}
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(o.body)))
	}
	b = append(b, "\r\n"...)
	return append(b, o.body...)
}

// exchange is one send to one backend, and its answer.
type exchange struct {
	ctx       context.Context // the send's: when it ends, whoever reads is woken
	conn      *transport.Lent
	write     *requestWrite
	resp      *http.Response
	stopWatch func() bool
	sentAt    time.Time
	permit    residency.Permit
	tracked   *trackedSend // what the send is known by where its request is enclosed; nil: it is not
}

var (
	errForeignAnswer    = errors.New("the answer belongs to no request of ours")
	errAnswerTimeout    = errors.New("no answer in time")
	errConnect          = errors.New("no connection")
	errIncompleteAnswer = errors.New("the answer is not whole")
)

const (
	// maxSurplus bounds the answers to earlier requests that are read past on a connection, and maxSurplusBody the body of each.
	maxSurplus, maxSurplusBody = 3, 1 << 20
	// maxInterim bounds the 1xx answers ahead of an answer.
	maxInterim = 8
	// maxAnswerHead bounds the head of an answer, with the 1xx answers ahead of it, in bytes.
	maxAnswerHead = 64 << 10
)

// setReadDeadline bounds the reads that follow. A send that has ended stays so: its end may have come between two reads, and a new
// bound would undo what is to wake the next.
func (e *exchange) setReadDeadline(by time.Time) {
	_ = e.conn.SetReadDeadline(by)
	if e.ctx.Err() != nil {
		_ = e.conn.SetReadDeadline(pastDeadline)
	}
}

// startExchange sends the message and reads the head of its answer. wrote tells whether a byte may have gone out: else
// the backend has not run it; a backend may act on a request before it has all of it. When ctx ends the connection is closed under whoever reads from it. The terms of the request
// are checked here again, for the backend and for where a handle lies, and watched until the exchange ends.
func (cr *clientRequest) startExchange(ctx context.Context, permit residency.Permit, out *outboundRequest, opts *attemptOptions, connectDeadline, headerDeadline time.Time) (e *exchange, wrote bool, err error) {
	opts.target = permit.ID()
	ctx, tracked, err := cr.track(ctx, permit, opts)
	if err != nil {
		return nil, false, err
	}
	dial, cancel := context.WithDeadline(ctx, connectDeadline)
	conn, err := cr.lendConn(dial, permit, out)
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
	e = &exchange{ctx: ctx, conn: conn, sentAt: time.Now(), permit: permit, tracked: tracked}
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
	tracked.answered(!saysNotRun(e.resp))
	return e, true, nil
}

// roundTrip sends the request and reads the head of its answer; wrote: a byte of the request may have gone out.
func (e *exchange) roundTrip(out *outboundRequest, opts *attemptOptions, headerDeadline time.Time) (wrote bool, err error) {
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

// receiveHeader reads the head of the answer to the message, past 1xx answers and surplus answers to earlier requests of the
// connection. What can't be told to be the answer to this very message is errForeignAnswer.
func (e *exchange) receiveHeader(out *outboundRequest) error {
	fresh := !e.conn.Reused // nothing but this message was ever sent on the connection
	interim := 0
	e.conn.Bound(maxAnswerHead)
	for surplus := 0; surplus <= maxSurplus; {
		resp, err := http.ReadResponse(e.conn.R, &http.Request{Method: out.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return errForeignAnswer
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
			return errForeignAnswer
		case ownerAmbiguous:
			return errForeignAnswer
		}
		// Of an answer to a HEAD, or to who knows what on a connection that carries one, the end can't be found.
		if resp.Close || out.method == http.MethodHead {
			return errForeignAnswer
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody+1))
		if err != nil || n > maxSurplusBody {
			return errForeignAnswer
		}
		surplus++
		fresh = false
		e.conn.Bound(maxAnswerHead)
	}
	return errForeignAnswer
}

// owner is whose answer one is, by the attempt ids in its head.
type owner int

const (
	ownerThisRequest owner = iota
	ownerOther             // another request's
	ownerUnnamed           // it names none
	ownerAmbiguous         // it names several
)

// ownerOf tells whose answer one is.
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

// finish gives the connection back if the answer was read whole and all of the request has gone out, else closes it.
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

// reusable tells whether another request may follow on the connection. Where a part of this one is still to go out, the
// backend would take the next for that part. A surplus answer to a HEAD has no end that could be found.
func (e *exchange) reusable() bool {
	return !e.resp.Close && e.resp.Request.Method != http.MethodHead && e.write.complete()
}

// abort closes the connection; when it returns no byte of the request goes out any more. broke tells that no answer came.
func (e *exchange) abort(noAnswer bool) {
	e.conn.Drop(noAnswer)
	e.conn = nil
	if e.write != nil {
		e.write.wait()
	}
}

// readAll reads an answer whole, bounded; the connection is given back.
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
