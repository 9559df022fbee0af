package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
)

// operator calls the control plane as an operator's client does: it tries the control servers in turn until one accepts
// the call.
type operator struct {
	addresses []string // control addresses
	client    http.Client
	version   int64
	changes   uint64 // acknowledged so far
}

// retryPause is the pause after each round of attempts; callTimeout bounds one attempt (PROTOCOL allows a second
// without an answer).
const (
	retryPause  = 20 * time.Millisecond
	callTimeout = time.Second
)

func newOperator(addresses []string) *operator {
	return &operator{addresses: addresses, client: http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// pause waits for d and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// call retries one call until a control server answers 200. Status codes other than 307, 404 and 5xx end it.
func (o *operator) call(ctx context.Context, c *externalapi.Call, body []byte) error {
	last := errors.New("no control server")
	for i := 0; ctx.Err() == nil; i++ {
		url := "http://" + o.addresses[i%len(o.addresses)] + c.Path
		req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set(externalapi.HeaderBaseVersion, strconv.FormatInt(o.version, 10))
		resp, err := o.client.Do(req)
		if err != nil {
			last = err
		} else {
			answer, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = errors.Errorf("status %d: %s", resp.StatusCode, answer)
			if resp.StatusCode < 500 && resp.StatusCode != http.StatusTemporaryRedirect &&
				resp.StatusCode != http.StatusNotFound {
				return last
			}
		}
		if i%len(o.addresses) == len(o.addresses)-1 && !pause(ctx, retryPause) {
			break
		}
	}
	return errors.Wrap(last, c.Name)
}

// replace sends the first configuration.
func (o *operator) replace(ctx context.Context, routes int) error {
	b, err := json.Marshal(newDocument(o.version+1, routes))
	if err != nil {
		return err
	}
	if err := o.call(ctx, &externalapi.CallReplace, b); err != nil {
		return err
	}
	o.version++
	o.changes++
	return nil
}

// update sends an update of one route.
func (o *operator) update(ctx context.Context) error {
	c := change{Version: o.version + 1}
	c.Upsert.Routes = []routeItem{route(0, int(o.version%8))}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := o.call(ctx, &externalapi.CallUpdate, b); err != nil {
		return err
	}
	o.version++
	o.changes++
	return nil
}

// show waits until a control server returns the configuration, which means that there is a primary with a stable view.
func (o *operator) show(ctx context.Context) error { return o.call(ctx, &externalapi.CallShow, nil) }
