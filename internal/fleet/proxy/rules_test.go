package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/simulation"
	"molepaddle/internal/rig/testkit"
)

// TestBackendsGetTheClientsRequest encodes requests for backends: the prompt's description is the client's, the proxy's
// own fields are never taken from the client, and each send has the remaining time as its deadline.
func TestBackendsGetTheClientsRequest(t *testing.T) {
	synctest.Test(t, checkBackendRequests)
}

// promptRequest returns a client's request with a prompt, which also contains fields that only the proxy may set.
func promptRequest() outboundRequest {
	client := http.Header{}
	for key, value := range map[string]string{
		externalapi.HeaderModel:         "m",
		externalapi.HeaderTokenCount:    "120,8",
		externalapi.HeaderPromptPrefix:  "fa01:100",
		"X-Own":                         "kept",
		externalapi.HeaderStage:         "prefill",
		externalapi.HeaderKVFrom:        "10.0.0.9:80/stolen",
		externalapi.HeaderPriority:      "0",
		externalapi.HeaderExpectVersion: "9",
		externalapi.HeaderTargetBackend: "b9",
		externalapi.HeaderDeadlineMs:    "999999",
		externalapi.HeaderLastEventID:   "3",
		"Connection":                    "X-Hop",
		"X-Hop":                         "1",
		"Transfer-Encoding":             "chunked",
		"Keep-Alive":                    "x",
		"Upgrade":                       "h2c",
	} {
		client.Set(key, value)
	}
	dropHopByHop(client)
	return outboundRequest{
		id:     "a1",
		method: http.MethodPost,
		target: "/chat/?q=1",
		host:   "h",
		header: client,
		body:   []byte("the body"),
	}
}

// checkBackendRequests runs in a synctest bubble, so that the remaining time is known to the millisecond.
func checkBackendRequests(t *testing.T) {
	c := qt.New(t)
	out := promptRequest()
	read := func(x attemptOptions) *http.Request {
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(out.encode(&x))))
		c.Assert(err, qt.IsNil)
		body := make([]byte, len(out.body))
		_, err = req.Body.Read(body)
		c.Assert(err == nil || err.Error() == "EOF", qt.IsTrue)
		c.Assert(string(body), qt.Equals, "the body")
		c.Assert(req.RequestURI, qt.Equals, "/chat/?q=1")
		for _, key := range []string{"Connection", "X-Hop", "Keep-Alive", "Upgrade"} {
			c.Check(req.Header.Values(key), qt.HasLen, 0, qt.Commentf("%s", key))
		}
		for key, want := range map[string]string{
			externalapi.HeaderModel:        "m",
			externalapi.HeaderTokenCount:   "120,8",
			externalapi.HeaderPromptPrefix: "fa01:100",
			"X-Own":                        "kept",
		} {
			c.Check(req.Header.Values(key), qt.DeepEquals, []string{want}, qt.Commentf("%s", key))
		}
		return req
	}
	plainSend := read(attemptOptions{target: "b1", deadline: time.Now().Add(1500 * time.Millisecond), priority: -1})
	c.Check(plainSend.Header.Values(externalapi.HeaderTargetBackend), qt.DeepEquals, []string{"b1"})
	c.Check(plainSend.Header.Values(externalapi.HeaderDeadlineMs), qt.DeepEquals, []string{"1500"})
	c.Check(plainSend.Header.Values(externalapi.HeaderLastEventID), qt.DeepEquals, []string{"3"})
	for _, key := range []string{
		externalapi.HeaderStage,
		externalapi.HeaderKVFrom,
		externalapi.HeaderPriority,
		externalapi.HeaderExpectVersion,
	} {
		c.Check(plainSend.Header.Values(key), qt.HasLen, 0, qt.Commentf("%s is the proxy's to set", key))
	}
	resumed := read(attemptOptions{
		target:   "b2",
		deadline: time.Now().Add(-time.Second),
		priority: 12,
		stage:    "prefill",
		lastID:   "7",
	})
	c.Check(resumed.Header.Values(externalapi.HeaderDeadlineMs), qt.DeepEquals, []string{"1"})
	c.Check(resumed.Header.Values(externalapi.HeaderLastEventID), qt.DeepEquals, []string{"7"})
	c.Check(resumed.Header.Values(externalapi.HeaderPriority), qt.DeepEquals, []string{"9"})
	c.Check(resumed.Header.Values(externalapi.HeaderStage), qt.DeepEquals, []string{"prefill"})
	c.Check(strings.Contains(string(out.encode(&attemptOptions{target: "b1"})), "stolen"), qt.IsFalse)
	for weights, want := range map[int64][]string{0: nil, 4: {"4"}} {
		staged := read(attemptOptions{target: "b3", handle: &kvHandle{ref: "h", weights: weights}})
		c.Check(staged.Header.Values(externalapi.HeaderExpectVersion), qt.DeepEquals, want,
			qt.Commentf("the weights that made the KV cache"))
	}
}

