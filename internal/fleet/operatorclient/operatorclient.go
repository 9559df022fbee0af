// Package operatorclient is the operator's client of the control plane: it shows the configuration in force and sends
// changes. How a caller moves from agent to agent
// follows PROTOCOL.md, "The operator's API"; the calls are those of externalapi's table.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
)

// Figures of a call. The first three are PROTOCOL.md's.
const (
	// maxRedirects is how often one try follows 307.
	maxRedirects = 2
	// maxRejections is how many answers of another 4xx end a call.
	maxRejections = 3
	// DefaultReadTimeout is how long an agent may say nothing before another is asked; a second more for each MiB sent.
	DefaultReadTimeout = time.Second
	// DefaultCallTimeout bounds a whole call with all its tries.
	DefaultCallTimeout = 10 * time.Second
	// MaxResponseBytes is the most that is read of an answer, in bytes; the control server takes configurations of 16 MiB.
	MaxResponseBytes = 64 << 20
	// initialBackoff is the pause after the first try; it doubles up to maxBackoff.
	initialBackoff, maxBackoff = 100 * time.Millisecond, time.Second
)

// Client calls the control plane. It is safe for use by many goroutines.
type Client struct {
	// Control are the control addresses, host:port, asked in turn; one or more.
	Endpoints []string
	// Silence is how long an agent may say nothing; 0: DefaultReadTimeout.
	ReadTimeout time.Duration
	// Within bounds a call; 0: DefaultCallTimeout.
	CallTimeout time.Duration
}

// Response is a 200.
type Response struct {
	// From is the host:port that gave it.
	Endpoint string
	// Body is what came with it.
	Body []byte
}

// RejectedError is the error of a call that got a clear no: the configuration is as it was, as far as this call goes.
type RejectedError struct {
	// Status is 412 where another version is current, 400 for an invalid configuration, 404 to Show while there is none,
	// or another 4xx.
	Status int
	// From is the host:port that said it.
	Endpoint string
	// Why is one line; Findings are those of an invalid configuration.
	Reason   string
	Findings routingconfig.Findings
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("refused by %s (%d): %s", e.Endpoint, e.Status, e.Reason)
}

// IndeterminateError is the error of a call that got neither a yes nor a clear no in time: a change may be in force or not. The
// same call may be made again, unchanged.
type IndeterminateError struct {
	// Last is what the last try met; never nil.
	LastErr error
}

func (e *IndeterminateError) Error() string { return "no clear answer: " + e.LastErr.Error() }

// Unwrap is the last try's error.
func (e *IndeterminateError) Unwrap() error { return e.LastErr }

// Show asks for the newest configuration. Errors: *Refused, with status 404 while there is none; *Unclear.
func (c *Client) Show(ctx context.Context) (Response, error) {
	return c.do(ctx, externalapi.CallShow, nil, nil)
}

