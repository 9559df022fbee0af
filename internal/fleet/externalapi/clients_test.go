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

const answerWithin = 20 * time.Second

// standIn serves h on loopback until the test ends, and gives its host and port.
func standIn(t *testing.T, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestListFollowsPages reads a list page by page: entries that can't be sent to are left out, the fields are the
// platform's.
func TestListFollowsPages(t *testing.T) {
	c := qt.New(t)
	pages := map[string]string{
		"": `{"backends":[{"id":"b2","svc":"llm","address":"10.0.0.2:80","az":"koto","ver":"3","capacity":8,"state":"draining","warm_left_ms":900,` +
			`"phase":"decode","model_list":[{"name":"m","ver":12}]}],"next_marker":"m 1&x"}`,
		"m 1&x": `{"backends":[{"id":"b1","svc":"web","address":"10.0.0.1:80","state":"up"},{"id":"","address":"10.0.0.9:80","state":"up"},` +
			`{"id":"b3","address":"","state":"up"},{"id":"b4","address":"10.0.0.4:80","state":"gone"}],"next_marker":null}`,
	}
	addr := standIn(t, func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Method+" "+r.URL.Path, qt.Equals, "GET /backends")
		_, _ = io.WriteString(w, pages[r.URL.Query().Get("marker")])
	})
	list, calls, err := NewPlatformClient(addr, answerWithin).List(t.Context())
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

// TestListFailsClearly: too many calls, a failure in the middle, what is no list, a page and a number of pages over the
// bounds are errors, and no part of a list counts as one.
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
			addr := standIn(t, func(w http.ResponseWriter, r *http.Request) { one.answer(w, r.URL.Query().Get("marker")) })
			_, calls, err := NewPlatformClient(addr, answerWithin).List(t.Context())
			c.Assert(err, qt.ErrorMatches, one.want)
			c.Assert(calls <= maxPages, qt.IsTrue)
		})
	}
}

// TestListTimesOut: a platform that says nothing costs no more than the call's time.
func TestListTimesOut(t *testing.T) {
	c := qt.New(t)
	asked := make(chan struct{})
	release := make(chan struct{})
	addr := standIn(t, func(http.ResponseWriter, *http.Request) {
		close(asked)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), answerWithin)
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

// TestOrderNamesOwnerAndFence sends an order as the protocol has it, and gives each of its answers as it came.
func TestOrderNamesOwnerAndFence(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{200, 202, 400, 409, 412, 421, 503} {
		bodies := make(chan map[string]any, 1)
		addr := standIn(t, func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.Method+" "+r.URL.Path, qt.Equals, "POST /molepaddle/order")
			var body map[string]any
			c.Check(json.NewDecoder(r.Body).Decode(&body), qt.IsNil)
			bodies <- body
			w.WriteHeader(status)
		})
		got, err := NewBackendClient(answerWithin).Order(t.Context(), addr, PhaseOrder{
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

// TestOrderIsSentOnce: an order whose connection ends without an answer may have been taken, and the client library
// sends it no second time by itself.
func TestOrderIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var orders atomic.Int64
	addr := standIn(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprint(w, `{}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if orders.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	client := NewBackendClient(answerWithin)
	// The connection was used before: only then does the library consider a further try.
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
