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

// RejectedError is the error of a call that a control server rejected: the call did not change the configuration.
type RejectedError struct {
	// Status is 412 if another version is current, 400 for an invalid configuration, 404 for Show if there is no
	// configuration, or another 4xx.
	Status int
	// Endpoint is the host:port of the control server.
	Endpoint string
	// Reason is the reason in one line.
	Reason string
	// Findings are the errors in an invalid configuration.
	Findings routingconfig.Findings
}

// Error returns the endpoint, the status and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("refused by %s (%d): %s", e.Endpoint, e.Status, e.Reason)
}

// asAttemptError returns the error of an attempt, for a response that doesn't end the call.
func (e *RejectedError) asAttemptError() error {
	return errors.Errorf("%s: status %d: %s", e.Endpoint, e.Status, e.Reason)
}

// IndeterminateError is the error of a call that was neither accepted nor rejected in time: a change may be in force or
// not. The same call may be repeated, unchanged.
type IndeterminateError struct {
	// LastErr is the error of the last attempt; never nil.
	LastErr error
	// Sent reports whether an attempt was written to a control server, so that a change may be in force. Otherwise
	// nothing has changed.
	Sent bool
}

// Error returns whether anything was sent, and the last attempt's error.
func (e *IndeterminateError) Error() string {
	if !e.Sent {
		return "nothing was sent: " + e.LastErr.Error()
	}
	return "no clear answer: " + e.LastErr.Error()
}

// Unwrap returns the last attempt's error.
func (e *IndeterminateError) Unwrap() error { return e.LastErr }

// isDefinite reports whether an error status ends a call at once.
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

// countsAsRejection reports whether a status counts towards maxRejections: a 4xx other than those that may be retried.
func countsAsRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 4
}

// parseRejection parses a response whose status isn't 200. The body is in the control server's format; otherwise its
// first line is the reason, or the status's text if the body is empty. Any other JSON object may be a configuration,
// whose API keys must not be in an error: it counts as empty.
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

// firstLine returns the first line of a body in any format; empty for a JSON object.
func firstLine(body []byte) string {
	const maxBytes = 200
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return ""
	}
	line, _, _ := strings.Cut(strings.TrimSpace(string(body[:min(len(body), maxBytes)])), "\n")
	return line
}