// Residency asks where data rested, by what is on the disks of the control plane: of one tenant, of one route that has
// regions without a tenant, or of all where both are empty. The body is a externalapi.Residency. Errors: *Refused, with status 404
// for a name of which nothing is known; *Unclear.
func (c *Client) Residency(ctx context.Context, tenant, route string) (Response, error) {
	call, query := externalapi.CallResidency, url.Values{}
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

// Change sends a configuration (externalapi.Replace) or a change of named items (externalapi.Update) on top of the version base; 0
// where there is none yet. Errors: *Refused and *Unclear.
func (c *Client) Change(ctx context.Context, call externalapi.Call, base int64, body []byte) (Response, error) {
	return c.do(ctx, call, body, http.Header{
		"Content-Type":                {"application/json"},
		externalapi.HeaderBaseVersion: {strconv.FormatInt(base, 10)},
	})
}

// do goes from agent to agent, with growing pauses, until an answer is clear or the time is over.
func (c *Client) do(ctx context.Context, call externalapi.Call, body []byte, h http.Header) (Response, error) {
	if len(c.Endpoints) == 0 {
		return Response{}, &IndeterminateError{errors.New("no control address is known")}
	}
	timeout := c.CallTimeout
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := &http.Transport{DialContext: (&net.Dialer{KeepAlive: -1}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	var lastErr error
	rejections := 0
	for n, backoff := 0, initialBackoff; ; n++ {
		status, response, err := c.attempt(ctx, client, call, c.Endpoints[n%len(c.Endpoints)], body, h)
		switch {
		case err != nil:
			if lastErr == nil || ctx.Err() == nil { // the end of the time says less than what came before
				lastErr = err
			}
		case status == http.StatusOK:
			return response, nil
		default:
			rejected := parseRejection(status, response)
			lastErr = errors.Errorf("%s: status %d: %s", rejected.Endpoint, rejected.Status, rejected.Reason)
			switch status {
			case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
				http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
				return Response{}, rejected
			case http.StatusRequestTimeout, http.StatusTooManyRequests:
			default:
				if status/100 == 4 {
					if rejections++; rejections == maxRejections {
						return Response{}, rejected
					}
				}
			}
		}
		wait := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			wait.Stop()
			return Response{}, &IndeterminateError{lastErr}
		case <-wait.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// parseRejection reads an answer that is no 200. The body is read as the control server writes it; of another one the first line
// is kept.
func parseRejection(status int, response Response) *RejectedError {
	r := &RejectedError{Status: status, Endpoint: response.Endpoint}
	var parsed struct {
		Why      string `json:"err"`
		Findings []struct {
			Place string `json:"place"`
			Text  string `json:"text"`
		} `json:"findings"`
	}
	if json.Unmarshal(response.Body, &parsed) == nil && parsed.Why != "" {
		r.Reason = parsed.Why
		for _, f := range parsed.Findings {
			r.Findings = append(r.Findings, routingconfig.Finding{Path: f.Place, Message: f.Text})
		}
		return r
	}
	const most = 200
	line, _, _ := strings.Cut(strings.TrimSpace(string(response.Body[:min(len(response.Body), most)])), "\n")
	if r.Reason = line; line == "" {
		r.Reason = strings.ToLower(http.StatusText(status))
	}
	return r
}

// attempt asks one agent and where that sends on to. An error is one of the network or of an answer that makes no sense.
func (c *Client) attempt(
	ctx context.Context, client *http.Client, call externalapi.Call, addr string, body []byte, h http.Header,
) (status int, response Response, err error) {
	readTimeout := c.ReadTimeout
	if readTimeout <= 0 {
		readTimeout = DefaultReadTimeout
	}
	readTimeout += time.Duration(len(body)>>20) * time.Second
	target := "http://" + addr + call.Path
	for redirects := 0; ; redirects++ {
		status, response, location, err := roundTrip(ctx, client, call.Method, target, readTimeout, body, h)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, response, err
		}
		if redirects == maxRedirects {
			return 0, Response{}, errors.Errorf("%s: sent on more than %d times", addr, maxRedirects)
		}
		if location == "" {
			return 0, Response{}, errors.Errorf("%s: a 307 without a Location that can be followed", response.Endpoint)
		}
		target = location
	}
}

// roundTrip makes one request; next is where a 307 leads, empty where that is no HTTP URL with a host.
func roundTrip(
	ctx context.Context, client *http.Client, method, target string, readTimeout time.Duration, body []byte, h http.Header,
) (status int, response Response, location string, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, response, "", errors.Wrap(err, "call")
	}
	if h != nil {
		req.Header = h.Clone()
	}
	response.Endpoint = req.URL.Host
	readTimer := time.AfterFunc(readTimeout, func() { cancel(errors.Errorf("%s: silent for %v", response.Endpoint, readTimeout)) })
	defer readTimer.Stop()
	wrapCause := func(err error) error {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
			return cause // the silence, or the caller's own
		}
		if in := new(url.Error); errors.As(err, &in) {
			err = in.Err // without method and URL
		}
		return errors.Wrap(err, response.Endpoint)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, response, "", wrapCause(err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	chunk := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(chunk)
		readTimer.Reset(readTimeout)
		b.Write(chunk[:n])
		if b.Len() > MaxResponseBytes {
			return 0, response, "", errors.Errorf("%s: an answer over %d bytes", response.Endpoint, MaxResponseBytes)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, response, "", wrapCause(err)
		}
	}
	response.Body = b.Bytes()
	if to, err := resp.Location(); err == nil && to.Scheme == "http" && to.Host != "" {
		location = to.String()
	}
	return resp.StatusCode, response, location, nil
}
