package simulation

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Client sends requests to one edge address over plain connections and records a Result of each. It does not retry. It
// is safe for concurrent use.
type Client struct {
	Edge      string // IP:PORT
	KeepAlive bool   // reuse connections for further requests

	mu      sync.Mutex
	idle    []*clientConn
	results []*Result
}

// clientConn is a connection that carries one request at a time.
type clientConn struct {
	net.Conn
	br         *bufio.Reader
	lastResult *Result // Result of the previous request
}

const (
	// defaultDeadline bounds a request that has no deadline.
	defaultDeadline = 10 * time.Second
	// trailingBytesWait is the wait for bytes after an answer on a closing connection: long enough for bytes that
	// follow the answer immediately over loopback.
	trailingBytesWait = 200 * time.Millisecond
	// idleBytesWait is the same wait for an idle connection that Close closes.
	idleBytesWait = 10 * time.Millisecond
	// clientDialTimeout bounds the connect to the edge.
	clientDialTimeout = time.Second
	// requestChunk is the maximum size in bytes of a chunk of a request's body.
	requestChunk = 512
)

// Do sends r once, blocks until its answer was read completely or its deadline passed, and returns its Result.
func (c *Client) Do(ctx context.Context, r Request) Result {
	if r.Attempt == "" {
		r.Attempt = randomHex(8)
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Kind == "" {
		r.Kind = ReadOnly
	}
	res := &Result{
		Request:  r,
		BodyHash: xxhash.Sum64(r.Body),
		Edge:     c.Edge,
		SentAt:   time.Now(),
	}
	res.Err = c.exchange(ctx, res)
	res.EndedAt = time.Now()
	res.Abandoned = res.Err != nil && errors.Is(ctx.Err(), context.Canceled)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, res)
	return *res
}

// Results returns all Results so far, in the order in which they ended.
func (c *Client) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Result, len(c.results))
	for i, r := range c.results {
		out[i] = *r
	}
	return out
}

// Close closes idle connections; bytes found there mark the last Result on them as Extra.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.SetReadDeadline(time.Now().Add(idleBytesWait))
		if _, err := k.br.Peek(1); err == nil {
			k.lastResult.Extra = true
		}
		k.Close()
	}
	c.idle = nil
}

// acquireConn returns an idle connection or opens one, and reports whether it was used before.
func (c *Client) acquireConn(ctx context.Context) (*clientConn, bool, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	nc, err := (&net.Dialer{Timeout: clientDialTimeout}).DialContext(ctx, "tcp", c.Edge)
	if err != nil {
		return nil, false, errors.Wrap(err, "dial")
	}
	return &clientConn{Conn: nc, br: bufio.NewReader(nc)}, false, nil
}

// formatRequest returns r as HTTP/1.1.
func formatRequest(r Request, keep bool) []byte {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.Method, r.Path, r.Host, HeaderAttempt, r.Attempt)
	if r.Deadline > 0 {
		fmt.Fprintf(b, "%s: %d\r\n", HeaderDeadline, r.Deadline.Milliseconds())
	}
	if r.Model != "" {
		fmt.Fprintf(b, "%s: %s\r\n", HeaderModel, r.Model)
	}
	if r.Tokens != [2]int{} {
		fmt.Fprintf(b, "%s: %d,%d\r\n", HeaderTokens, r.Tokens[0], r.Tokens[1])
	}
	if len(r.Parts) > 0 {
		fmt.Fprintf(b, "%s: %s\r\n", HeaderPrefix, formatParts(r.Parts))
	}
	if r.LastEvent > 0 {
		fmt.Fprintf(b, "%s: %d\r\n", HeaderLastEvent, r.LastEvent)
	}
	if r.Key != "" {
		fmt.Fprintf(b, "Authorization: Bearer %s\r\n", r.Key)
	}
	if !keep {
		b.WriteString("Connection: close\r\n")
	}
	r.Header.Write(b)
	writeRequestBody(b, r)
	return b.Bytes()
}

