package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/window"
	"molepaddle/policy"
)

// FastCGI configures the connections to servers that speak FastCGI.
type FastCGI struct {
	// Serves reports whether the given server of the endpoint list speaks FastCGI.
	Serves func(s *cluster.Server) bool
	// Params are additional name-value pairs, sent before each request's own.
	Params [][2]string
	// Early states that servers start a request at the end of PARAMS and read the body meanwhile: a request that broke
	// after that may have been executed. Otherwise they start when they have received the complete request.
	Early bool
	// Log receives what servers write to STDERR, at debug level; nil: discarded.
	Log *slog.Logger
}

const (
	// onlyRequestID is the id of the single request on a connection.
	onlyRequestID = 1
	// maxStderr bounds the STDERR text kept for one request, in bytes.
	maxStderr = 512
)

var (
	errRejected = errors.New("answer: server rejected the request")
	errFailed   = errors.New("answer: application ended with a non-zero status")
	errRecord   = errors.New("answer: record of an unexpected type or request id")
	errLength   = errors.New("answer: length differs from Content-Length")
)

// overFastCGI implements FastCGI 1.0, with one request at a time on a connection.
type overFastCGI struct{ opt *FastCGI }

// request encodes the CGI variables by RFC 3875.
func (f *overFastCGI) request(out []byte, a *core.Attempt, left time.Duration) ([]byte, int, error) {
	m := &a.Request.Message
	for _, part := range []string{m.Method, m.Target} {
		if part == "" || !printable(part, ' ') {
			return nil, 0, errUnsendable
		}
	}
	path, query, _ := strings.Cut(m.Target, "?")
	plain, err := url.PathUnescape(path)
	if err != nil {
		return nil, 0, errUnsendable
	}
	host, port, err := net.SplitHostPort(m.Host)
	if err != nil {
		host, port = m.Host, "80"
	}
	length := int64(len(m.Body))
	if m.Stream != nil {
		length = m.Length
	}
	out = fcgi.AppendBegin(out, onlyRequestID, fcgi.Begin{Role: fcgi.Responder, Keep: true})
	params := buffers.Get().(*[]byte)
	defer buffers.Put(params)
	p := (*params)[:0]
	for _, pair := range f.opt.Params {
		p = fcgi.AppendPair(p, pair[0], pair[1])
	}
	told := ""
	if length > 0 || length == 0 && m.Method != http.MethodGet && m.Method != http.MethodHead {
		told = strconv.FormatInt(length, 10)
	}
	for _, pair := range [...][2]string{{"GATEWAY_INTERFACE", "CGI/1.1"}, {"SERVER_SOFTWARE", "molepaddle"}, {"SERVER_PROTOCOL", "HTTP/1.1"},
		{"SERVER_NAME", host}, {"SERVER_PORT", port}, {"REQUEST_METHOD", m.Method}, {"REQUEST_URI", m.Target}, {"SCRIPT_NAME", ""},
		{"PATH_INFO", plain}, {"QUERY_STRING", query}, {"CONTENT_LENGTH", told}, {"CONTENT_TYPE", m.ContentType}, {"HTTP_HOST", m.Host},
		{"HTTP_REQUEST_ID", a.Request.ID}, {"HTTP_IDEMPOTENCY_KEY", m.IdempotencyKey},
		{"HTTP_REQUEST_TIMEOUT", strconv.FormatInt(left.Milliseconds(), 10) + "m"}} {
		if !printable(pair[1], ' '-1) {
			return nil, 0, errUnsendable
		}
		if pair[1] != "" || pair[0] == "SCRIPT_NAME" || pair[0] == "QUERY_STRING" {
			p = fcgi.AppendPair(p, pair[0], pair[1])
		}
	}
	if cap(p) <= maxPooledBuffer {
		*params = p
	}
	out = fcgi.Append(fcgi.AppendStream(out, fcgi.Params, onlyRequestID, p), fcgi.Params, onlyRequestID, nil)
	begins := -1
	if f.opt.Early {
		begins = len(out)
	}
	out = fcgi.AppendStream(out, fcgi.Stdin, onlyRequestID, m.Body)
	if m.Stream == nil {
		out = fcgi.Append(out, fcgi.Stdin, onlyRequestID, nil)
	}
	return out, begins, nil
}

