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
	maxAnswerHead = 16 << 10 // bytes of an answer's header, including preceding 1xx answers
	maxInterim    = 8        // 1xx answers before the final one
)

var (
	errWithdrawn  = errors.New("attempt withdrawn before its first byte")
	errUnsendable = errors.New("request: a field can't be encoded for the server's protocol")
)

// buffers holds encoded requests. A buffer that grew beyond maxPooledBuffer bytes for a large body is not returned to
// the pool.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBuffer = 8 << 10

// carry sends an attempt on the given connection, or on a new one, and waits for its result. When it returns, the
// connection is closed or idle in the pool, and no further byte of the attempt is written.
func (e *endpoint) carry(a *core.Attempt, c *conn) core.Result {
	c, err := e.ready(a.Context(), a.Request.ID, c)
	if err != nil {
		return a.FailedResult(err, false)
	}
	x := exchange{a: a, c: c, e: e}
	res, err := x.roundTrip()
	if err != nil {
		return a.FailedResult(err, x.incomplete)
	}
	return res
}

// exchange is one attempt on its connection.
type exchange struct {
	a          *core.Attempt
	c          *conn
	e          *endpoint
	incomplete bool // a write failed before the server could have received the complete request

	deadlineSet  bool // a read deadline was set on the connection
	stderrSeen   bool // the server wrote to STDERR while the body was sent
	skippedBytes int  // bytes of records skipped while the body was sent
}

// roundTrip sends the request and reads its answer. It returns an error and closes the connection if no complete
// answer was received.
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
	left, timely := a.ServerTimeout(x.e.returnTime())
	if !timely {
		keep = true // nothing was written
		return res, errWithdrawn
	}
	end := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !end() {
			keep = false // the connection's deadline was set, or is about to be
		}
	}()
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	if a.Request.Message.Stream != nil {
		left = min(left, a.Request.TimeAfterBody) // the server is told the time that remains after the body
	}
	out, begins, err := x.e.wire.request((*buf)[:0], a, left)
	if err != nil {
		return res, err
	}
	if cap(out) <= maxPooledBuffer {
		*buf = out
	}
	if !a.Begin() {
		return res, errWithdrawn
	}
	c.left = maxAnswerHead
	if n, err := c.Write(out); err != nil {
		x.e.pool.recordUse(c, ctx.Err() == nil)
		x.incomplete = a.Request.Message.Stream != nil || n < len(out) // the last byte can no longer be sent
		if begins >= 0 {
			x.incomplete = n < begins
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
		x.incomplete = begins < 0 // until the last byte has been written
		l := x.watchAnswer(r)
		left, err := x.sendBody(l.ctx)
		switch {
		case err == nil:
			x.incomplete = false
			a.BodyComplete()
			if l.wait() && ctx.Err() == nil {
				_ = c.SetWriteDeadline(time.Time{}) // the next request needs none
			}
		case left:
			_ = c.SetReadDeadline(time.Unix(1, 0))
			l.wait()
			return core.Result{Status: policy.Abandoned}, nil // the client broke off: not a server fault
		case !l.wait():
			return res, err
		default:
			early, x.incomplete = true, false // a server that has answered may have started the request
		}
	}
	res, keep, err = x.e.wire.answer(x, r)
	if early {
		keep = false // the rest of the body was not sent
		if err == nil && res.Status == policy.Error {
			res.Status = policy.Cancelled // the server rejected the body, which is no sign of poor health
		}
	}
	if ctx.Err() == nil { // an attempt that was cancelled says nothing about the connection's age
		x.e.pool.recordUse(c, err != nil && c.left == maxAnswerHead)
	}
	// Bytes after the answer belong to no request: the connection is not reused.
	keep = keep && err == nil && r.Buffered() == 0
	if keep && x.deadlineSet {
		_ = c.SetReadDeadline(time.Time{})
	}
	return res, err
}

// protocol encodes requests and reads answers for an exchange.
type protocol interface {
	// request appends the request and the part of its body in Body, which is the complete body unless Message.Stream
	// is set. left is the time-out that the server is told. begins is the number of bytes after which the server may
	// start the request; negative: only after the last byte of the complete request. It returns an error if a field
	// can't be expressed in this protocol, as a front end of another protocol may have accepted it.
	request(out []byte, a *core.Attempt, left time.Duration) (all []byte, begins int, err error)
	// piece frames n bytes of the body's stream, which start at buf[frameHeadRoom], and returns the framed slice of
	// buf. frameHeadRoom bytes before and frameTailRoom bytes after them are free for the frame.
	piece(m *core.Message, buf []byte, n int) []byte
	// last returns the bytes that end the body's stream; nil: none.
	last(m *core.Message) []byte
	// begun waits until an answer begins, skipping anything that precedes it; false: the connection can bring none.
	begun(x *exchange, r *bufio.Reader) bool
	// answer reads the answer and reports whether the connection can be reused. Nothing in a malformed answer is
	// trusted: the request may have been executed.
	answer(x *exchange, r *bufio.Reader) (res core.Result, keep bool, err error)
}

