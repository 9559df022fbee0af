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
	// reportIdleTimeout is how long an idle connection for reports is kept.
	reportIdleTimeout = 6 * time.Second
	// maxReportBytes bounds the body of a report, or of an answer to an order.
	maxReportBytes = 1 << 20
)

// BackendClient makes the calls to backends that aren't made on behalf of a client's request. It is safe for use by
// many goroutines.
//
// net/http retries a request on another connection if a reused connection ends before the first byte of the response
// and the request has the method GET, HEAD, OPTIONS or TRACE, has an Idempotency-Key, or has not been written at all. A
// report may be retried. An order uses a new connection, so that it is written once and no other response can be
// mistaken for its response. Redirects, which would send an order again, are not followed.
type BackendClient struct {
	reports *http.Client
	orders  *http.Client
}

// NewBackendClient returns a client whose calls time out after timeout. The bytes of an order that have not been sent
// by then are discarded: an order that was delayed by a partition must not arrive after the partition has healed.
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

// ErrFenced is the error of an order to a backend that has seen a higher fencing token (412): there is a newer holder
// of the singleton role.
var ErrFenced = errors.New("backend has seen a higher fencing token")

// ignoreRedirect makes a client return a 3xx response instead of following the redirect.
func ignoreRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dialResetting dials connections that are reset when they are closed, so that unsent data is discarded.
func dialResetting(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a broken connection
		}
		return conn, nil
	}
}

// BackendReport is a backend's report of its state, which is some hundred milliseconds old.
type BackendReport struct {
	// Phase is PhasePrefill or PhaseDecode.
	Phase string `json:"phase"`
	// PhaseChanging is true while the backend executes an order.
	PhaseChanging bool `json:"util"`
	// OrdersTaken is the number of orders that the backend has accepted, see PhaseOrder.ExpectedOrders.
	OrdersTaken uint64 `json:"seqno"`
	// Queued and Active are numbers of requests.
	Queued int `json:"queued"`
	Active int `json:"active"`
	// KVTokensInUse and KVTokenCapacity are the usage and the size of the KV cache, in tokens.
	KVTokensInUse   int64 `json:"kv_inuse"`
	KVTokenCapacity int64 `json:"kv_cap"`
	// KVHandles is the number of handles of KV caches that are waiting to be transferred.
	KVHandles int `json:"kv_refs"`
}

// Report returns the report of the backend with an id at addr, host:port; another backend at that address rejects the
// call. It returns an error if the exchange fails, the status isn't 200 or the report can't be decoded.
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

// PhaseOrder is an order to a backend to change its phase.
type PhaseOrder struct {
	// BackendID is the backend's id: another backend at its address, or the same one after a restart, rejects the
	// order.
	BackendID string
	// Phase is PhasePrefill or PhaseDecode.
	Phase string
	// Owner is the holder of the singleton role that gives orders.
	Owner string
	// FencingToken is the holder's fencing token: a backend that has seen a higher one rejects the order.
	FencingToken uint64
	// ExpectedOrders is OrdersTaken of the backend's last report: an order that arrives late, after another one, is
	// rejected.
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
	req.GetBody = nil // prevents a retry by net/http
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

// OrderTaken reports whether a backend that answered an order with this status has accepted it.
func OrderTaken(status int) bool { return status == http.StatusAccepted || status == http.StatusOK }