// TestClientDisconnectEndsBackendWork disconnects clients during streams and a plain request: the backends' work ends
// within half a second, and nothing of these requests reaches a backend later.
func TestClientDisconnectEndsBackendWork(t *testing.T) {
	const bound = 500 * time.Millisecond
	r := newRig(t, enginesInAllRegions(func(s *simulation.EngineSettings) { s.Step = 50 * time.Millisecond })...)
	r.configure()
	for _, e := range r.engines {
		if e.Settings().Service == "obs" {
			e.SetFaults(simulation.Faults{SlowBy: time.Minute}) // only the client's disconnect ends the request
		}
	}
	const streams = 6
	ctx, leave := context.WithCancel(context.Background())
	results := make(chan simulation.Result, streams+1)
	for i := range streams {
		go func() { results <- r.client.Do(ctx, routeRequest("free", i, i, [2]int{200, 1000})) }()
	}
	go func() { results <- r.client.Do(ctx, routeRequest("freeread", 0, 0, [2]int{})) }()
	r.awaitStreamStarts(streams)
	wait, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	working := func() (all []simulation.Entry) {
		for _, e := range r.engines {
			for _, en := range e.Log.Entries() {
				if en.Kind == simulation.KindRequest && en.Ended.IsZero() {
					all = append(all, en)
				}
			}
		}
		return all
	}
	eventuallyTrue(r, wait, "all are at work", func() bool { return len(working()) == streams+1 })
	under := working()
	left := time.Now()
	leave()
	for range streams + 1 {
		<-results
	}
	eventuallyTrue(r, wait, "the backends' work ends", func() bool { return len(working()) == 0 })
	ids := map[string]bool{}
	for _, en := range under {
		ids[en.Attempt] = true
	}
	for _, e := range r.engines {
		for _, en := range e.Log.Entries() {
			if !ids[en.Attempt] {
				continue
			}
			r.Check(en.At.After(left.Add(bound)), qt.IsFalse,
				qt.Commentf("%s reached %s after its client had left", en.Attempt, e.ID()))
			r.Check(en.Ended.After(left.Add(bound)), qt.IsFalse,
				qt.Commentf("%s was at work %v after its client had left", en.Attempt, en.Ended.Sub(left)))
		}
	}
}

// TestUnconfiguredProxyRejects: a proxy without a configuration answers every request with 503, never with 404.
func TestUnconfiguredProxyRejects(t *testing.T) {
	r := newRig(t, enginesInAllRegions(nil)...)
	for _, route := range []string{"freeread", "post", "unheard"} {
		got := r.client.Do(context.Background(), routeRequest(route, 0, 0, [2]int{}))
		r.Check(got.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s: %v", route, got.Err))
		r.Check(got.RetryAfter > 0, qt.IsTrue)
	}
	r.configure()
	got := r.client.Do(context.Background(), routeRequest("unheard", 0, 0, [2]int{}))
	r.Check(got.Status, qt.Equals, http.StatusNotFound)
	got = r.client.Do(context.Background(), routeRequest("freeread", 0, 0, [2]int{}))
	r.Check(got.Status, qt.Equals, http.StatusOK)
}

// TestEarlyAnswerDoesNotTruncateBody has a backend answer before it has read a long body, and read on later: it
// receives the whole body and then the next request, on this connection or another.
func TestEarlyAnswerDoesNotTruncateBody(t *testing.T) {
	const bodySize, requests = 3 << 20, 4
	r := newRig(t)
	seen := make(chan string, requests) // an error text per request, or ""
	addr := testkit.Raw(t, func(conn net.Conn, in *bufio.Reader) {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := req.Header.Get(externalapi.HeaderAttemptID)
			answer := "HTTP/1.1 200 OK\r\n" +
				externalapi.HeaderAttemptID + ": " + id + "\r\n" +
				externalapi.HeaderBackendSeal + ": s-" + id + "\r\n" +
				"Content-Length: 2\r\n\r\nok"
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
			got, err := io.ReadAll(req.Body)
			switch {
			case err != nil:
				seen <- fmt.Sprintf("%s: %v", id, err)
			case !bytes.Equal(got, bytes.Repeat([]byte(id+"."), bodySize/(len(id)+1))):
				seen <- fmt.Sprintf("%s: other bytes than its client's, %d of them", id, len(got))
			default:
				seen <- ""
			}
		}
	})
	r.relist([]distribution.Backend{{ID: "early", Service: "obs", Address: addr, Zone: "e1", Capacity: 8}})
	r.configure()
	for i := range requests {
		id := fmt.Sprintf("early-%d", i)
		q := routeRequest("post", 0, 0, [2]int{})
		q.Attempt, q.Body = id, bytes.Repeat([]byte(id+"."), bodySize/(len(id)+1))
		got := r.client.Do(context.Background(), q)
		r.Check(got.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %v", id, got.Err))
		select {
		case wrong := <-seen:
			r.Check(wrong, qt.Equals, "")
		case <-time.After(testTimeout):
			t.Fatal("the backend did not receive a complete request")
		}
	}
}

// TestBodyLimitOfTheConfiguration sends bodies over body_max_bytes in both framings: they are rejected and reach no
// backend; a body of exactly that size is served.
func TestBodyLimitOfTheConfiguration(t *testing.T) {
	const most = 10_000
	r := newRig(t, enginesInAllRegions(nil)...)
	doc := strings.Replace(string(r.document()), `"svcs":`, fmt.Sprintf(`"caps":{"body_max_bytes":%d},"svcs":`, most), 1)
	applyResource(r.proxy, distribution.ConfigType, 1, []byte(doc))
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{most, most + 1, 3 << 20} {
			q := routeRequest("post", 0, 0, [2]int{})
			q.Body, q.Chunked = bytes.Repeat([]byte("x"), size), chunked
			got := r.client.Do(context.Background(), q)
			runs := 0
			for _, e := range r.engines {
				for _, en := range e.Log.Entries() {
					if en.Attempt == got.Attempt {
						runs++
					}
				}
			}
			if size <= most {
				r.Check(got.Status, qt.Equals, http.StatusOK, qt.Commentf("%d bytes, chunked %v: %v", size, chunked, got.Err))
				continue
			}
			// A client that is still sending may see its connection closed instead of the response.
			r.Check(got.Status == http.StatusRequestEntityTooLarge || got.Status == 0, qt.IsTrue,
				qt.Commentf("%d bytes, chunked %v: %d", size, chunked, got.Status))
			r.Check(runs, qt.Equals, 0, qt.Commentf("%d bytes, chunked %v", size, chunked))
		}
	}
}

