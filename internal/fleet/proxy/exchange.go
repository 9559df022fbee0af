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

// message is a client's request as every backend gets it.
type message struct {
	id     string
	method string
	target string // as it came
	host   string
	header http.Header // of the client, without what concerns one connection
	body   []byte
}

// Hop is the header fields that concern one connection only (RFC 9110, 7.6.1).
var hop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization", "Content-Length"}

// dropHop takes out what concerns one connection only.
func dropHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}

// extra is what one send adds to a message.
type extra struct {
	target   string    // id of the backend, the permit's
	until    time.Time // when the work is of no use any more
	stage    string
	handle   *handle // that is to be taken; nil: none
	lastID   string
	priority int // -1: none
}

// head words the request for a backend.
func (m *message) head(x *extra) []byte {
	b := make([]byte, 0, 768+len(m.body))
	b = append(b, m.method...)
	b = append(b, ' ')
	b = append(b, m.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, m.host...)
	b = append(b, "\r\n"...)
	line := func(key, value string) {
		b = append(b, key...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	for key, values := range m.header {
		switch key {
		case externalapi.HeaderDeadlineMs, externalapi.HeaderTargetBackend, externalapi.HeaderStage, externalapi.HeaderKVFrom, externalapi.HeaderPriority, "Host":
			continue
		case externalapi.HeaderLastEventID:
			if x.lastID != "" {
				continue
			}
		}
		for _, v := range values {
			line(key, v)
		}
	}
	line(externalapi.HeaderDeadlineMs, strconv.FormatInt(max(time.Until(x.until).Milliseconds(), 1), 10))
	line(externalapi.HeaderTargetBackend, x.target)
	if x.stage != "" {
		line(externalapi.HeaderStage, x.stage)
	}
	if x.handle != nil {
		line(externalapi.HeaderKVFrom, x.handle.at.Address()+"/"+x.handle.ref)
	}
	if x.lastID != "" {
		line(externalapi.HeaderLastEventID, x.lastID)
	}
	if x.priority >= 0 {
		line(externalapi.HeaderPriority, strconv.Itoa(min(x.priority, 9)))
	}
	if len(m.body) > 0 || m.method != http.MethodGet && m.method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(m.body)))
	}
	b = append(b, "\r\n"...)
	return append(b, m.body...)
}

// exchange is one send to one backend, and its answer.
type exchange struct {
	ctx     context.Context // the send's: when it ends, whoever reads is woken
	lent    *transport.Lent
	request *sending
	resp    *http.Response
	stop    func() bool
	sent    time.Time
	at      residency.Permit
	held    *held // what the send is known by where its request is enclosed; nil: it is not
}

var (
	errNotOurs  = errors.New("the answer belongs to no request of ours")
	errSilent   = errors.New("no answer in time")
	errConnect  = errors.New("no connection")
	errNotWhole = errors.New("the answer is not whole")
)

const (
	// maxSurplus bounds the answers to earlier requests that are read past on a connection, and maxSurplusBody the body of each.
	maxSurplus, maxSurplusBody = 3, 1 << 20
	// maxInterim bounds the 1xx answers ahead of an answer.
	maxInterim = 8
	// maxAnswerHead bounds the head of an answer, with the 1xx answers ahead of it, in bytes.
	maxAnswerHead = 64 << 10
)

// readUntil bounds the reads that follow. A send that has ended stays so: its end may have come between two reads, and a new
// bound would undo what is to wake the next.
func (e *exchange) readUntil(by time.Time) {
	_ = e.lent.SetReadDeadline(by)
	if e.ctx.Err() != nil {
		_ = e.lent.SetReadDeadline(over)
	}
}

// begin sends the message and reads the head of its answer. wrote tells whether a byte may have gone out: else
// the backend has not run it; a backend may act on a request before it has all of it. When ctx ends the connection is closed under whoever reads from it. The terms of the request
// are checked here again, for the backend and for where a handle lies, and watched until the exchange ends.
func (t *try) begin(ctx context.Context, at residency.Permit, m *message, x *extra, connectBy, headBy time.Time) (e *exchange, wrote bool, err error) {
	x.target = at.ID()
	ctx, held, err := t.hold(ctx, at, x)
	if err != nil {
		return nil, false, err
	}
	dial, cancel := context.WithDeadline(ctx, connectBy)
	lent, err := t.lend(dial, at, m)
	cancel()
	if err != nil {
		held.end(false)
		if ctx.Err() != nil {
			return nil, false, ctx.Err()
		}
		if errors.Is(err, residency.ErrOutside) {
			return nil, false, err
		}
		return nil, false, errors.Wrap(errors.Join(errConnect, err), "connect")
	}
	e = &exchange{ctx: ctx, lent: lent, sent: time.Now(), at: at, held: held}
	e.stop = context.AfterFunc(ctx, func() { _ = lent.Conn.SetDeadline(over) })
	if wrote, err = e.roundTrip(m, x, headBy); err != nil {
		e.stop()
		e.drop(true)
		held.end(wrote)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, wrote, err
	}
	held.answered(!notRun(e.resp))
	return e, true, nil
}

