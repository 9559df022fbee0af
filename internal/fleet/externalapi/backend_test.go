package externalapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/rig/testkit"
)

// callTimeout bounds a call; shortTimeout bounds a call that is expected to time out, which is tested for every
// silentStep-th byte.
const (
	callTimeout  = 20 * time.Second
	shortTimeout = 200 * time.Millisecond
	silentStep   = 9
)

const goodReport = "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"phase\":\"decode\",\"seqno\":3      }"

var order = externalapi.PhaseOrder{
	BackendID:      "i-1",
	Phase:          externalapi.PhasePrefill,
	Owner:          "node-7",
	FencingToken:   41,
	ExpectedOrders: 3,
}

// call is a request that a backend received, with the number of its connection.
type call struct {
	conn   int
	method string
	path   string
	target string
	body   string
}

// backend is a fake backend that records its calls.
type backend struct {
	mu    sync.Mutex
	conns int
	calls []call
}

// serve starts the backend and returns its address; respond returns the bytes of a response, and whether the connection
// stays open.
func (b *backend) serve(t *testing.T, respond func(c call) (answer string, keepOpen bool)) string {
	return testkit.Raw(t, func(c net.Conn, r *bufio.Reader) {
		b.mu.Lock()
		b.conns++
		number := b.conns
		b.mu.Unlock()
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			one := call{number, req.Method, req.URL.Path, req.Header.Get(externalapi.HeaderTargetBackend), string(body)}
			b.mu.Lock()
			b.calls = append(b.calls, one)
			b.mu.Unlock()
			answer, keepOpen := respond(one)
			if _, err := io.WriteString(c, answer); err != nil || !keepOpen {
				return
			}
		}
	})
}

// callsByMethod returns the calls with a method.
func (b *backend) callsByMethod(method string) (all []call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if c.method == method {
			all = append(all, c)
		}
	}
	return all
}

// TestOrderIsSentOnce cuts the response to an order off after each of its bytes, with the connection left open or
// closed, at a backend to which another connection is open: the order arrives once, on a new connection, and an
// incomplete response is an error.
func TestOrderIsSentOnce(t *testing.T) {
	const answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
	for k := range len(answer) + 1 {
		for _, silent := range []bool{false, true} {
			if silent && k%silentStep != 0 && k < len(answer) {
				continue
			}
			t.Run(fmt.Sprintf("%d bytes, silent %v", k, silent), func(t *testing.T) {
				c := qt.New(t)
				b := &backend{}
				addr := b.serve(t, func(one call) (string, bool) {
					if one.method == http.MethodGet {
						return goodReport, true
					}
					return answer[:k], silent
				})
				bound := callTimeout
				if silent && k < len(answer) {
					bound = shortTimeout
				}
				client := externalapi.NewBackendClient(bound)
				_, err := client.Report(t.Context(), addr, "i-1")
				c.Assert(err, qt.IsNil)
				status, err := client.Order(t.Context(), addr, order)
				c.Check(err == nil, qt.Equals, k == len(answer), qt.Commentf("%v", err))
				if err == nil {
					c.Check(status, qt.Equals, http.StatusAccepted)
				}
				orders := b.callsByMethod(http.MethodPost)
				c.Assert(orders, qt.HasLen, 1)
				c.Check(orders[0].conn, qt.Not(qt.Equals), b.callsByMethod(http.MethodGet)[0].conn)
			})
		}
	}
}

