package externalapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

const testTimeout = 20 * time.Second

// startServer serves h on loopback until the test ends, and returns its host:port.
func startServer(t *testing.T, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestListFollowsPages gets a list page by page: backends that can't be used are left out, and all fields are
// converted.
func TestListFollowsPages(t *testing.T) {
	c := qt.New(t)
	pages := map[string]string{
		"": `{"backends":[{"id":"b2","svc":"llm","address":"10.0.0.2:80","az":"koto","ver":"3","capacity":8,"state":"draining","warm_left_ms":900,` +
			`"phase":"decode","model_list":[{"name":"m","ver":12}]}],"next_marker":"m 1&x"}`,
		"m 1&x": `{"backends":[{"id":"b1","svc":"web","address":"10.0.0.1:80","state":"up"},{"id":"","address":"10.0.0.9:80","state":"up"},` +
			`{"id":"b3","address":"","state":"up"},{"id":"b4","address":"10.0.0.4:80","state":"gone"}],"next_marker":null}`,
	}
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Method+" "+r.URL.Path, qt.Equals, "GET /backends")
		_, _ = io.WriteString(w, pages[r.URL.Query().Get("marker")])
	})
	list, calls, err := NewPlatformClient(addr, testTimeout).List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(calls, qt.Equals, 2)
	SortByID(&list)
	c.Assert(list.Backends, qt.DeepEquals, []distribution.Backend{
		{ID: "b1", Service: "web", Address: "10.0.0.1:80"},
		{
			ID:       "b2",
			Service:  "llm",
			Address:  "10.0.0.2:80",
			Zone:     "koto",
			Version:  "3",
			Capacity: 8,
			Draining: true,
			Phase:    "decode",
			Weights:  12,
		},
	})
}

// TestListFailsClearly: a rate limit, a failure of a later page, an invalid or truncated page, a page that is too large
// and too many pages are errors; a partial list is never returned without an error.
func TestListFailsClearly(t *testing.T) {
	for name, one := range map[string]struct {
		answer func(w http.ResponseWriter, marker string)
		want   string
	}{
		"too many calls": {func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusTooManyRequests) },
			ErrRateLimited.Error()},
		"no list": {func(w http.ResponseWriter, _ string) { _, _ = io.WriteString(w, `[]`) }, "platform: .*"},
		"cut short": {func(w http.ResponseWriter, _ string) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"backends":[]`)
		}, "platform: .*EOF"},
		"fails at the second page": {func(w http.ResponseWriter, marker string) {
			if marker != "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, `{"backends":[],"next_marker":"2"}`)
		}, "platform: status 503"},
		"a page too large": {func(w http.ResponseWriter, _ string) {
			_, _ = io.WriteString(w, `{"backends":[{"id":"`+strings.Repeat("x", maxPageBytes)+`"}]}`)
		}, "platform: a page over .*"},
		"pages without end": {func(w http.ResponseWriter, _ string) {
			_, _ = io.WriteString(w, `{"backends":[],"next_marker":"again"}`)
		}, "platform: more than .* pages"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			addr := startServer(t, func(w http.ResponseWriter, r *http.Request) { one.answer(w, r.URL.Query().Get("marker")) })
			_, calls, err := NewPlatformClient(addr, testTimeout).List(t.Context())
			c.Assert(err, qt.ErrorMatches, one.want)
			c.Assert(calls <= maxPages, qt.IsTrue)
		})
	}
}

// TestListTimesOut: a call to a platform that doesn't respond ends after the client's time-out.
func TestListTimesOut(t *testing.T) {
	c := qt.New(t)
	asked := make(chan struct{})
	release := make(chan struct{})
	addr := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(asked)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, _, err := NewPlatformClient(addr, 100*time.Millisecond).List(ctx)
		ended <- err
	}()
	<-asked
	c.Assert(<-ended, qt.ErrorMatches, "platform: .*")
	c.Assert(ctx.Err(), qt.IsNil)
}

// TestOrderNamesOwnerAndFence: an order has the body of the protocol, and Order returns each status.
func TestOrderNamesOwnerAndFence(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{200, 202, 400, 409, 412, 421, 503} {
		bodies := make(chan map[string]any, 1)
		addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.Method+" "+r.URL.Path, qt.Equals, "POST /molepaddle/order")
			var body map[string]any
			c.Check(json.NewDecoder(r.Body).Decode(&body), qt.IsNil)
			bodies <- body
			w.WriteHeader(status)
		})
		got, err := NewBackendClient(testTimeout).Order(t.Context(), addr, PhaseOrder{
			BackendID:      "b1",
			Phase:          PhasePrefill,
			Owner:          "core-1",
			FencingToken:   7,
			ExpectedOrders: 3,
		})
		if status == http.StatusPreconditionFailed {
			c.Assert(err, qt.Equals, ErrFenced)
		} else {
			c.Assert(err, qt.IsNil)
		}
		c.Assert(got, qt.Equals, status)
		c.Assert(<-bodies, qt.DeepEquals,
			map[string]any{"opcode": "phase", "phase": PhasePrefill, "owner": "core-1", "gen": 7.0, "expect": 3.0})
	}
}

// TestOrderIsSentOnce: a backend may have accepted an order whose connection ends without a response, and net/http
// doesn't retry it.
func TestOrderIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var orders atomic.Int64
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprint(w, `{}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if orders.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	client := NewBackendClient(testTimeout)
	// net/http only retries a request on a reused connection.
	_, err := client.Report(t.Context(), addr, "b1")
	c.Assert(err, qt.IsNil)
	_, err = client.Order(t.Context(), addr, PhaseOrder{
		BackendID:    "b1",
		Phase:        PhaseDecode,
		Owner:        "core-1",
		FencingToken: 7,
	})
	c.Assert(err, qt.IsNotNil)
	c.Assert(orders.Load(), qt.Equals, int64(1))
}
