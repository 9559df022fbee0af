package proxy

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/policy"
)

// attempt is one send of a client's request to one backend, with the state from which its outcome is recorded. It
// belongs to the goroutine that serves the request.
type attempt struct {
	cr     *clientRequest
	permit residency.Permit
	opts   attemptOptions
	sent   bool          // a byte of the request may have gone out
	status policy.Status // outcome, for the ranking of backends; OK until it fails
}

// send sends the request and waits for the head of the response. After an error the attempt has ended, and its status
// is set.
func (a *attempt) send(ctx context.Context) (*exchange, error) {
	cr := a.cr
	e, wrote, err := cr.startExchange(
		ctx, a.permit, &cr.outbound, &a.opts, cr.connectDeadline(), cr.headerDeadline(),
	)
	a.sent = wrote
	if wrote {
		cr.sends++
	}
	if err != nil {
		cr.mayHaveRun = cr.mayHaveRun || wrote
		a.status = attemptStatus(wrote, err)
	}
	return e, err
}

// fail ends an attempt that the backend may have run.
func (a *attempt) fail(status policy.Status, err error) error {
	a.cr.mayHaveRun = true
	a.status = status
	return err
}

// rejected ends an attempt whose backend reported that it has not run the request, and keeps the backend's Retry-After.
func (a *attempt) rejected(resp *http.Response) error {
	a.status = policy.Full
	a.cr.retryAfter = max(a.cr.retryAfter, backendRetryAfter(resp))
	return errBackendFull
}

// plainAttempt is an attempt whose response is relayed once it is complete.
type plainAttempt struct {
	attempt
	usualMs     float64 // usual duration of such a response, ms
	thresholdMs float64 // duration above which it counts as slow, ms
	record      *attemptRecord
}

// sendPlain sends the request to one backend. It returns nil once a response has been written to the client.
func (cr *clientRequest) sendPlain(ctx context.Context, permit residency.Permit) error {
	usual, threshold := cr.svc.completeThresholdMs(cr)
	a := plainAttempt{
		attempt: attempt{
			cr:     cr,
			permit: permit,
			opts:   attemptOptions{deadline: cr.deadline, priority: noPriority},
			status: policy.OK,
		},
		usualMs:     usual,
		thresholdMs: threshold,
		record:      cr.svc.beginAttempt(permit.ID(), threshold),
	}
	defer a.recordEnd()
	e, err := a.send(ctx)
	if err != nil {
		return err
	}
	if !relayable(e.resp) {
		e.finish(false)
		return a.fail(policy.Error, errUnrelatedAnswer)
	}
	return a.relay(ctx, e)
}

// relayable reports whether a response may be relayed: a success must carry the backend's seal, and no response may be
// content-encoded.
func relayable(resp *http.Response) bool {
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return resp.StatusCode >= http.StatusMultipleChoices || resp.Header.Get(externalapi.HeaderBackendSeal) != ""
}

// relay reads the response and writes it to the client. After an error nothing has been written to the client.
func (a *plainAttempt) relay(ctx context.Context, e *exchange) error {
	cr := a.cr
	e.setReadDeadline(cr.deadline)
	resp := e.resp
	cr.svc.recordLoad(a.permit.ID(), resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.readAll(maxBufferedAnswer)
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			err = ctx.Err() // the client has disconnected: not a fault of the backend
		}
		return a.fail(attemptStatus(true, err), err)
	}
	if reportsNotRun(resp) {
		return a.rejected(resp)
	}
	cr.mayHaveRun = true
	if resp.StatusCode >= http.StatusInternalServerError {
		a.status = policy.Error
		if cr.retryAvailable() {
			return errors.Errorf("status %d", resp.StatusCode)
		}
	}
	cr.writeAnswer(resp, body)
	return nil
}

// recordEnd records the outcome of the attempt and its duration.
func (a *plainAttempt) recordEnd() {
	svc := a.cr.svc
	took := a.record.headerReceived()
	if a.status == policy.OK {
		svc.recordComplete(a.cr, took)
	}
	a.record.finish(a.status, speedOf(took, a.usualMs, a.thresholdMs), false)
	svc.attemptEnded(a.permit.ID(), a.status)
}
