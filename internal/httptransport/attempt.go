package httptransport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"molepaddle/internal/core"
	"molepaddle/policy"
)

const (
	maxBody       = core.MaxBody
	maxAnswerHead = 16 << 10 // of an answer, with the 1xx answers ahead of it
	maxInterim    = 8        // 1xx answers ahead of an answer
)

var errWithdrawn = errors.New("attempt withdrawn before its first byte")

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
	end := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !end() {
			keep = false // its deadline is set, or is about to be
		}
	}()
	var out bytes.Buffer
	if err := outgoing(a).Write(&out); err != nil {
		return res, err
	}
	if !a.Begin() {
		return res, errWithdrawn
	}
	c.left = maxAnswerHead
	if n, err := c.Write(out.Bytes()); err != nil {
		x.e.pool.used(c, ctx.Err() == nil)
		x.cut = n < out.Len() // the last byte can no longer follow
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
	var resp *http.Response
	for i := 0; ; i++ {
		if resp, err = http.ReadResponse(r, &http.Request{Method: x.a.Request.Message.Method}); err != nil {
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

// outgoing is the request as the server gets it.
func outgoing(a *core.Attempt) *http.Request {
	m := &a.Request.Message
	left := max(time.Until(a.Deadline()).Milliseconds(), 1)
	h := http.Header{
		"Request-Id":      {a.Request.ID},
		"Request-Timeout": {strconv.FormatInt(left, 10) + "m"},
		"User-Agent":      {""},
	}
	if m.IdempotencyKey != "" {
		h["Idempotency-Key"] = []string{m.IdempotencyKey}
	}
	if m.ContentType != "" {
		h["Content-Type"] = []string{m.ContentType}
	}
	out := &http.Request{Method: m.Method, URL: &url.URL{Opaque: m.Target}, Host: m.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(m.Body))}
	if len(m.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return out
}
