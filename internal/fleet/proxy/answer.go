package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

// refuse gives an answer of this proxy's own.
func (v *Proxy) refuse(w http.ResponseWriter, status int, again time.Duration, text string) {
	if again > 0 {
		w.Header().Set(externalapi.HeaderRetryAfter, strconv.FormatFloat(again.Seconds(), 'f', 3, 64))
	}
	v.count(status)
	http.Error(w, text, status)
}

// giveUp ends a request that no backend has answered: with a promise where it has not run and never will.
func (t *try) giveUp(ctx context.Context, why string) {
	if terms := t.terms(); terms.Restricted() {
		why = t.svc.insideText(t.subject, terms) + ": " + why
	}
	switch {
	case t.ran && time.Until(t.deadline) <= 0:
		t.v.refuse(t.w, http.StatusGatewayTimeout, 0, why)
	case t.ran:
		t.v.refuse(t.w, http.StatusBadGateway, 0, why)
	default:
		again := max(t.refused, soonAgain)
		t.v.refuse(t.w, http.StatusServiceUnavailable, again, why)
	}
}

// clientLeft ends a request whose client has gone, with its connection: a handler that returns without an answer would give an
// empty 200, which a client that has closed only its half takes for its answer.
func (t *try) clientLeft() {
	t.v.count(0)
	panic(http.ErrAbortHandler)
}

// notRun reads from an answer's head that the backend did not run the request. A success that says so contradicts itself, and
// proves nothing.
func notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.StatusCode >= 400 && resp.Header.Get(externalapi.HeaderNotRun) != ""
}

// retryAfter reads when a backend asks to be tried again; 0: it does not say.
func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get(externalapi.HeaderRetryAfter), 64)
	if err != nil || s < 0 || s > 60 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// head copies the head of a backend's answer.
func (t *try) head(resp *http.Response) {
	dropHop(resp.Header)
	h := t.w.Header()
	for key, values := range resp.Header {
		h[key] = values
	}
	h[externalapi.HeaderAttemptID] = []string{t.m.id}
	if _, dated := resp.Header["Date"]; !dated {
		h["Date"] = nil
	}
}

// promises tells whether a status promises the client that its request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// answer gives the client a backend's whole answer. One that promises what the backend has not said is not passed on: the
// failure in its place is this proxy's own, without the backend's head.
func (t *try) answer(resp *http.Response, body []byte) {
	if t.ran && promises(resp.StatusCode) {
		t.v.refuse(t.w, http.StatusBadGateway, 0, "backend: status "+strconv.Itoa(resp.StatusCode))
		return
	}
	t.head(resp)
	length := int64(len(body))
	if t.m.method == http.MethodHead {
		length = resp.ContentLength // of what is not sent; -1: it was not told
	}
	if length >= 0 {
		t.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	t.v.count(resp.StatusCode)
	t.w.WriteHeader(resp.StatusCode)
	_, _ = t.w.Write(body)
}
