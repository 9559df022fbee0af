package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

// kvHandle is where a prompt's memory lies.
type kvHandle struct {
	ref    string
	from   *backend
	permit residency.Permit // for from
	tokens int
}

// maxHandleAnswerBytes bounds the answer that names a handle.
const maxHandleAnswerBytes = 64 << 10

// prefill has a backend read the prompt and keep its memory for the taker; reached: the call may have come there.
func (cr *clientRequest) prefill(ctx context.Context, b *backend, permit residency.Permit, prompt *scheduler.Prompt, home bool, expectedMs float64, deadline time.Time) (handle *kvHandle, reached bool, err error) {
	cr.svc.mu.Lock()
	tokens := cr.svc.engines.PrefillStarted(b.ID, prompt, home)
	cr.svc.ranker.AttemptStarted(b.ID)
	cr.svc.mu.Unlock()
	took := 0.0
	status := policy.OK
	bound := cr.slowThresholdMs(expectedMs)
	record := cr.svc.beginAttempt(b.ID, bound)
	defer func() {
		record.finish(status, speedOf(took, expectedMs, bound), false)
		cr.svc.mu.Lock()
		cr.svc.engines.PrefillEnded(b.ID, tokens, took)
		cr.svc.engines.RequestEnded(b.ID)
		if took == 0 {
			cr.svc.engines.InvalidateCache(b.ID, prompt)
		}
		cr.svc.ranker.AttemptEnded(cr.svc.now(), b.ID, status)
		cr.svc.mu.Unlock()
	}()
	opts := attemptOptions{deadline: cr.deadline, stage: externalapi.PhasePrefill, priority: cr.priority(false)}
	e, wrote, err := cr.startExchange(ctx, permit, &cr.outbound, &opts, cr.connectDeadline(), deadline)
	if err != nil {
		status = attemptStatus(wrote, err)
		return nil, wrote, err
	}
	resp := e.resp
	cr.svc.recordLoad(b.ID, resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.readAll(maxHandleAnswerBytes)
	var answer struct {
		Ref    string `json:"kv_ref"`
		Tokens int    `json:"ntok"`
	}
	switch {
	case err != nil:
		status = attemptStatus(true, err)
		return nil, true, err
	case saysNotRun(resp):
		status = policy.Full
		return nil, true, errors.Errorf("prefill: status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || !validID(answer.Ref):
		status = policy.Error
		return nil, true, errors.Errorf("prefill: status %d", resp.StatusCode)
	}
	took = record.headerReceived()
	return &kvHandle{ref: answer.Ref, from: b, permit: permit, tokens: answer.Tokens}, true, nil
}

// releaseTimeout bounds the call that frees a handle, and releaseOverrun how much longer than its request's time that call may take.
const releaseTimeout, releaseOverrun = time.Second, 400 * time.Millisecond

// releaseHandle gives memory back that nobody will take.
func (cr *clientRequest) releaseHandle(handle *kvHandle) {
	proxy := cr.proxy
	proxy.background.Go(func() {
		ctx, cancel := context.WithTimeout(proxy.ctx, releaseTimeout)
		defer cancel()
		out := outboundRequest{id: cr.outbound.id, method: externalapi.CallFreeKVHandle.Method, target: externalapi.CallFreeKVHandle.Path + handle.ref, host: handle.from.Address}
		until := time.Now().Add(releaseTimeout)
		if latest := cr.deadline.Add(releaseOverrun); latest.Before(until) {
			until = latest // nobody is handed much more time than the client gave
		}
		opts := attemptOptions{deadline: until, priority: -1}
		e, _, err := cr.startExchange(ctx, handle.from.endpoint.ReleasePermit(), &out, &opts, time.Now().Add(connectTimeout), time.Now().Add(releaseTimeout))
		if err == nil {
			_, _ = e.readAll(maxHandleAnswerBytes)
		}
	})
}

// serveGeneration serves a request whose tokens come as a stream.
func (cr *clientRequest) serveGeneration(ctx context.Context, prompt *scheduler.Prompt) {
	split, reads := true, 0
	var handle *kvHandle // memory of the prompt that waits for its taker
	defer func() {
		if handle != nil {
			cr.releaseHandle(handle)
		}
	}()
	for {
		var pl placement
		ok := false
		terms := cr.terms()
		if handle != nil && handle.permit.Check(terms) != nil {
			// Its region was withdrawn while it waited: the prompt is read anew, inside.
			cr.releaseHandle(handle)
			handle = nil
			reads++
			split = reads < 2 && cr.takeExtraSend()
		}
		if handle != nil {
			pl, ok = cr.svc.selectDecoder(handle.from, cr.retryable(), prompt, cr.route.LatencyTarget(), cr.tried, terms)
		} else {
			pl, ok = cr.svc.selectPlacement(cr.route.Name, cr.retryable(), prompt, cr.route.LatencyTarget(), cr.tried, split, terms)
		}
		if !ok {
			cr.answerFailure(ctx, "no backend")
			return
		}
		if handle == nil && cr.prefillTooLate(&pl) {
			cr.undoPlacement(pl, prompt)
			cr.retryAfter = max(cr.retryAfter, time.Duration(pl.prefillMs)*time.Millisecond-time.Until(cr.deadline))
			cr.answerFailure(ctx, "all that read prompts have too much to read")
			return
		}
		if pl.prefill != nil && handle == nil {
			var err error
			began := time.Now()
			reached := false
			if handle, reached, err = cr.prefill(ctx, pl.prefill, pl.prefillPermit, prompt, pl.atHome, pl.prefillMs, cr.prefillDeadline(pl.prefillMs)); err != nil {
				cr.undoPlacement(pl, prompt)
				if ctx.Err() != nil {
					if time.Until(cr.deadline) > 0 {
						cr.abortClient()
					}
					cr.answerFailure(ctx, failureText(err))
					return
				}
				// Another backend reads it; a call that came to nothing is one beyond the first, and counts as such.
				cr.tried[pl.prefill.ID] = true
				if reached {
					reads++
				}
				split = reads < 2
				if reached && !cr.takeExtraSend() || len(cr.tried) > maxBackendsTried {
					cr.answerFailure(ctx, failureText(err))
					return
				}
				continue
			}
			cr.svc.recordPrefill(pl.prefillMs, time.Since(began))
		}
		cr.tried[pl.decode.ID] = true
		sends := cr.sends
		done, err := cr.streamFrom(ctx, pl, prompt, handle)
		if done {
			handle = nil // taken
			return
		}
		if ctx.Err() != nil && time.Until(cr.deadline) > 0 {
			cr.abortClient()
		}
		if cr.sends == sends && len(cr.tried) < maxBackendsTried && time.Until(cr.deadline) > connectTimeout {
			continue // none has seen it: there was no way to that backend
		}
		paid := false
		if handle != nil {
			// What was sent with it has spoilt it, whether or not that came to anything. Reading the prompt again takes one
			// more send than reading it where its tokens are made.
			cr.tried[handle.from.ID] = true
			cr.releaseHandle(handle)
			handle = nil
			reads++
			split = reads < 2 && cr.retryPossible() && cr.takeExtraSends(2)
			paid = split
		}
		if !paid && !cr.takeRetry() {
			cr.answerFailure(ctx, failureText(err))
			return
		}
	}
}

// undoPlacement takes back a place that was not used.
func (cr *clientRequest) undoPlacement(pl placement, prompt *scheduler.Prompt) {
	cr.svc.mu.Lock()
	cr.svc.engines.PrefillEnded(pl.decode.ID, pl.promptTokens, 0)
	cr.svc.engines.RequestEnded(pl.decode.ID)
	cr.svc.ranker.AttemptEnded(cr.svc.now(), pl.decode.ID, policy.Moot)
	cr.svc.mu.Unlock()
}

// prefillDeadline is until when a prompt that is read elsewhere is waited for: half of what is left, in case the backend is silent;
// longer where a long wait is expected, since one given up is read again from its beginning.
func (cr *clientRequest) prefillDeadline(expected float64) time.Time {
	left := time.Until(cr.deadline)
	return time.Now().Add(min(max(left/2, time.Duration(expected*prefillOverrun)*time.Millisecond), left))
}

// prefillTooLate tells whether the prompt can't be read in the time left: what is begun all the same holds up the others for nothing.
func (cr *clientRequest) prefillTooLate(pl *placement) bool {
	return pl.prefill != nil && pl.prefillMs > float64(time.Until(cr.deadline).Milliseconds())
}