func (f *overFastCGI) piece(_ *core.Message, buf []byte, n int) []byte {
	pad := -n & 7
	fcgi.AppendHeader(buf[frameHeadRoom-fcgi.HeaderLen:frameHeadRoom-fcgi.HeaderLen], fcgi.Header{Type: fcgi.Stdin, ID: onlyRequestID, Length: n, Padding: pad})
	return buf[frameHeadRoom-fcgi.HeaderLen : frameHeadRoom+n+pad]
}

func (f *overFastCGI) last(*core.Message) []byte {
	return fcgi.Append(nil, fcgi.Stdin, onlyRequestID, nil)
}

// begun skips STDERR records, empty STDOUT records and management records that arrive while the body is sent.
func (f *overFastCGI) begun(x *exchange, r *bufio.Reader) bool {
	for {
		raw, err := r.Peek(fcgi.HeaderLen)
		if err != nil {
			return len(raw) > 0
		}
		h, err := fcgi.ParseHeader([fcgi.HeaderLen]byte(raw))
		if err != nil || !h.Management() && h.Type != fcgi.Stderr && (h.Type != fcgi.Stdout || h.Length > 0) {
			return true
		}
		x.stderrSeen = x.stderrSeen || h.Type == fcgi.Stderr && h.Length > 0
		x.c.left += fcgi.HeaderLen + h.Length + h.Padding // not counted against the answer's limit
		if x.skippedBytes += h.Length; x.skippedBytes > maxAnswerHead*maxInterim {
			return true // stop skipping: the server may never end
		}
		if _, err := r.Discard(fcgi.HeaderLen + h.Length + h.Padding); err != nil {
			return false
		}
	}
}

// output reads a server's records for one request. Read returns its STDOUT; the error is io.EOF only if the request
// ended successfully.
type output struct {
	r      *fcgi.Reader
	wrote  bool // the server has written to STDOUT or STDERR
	stdout bool // a STDOUT record is being read
	ended  bool // END_REQUEST has come
	end    fcgi.End
	err    error // first error, returned again by each later Read, as the first reader may drop it
	stderr []byte
}

func (o *output) Read(p []byte) (n int, err error) {
	if o.err == nil {
		n, o.err = o.read(p)
	}
	return n, o.err
}

func (o *output) read(p []byte) (int, error) {
	for {
		if o.stdout {
			if n, err := o.r.Read(p); err != io.EOF {
				return n, err
			}
			o.stdout = false
		}
		if o.ended {
			return 0, o.result()
		}
		h, err := o.r.Next()
		switch {
		case err == io.EOF:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		case h.Management():
			// No management record was sent, so any that arrives is ignored.
		case h.ID != onlyRequestID:
			return 0, errRecord
		case h.Type == fcgi.Stdout:
			o.wrote = o.wrote || h.Length > 0
			o.stdout = h.Length > 0
		case h.Type == fcgi.Stderr:
			o.wrote = o.wrote || h.Length > 0
			var part [maxStderr]byte
			n, err := io.ReadFull(o.r, part[:min(h.Length, maxStderr-len(o.stderr))])
			o.stderr = append(o.stderr, part[:n]...)
			if err != nil {
				return 0, err
			}
		case h.Type == fcgi.EndRequest:
			var content [fcgi.HeaderLen]byte
			raw, err := o.r.Content(content[:])
			if err == nil {
				o.end, err = fcgi.ParseEnd(raw)
			}
			if err != nil {
				return 0, err
			}
			o.ended = true
		default:
			return 0, errRecord
		}
	}
}

// result returns io.EOF for a successful END_REQUEST, else an error.
func (o *output) result() error {
	switch {
	case o.end.Status != fcgi.Complete:
		return errRejected
	case o.end.App != 0:
		return errFailed
	}
	return io.EOF
}

// neverStarted reports whether END_REQUEST proves that the request was not executed.
func (o *output) neverStarted() bool {
	return o.ended && !o.wrote && (o.end.Status == fcgi.Overloaded || o.end.Status == fcgi.CantMux)
}

