package transport

import (
	"bufio"
	"bytes"
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
		return a.FailedResult(err, false)
	}
	x := exchange{a: a, c: c, e: e}
	res, err := x.roundTrip()
	if err != nil {
		return a.FailedResult(err, x.cut)
	}
	return res
}

// exchange is an attempt on its connection.
type exchange struct {
	a   *core.Attempt
	c   *conn
	e   *endpoint
	cut bool // a write failed: the request did not go out whole

	timed  bool // the connection has a deadline for reads
	noted  bool // the server has written what is no part of its answer
	passed int  // bytes of that
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
	left, timely := a.ServerTimeout(x.e.back())
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
	if a.Request.Message.Stream != nil {
		left = min(left, a.Request.TimeAfterBody) // it is told of what follows its begin
	}
	out, begins, err := x.e.wire.request((*buf)[:0], a, left)
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
		x.cut = a.Request.Message.Stream != nil || n < len(out) // the last byte can no longer follow
		if begins >= 0 {
			x.cut = n < begins
		}
		return res, err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	early := false
	if a.Request.Message.Stream != nil {
		x.cut = begins < 0 // until the last byte has been written
		l := x.listen(r)
		left, err := x.sendRest(l.ctx)
		switch {
		case err == nil:
			x.cut = false
			a.BodyComplete()
			if l.wait() && ctx.Err() == nil {
				_ = c.SetWriteDeadline(time.Time{}) // the next request's
			}
		case left:
			_ = c.SetReadDeadline(time.Unix(1, 0))
			l.wait()
			return core.Result{Status: policy.Abandoned}, nil // its client broke off: no server is to blame
		case !l.wait():
			return res, err
		default:
			early, x.cut = true, false // whoever has answered may have begun
		}
	}
	res, keep, err = x.e.wire.answer(x, r)
	if early {
		keep = false // the rest of the body is still owed
		if err == nil && res.Status == policy.Error {
			res.Status = policy.Cancelled // it wants no such body, which says nothing of its health
		}
	}
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

// wire is a protocol, as an exchange has it.
type wire interface {
	// request appends the request with what is at hand of its body: all of it, unless there is a Rest. left is
	// what the server is told that the agent waits. begins is how many bytes of it have to go out for the server
	// to begin; below 0: the last of the whole request. An error: a part of it can't be sent as it is, as a front
	// end of another protocol may take what this one has no room for.
	request(out []byte, a *core.Attempt, left time.Duration) (all []byte, begins int, err error)
	// piece frames n bytes of the Rest that stand in buf behind before bytes, with after behind them.
	piece(m *core.Message, buf []byte, n int) []byte
	// last is what follows the Rest.
	last(m *core.Message) []byte
	// begun waits until an answer has begun to come, past what is none yet; false: none can come any more.
	begun(x *exchange, r *bufio.Reader) bool
	// answer reads the answer, and reports whether the connection can be used again. Of an answer that is
	// spoilt in any way nothing is believed: it may have run.
	answer(x *exchange, r *bufio.Reader) (res core.Result, keep bool, err error)
}

// listener hears a server that answers before it has all of a body.
type listener struct {
	ctx   context.Context // ends when the answer begins, or can't any more
	spoke bool            // it has begun; set before done is closed
	done  chan struct{}
}

// listen waits for the answer in a goroutine that has the reader until wait returns.
func (x *exchange) listen(r *bufio.Reader) *listener {
	l := &listener{done: make(chan struct{})}
	ctx, stop := context.WithCancel(x.a.Context())
	l.ctx = ctx
	go func() {
		defer close(l.done)
		defer stop()
		if l.spoke = x.e.wire.begun(x, r); l.spoke {
			_ = x.c.SetWriteDeadline(time.Unix(1, 0)) // a server that has answered may read no more
		}
	}()
	return l
}

// wait returns when the answer begins, or can't any more, and tells which.
func (l *listener) wait() bool {
	<-l.done
	return l.spoke
}

// before and after are the room for the frame of a piece.
const before, after = 16, 8

// sendRest sends what comes of a body after its first part, until the context ends; left says that it was the
// client that did not send all of it.
func (x *exchange) sendRest(ctx context.Context) (left bool, err error) {
	m := &x.a.Request.Message
	buf := windows.Get().(*[]byte)
	defer windows.Put(buf)
	for sent := int64(len(m.Body)); ; {
		n, err := m.Stream.Read(ctx, (*buf)[before:len(*buf)-after])
		if n > 0 {
			sent += int64(n)
			if _, err := x.c.Write(x.e.wire.piece(m, *buf, n)); err != nil {
				return false, err
			}
			if err == nil && sent == m.Length && x.e.wire.last(m) == nil {
				return false, nil // all of it is out: an answer that comes now is none too early
			}
		}
		switch {
		case err == io.EOF && (m.Length < 0 || sent == m.Length):
			if last := x.e.wire.last(m); last != nil {
				_, err = x.c.Write(last)
				return false, err
			}
			return false, nil
		case err != nil:
			return ctx.Err() == nil, fmt.Errorf("body: %w", err)
		}
	}
}

// overHTTP is HTTP/1.1.
type overHTTP struct{}

func (overHTTP) piece(m *core.Message, buf []byte, n int) []byte {
	part := buf[before : before+n]
	if m.Length >= 0 {
		return part
	}
	head := append(strconv.AppendInt(buf[:0:before], int64(n), 16), "\r\n"...)
	copy(buf[before-len(head):], head)
	return append(buf[before-len(head):before+n], "\r\n"...)
}

func (overHTTP) begun(x *exchange, r *bufio.Reader) bool {
	const status = len("HTTP/1.1 1") // an interim answer's first bytes
	for range maxInterim {
		head, err := r.Peek(status)
		if err != nil || !bytes.HasPrefix(head, []byte("HTTP/1.")) || head[status-1] != '1' {
			return err == nil || len(head) > 0
		}
		if _, err := http.ReadResponse(r, &http.Request{Method: x.a.Request.Message.Method}); err != nil {
			return false
		}
	}
	return true
}

func (overHTTP) last(m *core.Message) []byte {
	if m.Length < 0 {
		return []byte("0\r\n\r\n")
	}
	return nil
}

func (overHTTP) answer(x *exchange, r *bufio.Reader) (res core.Result, keep bool, err error) {
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
		in := arriving{a: x.a, c: c, body: resp.Body, length: length, kind: resp.Header.Get("Content-Type"), budget: x.e.pool.opt.Budget}
		body, passed, err = in.receive()
		x.timed = in.timed
		if passed {
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

func (overHTTP) request(out []byte, a *core.Attempt, left time.Duration) ([]byte, int, error) {
	m := &a.Request.Message
	for _, part := range []string{m.Method, m.Target} {
		if part == "" || !printable(part, ' ') {
			return nil, 0, errUnsendable
		}
	}
	out = append(out, m.Method...)
	out = append(out, ' ')
	out = append(out, m.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	for _, field := range [...]struct{ key, value string }{{"Host", m.Host}, {"Request-Id", a.Request.ID},
		{"Idempotency-Key", m.IdempotencyKey}, {"Content-Type", m.ContentType}} {
		if !printable(field.value, ' '-1) {
			return nil, 0, errUnsendable
		}
		if field.value != "" {
			out = append(append(append(append(out, field.key...), ": "...), field.value...), "\r\n"...)
		}
	}
	out = append(out, "Request-Timeout: "...)
	out = strconv.AppendInt(out, left.Milliseconds(), 10)
	out = append(out, "m\r\n"...)
	length := int64(len(m.Body))
	if m.Stream != nil {
		length = m.Length
	}
	switch {
	case length < 0:
		out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(m.Body) > 0 {
			out = strconv.AppendInt(out, int64(len(m.Body)), 16)
			out = append(append(append(out, "\r\n"...), m.Body...), "\r\n"...)
		}
		return out, -1, nil
	case length > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, length, 10)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, m.Body...), -1, nil
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
