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
	"molepaddle/internal/protocol/window"
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

	timed bool // the connection has a deadline for reads
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
	if a.Request.Message.Rest != nil {
		left = min(left, a.Request.Left) // it is told of what follows its begin
	}
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
		x.cut = n < len(out) || a.Request.Message.Rest != nil // the last byte can no longer follow
		return res, err
	}
	if a.Request.Message.Rest != nil {
		x.cut = true // until the last byte has been written
		if left, err := x.sendRest(); err != nil {
			if left {
				return core.Result{Status: policy.Moot}, nil // its client broke off: no server is to blame
			}
			return res, err
		}
		x.cut = false
		a.Whole()
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
	if keep && x.timed {
		_ = c.SetReadDeadline(time.Time{})
	}
	return res, err
}

// sendRest sends what comes of a body after its first part; left says that it was the client that
// did not send all of it.
func (x *exchange) sendRest() (left bool, err error) {
	m, ctx := &x.a.Request.Message, x.a.Context()
	buf := windows.Get().(*[]byte)
	defer windows.Put(buf)
	const room = 16 // for the frame of a chunk
	for sent := int64(len(m.Body)); ; {
		part := (*buf)[room : len(*buf)-2]
		n, err := m.Rest.Read(ctx, part)
		if n > 0 {
			sent += int64(n)
			out := part[:n]
			if m.Length < 0 {
				head := strconv.AppendInt((*buf)[:0:room], int64(n), 16)
				head = append(head, "\r\n"...)
				copy((*buf)[room-len(head):], head)
				out = append((*buf)[room-len(head):room+n], "\r\n"...)
			}
			if _, err := x.c.Write(out); err != nil {
				return false, err
			}
		}
		switch {
		case err == io.EOF && m.Length < 0:
			_, err = io.WriteString(x.c, "0\r\n\r\n")
			return false, err
		case err == io.EOF && sent == m.Length:
			return false, nil
		case err != nil:
			return ctx.Err() == nil, fmt.Errorf("body: %w", err)
		}
	}
}

// windows are what goes through at once of a long body or answer.
var windows = sync.Pool{New: func() any { b := make([]byte, window.Size/2); return &b }}

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
	length, most := resp.ContentLength, int64(maxBody)
	if resp.StatusCode == http.StatusOK {
		most = window.Most // it may be passed on; any other is held
	}
	switch {
	case asked.Method == http.MethodHead:
		c.left, res.Length = 0, length
	case length > most:
		return res, false, errTooLong
	case length < 0:
		c.left += window.Most + maxAnswerHead // and the frames of the chunks
	default:
		c.left += int(length)
	}
	var body []byte
	switch {
	case asked.Method == http.MethodHead: // the length is of what is not sent
	case resp.StatusCode == http.StatusOK:
		var passed bool
		if body, passed, err = x.receive(resp); passed {
			return core.Result{Status: policy.OK, Load: resp.Header.Get("Server-Load")}, err == nil && !resp.Close, err
		}
	default:
		body, err = readBody(resp.Body, length)
	}
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

// silentFor is how long a server may send nothing of an answer that is passed on.
const silentFor = 5 * time.Second

// receive reads the body of an answer: a short one whole; any other is passed on as it comes, from the
// moment on that window.Hold gives it up, and passed is true.
func (x *exchange) receive(resp *http.Response) (body []byte, passed bool, err error) {
	length := resp.ContentLength
	if !x.a.Passes() && length > maxBody {
		return nil, false, errTooLong
	}
	if !x.a.Passes() || length >= 0 && window.Hold(length, 0, 0) {
		body, err = readBody(resp.Body, length)
		return body, false, err
	}
	var mu sync.Mutex // guards what follows, up to the moment it is passed on
	var held []byte
	var pipe *window.Pipe
	ended := false
	begin := func() { // with mu held
		if pipe == nil {
			pipe = window.New(x.e.pool.opt.Budget)
			x.a.Begun(core.Result{Body: held, Rest: pipe, Length: length, ContentType: resp.Header.Get("Content-Type")})
		}
	}
	timer := time.AfterFunc(window.HoldFor, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended && len(held) > 0 {
			begin()
		}
	})
	defer timer.Stop()
	came := time.Now()
	buf := windows.Get().(*[]byte)
	defer windows.Put(buf)
	ctx, total := x.a.Context(), 0
	for {
		x.timed = true
		n, err := x.c.within(ctx, time.Now().Add(silentFor), resp.Body, *buf)
		total += n
		if total > window.Most {
			err = errTooLong
		}
		mu.Lock()
		if pipe == nil {
			if held = append(held, (*buf)[:n]...); err == nil && !window.Hold(length, len(held), time.Since(came)) {
				begin()
			}
			ended, n = err != nil, 0
		}
		now := pipe
		mu.Unlock()
		switch {
		case now == nil && err == io.EOF:
			return held, false, nil
		case now == nil && err != nil:
			return nil, false, err
		case now == nil:
			continue
		}
		if n > 0 {
			if left := now.Write(ctx, (*buf)[:n]); left != nil {
				x.a.Cancel(core.ErrCancelled) // its client has gone
				now.End(left)
				return nil, true, left
			}
		}
		if err == io.EOF {
			now.End(nil)
			return nil, true, nil
		} else if err != nil {
			now.End(err)
			return nil, true, fmt.Errorf("answer: %w", err)
		}
	}
}

// within reads what comes until the time given, or the context ends.
func (c *conn) within(ctx context.Context, until time.Time, r io.Reader, buf []byte) (int, error) {
	_ = c.SetReadDeadline(until)
	if ctx.Err() != nil { // its end has set the deadline, perhaps before this
		return 0, context.Cause(ctx)
	}
	return r.Read(buf)
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
	length := int64(len(m.Body))
	if m.Rest != nil {
		length = m.Length
	}
	switch {
	case length < 0:
		out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(m.Body) > 0 {
			out = strconv.AppendInt(out, int64(len(m.Body)), 16)
			out = append(append(append(out, "\r\n"...), m.Body...), "\r\n"...)
		}
		return out, nil
	case length > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, length, 10)
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
