package operatorclient

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/routingconfig"
)

// RejectedError is the error of a call that got a definite no: the configuration is as it was, as far as this call
// goes.
type RejectedError struct {
	// Status is 412 where another version is current, 400 for an invalid configuration, 404 to Show while there is
	// none, or another 4xx.
	Status int
	// Endpoint is the host:port that answered.
	Endpoint string
	// Reason is one line.
	Reason string
	// Findings are those of an invalid configuration.
	Findings routingconfig.Findings
}

// Error names the endpoint, the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("refused by %s (%d): %s", e.Endpoint, e.Status, e.Reason)
}

// asAttemptError words an answer that ends only the attempt, not the call.
func (e *RejectedError) asAttemptError() error {
	return errors.Errorf("%s: status %d: %s", e.Endpoint, e.Status, e.Reason)
}

// IndeterminateError is the error of a call that got neither a yes nor a definite no in time: a change may be in
// force or not. The same call may be made again, unchanged.
type IndeterminateError struct {
	// LastErr is the error of the last attempt; never nil.
	LastErr error
	// Sent says that an attempt was written to a control server, so that a change may be in force. Without it nothing
	// has changed.
	Sent bool
}

// Error says so, with the last attempt's error.
func (e *IndeterminateError) Error() string {
	if !e.Sent {
		return "nothing was sent: " + e.LastErr.Error()
	}
	return "no clear answer: " + e.LastErr.Error()
}

// Unwrap returns the last attempt's error.
func (e *IndeterminateError) Unwrap() error { return e.LastErr }

// isDefinite reports whether a status other than 200 ends a call at once.
func isDefinite(status int) bool {
	switch status {
	case http.StatusBadRequest,
		http.StatusConflict,
		http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// countsAsRejection reports whether a status counts towards maxRejections: a 4xx that asks for no later attempt.
func countsAsRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 4
}

// parseRejection reads a response whose status isn't 200. The body is read as the control server writes it; of
// another one the first line is the reason, or the status's text where the body is empty. A JSON object of another kind
// may be a configuration, whose API keys stand in no error: it counts as empty.
func parseRejection(status int, response Response) *RejectedError {
	e := &RejectedError{Status: status, Endpoint: response.Endpoint}
	var parsed struct {
		Reason   string `json:"err"`
		Findings []struct {
			Place string `json:"place"`
			Text  string `json:"text"`
		} `json:"findings"`
	}
	if json.Unmarshal(response.Body, &parsed) == nil && parsed.Reason != "" {
		e.Reason = parsed.Reason
		for _, f := range parsed.Findings {
			e.Findings = append(e.Findings, routingconfig.Finding{Path: f.Place, Message: f.Text})
		}
		return e
	}
	e.Reason = firstLine(response.Body)
	if e.Reason == "" {
		e.Reason = strings.ToLower(http.StatusText(status))
	}
	return e
}

// firstLine is the first line of a body that may be of any kind; empty for a JSON object.
func firstLine(body []byte) string {
	const maxBytes = 200
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return ""
	}
	line, _, _ := strings.Cut(strings.TrimSpace(string(body[:min(len(body), maxBytes)])), "\n")
	return line
}
