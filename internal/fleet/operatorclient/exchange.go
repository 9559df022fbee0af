package operatorclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
)

// newHTTPClient returns the HTTP client of one call. Each request uses a new connection, so that a surplus response to
// an earlier attempt can't be mistaken for the next one's; attempt follows redirects itself, because it counts them.
func newHTTPClient() *http.Client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{KeepAlive: -1}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attempt sends a request to one endpoint and follows its redirects. It returns an error if the exchange fails or the
// response is invalid.
func (c *Client) attempt(
	ctx context.Context, client *http.Client, call externalapi.Call, addr string, body []byte, header http.Header,
) (status int, response Response, err error) {
	readTimeout := orDefault(c.ReadTimeout, DefaultReadTimeout)
	readTimeout += time.Duration(len(body)>>20) * time.Second
	target := "http://" + addr + call.Path
	for redirects := 0; ; redirects++ {
		status, response, location, err := roundTrip(ctx, client, call.Method, target, readTimeout, body, header)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, response, err
		}
		if redirects == maxRedirects {
			return 0, Response{}, errors.Errorf("%s: more than %d redirects", addr, maxRedirects)
		}
		if location == "" {
			return 0, Response{}, errors.Errorf("%s: a 307 without a Location that can be followed", response.Endpoint)
		}
		target = location
	}
}

// roundTrip makes one request. location is the target of a redirect, empty if that isn't an HTTP URL with a host. The
// request is cancelled if nothing is received for readTimeout.
func roundTrip(
	ctx context.Context, client *http.Client, method, target string, readTimeout time.Duration,
	body []byte, header http.Header,
) (status int, response Response, location string, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, response, "", errors.Wrap(err, "call")
	}
	if header != nil {
		req.Header = header.Clone()
	}
	response.Endpoint = req.URL.Host
	readTimer := time.AfterFunc(readTimeout, func() {
		cancel(errors.Errorf("%s: silent for %v", response.Endpoint, readTimeout))
	})
	defer readTimer.Stop()
	resp, err := client.Do(req)
	if err != nil {
		return 0, response, "", wrapCause(ctx, err, response.Endpoint)
	}
	defer resp.Body.Close()
	response.Body, err = readBody(resp.Body, func() { readTimer.Reset(readTimeout) })
	switch {
	case errors.Is(err, errTooLong):
		return 0, response, "", errors.Errorf("%s: an answer over %d bytes", response.Endpoint, MaxResponseBytes)
	case err != nil:
		return 0, response, "", wrapCause(ctx, err, response.Endpoint)
	}
	if to, err := resp.Location(); err == nil && to.Scheme == "http" && to.Host != "" {
		location = to.String()
	}
	return resp.StatusCode, response, location, nil
}

// errTooLong is the error of a body of more than MaxResponseBytes.
var errTooLong = errors.New("the body is too long")

// readBody reads a body to its end and calls onRead after each read. It returns no body with an error, since a
// truncated response must not be used.
func readBody(r io.Reader, onRead func()) ([]byte, error) {
	var b bytes.Buffer
	chunk := make([]byte, 32<<10)
	for {
		n, err := r.Read(chunk)
		onRead()
		b.Write(chunk[:n])
		if b.Len() > MaxResponseBytes {
			return nil, errTooLong
		}
		if errors.Is(err, io.EOF) {
			return b.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// wrapCause returns the error of a request, prefixed with the endpoint, or the cause of ctx's cancellation: the read
// time-out, or the caller's cause.
func wrapCause(ctx context.Context, err error, endpoint string) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
		return cause
	}
	if urlErr := new(url.Error); errors.As(err, &urlErr) {
		err = urlErr.Err // without method and URL, which the caller knows
	}
	return errors.Wrap(err, endpoint)
}
