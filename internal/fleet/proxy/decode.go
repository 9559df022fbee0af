package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

const (
	// maxBufferedAnswer bounds a response that is buffered before it is relayed, in bytes.
	maxBufferedAnswer = 8 << 20
	// rejectionTimeout bounds the time to read the rest of a response that is not a stream.
	rejectionTimeout = time.Second
)

// decodeAttempt is an attempt at a decode backend whose response is a stream.
type decodeAttempt struct {
	attempt
	pl          placement
	handle      *kvHandle // for the backend to take over; nil: it prefills the prompt itself
	relay       streamRelay
	thresholdMs float64 // time to the first event above which it counts as slow, ms
	record      *attemptRecord

	startedAt    time.Time
	firstEventAt time.Time
	gotEvent     bool
	prefillMs    float64 // duration of the backend's own prefill, ms; 0: none
}

// priority returns the priority that is sent to a backend. A request whose KV cache is held elsewhere comes first,
// since that cache occupies capacity meanwhile, expires, and its prefill has been paid for. After that the operator's
// rank decides.
func (cr *clientRequest) priority(staged bool) int {
	if staged {
		return 0
	}
	return min(cr.rank()+1, maxPriority)
}

// streamFrom sends a generation to the decode backend of its placement and relays the stream. It returns nil once the
// client has its response. If a stream breaks off after its response has started, it is resumed from another backend,
// or streamFrom panics with http.ErrAbortHandler.
func (cr *clientRequest) streamFrom(
	ctx context.Context,
	pl *placement,
	prompt *scheduler.Prompt,
	handle *kvHandle,
) error {
	a := cr.newDecodeAttempt(pl, handle)
	defer a.recordEnd(prompt)
	headerDone := cr.svc.awaitHeader(a.pl.decode.ID)
	e, err := a.send(ctx)
	headerDone(err == nil)
	if err != nil {
		return err
	}
	cr.svc.recordLoad(a.pl.decode.ID, e.resp.Header.Get(externalapi.HeaderBackendLoad))
	if e.resp.StatusCode >= http.StatusMultipleChoices || !relayable(e.resp) {
		return a.relayRejection(e)
	}
	a.recordTransfer(true)
	cr.svc.recordShed(a.pl.decode.ID, false)
	return a.relayStream(ctx, e, prompt)
}

// newDecodeAttempt starts an attempt and its record for the outlier detection.
func (cr *clientRequest) newDecodeAttempt(pl *placement, handle *kvHandle) decodeAttempt {
	staged := handle != nil
	startedAt := time.Now()
	threshold := cr.svc.firstEventThresholdMs(cr, staged, pl.prefillMs)
	return decodeAttempt{
		attempt: attempt{
			cr:     cr,
			permit: pl.decodePermit,
			opts:   attemptOptions{deadline: cr.deadline, priority: cr.priority(staged), handle: handle},
			status: policy.OK,
		},
		pl:          *pl,
		handle:      handle,
		relay:       streamRelay{cr: cr, backendID: pl.decode.ID},
		thresholdMs: threshold,
		record:      cr.svc.beginAttempt(pl.decode.ID, threshold),
		startedAt:   startedAt,
	}
}

// relayRejection handles a response that is not a stream. It returns nil if the response was written to the client.
func (a *decodeAttempt) relayRejection(e *exchange) error {
	cr := a.cr
	resp := e.resp
	e.setReadDeadline(time.Now().Add(rejectionTimeout))
	body, err := e.readAll(maxBufferedAnswer)
	if err != nil {
		return a.fail(attemptStatus(true, err), err)
	}
	if reportsNotRun(resp) {
		cr.svc.recordShed(a.pl.decode.ID, true)
		a.recordTransfer(false)
		return a.rejected(resp)
	}
	err = a.fail(policy.Error, errors.Errorf("status %d", resp.StatusCode))
	if resp.StatusCode < http.StatusMultipleChoices || cr.retryAvailable() {
		return err
	}
	cr.writeAnswer(resp, body)
	return nil
}

// relayStream relays the stream. After an error nothing has been written to the client.
func (a *decodeAttempt) relayStream(ctx context.Context, e *exchange, prompt *scheduler.Prompt) error {
	cr := a.cr
	err := a.relay.copyEvents(ctx, e, func() error { return a.firstEvent(prompt) })
	if err == nil {
		cr.proxy.countAnswer(http.StatusOK)
		a.recordDecoded(prompt)
		return nil
	}
	err = a.fail(attemptStatus(true, err), err)
	if !a.relay.headerSent {
		return err
	}
	if ctx.Err() == nil && !errors.Is(err, errClientGone) && cr.route.Resumable {
		if cr.resume(ctx, &a.relay, prompt) {
			return nil
		}
	}
	cr.proxy.countAnswer(0)
	panic(http.ErrAbortHandler) // a truncated response must not look complete
}

// firstEvent records the arrival of the first event. The error is errOutlastsDrain if it came so late that a draining
// proxy may not relay the rest in time: a request that has no response yet can still be answered.
func (a *decodeAttempt) firstEvent(prompt *scheduler.Prompt) error {
	a.gotEvent = true
	a.firstEventAt = time.Now()
	a.record.endHeaderWait()
	a.cr.recordFirstEvent()
	if a.pl.promptTokens > 0 {
		a.prefillMs = milliseconds(time.Since(a.startedAt))
	}
	if a.cr.restOutlastsDrain(prompt) {
		return errOutlastsDrain
	}
	return nil
}

// recordTransfer records whether the decode backend took over a KV handle, for the ranking of the prefill backend that
// holds it.
func (a *decodeAttempt) recordTransfer(taken bool) {
	if a.handle == nil {
		return
	}
	svc := a.cr.svc
	svc.mu.Lock()
	svc.ranker.TransferEnded(svc.now(), a.handle.from.ID, taken)
	svc.mu.Unlock()
}

// recordDecoded records the decode duration of the prompt.
func (a *decodeAttempt) recordDecoded(prompt *scheduler.Prompt) {
	svc := a.cr.svc
	svc.mu.Lock()
	svc.engines.ObserveDecode(a.cr.route.Name, prompt, milliseconds(time.Since(a.firstEventAt)))
	svc.mu.Unlock()
}

// recordEnd records the outcome of the attempt and its speed.
func (a *decodeAttempt) recordEnd(prompt *scheduler.Prompt) {
	svc := a.cr.svc
	id := a.pl.decode.ID
	staged := a.handle != nil
	speed, paced := svc.recordStream(a.cr, staged, a.thresholdMs, a.firstEventAt.Sub(a.startedAt), &a.relay)
	a.record.finish(a.status, speed, paced)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.engines.PrefillEnded(id, a.pl.promptTokens, a.prefillMs)
	svc.engines.RequestEnded(id)
	switch {
	case staged && a.gotEvent:
		took := milliseconds(a.firstEventAt.Sub(a.startedAt))
		svc.engines.ObserveTransfer(svc.now(), a.handle.from.ID, id, prompt, took, true)
	case staged && a.sent:
		took := milliseconds(time.Since(a.startedAt))
		svc.engines.ObserveTransfer(svc.now(), a.handle.from.ID, id, prompt, took, false)
	case !staged && !a.gotEvent:
		svc.engines.InvalidateCache(id, prompt)
	}
	svc.ranker.AttemptEnded(svc.now(), id, a.status)
}