// writeRequestBody writes the framing headers, the end of the head and the body.
func writeRequestBody(b *bytes.Buffer, r Request) {
	if r.Chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.Body; len(rest) > 0; {
			n := min(len(rest), requestChunk)
			fmt.Fprintf(b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
		return
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
}

// exchange sends res.Request over a connection and fills in the answer. The connection is kept for another request only
// if no bytes are left on it; otherwise it is closed.
func (c *Client) exchange(ctx context.Context, res *Result) error {
	limit := res.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	k, reused, err := c.acquireConn(ctx)
	if err != nil {
		res.NotSent = true
		return err
	}
	res.Reused = reused
	stop := context.AfterFunc(ctx, func() { k.Close() })
	reusable := false
	defer func() {
		// stop reports false when ctx ended first: then the connection is being closed.
		if !stop() || !reusable {
			k.Close()
			return
		}
		k.lastResult = res
		c.mu.Lock()
		c.idle = append(c.idle, k)
		c.mu.Unlock()
	}()
	if k.br.Buffered() > 0 {
		res.Extra = true
	}
	// A peer may answer before it has read the body, so a write error is returned only if no answer can be read.
	_, sendErr := k.Write(formatRequest(res.Request, c.KeepAlive))
	resp, err := readResponseHead(k.br, res.Method)
	if err != nil {
		res.Malformed = isMalformed(err)
		if sendErr != nil {
			err = errors.Wrap(sendErr, "send")
		}
		return errors.Wrap(err, "read head")
	}
	res.setHead(resp)
	if err := res.readBody(resp); err != nil {
		return err
	}
	reusable = k.checkTrailingBytes(res) && c.KeepAlive
	return nil
}

// checkTrailingBytes records bytes that came after the answer, and reports whether the connection can carry another
// request.
func (k *clientConn) checkTrailingBytes(res *Result) bool {
	if k.br.Buffered() > 0 {
		res.Extra = true
		return false
	}
	if !res.Closing {
		return true
	}
	k.SetReadDeadline(time.Now().Add(trailingBytesWait))
	if _, err := k.br.Peek(1); err == nil {
		res.Extra = true
	}
	return false
}

// setHead records an answer's head.
func (r *Result) setHead(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Header = resp.Header
	r.Closing = resp.Close
	r.Seal = resp.Header.Get(HeaderSeal)
	r.Answered = resp.Header.Get(HeaderAttempt)
	if s, err := strconv.ParseFloat(resp.Header.Get(HeaderRetryAfter), 64); err == nil {
		r.RetryAfter = time.Duration(s * float64(time.Second))
	}
}

// readBody reads an answer's body, and its events if it is a stream of them.
func (r *Result) readBody(resp *http.Response) error {
	body := &bytes.Buffer{}
	tee := io.TeeReader(resp.Body, body)
	var err error
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(tee, r)
	} else {
		_, err = io.Copy(io.Discard, tee)
	}
	r.AnswerBody = body.Bytes()
	r.AnswerHash = xxhash.Sum64(r.AnswerBody)
	if err != nil {
		r.Malformed = r.Malformed || isMalformed(err)
		return errors.Wrap(err, "read body")
	}
	// An answer without length and chunks ends with its connection, and looks complete wherever it was cut.
	r.Complete = true
	return nil
}

// readResponseHead returns the answer after any 1xx ones, as far as its head; its body is read from br.
func readResponseHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		if _, err := br.Peek(1); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode/100 != 1 {
			return resp, err
		}
	}
}

// isMalformed reports whether err is about the content of the received bytes, not a time-out or the end of the input.
func isMalformed(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed)
}

// readEvents reads a stream of events: lines "versions: N", "id: N" and "data: SEAL TOKENS", and an empty line. Other
// input sets res.Malformed. It returns nil if the input ends between two events.
func readEvents(r io.Reader, res *Result) error {
	br := bufio.NewReader(r)
	var ev Event
	begun := false
	for {
		line, err := br.ReadString('\n')
		if err == io.EOF {
			if line != "" || begun {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if ev.ID == 0 || ev.Seal == "" {
				res.Malformed = true
			}
			ev.At = time.Now()
			res.Events = append(res.Events, ev)
			ev = Event{}
			begun = false
			continue
		}
		begun = true
		if !ev.parseLine(line) {
			res.Malformed = true
		}
	}
}

// parseLine adds one line of an event, and reports whether it is well-formed.
func (ev *Event) parseLine(line string) bool {
	name, value, ok := strings.Cut(line, ": ")
	if !ok {
		return false
	}
	var err error
	switch name {
	case "versions":
		ev.Versions = value
	case "id":
		ev.ID, err = strconv.Atoi(value)
	case "data":
		var tokens string
		ev.Seal, tokens, _ = strings.Cut(value, " ")
		ev.Tokens, err = strconv.Atoi(tokens)
	default:
		return false
	}
	return err == nil
}
