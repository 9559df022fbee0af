// Package operatorclient is the operator's client of the control plane: it gets the configuration in force, the fleet's
// status and residency reports, and sends changes of the configuration. It neither decodes nor checks configurations,
// and has no state between calls.
//
// A call tries one control server after the other, with backoff, until a response is definite or the call times out:
// see PROTOCOL.md, "The operator's API". The paths are those of package externalapi. A Client may be used by several
// goroutines at once; each call blocks until it is complete.
package operatorclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
)

const (
	// maxRedirects is the number of 307 redirects that one attempt follows, according to PROTOCOL.md.
	maxRedirects = 2
	// maxRejections is the number of 4xx responses that end a call if none of them is definite, according to
	// PROTOCOL.md.
	maxRejections = 3
	// DefaultReadTimeout is how long a control server may send nothing before the next one is tried, according to
	// PROTOCOL.md. It is a second longer for each MiB sent.
	DefaultReadTimeout = time.Second
	// DefaultCallTimeout bounds a call with all its attempts.
	DefaultCallTimeout = 10 * time.Second
	// MaxResponseBytes bounds a response's body; a control server accepts configurations of 16 MiB.
	MaxResponseBytes = 64 << 20
	// initialBackoff is the wait after the first attempt; it doubles up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Client calls the control plane. It is safe for use by many goroutines as long as its fields aren't changed.
type Client struct {
	// Endpoints are the control addresses, host:port, tried in turn; one or more.
	Endpoints []string
	// ReadTimeout is how long a control server may send nothing; 0: DefaultReadTimeout.
	ReadTimeout time.Duration
	// CallTimeout bounds a call with all its attempts; 0: DefaultCallTimeout.
	CallTimeout time.Duration
}

// Response is a response with status 200.
type Response struct {
	// Endpoint is the host:port of the control server.
	Endpoint string
	// Body is the body, at most MaxResponseBytes.
	Body []byte
}

// Show returns the newest configuration. Errors: *RejectedError, with status 404 if there is none; *IndeterminateError.
func (c *Client) Show(ctx context.Context) (Response, error) {
	return c.do(ctx, externalapi.CallShow, nil, nil)
}

// Residency returns the regions in which data was, according to the control plane's disks: the data of one tenant, of
// one route that has regions without a tenant, or all data if both are empty. The body is an
// externalapi.ResidencyReport. Errors: *RejectedError, with status 404 for an unknown name; *IndeterminateError.
func (c *Client) Residency(ctx context.Context, tenant, route string) (Response, error) {
	call := externalapi.CallResidency
	query := url.Values{}
	if tenant != "" {
		query.Set(externalapi.QueryTenant, tenant)
	}
	if route != "" {
		query.Set(externalapi.QueryRoute, route)
	}
	if len(query) > 0 {
		call.Path += "?" + query.Encode()
	}
	return c.do(ctx, call, nil, nil)
}

// Change sends a configuration (externalapi.CallReplace) or a change of named items (externalapi.CallUpdate) based on
// the version base; 0 if there is none yet. Errors: *RejectedError and *IndeterminateError.
func (c *Client) Change(ctx context.Context, call externalapi.Call, base int64, body []byte) (Response, error) {
	return c.do(ctx, call, body, http.Header{
		"Content-Type":                {"application/json"},
		externalapi.HeaderBaseVersion: {strconv.FormatInt(base, 10)},
	})
}

// do tries one endpoint after the other, with backoff, until a response is definite or the call times out.
func (c *Client) do(ctx context.Context, call externalapi.Call, body []byte, header http.Header) (Response, error) {
	if len(c.Endpoints) == 0 {
		return Response{}, &IndeterminateError{LastErr: errors.New("no control address is known")}
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.CallTimeout, DefaultCallTimeout))
	defer cancel()
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	var sent atomic.Bool // the transport writes in a goroutine of its own
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	var lastErr error
	rejections := 0
	backoff := initialBackoff
	for n := 0; ; n++ {
		status, response, err := c.attempt(ctx, client, call, c.Endpoints[n%len(c.Endpoints)], body, header)
		switch {
		case err != nil:
			if lastErr == nil || ctx.Err() == nil { // after the time-out an earlier error is more specific
				lastErr = err
			}
		case status == http.StatusOK:
			return response, nil
		default:
			rejected := parseRejection(status, response)
			lastErr = rejected.asAttemptError()
			if countsAsRejection(status) {
				rejections++
			}
			if isDefinite(status) || rejections == maxRejections {
				return Response{}, rejected
			}
		}
		if !sleep(ctx, backoff) {
			return Response{}, &IndeterminateError{LastErr: lastErr, Sent: sent.Load()}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// orDefault returns d, or the default if d isn't above 0.
func orDefault(d, defaultValue time.Duration) time.Duration {
	if d <= 0 {
		return defaultValue
	}
	return d
}

// sleep waits for d. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
