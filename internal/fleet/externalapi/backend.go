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

const (
	// reportIdleTimeout is for how long a connection for reports is kept without use.
	reportIdleTimeout = 6 * time.Second
	// maxReportBytes bounds a report.
	maxReportBytes = 1 << 20
)

// BackendClient makes the calls to backends that no client's request causes. It is safe for use by many goroutines.
//
// net/http repeats a request by itself, on another connection, where a connection that had been used before ends
// without a byte of an answer: those of the methods GET, HEAD, OPTIONS and TRACE, those with an Idempotency-Key, and
// any of which no byte was written. A report may be repeated. An order has a connection of its own, so that it is
// written once and no answer but its own can be taken for its answer. Redirects, which would have an order sent once
// more, are not followed.
type BackendClient struct {
	reports *http.Client
	orders  *http.Client
}

// NewBackendClient makes a client each of whose calls is given up after timeout. What of an order has not reached its
// backend by then is not sent any more: an order that a partition delayed must not arrive once the partition has
// healed.
func NewBackendClient(timeout time.Duration) *BackendClient {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: sockets.UserTimeout(timeout)}
	newClient := func(transport *http.Transport) *http.Client {
		transport.DisableCompression = true
		return &http.Client{Timeout: timeout, Transport: transport, CheckRedirect: ignoreRedirect}
	}
	return &BackendClient{
		reports: newClient(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     reportIdleTimeout,
		}),
		orders: newClient(&http.Transport{
			DialContext:       dialResetting(dialer),
			DisableKeepAlives: true,
		}),
	}
}

// ErrFenced is that a backend has seen a higher fencing token (412): there is a later holder of the role.
var ErrFenced = errors.New("a higher fencing token was seen")

// ignoreRedirect has a 3xx come back as the answer.
func ignoreRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dialResetting dials connections that are reset when they are closed, so that what waits to be sent is dropped.
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

// BackendReport is a backend's report of its state, some hundred ms old.
type BackendReport struct {
	// Phase is PhasePrefill or PhaseDecode.
	Phase string `json:"phase"`
	// PhaseChanging is true while an order is carried out.
	PhaseChanging bool `json:"util"`
	// OrdersTaken counts the orders that the backend has taken, see PhaseOrder.ExpectedOrders.
	OrdersTaken uint64 `json:"seqno"`
	// Queued and Active are numbers of requests.
	Queued int `json:"queued"`
	Active int `json:"active"`
	// KVTokensInUse and KVTokenCapacity are the fill and the size of the KV cache, in tokens.
	KVTokensInUse   int64 `json:"kv_inuse"`
	KVTokenCapacity int64 `json:"kv_cap"`
	// KVHandles is the number of handles of KV caches that wait to be taken.
	KVHandles int `json:"kv_refs"`
}

// Report asks the backend with an id for its report; another one at addr, host:port, doesn't answer for it. Errors:
// those of the network, a status that isn't 200, and a report that can't be read.
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
	// BackendID is the backend's id: another one at its address, or itself after a restart, does not take the order.
	BackendID string
	// Phase is PhasePrefill or PhaseDecode.
	Phase string
	// Owner is the holder of the singleton role that gives orders.
	Owner string
	// FencingToken is the holder's: a backend that has seen a higher one does not take the order.
	FencingToken uint64
	// ExpectedOrders is OrdersTaken of the backend's last report: an order that arrives late, after another, is not
	// taken.
	ExpectedOrders uint64
}

// phaseOrderBody is the body of a PhaseOrder.
type phaseOrderBody struct {
	Op             string `json:"opcode"`
	Phase          string `json:"phase"`
	Owner          string `json:"owner"`
	FencingToken   uint64 `json:"gen"`
	ExpectedOrders uint64 `json:"expect"`
}

// Order gives an order to the backend at addr, host:port. It returns the backend's status: 202 the phase changes, 200
// it was that already, 409 another order is under way or was taken since the report, 421 this is another backend.
// Errors: ErrFenced, with 412; after any other the order may have been taken. It is not sent again.
func (b *BackendClient) Order(ctx context.Context, addr string, o PhaseOrder) (status int, err error) {
	body, err := json.Marshal(phaseOrderBody{
		Op:             "phase",
		Phase:          o.Phase,
		Owner:          o.Owner,
		FencingToken:   o.FencingToken,
		ExpectedOrders: o.ExpectedOrders,
	})
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
	if resp.StatusCode == http.StatusPreconditionFailed {
		return resp.StatusCode, ErrFenced
	}
	return resp.StatusCode, nil
}

// OrderTaken reports whether a backend that answered an order with this status holds to it.
func OrderTaken(status int) bool { return status == http.StatusAccepted || status == http.StatusOK }
