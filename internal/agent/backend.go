package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/policy"
)

const maxBody = 64 << 10 // of a request and of an answer

var (
	errWithdrawn = errors.New("attempt withdrawn before its first byte")
	errSockets   = errors.New("no socket left for a new connection")
	errCancelled = errors.New("attempt cancelled")
	errDrained   = errors.New("backend drains or is gone")
)

// backend is one listed server and the connections to it. The loop owns it; the
// transport is shared with the attempts.
type backend struct {
	addr      policy.Addr
	dial      string
	bornMs    float64
	usable    bool
	transport *http.Transport
	attempts  map[*attempt]struct{} // out now
}

// dialer opens connections to backends within the process's share of descriptors.
type dialer struct {
	connect func(ctx context.Context, network, addr string) (net.Conn, error)
	timeout time.Duration
	idle    time.Duration
	perHost int
	open    atomic.Int64
	most    int64
}

// newTransport makes the connections of one backend. Each backend has its own, so
// that its idle connections can be closed alone.
func (d *dialer) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         d.dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.perHost,
		IdleConnTimeout:     d.idle,
	}
}

// dial opens a connection for the attempt in ctx. The transport detaches its dials
// from the request, to keep the connection for a later one; here a dial ends with
// its attempt, so that none is left running to a backend that was given up.
func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	if a == nil {
		return nil, errors.New("dial without an attempt")
	}
	if d.open.Add(1) > d.most {
		d.open.Add(-1)
		return nil, errSockets
	}
	ctx, cancel := context.WithTimeout(a.ctx, d.timeout)
	defer cancel()
	c, err := d.connect(ctx, network, addr)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, dialer: d}, nil
}

// conn is a connection to a backend. It knows the attempt that it carries and asks
// it before a byte goes out.
type conn struct {
	net.Conn
	dialer  *dialer
	attempt atomic.Pointer[attempt]
	closed  sync.Once
}

func (c *conn) Write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil || !a.begin(c) {
		return 0, errWithdrawn
	}
	n, err := c.Conn.Write(p)
	if err != nil && n < len(p) {
		a.cut.Store(true) // the last byte can no longer follow
	}
	return n, err
}

func (c *conn) Close() error {
	c.closed.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

type attemptKey struct{}

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
	started time.Time

	transport *http.Transport // the backend's, and its address, when the attempt began
	dial      string

	ctx    context.Context
	cancel context.CancelCauseFunc
	stage  atomic.Int32
	conn   atomic.Pointer[conn] // the one that it may be written to
	cut    atomic.Bool          // a write failed: the request did not go out whole
}

// begin is asked before each write. It lets an attempt out on one connection only,
// which also stops a second copy that a library might send by itself.
func (a *attempt) begin(c *conn) bool {
	if a.conn.Load() != c {
		return false
	}
	return a.stage.CompareAndSwap(waiting, sending) || a.stage.Load() == sending
}

// withdraw stops an attempt of which no byte went out, and reports whether it is so.
func (a *attempt) withdraw() bool {
	return a.stage.CompareAndSwap(waiting, over) || a.stage.Load() == over
}

// gotConn binds the attempt to its connection; to the first one only.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok && a.conn.CompareAndSwap(nil, c) {
		c.attempt.Store(a)
	}
}

// result is how an attempt ended.
type result struct {
	status policy.Status
	took   time.Duration
	body   []byte
	kind   string // the answer's Content-Type
	load   string // the answer's load report
}

// run sends the attempt and waits for its end. When it returns, the connection is
// closed or free for the next, and no further byte of the attempt goes out.
func (a *attempt) run() result {
	res, err := a.roundTrip()
	if err != nil {
		res.status = a.ending(err)
		if c := a.conn.Load(); c != nil {
			c.Close()
		}
	}
	a.cancel(nil)
	res.took = time.Since(a.started)
	return res
}

// roundTrip returns an error where no whole answer came.
func (a *attempt) roundTrip() (res result, err error) {
	ctx := context.WithValue(a.ctx, attemptKey{}, a)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := a.transport.RoundTrip(a.outgoing().WithContext(ctx))
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return res, errors.New("an answer without a length can't be known to be whole")
	}
	res.load = resp.Header.Get("Server-Load")
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil && resp.StatusCode == http.StatusOK {
		return res, fmt.Errorf("answer: %w", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK && len(body) <= maxBody:
		res.status, res.body, res.kind = policy.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		res.status = policy.Full
	default:
		res.status = policy.Error // it may have run
	}
	if err != nil || len(body) > maxBody {
		a.conn.Load().Close()
	}
	return res, nil
}

// outgoing is the request as the backend gets it. The transport sends a request
// again by itself, unasked, if it has no body or can get it anew; so it always has
// a body here, one that can't be had twice.
func (a *attempt) outgoing() *http.Request {
	r := a.req
	u := *r.url
	u.Scheme, u.Host = "http", a.dial
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
	return &http.Request{Method: r.method, URL: &u, Host: r.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(r.body)), ContentLength: int64(len(r.body))}
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
	case never || a.cut.Load():
		return policy.ConnectFailed
	case cause != nil:
		return policy.Timeout
	}
	return policy.Reset
}

// report reads the values that the settings name from a load report of the form
// 'TEXT name=value, name=value'.
func report(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				x, err := strconv.ParseFloat(value, 32)
				if err != nil {
					return nil
				}
				values[i] = float32(x)
			}
		}
	}
	return values
}
