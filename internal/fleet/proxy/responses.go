package proxy

import (
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

// maxBackendRetryAfter bounds the advice of a backend on when to come back, in seconds: more is no advice.
const maxBackendRetryAfter = 60

// abortClient ends a request whose client has gone, with its connection: a handler that returns without an answer would
// give an empty 200, which a client that has closed only its half takes for its answer.
func (cr *clientRequest) abortClient() {
	cr.proxy.countAnswer(0)
	panic(http.ErrAbortHandler)
}

// reportsNotRun reports whether an answer's head says that the backend did not run the request. A success that says so
// contradicts itself, and proves nothing.
func reportsNotRun(resp *http.Response) bool {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(externalapi.HeaderNotRun) != ""
}

// backendRetryAfter returns when a backend asks to be tried again; 0: it does not say.
func backendRetryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get(externalapi.HeaderRetryAfter), 64)
	if err != nil || s < 0 || s > maxBackendRetryAfter {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// impliesNotRun reports whether a status promises the client that its request has not run and never will, so that it
// may send the request again.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests,
		http.StatusServiceUnavailable,
		http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// copyHeader copies the head of a backend's answer to the client's.
func (cr *clientRequest) copyHeader(resp *http.Response) {
	dropHopByHop(resp.Header)
	h := cr.w.Header()
	for key, values := range resp.Header {
		h[key] = values
	}
	h[externalapi.HeaderAttemptID] = []string{cr.outbound.id}
	if _, dated := resp.Header["Date"]; !dated {
		h["Date"] = nil // else net/http would add one
	}
}

// writeAnswer gives the client a backend's complete answer. One that promises what the backend has not said is not
// passed on: the failure in its place is this proxy's own, without the backend's head.
func (cr *clientRequest) writeAnswer(resp *http.Response, body []byte) {
	if cr.mayHaveRun && impliesNotRun(resp.StatusCode) {
		cr.proxy.writeError(cr.w, &rejection{
			status: http.StatusBadGateway,
			reason: "backend: status " + strconv.Itoa(resp.StatusCode),
		})
		return
	}
	cr.copyHeader(resp)
	length := int64(len(body))
	if cr.outbound.method == http.MethodHead {
		length = resp.ContentLength // of what is not sent; -1: the backend did not say
	}
	if length >= 0 {
		cr.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	cr.proxy.countAnswer(resp.StatusCode)
	cr.w.WriteHeader(resp.StatusCode)
	_, _ = cr.w.Write(body)
}
