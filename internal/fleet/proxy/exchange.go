package proxy

import (
	"context"
	"io"
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
	target   string // id of the backend, the permit's
	left     time.Duration
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
		case externalapi.DeadlineMs, externalapi.Target, externalapi.Stage, externalapi.KvFrom, externalapi.Priority, "Host":
			continue
		case externalapi.LastEventID:
			if x.lastID != "" {
				continue
			}
		}
		for _, v := range values {
			line(key, v)
		}
	}
	line(externalapi.DeadlineMs, strconv.FormatInt(max(x.left.Milliseconds(), 1), 10))
	line(externalapi.Target, x.target)
	if x.stage != "" {
		line(externalapi.Stage, x.stage)
	}
	if x.handle != nil {
		line(externalapi.KvFrom, x.handle.at.Address()+"/"+x.handle.ref)
	}
	if x.lastID != "" {
		line(externalapi.LastEventID, x.lastID)
	}
	if x.priority >= 0 {
		line(externalapi.Priority, strconv.Itoa(min(x.priority, 9)))
	}
	if len(m.body) > 0 || m.method != http.MethodGet && m.method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(m.body)))
	}
	b = append(b, "\r\n"...)
	return append(b, m.body...)
}

// exchange is one send to one backend, and its answer.
type exchange struct {
	ctx  context.Context // the send's: when it ends, whoever reads is woken
	lent *transport.Lent
	resp *http.Response
	stop func() bool
	sent time.Time
	at   residency.Permit
	held *held // what the send is known by where its request is enclosed; nil: it is not
}

var (
	errNotOurs  = errors.New("the answer belongs to no request of ours")
	errSilent   = errors.New("no answer in time")
	errConnect  = errors.New("no connection")
	errNotWhole = errors.New("the answer is not whole")
)

// maxStale bounds the surplus answers that are read past on a connection.
const maxStale = 4

// over is a deadline that has passed: it wakes who reads or writes.
var over = time.Unix(1, 0)

// readUntil bounds the reads that follow. A send that has ended stays so: its end may have come between two reads, and a new
// bound would undo what is to wake the next.
func (e *exchange) readUntil(by time.Time) {
	_ = e.lent.SetReadDeadline(by)
	if e.ctx.Err() != nil {
		_ = e.lent.SetReadDeadline(over)
	}
}

// begin sends the message and reads the head of its answer. wrote tells whether a byte may have gone out: else
// the backend has not run it. When ctx ends the connection is closed under whoever reads from it. The terms of the request
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
	fail := func(wrote bool, err error) (*exchange, bool, error) {
		e.stop()
		lent.Drop(true)
		held.end(wrote)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, wrote, err
	}
	if err := lent.SetDeadline(headBy); err != nil {
		return fail(false, err)
	}
	if ctx.Err() != nil {
		return fail(false, ctx.Err())
	}
	out := m.head(x)
	if n, err := lent.Write(out); err != nil {
		// A request that is not whole at the backend can't have begun there.
		return fail(n == len(out), errors.Wrap(err, "send"))
	}
	for range maxStale {
		req := &http.Request{Method: m.method}
		resp, err := http.ReadResponse(lent.R, req)
		if err != nil {
			if isTimeout(err) && ctx.Err() == nil {
				err = errSilent
			}
			return fail(true, errors.Wrap(err, "answer"))
		}
		if resp.StatusCode < 200 {
			continue
		}
		if id := resp.Header.Get(externalapi.AttemptID); id != "" && id != m.id {
			// A surplus answer to an earlier request of this connection.
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil {
				return fail(true, errNotOurs)
			}
			continue
		} else if id == "" && resp.StatusCode < 300 {
			return fail(true, errNotOurs)
		}
		e.resp = resp
		held.answered(!notRun(resp))
		return e, true, nil
	}
	return fail(true, errNotOurs)
}

// end gives the connection back if the answer was read whole, else closes it.
func (e *exchange) end(whole bool) {
	if e.lent == nil {
		return
	}
	stopped := e.stop()
	if whole && stopped && !e.resp.Close {
		e.lent.Return()
	} else {
		e.lent.Drop(false)
	}
	e.lent = nil
	e.held.end(true)
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
