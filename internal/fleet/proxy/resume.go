package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

// resume continues a stream that broke off, within the same response and after its last event, trying one backend after
// another; false: none could continue it.
func (cr *clientRequest) resume(ctx context.Context, r *streamRelay, prompt *scheduler.Prompt) bool {
	for ctx.Err() == nil && r.lastID != "" {
		if !cr.takeRetry() {
			return false
		}
		pl, ok := cr.svc.selectPlacement(cr.route.Name, false, prompt, cr.route.LatencyTarget(),
			cr.tried, false, cr.terms())
		if !ok {
			return false
		}
		cr.tried[pl.decode.ID] = true
		r.resumeAt(pl.decode.ID)
		err := cr.resumeFrom(ctx, &pl, r, prompt)
		if err == nil {
			cr.proxy.countAnswer(http.StatusOK)
			return true
		}
		if errors.Is(err, errClientGone) {
			return false
		}
	}
	return false
}

// resumeFrom continues a stream at the decode backend of a placement. It returns nil once the stream is complete.
func (cr *clientRequest) resumeFrom(
	ctx context.Context,
	pl *placement,
	r *streamRelay,
	prompt *scheduler.Prompt,
) error {
	a := attempt{
		cr:     cr,
		permit: pl.decodePermit,
		opts:   attemptOptions{deadline: cr.deadline, priority: cr.priority(false), lastID: r.lastID},
		status: policy.OK,
	}
	gotEvent := false
	err := a.relayRest(ctx, r, func() error {
		gotEvent = true
		return nil
	})
	evicted := prompt
	if gotEvent {
		evicted = nil
	}
	cr.svc.generationEnded(generationEnd{
		backendID:    pl.decode.ID,
		promptTokens: pl.promptTokens,
		status:       a.status,
	}, evicted)
	return err
}

// relayRest relays the rest of a stream; first is called when the first event has arrived.
func (a *attempt) relayRest(ctx context.Context, r *streamRelay, first func() error) error {
	e, err := a.send(ctx)
	if err != nil {
		return err
	}
	if !resumes(e.resp) {
		a.status = policy.Error
		if reportsNotRun(e.resp) {
			a.status = policy.Full
		}
		e.setReadDeadline(time.Now().Add(rejectionTimeout))
		_, _ = e.readAll(maxBufferedAnswer)
		return errors.Errorf("status %d", e.resp.StatusCode)
	}
	if err := r.copyEvents(ctx, e, first); err != nil {
		return a.fail(attemptStatus(true, err), err)
	}
	return nil
}

// resumes reports whether a response can be the rest of a stream.
func resumes(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && relayable(resp) && isEventStream(resp)
}
