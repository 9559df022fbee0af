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

// ErrRateLimited is that the platform takes no more calls for now.
var ErrRateLimited = errors.New("the platform takes no more calls for now")

// PlatformClient asks the platform for its list.
type PlatformClient struct {
	addr   string
	client *http.Client
}

// maxPageBytes and maxPages bound what is read of a list.
const (
	maxPageBytes = 8 << 20
	maxPages     = 4096
)

// NewPlatformClient makes a client of the platform at host and port; a call is given up after the time given.
func NewPlatformClient(addr string, timeout time.Duration) *PlatformClient {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: 3 * time.Second, DisableCompression: true}
	return &PlatformClient{addr: addr, client: &http.Client{Timeout: timeout, Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// SortByID puts a list in the order of ids, so that equal lists have equal bytes.
func SortByID(list *distribution.BackendList) {
	slices.SortFunc(list.Backends, func(a, b distribution.Backend) int { return strings.Compare(a.ID, b.ID) })
}

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

// List asks for the whole list, page by page, and says how many calls that took. Errors: ErrRateLimited, those of the
// network, and a list that can't be read.
func (p *PlatformClient) List(ctx context.Context) (list distribution.BackendList, calls int, err error) {
	marker := ""
	for calls < maxPages {
		u := url.URL{Scheme: "http", Host: p.addr, Path: CallListBackends.Path}
		if marker != "" {
			u.RawQuery = url.Values{"marker": {marker}}.Encode()
		}
		req, err := http.NewRequestWithContext(ctx, CallListBackends.Method, u.String(), nil)
		if err != nil {
			return list, calls, errors.Wrap(err, "platform")
		}
		calls++
		resp, err := p.client.Do(req)
		if err != nil {
			return list, calls, errors.Wrap(err, "platform")
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
		resp.Body.Close()
		switch {
		case err != nil:
			return list, calls, errors.Wrap(err, "platform")
		case resp.StatusCode == http.StatusTooManyRequests:
			return list, calls, ErrRateLimited
		case resp.StatusCode != http.StatusOK:
			return list, calls, errors.Errorf("platform: status %d", resp.StatusCode)
		case len(body) > maxPageBytes:
			return list, calls, errors.Errorf("platform: a page over %d bytes", maxPageBytes)
		}
		var page struct {
			Backends []listedBackend `json:"backends"`
			Next     *string         `json:"next_marker"`
		}
		if err := json.Unmarshal(body, &page); err != nil {
			return list, calls, errors.Wrap(err, "platform")
		}
		for _, b := range page.Backends {
			e := distribution.Backend{ID: b.ID, Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version, Capacity: b.Capacity,
				Draining: b.State == "draining", Phase: b.Phase}
			if len(b.Models) > 0 {
				e.Weights = b.Models[0].Version
			}
			if e.ID != "" && e.Address != "" && (b.State == "up" || b.State == "draining") {
				list.Backends = append(list.Backends, e)
			}
		}
		if page.Next == nil || *page.Next == "" {
			return list, calls, nil
		}
		marker = *page.Next
	}
	return list, calls, errors.Errorf("platform: more than %d pages", maxPages)
}