// exactReader reads a body and fails unless it has its declared length.
type exactReader struct {
	r    io.Reader
	left int64
}

func (e *exactReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if e.left -= int64(n); e.left < 0 || err == io.EOF && e.left > 0 {
		return 0, errLength
	}
	return n, err
}

func (f *overFastCGI) answer(x *exchange, r *bufio.Reader) (res core.Result, keep bool, err error) {
	c := x.c
	o := &output{r: fcgi.NewReader(r), wrote: x.stderrSeen}
	defer func() {
		if len(o.stderr) > 0 && f.opt.Log != nil {
			f.opt.Log.Debug("fastcgi: server wrote to STDERR", "server", x.e.dial, "request", x.a.Request.ID, "text", string(o.stderr))
		}
	}()
	// The status in END_REQUEST takes precedence over the output.
	ended := func(err error) (core.Result, bool, error) {
		switch {
		case o.neverStarted():
			return core.Result{Status: policy.Full}, true, nil
		case o.ended && o.result() != io.EOF:
			return core.Result{Status: policy.Error}, true, nil
		}
		return core.Result{}, false, fmt.Errorf("answer: %w", err)
	}
	in := readers.Get().(*bufio.Reader)
	in.Reset(o)
	defer func() {
		in.Reset(nil)
		readers.Put(in)
	}()
	head, err := textproto.NewReader(in).ReadMIMEHeader()
	if err != nil {
		return ended(err)
	}
	status, length, err := parseHead(head)
	if err != nil {
		return ended(err)
	}
	c.left += 2 * window.Most // with the record framing
	passing := incomingAnswer{a: x.a, c: c, length: length, contentType: head.Get("Content-Type"), budget: x.e.pool.opt.Budget}
	passing.body = in
	if length >= 0 {
		passing.body = &exactReader{in, length}
	}
	var body []byte
	passed, tail := false, io.Reader(in)
	switch {
	case x.a.Request.Message.Method == http.MethodHead: // the length describes a body that is not sent
		_, err = io.Copy(io.Discard, io.LimitReader(in, maxBody))
		res.Length = length
	case status != http.StatusOK || length > window.Most:
		_, err = readBody(in, -1)
	default:
		body, passed, err = passing.receive()
		tail = passing.body
	}
	x.deadlineSet = passing.deadlineSet
	if passed {
		return core.Result{Status: policy.OK, Load: head.Get("Server-Load")}, err == nil, err
	}
	if err == nil {
		var more [1]byte // only the end of the request may follow
		n, last := tail.Read(more[:])
		if n > 0 {
			last = errLength
		}
		if last != io.EOF {
			err = last
		}
	}
	if err != nil {
		return ended(err)
	}
	if length > window.Most {
		return res, false, errTooLong
	}
	res.Load = head.Get("Server-Load")
	switch {
	case status == http.StatusOK:
		res.Status, res.Body, res.ContentType = policy.OK, body, passing.contentType
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && head.Get("Not-Started") == "1":
		res.Status = policy.Full
	default:
		res.Status = policy.Error // it may have been executed
	}
	return res, true, nil
}

// parseHead returns the status and the length that a CGI header states; the length is -1 if there is none.
func parseHead(head textproto.MIMEHeader) (status int, length int64, err error) {
	status, length = http.StatusOK, -1
	if told := head.Values("Status"); len(told) > 1 {
		return 0, 0, errors.New("more than one Status")
	} else if len(told) == 1 {
		code, _, _ := strings.Cut(told[0], " ")
		if status, err = strconv.Atoi(code); err != nil || status < 200 || status > 599 {
			return 0, 0, errors.New("invalid Status")
		}
	} else if head.Get("Location") != "" {
		status = http.StatusFound
	}
	if told := head.Values("Content-Length"); len(told) > 1 {
		return 0, 0, errors.New("more than one Content-Length")
	} else if len(told) == 1 {
		if length, err = strconv.ParseInt(told[0], 10, 64); err != nil || length < 0 {
			return 0, 0, errors.New("invalid Content-Length")
		}
	}
	return status, length, nil
}
