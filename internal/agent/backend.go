package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"molepaddle/internal/cluster"
	"molepaddle/policy"
)

const (
	maxBody       = 64 << 10 // of a request and of an answer
	maxAnswerHead = 16 << 10 // of an answer, with the 1xx answers ahead of it
	maxInterim    = 8        // 1xx answers ahead of an answer
)

var (
	errWithdrawn = errors.New("attempt withdrawn before its first byte")
	errSockets   = errors.New("no socket left for a new connection")
	errCancelled = errors.New("attempt cancelled")
	errDrained   = errors.New("backend drains or is gone")
)

// backend is one listed server. The loop owns it; the group of its connections is
// shared with the attempts.
type backend struct {
	addr     cluster.Addr
	bornMs   float64
	usable   bool
	group    *group
	attempts map[*attempt]struct{} // out now
}

// The stages of an attempt.
const (
	waiting int32 = iota // no byte was written
	sending              // a byte may have been written
	over                 // withdrawn before a byte was written: none will be
)

// attempt is one send of a request to a backend.
type attempt struct {
	req     *request
	index   int
	backend *backend
	group   *group // the backend's connections when the attempt began
	started time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc
	stage  atomic.Int32
	cut    bool // a write failed: the request did not go out whole
}

// begin is asked before the first byte is written.
func (a *attempt) begin() bool { return a.stage.CompareAndSwap(waiting, sending) }

// withdraw stops an attempt of which no byte went out, and reports whether it is so.
func (a *attempt) withdraw() bool {
	return a.stage.CompareAndSwap(waiting, over) || a.stage.Load() == over
}

// result is how an attempt ended.
type result struct {
	status policy.Status
	took   time.Duration
	body   []byte
	kind   string // the answer's Content-Type
	load   string // the answer's load report
	broken error  // a panic, with its stack
}

// run sends the attempt and waits for its end. When it returns, the connection is
// closed or free for the next, and no further byte of the attempt goes out. A panic
// must not end the process with all that it holds: what began may have run.
func (a *attempt) run() (res result) {
	defer func() {
		if p := recover(); p != nil {
			res = result{status: policy.Reset, broken: fmt.Errorf("panic in an attempt: %v\n%s", p, debug.Stack())}
		}
		a.cancel(nil)
		res.took = time.Since(a.started)
	}()
	res, err := a.roundTrip()
	if err != nil {
		res = result{status: a.ending(err)}
	}
	return res
}

// roundTrip returns an error where no whole answer came; then the connection is closed.
func (a *attempt) roundTrip() (res result, err error) {
	c, err := a.group.get(a.ctx)
	if err != nil {
		return res, err
	}
	keep := false
	defer func() {
		if keep {
			a.group.put(c)
		} else {
			c.Close()
		}
	}()
	end := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !end() {
			keep = false // its deadline is set, or is about to be
		}
	}()
	var out bytes.Buffer
	if err := a.outgoing().Write(&out); err != nil {
		a.withdraw()
		return res, err
	}
	if !a.begin() {
		return res, errWithdrawn
	}
	c.left = maxAnswerHead
	if n, err := c.Write(out.Bytes()); err != nil {
		a.group.pool.used(c, a.ctx.Err() == nil)
		a.cut = n < out.Len() // the last byte can no longer follow
		return res, err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	res, keep, err = a.answer(c, r)
	if a.ctx.Err() == nil { // else it was given up, which says nothing of its age
		a.group.pool.used(c, err != nil && c.left == maxAnswerHead)
	}
	// Bytes behind the answer belong to nothing that was asked for.
	keep = keep && err == nil && r.Buffered() == 0
	return res, err
}

// answer reads the answer, and reports whether the connection can be used again. Of an
// answer that is spoilt in any way nothing is believed: it may have run.
func (a *attempt) answer(c *conn, r *bufio.Reader) (res result, keep bool, err error) {
	var resp *http.Response
	for i := 0; ; i++ {
		if resp, err = http.ReadResponse(r, &http.Request{Method: a.req.method}); err != nil {
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
	res.load = resp.Header.Get("Server-Load")
	switch {
	case resp.StatusCode == http.StatusOK:
		res.status, res.body, res.kind = policy.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		res.status = policy.Full
	default:
		res.status = policy.Error // it may have run
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

// outgoing is the request as the backend gets it.
func (a *attempt) outgoing() *http.Request {
	r := a.req
	left := max(time.Until(a.deadline()).Milliseconds(), 1)
	h := http.Header{
		"Request-Id":      {r.wireID},
		"Request-Timeout": {strconv.FormatInt(left, 10) + "m"},
		"User-Agent":      {""},
	}
	if r.idempotency != "" {
		h["Idempotency-Key"] = []string{r.idempotency}
	}
	if r.kind != "" {
		h["Content-Type"] = []string{r.kind}
	}
	out := &http.Request{Method: r.method, URL: &url.URL{Opaque: r.target}, Host: r.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.body))}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return out
}

func (a *attempt) deadline() time.Time {
	t, _ := a.ctx.Deadline()
	return t
}

// ending tells how an attempt ended that got no whole answer. In doubt it may have run.
func (a *attempt) ending(err error) policy.Status {
	never := a.withdraw()
	cause := context.Cause(a.ctx)
	switch {
	case never && (errors.Is(err, errSockets) || errors.Is(cause, errDrained)):
		return policy.Full
	case errors.Is(cause, errCancelled):
		return policy.Cancelled
	case never || a.cut:
		return policy.ConnectFailed
	case cause != nil:
		return policy.Timeout
	}
	return policy.Reset
}

// report reads the values that the settings name from a load report of the form
// 'TEXT name=value, name=value'. It is taken whole or not at all: a value that is
// missing or makes no sense would look like an idle backend.
func report(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	seen := make([]bool, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				x, err := strconv.ParseFloat(value, 32)
				if err != nil || !(x >= 0) || math.IsInf(x, 0) || seen[i] {
					return nil
				}
				values[i], seen[i] = float32(x), true
			}
		}
	}
	for _, ok := range seen {
		if !ok {
			return nil
		}
	}
	return values
}
