package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/policy"
)

// Errors of an attempt.
var (
	errUnrelatedAnswer  = errors.New("the answer belongs to no request of ours")
	errAnswerTimeout    = errors.New("no answer in time")
	errConnect          = errors.New("no connection")
	errIncompleteAnswer = errors.New("the answer is not whole")
	// errBackendFull ends an attempt whose backend reported that it did not run the request.
	errBackendFull = errors.New("backends are full")
	// errClientGone ends a stream whose client has disconnected, as the rest is not needed. It counts as cancelled,
	// which is no evidence against the backend.
	errClientGone = errors.Wrap(context.Canceled, "the client has left")
)

// errShuttingDown is the cause of the end of a request's context when the proxy's grace period is over.
var errShuttingDown = errors.New("this proxy is leaving: its time is over")

// errOutlastsDrain ends a request that a draining proxy does not begin, or not send again, as its response might take
// longer than the proxy stays.
var errOutlastsDrain = errors.New("this proxy is leaving: the answer may take longer than it stays")

// Errors of backend selection.
var (
	errNoBackend      = errors.New("no backend")
	errPrefillTooLate = errors.New("all that read prompts have too much to read")
)

// errBodyTooLarge is the error for a body above the limit in force.
var errBodyTooLarge = errors.New("body too large")

// rejection is the error for a request that the proxy answers itself. The status decides whether the client may safely
// send the request again: see impliesNotRun.
type rejection struct {
	status int
	// retryAfter is the response's Retry-After; 0: none.
	retryAfter time.Duration
	// reason is the body of the response.
	reason string
	// closeConn closes the client's connection after the response, if the rest of a body is still to come.
	closeConn bool
}

// Error returns the reason, which is the body of the response.
func (e *rejection) Error() string { return e.reason }

// writeError answers a request with an error: a rejection with its own status and Retry-After, any other error with
// 500. It counts the response.
func (p *Proxy) writeError(w http.ResponseWriter, err error) {
	var r *rejection
	if !errors.As(err, &r) {
		r = &rejection{status: http.StatusInternalServerError, reason: err.Error()}
	}
	if r.closeConn {
		w.Header().Set("Connection", "close")
	}
	if r.retryAfter > 0 {
		w.Header().Set(externalapi.HeaderRetryAfter, strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	p.countAnswer(r.status)
	http.Error(w, r.reason, r.status)
}

// rejectionFor returns the rejection of a request that no backend has answered. Its status lets the client send the
// request again only if no backend may have run it, now or later.
func (cr *clientRequest) rejectionFor(err error) *rejection {
	reason := err.Error()
	if terms := cr.terms(); terms.Restricted() {
		reason = cr.svc.describeResidency(cr.subject, terms) + ": " + reason
	}
	switch {
	case cr.mayHaveRun && time.Until(cr.deadline) <= 0:
		return &rejection{status: http.StatusGatewayTimeout, reason: reason}
	case cr.mayHaveRun:
		return &rejection{status: http.StatusBadGateway, reason: reason}
	}
	return &rejection{
		status:     http.StatusServiceUnavailable,
		retryAfter: max(cr.retryAfter, minRetryAfter),
		reason:     reason,
	}
}

// attemptFailure returns the error of a request whose last attempt ended with err.
func attemptFailure(err error) error {
	if errors.Is(err, errBackendFull) {
		return err
	}
	return errors.Wrap(err, "backend")
}

// attemptStatus classifies the outcome of an attempt for the ranking of backends; wrote: a byte of the request may have
// been sent.
func attemptStatus(wrote bool, err error) policy.Status {
	switch {
	case err == nil:
		return policy.OK
	case errors.Is(err, context.Canceled), errors.Is(err, residency.ErrOutside), errors.Is(err, errOutlastsDrain):
		return policy.Cancelled
	case errors.Is(err, errAnswerTimeout) || errors.Is(err, context.DeadlineExceeded):
		return policy.Timeout
	case !wrote:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// isTimeout reports whether an operation was ended by the deadline of a connection or context.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
