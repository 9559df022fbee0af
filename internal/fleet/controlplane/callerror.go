package controlplane

import (
	"encoding/json"
	"errors"
	"net/http"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
)

// retryAfter is the value of Retry-After, in seconds, where a caller is to ask again, here or at another core machine.
const retryAfter = "0.2"

// callError is the answer to a call of the operator that isn't carried out here.
type callError struct {
	status   int    // of HTTP; 503: no clear answer can be given
	reason   string // for the operator
	findings routingconfig.Findings
}

// Error returns the reason.
func (e *callError) Error() string { return e.reason }

// unavailable is the error of a call to which no clear answer can be given now: the caller sends it again.
func unavailable(reason string) error {
	return &callError{status: http.StatusServiceUnavailable, reason: reason}
}

// redirectError sends a caller to another machine.
type redirectError struct{ location string }

// Error returns where the caller is sent.
func (e *redirectError) Error() string { return "redirected to " + e.location }

// handle adapts a handler that returns an error in place of answering.
func handle(h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h(w, r); err != nil {
			writeError(w, err)
		}
	}
}

// writeError words the answer to a call from its error: status, headers and body.
func writeError(w http.ResponseWriter, err error) {
	var redirect *redirectError
	if errors.As(err, &redirect) {
		w.Header().Set("Location", redirect.location)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	var refused *callError
	if !errors.As(err, &refused) {
		refused = &callError{status: http.StatusInternalServerError, reason: err.Error()}
	}
	if refused.status == http.StatusServiceUnavailable {
		w.Header().Set(externalapi.HeaderRetryAfter, retryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refused.status)
	type finding struct {
		Place string `json:"place"`
		Text  string `json:"text"`
	}
	body := struct {
		Error    string    `json:"err"`
		Findings []finding `json:"findings,omitempty"`
	}{Error: refused.reason}
	for _, f := range refused.findings {
		body.Findings = append(body.Findings, finding{f.Path, f.Message})
	}
	_ = json.NewEncoder(w).Encode(body)
}

// writeJSON answers a call with a value.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
