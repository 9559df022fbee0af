package controlplane

import (
	"encoding/json"
	"errors"
	"net/http"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
)

// retryAfter is the value of the Retry-After header in seconds, after which a client may retry at this or another core
// machine.
const retryAfter = "0.2"

// callError is the error response to an operator call that was not carried out.
type callError struct {
	status   int    // HTTP status; 503: the outcome is unknown
	reason   string // shown to the operator
	findings routingconfig.Findings
}

// Error returns the reason.
func (e *callError) Error() string { return e.reason }

// unavailable returns the error of a call whose outcome can't be determined now: the client retries it.
func unavailable(reason string) error {
	return &callError{status: http.StatusServiceUnavailable, reason: reason}
}

// redirectError redirects a caller to another machine.
type redirectError struct{ location string }

// Error returns the target of the redirect.
func (e *redirectError) Error() string { return "redirected to " + e.location }

// handle adapts a handler that returns an error to http.HandlerFunc.
func handle(h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h(w, r); err != nil {
			writeError(w, err)
		}
	}
}

// writeError writes the response for an error: status, headers and body.
func writeError(w http.ResponseWriter, err error) {
	var redirect *redirectError
	if errors.As(err, &redirect) {
		w.Header().Set("Location", redirect.location)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	var callErr *callError
	if !errors.As(err, &callErr) {
		callErr = &callError{status: http.StatusInternalServerError, reason: err.Error()}
	}
	if callErr.status == http.StatusServiceUnavailable {
		w.Header().Set(externalapi.HeaderRetryAfter, retryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(callErr.status)
	type finding struct {
		Place string `json:"place"`
		Text  string `json:"text"`
	}
	body := struct {
		Error    string    `json:"err"`
		Findings []finding `json:"findings,omitempty"`
	}{Error: callErr.reason}
	for _, f := range callErr.findings {
		body.Findings = append(body.Findings, finding{f.Path, f.Message})
	}
	_ = json.NewEncoder(w).Encode(body)
}

// writeJSON answers a call with value encoded as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
