package operatorclient_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/routingconfig"
)

// startServer starts a fake control server and returns its host:port.
func startServer(c *qt.C, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// redirectTo answers with a 307 to the address that to holds at that time.
func redirectTo(to *string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "http://"+*to+r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

func TestChangeFollowsTwoRedirects(t *testing.T) {
	c := qt.New(t)
	var got *http.Request
	var body []byte
	last := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
	})
	second := startServer(c, redirectTo(&last))
	first := startServer(c, redirectTo(&second))
	client := operatorclient.Client{Endpoints: []string{first}}
	answer, err := client.Change(context.Background(), externalapi.CallUpdate, 7, []byte(`{"ver":9}`))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Endpoint, qt.Equals, last)
	c.Assert(got.Method+" "+got.URL.Path, qt.Equals, "POST /molepaddle/cfg/update")
	c.Assert(got.Header.Get(externalapi.HeaderBaseVersion), qt.Equals, "7")
	c.Assert(got.Header.Get("Content-Type"), qt.Equals, "application/json")
	c.Assert(string(body), qt.Equals, `{"ver":9}`)
}

func TestThirdRedirectIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	var self string
	self = startServer(c, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		redirectTo(&self)(w, r)
	})
	other := startServer(c, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "{}") })
	client := operatorclient.Client{Endpoints: []string{self, other}}
	answer, err := client.Show(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Endpoint, qt.Equals, other)
	c.Assert(calls.Load(), qt.Equals, int64(3))
}

func TestInvalidRedirects(t *testing.T) {
	c := qt.New(t)
	for _, location := range []string{"", "ftp://10.0.0.1/x", "https://10.0.0.1/x", "::"} {
		bad := startServer(c, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", location)
			w.WriteHeader(http.StatusTemporaryRedirect)
		})
		client := operatorclient.Client{Endpoints: []string{bad}, CallTimeout: 300 * time.Millisecond}
		_, err := client.Show(context.Background())
		var indeterminate *operatorclient.IndeterminateError
		c.Assert(errors.As(err, &indeterminate), qt.IsTrue)
		c.Check(err, qt.ErrorMatches,
			"no clear answer: "+bad+": (a 307 without a Location that can be followed|failed to parse Location.*)")
	}
}

func TestRejectionsEndTheCall(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{400, 409, 412, 413, 422} {
		var calls atomic.Int64
		at := startServer(c, func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			w.WriteHeader(status)
			fmt.Fprint(w, `{"err":"the configuration is invalid",`+
				`"findings":[{"place":"routing[0].svc","text":"a"},{"place":"","text":"b"}]}`)
		})
		client := operatorclient.Client{Endpoints: []string{at}}
		_, err := client.Change(context.Background(), externalapi.CallReplace, 5, nil)
		var rejected *operatorclient.RejectedError
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		c.Check(rejected, qt.DeepEquals, &operatorclient.RejectedError{
			Status:   status,
			Endpoint: at,
			Reason:   "the configuration is invalid",
			Findings: routingconfig.Findings{{Path: "routing[0].svc", Message: "a"}, {Message: "b"}},
		})
		c.Check(calls.Load(), qt.Equals, int64(1))
	}
}

func TestOtherClientErrorsEndAtTheThird(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	at := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Error(w, "gone\nfishing", http.StatusNotFound)
	})
	client := operatorclient.Client{Endpoints: []string{at}}
	_, err := client.Show(context.Background())
	c.Assert(err, qt.ErrorMatches, "refused by "+at+` \(404\): gone`)
	c.Assert(calls.Load(), qt.Equals, int64(3))
}

func TestFailuresTryTheNextEndpoint(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	dead := ln.Addr().String()
	c.Assert(ln.Close(), qt.IsNil)
	for _, status := range []int{503, 408, 429, 302, 204} {
		var calls atomic.Int64
		bad := startServer(c, func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			w.WriteHeader(status)
		})
		good := startServer(c, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "shown") })
		client := operatorclient.Client{Endpoints: []string{bad, dead, good}}
		answer, err := client.Show(context.Background())
		c.Assert(err, qt.IsNil)
		c.Check(answer, qt.DeepEquals, operatorclient.Response{Endpoint: good, Body: []byte("shown")})
		c.Check(calls.Load(), qt.Equals, int64(1))
	}
}

func TestReadTimeout(t *testing.T) {
	c := qt.New(t)
	quiet := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done() // until the client closes the connection
	})
	half := startServer(c, func(w http.ResponseWriter, r *http.Request) { // sends a part of the response, then nothing
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	good := startServer(c, func(w http.ResponseWriter, r *http.Request) {})
	client := operatorclient.Client{Endpoints: []string{quiet, half, good}, ReadTimeout: 30 * time.Millisecond}
	answer, err := client.Change(context.Background(), externalapi.CallReplace, 0, []byte("{}"))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Endpoint, qt.Equals, good)

	client = operatorclient.Client{
		Endpoints:   []string{quiet},
		ReadTimeout: 10 * time.Millisecond,
		CallTimeout: 50 * time.Millisecond,
	}
	_, err = client.Change(context.Background(), externalapi.CallReplace, 0, []byte("{}"))
	var indeterminate *operatorclient.IndeterminateError
	c.Assert(errors.As(err, &indeterminate), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, "no clear answer: "+quiet+": silent for 10ms")
}

func TestIndeterminate(t *testing.T) {
	c := qt.New(t)
	at := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"err":"no primary is known"}`)
	})
	client := operatorclient.Client{Endpoints: []string{at}, CallTimeout: 50 * time.Millisecond}
	_, err := client.Show(context.Background())
	var rejected *operatorclient.RejectedError
	c.Assert(errors.As(err, &rejected), qt.IsFalse, qt.Commentf("a 503 is not definite"))
	c.Assert(err, qt.ErrorMatches, "no clear answer: "+at+": status 503: no primary is known")

	_, err = (&operatorclient.Client{}).Show(context.Background())
	c.Assert(err, qt.ErrorMatches, "nothing was sent: no control address is known")

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Show(ctx)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
}

func TestResponseSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	at := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		piece := strings.Repeat(" ", 1<<20)
		for range operatorclient.MaxResponseBytes>>20 + 1 {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	})
	// The test is about the size: the time-outs are long.
	client := operatorclient.Client{Endpoints: []string{at}, ReadTimeout: time.Minute, CallTimeout: 15 * time.Second}
	_, err := client.Show(context.Background())
	c.Assert(err, qt.ErrorMatches, "no clear answer: .*: an answer over 67108864 bytes")
}

// TestErrorsDontQuoteConfigurations: if a server answers with the configuration instead of a reason, such as one that
// echoes the request, the error doesn't quote it: it may contain API keys.
func TestErrorsDontQuoteConfigurations(t *testing.T) {
	c := qt.New(t)
	at := startServer(c, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.Copy(w, r.Body)
	})
	client := operatorclient.Client{Endpoints: []string{at}}
	body := []byte(` {"ver":1,"accounts":[{"name":"one","apikeys":["secret-a"]}]}`)
	_, err := client.Change(context.Background(), externalapi.CallReplace, 0, body)
	c.Assert(err, qt.ErrorMatches, "refused by "+at+` \(422\): unprocessable entity`)
}
