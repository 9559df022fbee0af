package externalapi

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
)

// ErrRateLimited is the error of a call that the platform rejected because of its rate limit (429).
var ErrRateLimited = errors.New("platform: rate limit exceeded")

const (
	// maxPageBytes and maxPages bound the pages of a list.
	maxPageBytes = 8 << 20
	maxPages     = 4096
	// platformIdleTimeout is how long an idle connection to the platform is kept.
	platformIdleTimeout = 3 * time.Second
)

// States of a backend in the platform's list. A backend in any other state accepts no requests yet, or no more.
const (
	stateUp       = "up"
	stateDraining = "draining"
)

// PlatformClient gets the list of backends from the platform. It is safe for use by many goroutines.
type PlatformClient struct {
	addr   string
	client *http.Client
}

// NewPlatformClient returns a client of the platform at addr, host:port. Each call, one per page of the list, times out
// after timeout.
func NewPlatformClient(addr string, timeout time.Duration) *PlatformClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     platformIdleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{
		Timeout:       timeout,
		Transport:     transport,
		CheckRedirect: ignoreRedirect,
	}
	return &PlatformClient{addr: addr, client: client}
}

// SortByID sorts a list by ids, so that equal lists have the same encoding.
func SortByID(list *distribution.BackendList) {
	slices.SortFunc(list.Backends, func(a, b distribution.Backend) int { return strings.Compare(a.ID, b.ID) })
}

// listPage is a page of the platform's list.
type listPage struct {
	Backends []listedBackend `json:"backends"`
	Next     *string         `json:"next_marker"` // nil or empty on the last page
}

// listedBackend is a backend in the platform's list.
type listedBackend struct {
	ID       string `json:"id"`
	Service  string `json:"svc"`
	Address  string `json:"address"`
	Zone     string `json:"az"`
	Version  string `json:"ver"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Phase    string `json:"phase"`
	Models   []struct {
		Name    string `json:"name"`
		Version int64  `json:"ver"`
	} `json:"model_list"`
}

// usable reports whether requests may be sent to a backend, or may have been sent until it began to drain.
func (b *listedBackend) usable() bool {
	return b.ID != "" && b.Address != "" && (b.State == stateUp || b.State == stateDraining)
}

// List returns the complete list, which it gets page by page, and the number of calls, also with an error. Errors:
// ErrRateLimited, a failed exchange, and a list that can't be decoded or exceeds a limit; with an error, list has the
// backends received so far.
func (p *PlatformClient) List(ctx context.Context) (list distribution.BackendList, calls int, err error) {
	marker := ""
	for calls < maxPages {
		req, err := p.newRequest(ctx, marker)
		if err != nil {
			return list, calls, errors.Wrap(err, "platform")
		}
		calls++
		page, err := p.fetchPage(req)
		if err != nil {
			return list, calls, err
		}
		for i := range page.Backends {
			if b := &page.Backends[i]; b.usable() {
				list.Backends = append(list.Backends, b.toBackend())
			}
		}
		if page.Next == nil || *page.Next == "" {
			return list, calls, nil
		}
		marker = *page.Next
	}
	return list, calls, errors.Errorf("platform: more than %d pages", maxPages)
}

// newRequest returns the request for the page at a marker; empty: the first.
func (p *PlatformClient) newRequest(ctx context.Context, marker string) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: CallListBackends.Path}
	if marker != "" {
		u.RawQuery = url.Values{"marker": {marker}}.Encode()
	}
	return http.NewRequestWithContext(ctx, CallListBackends.Method, u.String(), nil)
}

// fetchPage sends the request for a page and decodes the response.
func (p *PlatformClient) fetchPage(req *http.Request) (*listPage, error) {
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
	resp.Body.Close()
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "platform")
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Errorf("platform: status %d", resp.StatusCode)
	case len(body) > maxPageBytes:
		return nil, errors.Errorf("platform: a page over %d bytes", maxPageBytes)
	}
	var page listPage
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	return &page, nil
}

// toBackend returns the backend as an element of the fleet's list. Its Weights are the version of the first model.
func (b *listedBackend) toBackend() distribution.Backend {
	out := distribution.Backend{
		ID:       b.ID,
		Service:  b.Service,
		Address:  b.Address,
		Zone:     b.Zone,
		Version:  b.Version,
		Capacity: b.Capacity,
		Draining: b.State == stateDraining,
		Phase:    b.Phase,
	}
	if len(b.Models) > 0 {
		out.Weights = b.Models[0].Version
	}
	return out
}
