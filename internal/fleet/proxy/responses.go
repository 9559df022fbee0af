package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

// reject gives an answer of this proxy's own.
func (p *Proxy) reject(w http.ResponseWriter, status int, retryAfter time.Duration, text string) {
	if retryAfter > 0 {
		w.Header().Set(externalapi.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	p.countAnswer(status)
	http.Error(w, text, status)
}

// answerFailure ends a request that no backend has answered: with a promise where it has not run and never will.
func (cr *clientRequest) answerFailure(ctx context.Context, why string) {
	if terms := cr.terms(); terms.Restricted() {
		why = cr.svc.residencyText(cr.subject, terms) + ": " + why
	}
	switch {
	case cr.mayHaveRun && time.Until(cr.deadline) <= 0:
		cr.proxy.reject(cr.w, http.StatusGatewayTimeout, 0, why)
	case cr.mayHaveRun:
		cr.proxy.reject(cr.w, http.StatusBadGateway, 0, why)
	default:
		again := max(cr.retryAfter, minRetryAfter)
		cr.proxy.reject(cr.w, http.StatusServiceUnavailable, again, why)
	}
}

// abortClient ends a request whose client has gone, with its connection: a handler that returns without an answer would give an
// empty 200, which a client that has closed only its half takes for its answer.
func (cr *clientRequest) abortClient() {
	cr.proxy.countAnswer(0)
	panic(http.ErrAbortHandler)
}

// saysNotRun reads from an answer's head that the backend did not run the request. A success that says so contradicts itself, and
// proves nothing.
func saysNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.StatusCode >= 400 && resp.Header.Get(externalapi.HeaderNotRun) != ""
}

// backendRetryAfter reads when a backend asks to be tried again; 0: it does not say.
func backendRetryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get(externalapi.HeaderRetryAfter), 64)
	if err != nil || s < 0 || s > 60 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// copyHeader copies the head of a backend's answer.
func (cr *clientRequest) copyHeader(resp *http.Response) {
	dropHopByHop(resp.Header)
	h := cr.w.Header()
	for key, values := range resp.Header {
		h[key] = values
	}
	h[externalapi.HeaderAttemptID] = []string{cr.outbound.id}
	if _, dated := resp.Header["Date"]; !dated {
		h["Date"] = nil
	}
}

// impliesNotRun tells whether a status promises the client that its request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeAnswer gives the client a backend's whole answer. One that promises what the backend has not said is not passed on: the
// failure in its place is this proxy's own, without the backend's head.
func (cr *clientRequest) writeAnswer(resp *http.Response, body []byte) {
	if cr.mayHaveRun && impliesNotRun(resp.StatusCode) {
		cr.proxy.reject(cr.w, http.StatusBadGateway, 0, "backend: status "+strconv.Itoa(resp.StatusCode))
		return
	}
	cr.copyHeader(resp)
	length := int64(len(body))
	if cr.outbound.method == http.MethodHead {
		length = resp.ContentLength // of what is not sent; -1: it was not told
	}
	if length >= 0 {
		cr.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	cr.proxy.countAnswer(resp.StatusCode)
	cr.w.WriteHeader(resp.StatusCode)
	_, _ = cr.w.Write(body)
}
