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

// Client sends requests to one edge address over plain connections and keeps a Result of each. It does not retry. It is
// safe for concurrent use.
type Client struct {
	Edge string // IP:PORT
	Keep bool   // keep connections for many requests

	mu      sync.Mutex
	idle    []*clientConn
	results []*Result
}

type clientConn struct {
	net.Conn
	br         *bufio.Reader
	lastResult *Result // of the request before
}

// patience bounds a request without a deadline, and linger the wait for bytes after an answer on a closing connection.
const (
	defaultDeadline   = 10 * time.Second
	trailingBytesWait = 200 * time.Millisecond
)

// Do sends r once and reads the whole answer.
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
	res := &Result{Request: r, BodyHash: xxhash.Sum64(r.Body), Edge: c.Edge, SentAt: time.Now()}
	res.Err = c.exchange(ctx, res)
	res.EndedAt = time.Now()
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

// Close closes kept connections; bytes found there mark the last Result on them as Extra.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := k.br.Peek(1); err == nil {
			k.lastResult.Extra = true
		}
		k.Close()
	}
	c.idle = nil
}

func (c *Client) acquireConn(ctx context.Context) (*clientConn, bool, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, true, nil
	}
	c.mu.Unlock()
	nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Edge)
	if err != nil {
		return nil, false, errors.Wrap(err, "dial")
	}
	return &clientConn{Conn: nc, br: bufio.NewReader(nc)}, false, nil
}

// formatRequest writes r as HTTP/1.1.
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
	if !keep {
		b.WriteString("Connection: close\r\n")
	}
	r.Header.Write(b)
	switch {
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.Body; len(rest) > 0; {
			n := min(len(rest), 512)
			fmt.Fprintf(b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	default:
		if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
			fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
		}
		b.WriteString("\r\n")
		b.Write(r.Body)
	}
	return b.Bytes()
}

func (c *Client) exchange(ctx context.Context, res *Result) error {
	limit := res.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	k, reused, err := c.acquireConn(ctx)
	if err != nil {
		return err
	}
	res.Reused = reused
	stop := context.AfterFunc(ctx, func() { k.Close() })
	keep := false
	defer func() {
		if keep = keep && stop(); !keep {
			stop()
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
	// A peer may answer before it has read the body: a failed write is told only when no answer can be read.
	_, wrote := k.Write(formatRequest(res.Request, c.Keep))
	resp, err := readResponseHead(k.br, res.Method)
	if err != nil {
		res.Malformed = isMalformed(err)
		if wrote != nil {
			err = errors.Wrap(wrote, "send")
		}
		return errors.Wrap(err, "read head")
	}
	res.Status, res.Header = resp.StatusCode, resp.Header
	res.Closing = resp.Close
	res.Seal, res.Answered = resp.Header.Get(HeaderSeal), resp.Header.Get(HeaderAttempt)
	if s, err := strconv.ParseFloat(resp.Header.Get(HeaderRetryAfter), 64); err == nil {
		res.RetryAfter = time.Duration(s * float64(time.Second))
	}
	body := &bytes.Buffer{}
	var from io.Reader = io.TeeReader(resp.Body, body)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(from, res)
	} else {
		_, err = io.Copy(io.Discard, from)
	}
	res.AnswerBody, res.AnswerHash = body.Bytes(), xxhash.Sum64(body.Bytes())
	if err != nil {
		res.Malformed = res.Malformed || isMalformed(err)
		return errors.Wrap(err, "read body")
	}
	// An answer that has no length and no chunks ends with its connection, and looks complete wherever it was cut.
	res.Complete = true
	if k.br.Buffered() > 0 {
		res.Extra = true
		return nil
	}
	if resp.Close {
		k.SetReadDeadline(time.Now().Add(trailingBytesWait))
		if _, err := k.br.Peek(1); err == nil {
			res.Extra = true
		}
		return nil
	}
	keep = c.Keep
	return nil
}

// readResponseHead reads an answer's head, passing over 1xx.
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

// isMalformed tells whether err is about the bytes and not about their end.
func isMalformed(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed)
}

// readEvents reads a stream of events: lines "versions: N", "id: N" and "data: SEAL TOKENS", and an empty line.
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
			ev, begun = Event{}, false
			continue
		}
		begun = true
		name, value, ok := strings.Cut(line, ": ")
		switch {
		case ok && name == "versions":
			ev.Versions = value
		case ok && name == "id":
			ev.ID, err = strconv.Atoi(value)
		case ok && name == "data":
			var n string
			ev.Seal, n, _ = strings.Cut(value, " ")
			ev.Tokens, err = strconv.Atoi(n)
		default:
			res.Malformed = true
		}
		if err != nil {
			res.Malformed = true
		}
	}
}
