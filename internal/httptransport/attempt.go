package httptransport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/policy"
)

const (
	maxBody       = core.MaxBody
	maxAnswerHead = 16 << 10 // of an answer, with the 1xx answers ahead of it
	maxInterim    = 8        // 1xx answers ahead of an answer
)

var (
	errWithdrawn  = errors.New("attempt withdrawn before its first byte")
	errUnsendable = errors.New("request: it can't be sent over HTTP as it is")
)

// buffers hold requests on their way out; one that a large body made larger than maxKept
// bytes is not kept.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const maxKept = 8 << 10

// carry sends an attempt on the connection that was taken for it, or a new one, and waits
// for its end. When it returns, the connection is closed or free for the next, and no
// further byte of the attempt goes out.
func (e *endpoint) carry(a *core.Attempt, c *conn) core.Result {
	c, err := e.ready(a.Context(), a.Request.ID, c)
	if err != nil {
		return a.Broken(err, false)
	}
	x := exchange{a: a, c: c, e: e}
	res, err := x.roundTrip()
	if err != nil {
		return a.Broken(err, x.cut)
	}
	return res
}

// exchange is an attempt on its connection.
type exchange struct {
	a   *core.Attempt
	c   *conn
	e   *endpoint
	cut bool // a write failed: the request did not go out whole
}

// roundTrip returns an error where no whole answer came; then the connection is closed.
func (x *exchange) roundTrip() (res core.Result, err error) {
	a, c, ctx := x.a, x.c, x.a.Context()
	keep := false
	defer func() {
		if keep {
			x.e.put(c)
		} else {
			c.Close()
		}
	}()
	left, timely := a.Tell(x.e.back())
	if !timely {
		keep = true // nothing was written
		return res, errWithdrawn
	}
	end := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !end() {
			keep = false // its deadline is set, or is about to be
		}
	}()
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	out, err := outgoing((*buf)[:0], a, left)
	if err != nil {
		return res, err
	}
	if cap(out) <= maxKept {
		*buf = out
	}
	if !a.Begin() {
		return res, errWithdrawn
	}
	c.left = maxAnswerHead
	if n, err := c.Write(out); err != nil {
		x.e.pool.used(c, ctx.Err() == nil)
		x.cut = n < len(out) // the last byte can no longer follow
		return res, err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	res, keep, err = x.answer(r)
	if ctx.Err() == nil { // else it was given up, which says nothing of its age
		x.e.pool.used(c, err != nil && c.left == maxAnswerHead)
	}
	// Bytes behind the answer belong to nothing that was asked for.
	keep = keep && err == nil && r.Buffered() == 0
	return res, err
}

// answer reads the answer, and reports whether the connection can be used again. Of an
// answer that is spoilt in any way nothing is believed: it may have run.
func (x *exchange) answer(r *bufio.Reader) (res core.Result, keep bool, err error) {
	c := x.c
	asked := http.Request{Method: x.a.Request.Message.Method}
	var resp *http.Response
	for i := 0; ; i++ {
		if resp, err = http.ReadResponse(r, &asked); err != nil {
			return res, false, fmt.Errorf("answer: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || i > maxInterim || resp.ProtoMajor != 1 {
			return res, false, errors.New("answer: none to this request")
		}
		if resp.StatusCode >= 200 {
			break
		}
	}
	switch chunked := len(resp.TransferEncoding) > 0; {
	case resp.ContentLength > maxBody:
		return res, false, errTooLong
	case resp.ContentLength < 0 && !chunked:
		return res, false, errors.New("answer: without a length it can't be known to be whole")
	case chunked:
		c.left += maxBody + maxAnswerHead // the frames of the chunks
	default:
		c.left += int(resp.ContentLength)
	}
	body, err := readBody(resp.Body, resp.ContentLength)
	if err != nil {
		return res, false, fmt.Errorf("answer: %w", err)
	}
	res.Load = resp.Header.Get("Server-Load")
	switch {
	case resp.StatusCode == http.StatusOK:
		res.Status, res.Body, res.ContentType = policy.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		res.Status = policy.Full
	default:
		res.Status = policy.Error // it may have run
	}
	return res, !resp.Close, nil
}

// readBody reads a body whole; a length below 0 is not known.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	return body, err
}

// outgoing appends the request as the server gets it. It is an error if a part of it can't
// be sent as it is: a front end of another protocol may take what HTTP has no room for. left is what
// the server is told that the agent waits.
func outgoing(out []byte, a *core.Attempt, left time.Duration) ([]byte, error) {
	m := &a.Request.Message
	for _, part := range []string{m.Method, m.Target} {
		if part == "" || !printable(part, ' ') {
			return nil, errUnsendable
		}
	}
	out = append(out, m.Method...)
	out = append(out, ' ')
	out = append(out, m.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	for _, field := range [...]struct{ key, value string }{{"Host", m.Host}, {"Request-Id", a.Request.ID},
		{"Idempotency-Key", m.IdempotencyKey}, {"Content-Type", m.ContentType}} {
		if !printable(field.value, ' '-1) {
			return nil, errUnsendable
		}
		if field.value != "" {
			out = append(append(append(append(out, field.key...), ": "...), field.value...), "\r\n"...)
		}
	}
	out = append(out, "Request-Timeout: "...)
	out = strconv.AppendInt(out, left.Milliseconds(), 10)
	out = append(out, "m\r\n"...)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(m.Body)), 10)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, m.Body...), nil
}

// printable tells whether a text holds no control characters but tabs, and nothing up to
// and including least.
func printable(text string, least byte) bool {
	for i := range len(text) {
		if c := text[i]; c <= least && c != '\t' || c == '\t' && least == ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
