package externalapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/protocol/sockets"
)

// BackendClient makes the calls to backends that are no requests of clients.
//
// net/http repeats a request by itself, on another connection, where a connection that had been used before ends without a byte
// of an answer: those of the methods GET, HEAD, OPTIONS and TRACE, those with an Idempotency-Key, and any of which no byte was
// written. A report may be repeated. An order has a connection of its own, so that it is written once and no answer but its own
// can come in the place of its answer. Redirects, which would have an order sent once more, are not followed.
type BackendClient struct {
	reports *http.Client
	orders  *http.Client
}

// reportIdleTimeout is for how long a connection for reports is kept without use.
const reportIdleTimeout = 6 * time.Second

// NewBackendClient makes a client each of whose calls is given up after the time given. What of an order has not reached its
// backend when it is given up is not sent any more: one that a cut held up must not arrive once the cut has healed.
func NewBackendClient(timeout time.Duration) *BackendClient {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: sockets.UserTimeout(timeout)}
	client := func(t *http.Transport) *http.Client {
		t.DisableCompression = true
		return &http.Client{Timeout: timeout, Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	return &BackendClient{
		reports: client(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout}),
		orders:  client(&http.Transport{DialContext: dialResetting(dialer), DisableKeepAlives: true}),
	}
}

// dialResetting has closing a connection reset it, so that what waits to be sent is dropped.
func dialResetting(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it fails only on a connection that is broken
		}
		return conn, nil
	}
}

// BackendReport is a backend's report, some hundred ms old.
type BackendReport struct {
	Phase           string `json:"phase"`
	PhaseChanging   bool   `json:"util"` // an order is under way
	OrdersTaken     uint64 `json:"seqno"`
	Queued          int    `json:"queued"`
	Active          int    `json:"active"`
	KVTokensInUse   int64  `json:"kv_inuse"` // tokens
	KVTokenCapacity int64  `json:"kv_cap"`
	KVHandles       int    `json:"kv_refs"`
}

// maxReportBytes bounds a report, in bytes.
const maxReportBytes = 1 << 20

// CallReport asks the backend of an id how it stands; another at its address does not answer for it.
func (b *BackendClient) Report(ctx context.Context, addr, id string) (BackendReport, error) {
	var report BackendReport
	req, err := http.NewRequestWithContext(ctx, CallReport.Method, "http://"+addr+CallReport.Path, nil)
	if err != nil {
		return report, errors.Wrap(err, "report")
	}
	req.Header.Set(HeaderTargetBackend, id)
	resp, err := b.reports.Do(req)
	if err != nil {
		return report, errors.Wrap(err, "report")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return report, errors.Wrap(err, "report")
	}
	if resp.StatusCode != http.StatusOK {
		return report, errors.Errorf("report: status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, errors.Wrap(err, "report")
	}
	return report, nil
}

// PhaseOrder has a backend change its phase.
type PhaseOrder struct {
	BackendID      string // its id: another at its address, and itself after a restart, does not take the order
	Phase          string
	Owner          string // the duty's holder
	FencingToken   uint64 // the holder's
	ExpectedOrders uint64 // orders that the backend has taken, by its last report: one that comes late, after another, is not taken
}

// CallOrder gives an order. The status is the backend's answer: 202 it does, 200 it is so, 409 another is under way or was taken
// since the report, 412 a higher fence was seen, 421 it is another. An error: it may have been taken.
func (b *BackendClient) Order(ctx context.Context, addr string, o PhaseOrder) (status int, err error) {
	body, err := json.Marshal(struct {
		Op     string `json:"opcode"`
		Phase  string `json:"phase"`
		Owner  string `json:"owner"`
		Fence  uint64 `json:"gen"`
		Expect uint64 `json:"expect"`
	}{"phase", o.Phase, o.Owner, o.FencingToken, o.ExpectedOrders})
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, CallOrder.Method, "http://"+addr+CallOrder.Path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req.GetBody = nil // nothing that could be sent again
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderTargetBackend, o.BackendID)
	resp, err := b.orders.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes)); err != nil {
		return 0, errors.Wrap(err, "order")
	}
	return resp.StatusCode, nil
}
