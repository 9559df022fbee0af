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

// reportConnIdle is for how long a connection for reports is kept without use.
const reportConnIdle = 6 * time.Second

// NewBackendClient makes a client each of whose calls is given up after the time given. What of an order has not reached its
// backend when it is given up is not sent any more: one that a cut held up must not arrive once the cut has healed.
func NewBackendClient(within time.Duration) *BackendClient {
	dialer := &net.Dialer{Timeout: within, KeepAlive: -1, Control: sockets.UserTimeout(within)}
	client := func(t *http.Transport) *http.Client {
		t.DisableCompression = true
		return &http.Client{Timeout: within, Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	return &BackendClient{
		reports: client(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: reportConnIdle}),
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

// State is a backend's report, some hundred ms old.
type State struct {
	Phase    string `json:"phase"`
	Changing bool   `json:"util"` // an order is under way
	Orders   uint64 `json:"seqno"`
	Queued   int    `json:"queued"`
	Active   int    `json:"active"`
	KVInUse  int64  `json:"kv_inuse"` // tokens
	KVCap    int64  `json:"kv_cap"`
	Handles  int    `json:"kv_refs"`
}

// maxReport bounds a report, in bytes.
const maxReport = 1 << 20

// Report asks the backend of an id how it stands; another at its address does not answer for it.
func (b *BackendClient) Report(ctx context.Context, addr, id string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, Report.Method, "http://"+addr+Report.Path, nil)
	if err != nil {
		return s, errors.Wrap(err, "report")
	}
	req.Header.Set(Target, id)
	resp, err := b.reports.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "report")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return s, errors.Wrap(err, "report")
	}
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("report: status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errors.Wrap(err, "report")
	}
	return s, nil
}

// PhaseOrder has a backend change its phase.
type PhaseOrder struct {
	Backend string // its id: another at its address, and itself after a restart, does not take the order
	Phase   string
	Owner   string // the duty's holder
	Fence   uint64 // the holder's
	Expect  uint64 // orders that the backend has taken, by its last report: one that comes late, after another, is not taken
}

// Order gives an order. The status is the backend's answer: 202 it does, 200 it is so, 409 another is under way or was taken
// since the report, 412 a higher fence was seen, 421 it is another. An error: it may have been taken.
func (b *BackendClient) Order(ctx context.Context, addr string, o PhaseOrder) (status int, err error) {
	body, err := json.Marshal(struct {
		Op     string `json:"opcode"`
		Phase  string `json:"phase"`
		Owner  string `json:"owner"`
		Fence  uint64 `json:"gen"`
		Expect uint64 `json:"expect"`
	}{"phase", o.Phase, o.Owner, o.Fence, o.Expect})
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, Order.Method, "http://"+addr+Order.Path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req.GetBody = nil // nothing that could be sent again
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(Target, o.Backend)
	resp, err := b.orders.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport)); err != nil {
		return 0, errors.Wrap(err, "order")
	}
	return resp.StatusCode, nil
}