// rawAnswers starts a backend that answers each request with the text, with ID replaced by the request's id, and then
// ends its connection: with a reset, or in order. It returns the backend's address.
func rawAnswers(t *testing.T, text string, reset bool) string {
	return testkit.Raw(t, func(conn net.Conn, in *bufio.Reader) {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		req, err := testkit.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", req.Header.Get(externalapi.HeaderAttemptID)))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

// TestUnframedAnswers: a response without a length is complete if its connection is closed in order, and never taken
// for complete if it is reset.
func TestUnframedAnswers(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n" +
		externalapi.HeaderAttemptID + ": ID\r\n" +
		externalapi.HeaderBackendSeal + ": s1\r\n" +
		"Versions: 9\r\n\r\nall of it"
	for _, reset := range []bool{false, true} {
		r := newRig(t)
		r.relist([]distribution.Backend{{
			ID:       "raw",
			Service:  "obs",
			Address:  rawAnswers(t, text, reset),
			Zone:     "e1",
			Capacity: 8,
		}})
		r.configure()
		req, err := http.NewRequest(http.MethodPost, r.server.URL+"/post/x", strings.NewReader("body"))
		r.Assert(err, qt.IsNil)
		req.Host = "h"
		req.Header.Set(externalapi.HeaderAttemptID, "a1")
		resp, err := testkit.Client.Do(req)
		r.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if reset {
			r.Check(resp.StatusCode != http.StatusOK || err != nil, qt.IsTrue, qt.Commentf("%d %q", resp.StatusCode, body))
			continue
		}
		r.Check(err, qt.IsNil)
		r.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		r.Check(string(body), qt.Equals, "all of it")
		r.Check(resp.Header.Values("Versions"), qt.DeepEquals, []string{"9"})
	}
}

// TestVersionsAreRelayed checks that the versions in a stream's head and within an event reach the client unchanged.
func TestVersionsAreRelayed(t *testing.T) {
	const events = "id: 1\ndata: a\n\nversions: 10\nid: 2\ndata: b\n\n"
	text := "HTTP/1.1 200 OK\r\n" +
		externalapi.HeaderAttemptID + ": ID\r\n" +
		externalapi.HeaderBackendSeal + ": s1\r\n" +
		"Versions: 9\r\nContent-Type: text/event-stream\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events
	r := newRig(t)
	r.relist([]distribution.Backend{{
		ID:       "raw",
		Service:  "llm",
		Address:  rawAnswers(t, text, false),
		Zone:     "e1",
		Capacity: 8,
		Phase:    externalapi.PhaseDecode,
	}})
	r.configure()
	req, err := http.NewRequest(http.MethodPost, r.server.URL+"/once/x", strings.NewReader("body"))
	r.Assert(err, qt.IsNil)
	req.Host = "h"
	req.Header.Set(externalapi.HeaderAttemptID, "a1")
	req.Header.Set(externalapi.HeaderModel, "m")
	req.Header.Set(externalapi.HeaderTokenCount, "20,2")
	resp, err := testkit.Client.Do(req)
	r.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	r.Assert(err, qt.IsNil)
	r.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	r.Check(resp.Header.Values("Versions"), qt.DeepEquals, []string{"9"})
	r.Check(string(body), qt.Equals, events)
}

// eventuallyTrue polls done until it returns true or ctx ends.
func eventuallyTrue(r *rig, ctx context.Context, what string, done func() bool) {
	r.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			r.Fatalf("not reached in time: %s", what)
		}
	}
}