// roundTrip sends the request and reads the head of its answer; wrote: a byte of the request may have gone out.
func (e *exchange) roundTrip(m *message, x *extra, headBy time.Time) (wrote bool, err error) {
	if err := e.lent.SetDeadline(headBy); err != nil {
		return false, err
	}
	if e.ctx.Err() != nil {
		return false, e.ctx.Err()
	}
	e.request = send(e.ctx, e.lent, m.head(x))
	if wrote, err := e.request.failed(); err != nil {
		return wrote, errors.Wrap(err, "send")
	}
	if err := e.receive(m); err != nil {
		if isTimeout(err) && e.ctx.Err() == nil {
			err = errSilent
		}
		_ = e.lent.SetDeadline(over)
		return e.request.wait() > 0, errors.Wrap(err, "answer")
	}
	return true, nil
}

// receive reads the head of the answer to the message, past 1xx answers and surplus answers to earlier requests of the
// connection. What can't be told to be the answer to this very message is errNotOurs.
func (e *exchange) receive(m *message) error {
	only := !e.lent.Reused // nothing but this message was ever sent on the connection
	interim := 0
	e.lent.Bound(maxAnswerHead)
	for surplus := 0; surplus <= maxSurplus; {
		resp, err := http.ReadResponse(e.lent.R, &http.Request{Method: m.method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
				return errNotOurs
			}
			continue
		}
		e.lent.Bound(math.MaxInt)
		switch ownerOf(resp, m.id) {
		case ownerUs:
			e.resp = resp
			return nil
		case ownerUntold:
			// A failure that names no request is ours only where there is no other that it could be for.
			if only && resp.StatusCode >= http.StatusMultipleChoices {
				e.resp = resp
				return nil
			}
			return errNotOurs
		case ownerUnclear:
			return errNotOurs
		}
		// Of an answer to a HEAD, or to who knows what on a connection that carries one, the end can't be found.
		if resp.Close || m.method == http.MethodHead {
			return errNotOurs
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody+1))
		if err != nil || n > maxSurplusBody {
			return errNotOurs
		}
		surplus++
		only = false
		e.lent.Bound(maxAnswerHead)
	}
	return errNotOurs
}

// owner is whose answer one is, by the attempt ids in its head.
type owner int

const (
	ownerUs      owner = iota
	ownerOther         // another request's
	ownerUntold        // it names none
	ownerUnclear       // it names several
)

// ownerOf tells whose answer one is.
func ownerOf(resp *http.Response, id string) owner {
	ids := resp.Header[externalapi.HeaderAttemptID]
	if len(ids) == 0 {
		return ownerUntold
	}
	for _, one := range ids[1:] {
		if one != ids[0] {
			return ownerUnclear
		}
	}
	if ids[0] != id {
		return ownerOther
	}
	return ownerUs
}

// end gives the connection back if the answer was read whole and all of the request has gone out, else closes it.
func (e *exchange) end(whole bool) {
	if e.lent == nil {
		return
	}
	stopped := e.stop()
	if whole && stopped && e.reusable() {
		e.lent.Return()
		e.lent = nil
	} else {
		e.drop(false)
	}
	e.held.end(true)
}

// reusable tells whether another request may follow on the connection. Where a part of this one is still to go out, the
// backend would take the next for that part. A surplus answer to a HEAD has no end that could be found.
func (e *exchange) reusable() bool {
	return !e.resp.Close && e.resp.Request.Method != http.MethodHead && e.request.whole()
}

// drop closes the connection; when it returns no byte of the request goes out any more. broke tells that no answer came.
func (e *exchange) drop(broke bool) {
	e.lent.Drop(broke)
	e.lent = nil
	if e.request != nil {
		e.request.wait()
	}
}

// body reads an answer whole, bounded; the connection is given back.
func (e *exchange) body(most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(e.resp.Body, most+1))
	if err == nil && int64(len(b)) > most {
		err = errors.Errorf("answer over %d bytes", most)
	}
	cut := e.held.cut()
	e.end(err == nil)
	if err != nil && cut != nil {
		return nil, cut
	}
	if err != nil {
		return nil, errors.Wrap(errors.Join(errNotWhole, err), "answer")
	}
	return b, nil
}
