package externalapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// BackendClient makes the calls to backends that are no requests of clients.
type BackendClient struct{ client *http.Client }

// NewBackendClient makes one that uses the client given, whose time-out bounds each call.
func NewBackendClient(c *http.Client) *BackendClient { return &BackendClient{client: c} }

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

// Report asks a backend how it stands.
func (b *BackendClient) Report(ctx context.Context, addr string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, Report.Method, "http://"+addr+Report.Path, nil)
	if err != nil {
		return s, errors.Wrap(err, "report")
	}
	resp, err := b.client.Do(req)
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

// Order tells a backend its phase, in the name of the duty's holder, with its fence. The status is the backend's answer:
// 202 it does, 200 it is so, 409 another is under way, 412 a higher fence was seen. An error: it may have been taken.
func (b *BackendClient) Order(ctx context.Context, addr, phase, owner string, fence uint64) (status int, err error) {
	body, err := json.Marshal(struct {
		Op    string `json:"opcode"`
		Phase string `json:"phase"`
		Owner string `json:"owner"`
		Fence uint64 `json:"gen"`
	}{"phase", phase, owner, fence})
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, Order.Method, "http://"+addr+Order.Path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "order")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReport))
	return resp.StatusCode, nil
}