// answerWatch detects that a server answers before it has received the complete body.
type answerWatch struct {
	ctx   context.Context // ends when the answer begins, or the connection can bring none
	begun bool            // the answer has begun; set before done is closed
	done  chan struct{}
}

// watchAnswer waits for the answer in a goroutine, which owns the reader until wait returns.
func (x *exchange) watchAnswer(r *bufio.Reader) *answerWatch {
	l := &answerWatch{done: make(chan struct{})}
	ctx, stop := context.WithCancel(x.a.Context())
	l.ctx = ctx
	go func() {
		defer close(l.done)
		defer stop()
		if l.begun = x.e.wire.begun(x, r); l.begun {
			_ = x.c.SetWriteDeadline(time.Unix(1, 0)) // unblocks the writer: the server may read no more
		}
	}()
	return l
}

// wait blocks until the answer begins or can no longer come, and reports whether it has begun.
func (l *answerWatch) wait() bool {
	<-l.done
	return l.begun
}

// frameHeadRoom and frameTailRoom are the bytes reserved around a piece for its frame.
const frameHeadRoom, frameTailRoom = 16, 8

// sendBody sends the body's stream that follows Message.Body, until the context ends. left reports that the client did
// not send the complete body.
func (x *exchange) sendBody(ctx context.Context) (left bool, err error) {
	m := &x.a.Request.Message
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for sent := int64(len(m.Body)); ; {
		n, err := m.Stream.Read(ctx, (*buf)[frameHeadRoom:len(*buf)-frameTailRoom])
		if n > 0 {
			sent += int64(n)
			if _, err := x.c.Write(x.e.wire.piece(m, *buf, n)); err != nil {
				return false, err
			}
			if err == nil && sent == m.Length && x.e.wire.last(m) == nil {
				return false, nil // the body is complete: an answer that begins now is not early
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

// overHTTP implements HTTP/1.1.
type overHTTP struct{}

func (overHTTP) piece(m *core.Message, buf []byte, n int) []byte {
	part := buf[frameHeadRoom : frameHeadRoom+n]
	if m.Length >= 0 {
		return part
	}
	head := append(strconv.AppendInt(buf[:0:frameHeadRoom], int64(n), 16), "\r\n"...)
	copy(buf[frameHeadRoom-len(head):], head)
	return append(buf[frameHeadRoom-len(head):frameHeadRoom+n], "\r\n"...)
}

func (overHTTP) begun(x *exchange, r *bufio.Reader) bool {
	const status = len("HTTP/1.1 1") // length of the first bytes of a 1xx answer
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
			return res, false, errors.New("answer: unexpected status, protocol version or number of 1xx answers")
		}
		if resp.StatusCode >= 200 {
			break
		}
	}
	length, most := resp.ContentLength, int64(maxBody)
	if resp.StatusCode == http.StatusOK {
		most = window.Most // a 200 may be streamed; any other answer is read completely
	}
	switch {
	case asked.Method == http.MethodHead:
		c.left, res.Length = 0, length
	case length > most:
		return res, false, errTooLong
	case length < 0:
		c.left += window.Most + maxAnswerHead // with the chunk framing
	default:
		c.left += int(length)
	}
	var body []byte
	switch {
	case asked.Method == http.MethodHead: // the length describes a body that is not sent
	case resp.StatusCode == http.StatusOK:
		var passed bool
		in := incomingAnswer{a: x.a, c: c, body: resp.Body, length: length, contentType: resp.Header.Get("Content-Type"), budget: x.e.pool.opt.Budget}
		body, passed, err = in.receive()
		x.deadlineSet = in.deadlineSet
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
		res.Status = policy.Error // it may have been executed
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

// printable reports whether text contains no byte up to and including least, other than tabs, and no DEL. With least '
// ' tabs are not allowed either.
func printable(text string, least byte) bool {
	for i := range len(text) {
		if c := text[i]; c <= least && c != '\t' || c == '\t' && least == ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