// TestOrderReturnsTheStatus: an order has the backend's id and the expected number of orders, and Order returns the
// status.
func TestOrderReturnsTheStatus(t *testing.T) {
	c := qt.New(t)
	b := &backend{}
	addr := b.serve(t, func(call) (string, bool) { return "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", true })
	client := externalapi.NewBackendClient(callTimeout)
	status, err := client.Order(t.Context(), addr, order)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusMisdirectedRequest)
	_, err = client.Report(t.Context(), addr, "i-1")
	c.Check(err, qt.ErrorMatches, "report: status 421")
	var said map[string]any
	c.Assert(json.Unmarshal([]byte(b.calls[0].body), &said), qt.IsNil)
	c.Check(said, qt.DeepEquals, map[string]any{"opcode": "phase", "phase": "prefill", "owner": "node-7", "gen": 41.0,
		"expect": 3.0})
	c.Check(b.calls[0].path, qt.Equals, "/molepaddle/order")
	for _, one := range b.calls {
		c.Check(one.target, qt.Equals, "i-1")
	}
}

// TestOrderTakesNoOtherCallsResponse: a surplus response to a report is not mistaken for the response to an order, as
// it would be on the same connection.
func TestOrderTakesNoOtherCallsResponse(t *testing.T) {
	c := qt.New(t)
	b := &backend{}
	addr := b.serve(t, func(one call) (string, bool) {
		if one.method == http.MethodGet {
			return goodReport + goodReport, true
		}
		return "HTTP/1.1 409 x\r\nContent-Length: 0\r\n\r\n", true
	})
	client := externalapi.NewBackendClient(callTimeout)
	for range 20 {
		_, err := client.Report(t.Context(), addr, "i-1")
		c.Assert(err, qt.IsNil)
		status, err := client.Order(t.Context(), addr, order)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusConflict)
	}
	c.Check(b.callsByMethod(http.MethodPost), qt.HasLen, 20)
}

// TestRedirectsAreNotFollowed: the clients don't follow redirects by a backend or the platform.
func TestRedirectsAreNotFollowed(t *testing.T) {
	c := qt.New(t)
	elsewhere, b := &backend{}, &backend{}
	to := elsewhere.serve(t, func(call) (string, bool) { return goodReport, true })
	for _, status := range []int{301, 302, 303, 307, 308} {
		addr := b.serve(t, func(one call) (string, bool) {
			return fmt.Sprintf("HTTP/1.1 %d x\r\nLocation: http://%s%s\r\nContent-Length: 0\r\n\r\n", status, to, one.path), true
		})
		client := externalapi.NewBackendClient(callTimeout)
		got, err := client.Order(t.Context(), addr, order)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, status)
		_, err = client.Report(t.Context(), addr, "i-1")
		c.Check(err, qt.IsNotNil)
		_, _, err = externalapi.NewPlatformClient(addr, callTimeout).List(context.Background())
		c.Check(err, qt.ErrorMatches, fmt.Sprintf("platform: status %d", status))
	}
	c.Check(elsewhere.calls, qt.HasLen, 0)
}

// TestReportIsComplete: a report that is truncated, too long or not valid is an error.
func TestReportIsComplete(t *testing.T) {
	c := qt.New(t)
	body := goodReport[strings.Index(goodReport, "\r\n\r\n")+4:]
	for name, answer := range map[string]string{
		"cut off": goodReport[:len(goodReport)-1], "no report": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
		"not found":           "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n",
		"lengths that differ": "HTTP/1.1 200 OK\r\nContent-Length: 34\r\nContent-Length: 3\r\n\r\n" + body,
		"too long":            "HTTP/1.1 200 OK\r\n\r\n{\"phase\":\"" + strings.Repeat("x", 2<<20) + "\"}",
	} {
		b := &backend{}
		addr := b.serve(t, func(call) (string, bool) { return answer, false })
		_, err := externalapi.NewBackendClient(callTimeout).Report(t.Context(), addr, "i-1")
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestTimedOutOrderIsReset: the connection of an order that times out is reset, so that unsent data is discarded.
func TestTimedOutOrderIsReset(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			ended <- err
			return
		}
		_, err := io.Copy(io.Discard, r)
		ended <- err
	})
	_, err := externalapi.NewBackendClient(shortTimeout).Order(t.Context(), addr, order)
	c.Assert(err, qt.IsNotNil)
	c.Check(<-ended, qt.ErrorIs, syscall.ECONNRESET)
}
