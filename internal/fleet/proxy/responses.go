package proxy

import (
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

// maxBackendRetryAfter bounds the Retry-After of a backend, in seconds; larger values are ignored.
const maxBackendRetryAfter = 60

// abortClient aborts the connection of a client that has disconnected: a handler that returns without a response would
// send an empty 200, which a client that has closed only its sending side takes for its response.
func (cr *clientRequest) abortClient() {
	cr.proxy.countAnswer(0)
	panic(http.ErrAbortHandler)
}

// reportsNotRun reports whether the head of a response states that the backend did not run the request. A success that
// states so is contradictory, and is not believed.
func reportsNotRun(resp *http.Response) bool {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(externalapi.HeaderNotRun) != ""
}

// backendRetryAfter returns the Retry-After of a backend's response; 0: none, or out of range.
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

// copyHeader copies the head of a backend's response to the client's.
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

// writeAnswer writes a backend's complete response to the client. A status that promises that the request has not run
// is not relayed if it may have run: the client gets a 502 of the proxy's own instead, without the backend's head.
func (cr *clientRequest) writeAnswer(resp *http.Response, body []byte) {
	if cr.mayHaveRun && impliesNotRun(resp.StatusCode) {
		cr.proxy.writeError(cr.w, &rejection{
			status: http.StatusBadGateway,
			reason: "backend: status " + strconv.Itoa(resp.StatusCode),
		})
		return
	}
	cr.failed = resp.StatusCode >= http.StatusBadRequest
	cr.copyHeader(resp)
	length := int64(len(body))
	if cr.outbound.method == http.MethodHead {
		length = resp.ContentLength // length of the omitted body; -1: not given by the backend
	}
	if length >= 0 {
		cr.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	cr.proxy.countAnswer(resp.StatusCode)
	cr.w.WriteHeader(resp.StatusCode)
	_, _ = cr.w.Write(body)
}
