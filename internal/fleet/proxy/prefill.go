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

const (
	// prefillOverrun is the multiple of its expected duration that a prefill may take.
	prefillOverrun = 2
	// maxHandleAnswerBytes bounds the response that contains a KV handle, and the response to its release.
	maxHandleAnswerBytes = 64 << 10
	// releaseTimeout bounds the call that releases a KV handle.
	releaseTimeout = time.Second
	// releaseOverrun is how long after its request's deadline the release of a KV handle may end.
	releaseOverrun = 400 * time.Millisecond
)

// kvHandle names the KV cache of a prompt that a prefill backend holds for a decode backend. It is taken over once, or
// released.
type kvHandle struct {
	ref    string
	from   *backend
	permit residency.Permit // for from
	tokens int
	// weights is the version of the weights that computed it; 0: not reported.
	weights int64
}

// prefillAttempt is a prefill call to a backend, with the state from which its outcome is recorded.
type prefillAttempt struct {
	cr           *clientRequest
	backend      *backend
	permit       residency.Permit
	expectedMs   float64
	thresholdMs  float64 // duration above which it counts as slow, ms
	promptTokens int     // tokens to prefill, as estimated by the scheduler
	reached      bool    // the call may have reached the backend
	tookMs       float64 // 0: it failed
	status       policy.Status
	record       *attemptRecord
}

// newPrefillAttempt starts the prefill of a placement, and records that for the scheduler and the outlier detection.
func (cr *clientRequest) newPrefillAttempt(pl *placement, prompt *scheduler.Prompt) prefillAttempt {
	b := pl.prefill
	svc := cr.svc
	svc.mu.Lock()
	tokens := svc.engines.PrefillStarted(b.ID, prompt, pl.atPreferred)
	svc.ranker.AttemptStarted(b.ID)
	svc.mu.Unlock()
	threshold := cr.slowThresholdMs(pl.prefillMs)
	return prefillAttempt{
		cr:           cr,
		backend:      b,
		permit:       pl.prefillPermit,
		expectedMs:   pl.prefillMs,
		thresholdMs:  threshold,
		promptTokens: tokens,
		status:       policy.OK,
		record:       svc.beginAttempt(b.ID, threshold),
	}
}

// run has the backend prefill the prompt and hold its KV cache for a decode backend. It waits until deadline for the
// head of the response.
func (a *prefillAttempt) run(ctx context.Context, prompt *scheduler.Prompt, deadline time.Time) (*kvHandle, error) {
	defer a.recordEnd(prompt)
	cr := a.cr
	opts := attemptOptions{deadline: cr.deadline, stage: externalapi.PhasePrefill, priority: cr.priority(false)}
	e, wrote, err := cr.startExchange(ctx, a.permit, &cr.outbound, &opts, cr.connectDeadline(), deadline)
	a.reached = wrote
	cr.prefilled = cr.prefilled || wrote
	if err != nil {
		a.status = attemptStatus(wrote, err)
		return nil, err
	}
	handle, err := a.readHandle(e)
	if err != nil {
		return nil, err
	}
	a.tookMs = a.record.endHeaderWait()
	return handle, nil
}

// readHandle reads the KV handle from the response.
func (a *prefillAttempt) readHandle(e *exchange) (*kvHandle, error) {
	resp := e.resp
	a.cr.svc.recordLoad(a.backend.ID, resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.readAll(maxHandleAnswerBytes)
	if err != nil {
		a.status = attemptStatus(true, err)
		return nil, err
	}
	var answer struct {
		Ref     string `json:"kv_ref"`
		Tokens  int    `json:"ntok"`
		Weights int64  `json:"ver"`
	}
	switch {
	case reportsNotRun(resp):
		a.status = policy.Full
		return nil, errors.Errorf("prefill: status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK || json.Unmarshal(body, &answer) != nil || !validID(answer.Ref):
		a.status = policy.Error
		return nil, errors.Errorf("prefill: status %d", resp.StatusCode)
	}
	return &kvHandle{
		ref:    answer.Ref,
		from:   a.backend,
		permit: a.permit,
		tokens: answer.Tokens,

		weights: answer.Weights,
	}, nil
}

// recordEnd records the outcome of the prefill and its duration.
func (a *prefillAttempt) recordEnd(prompt *scheduler.Prompt) {
	a.record.finish(a.status, speedOf(a.tookMs, a.expectedMs, a.thresholdMs), false)
	evicted := prompt
	if a.tookMs != 0 {
		evicted = nil
	}
	a.cr.svc.generationEnded(generationEnd{
		backendID:    a.backend.ID,
		promptTokens: a.promptTokens,
		prefillMs:    a.tookMs,
		status:       a.status,
	}, evicted)
}

// generationEnd describes the end of a prefill or a decode at a backend.
type generationEnd struct {
	backendID    string
	promptTokens int     // tokens that were to be prefilled there
	prefillMs    float64 // duration of the prefill, ms; 0: it was not completed
	status       policy.Status
}

// generationEnded records the end of a prefill or a decode, whose start was recorded by its selection. evicted is the
// prompt that is no longer assumed to be in the backend's prefix cache; nil: none.
func (s *service) generationEnded(end generationEnd, evicted *scheduler.Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines.PrefillEnded(end.backendID, end.promptTokens, end.prefillMs)
	s.engines.RequestEnded(end.backendID)
	if evicted != nil {
		s.engines.InvalidateCache(end.backendID, evicted)
	}
	s.ranker.AttemptEnded(s.now(), end.backendID, end.status)
}

// releaseHandle tells the prefill backend that the KV cache will not be taken over. It does not wait for the response;
// Proxy.background does.
func (cr *clientRequest) releaseHandle(handle *kvHandle) {
	proxy := cr.proxy
	proxy.background.Go(func() {
		ctx, cancel := context.WithTimeout(proxy.ctx, releaseTimeout)
		defer cancel()
		out := outboundRequest{
			id:     cr.outbound.id,
			method: externalapi.CallFreeKVHandle.Method,
			target: externalapi.CallFreeKVHandle.Path + handle.ref,
			host:   handle.from.Address,
		}
		deadline := time.Now().Add(releaseTimeout)
		if latest := cr.deadline.Add(releaseOverrun); latest.Before(deadline) {
			deadline = latest // a backend gets little more time than the client allowed
		}
		opts := attemptOptions{deadline: deadline, priority: noPriority}
		permit := handle.from.endpoint.ReleasePermit()
		connectDeadline := time.Now().Add(connectTimeout)
		headerDeadline := time.Now().Add(releaseTimeout)
		e, _, err := cr.startExchange(ctx, permit, &out, &opts, connectDeadline, headerDeadline)
		if err == nil {
			_, _ = e.readAll(maxHandleAnswerBytes)
		}
	})
}

// prefillDeadline returns how long a prefill is waited for: half of the remaining time, in case the backend does not
// respond, or longer if a long prefill is expected, since an abandoned prefill starts from scratch elsewhere.
func (cr *clientRequest) prefillDeadline(expectedMs float64) time.Time {
	left := time.Until(cr.deadline)
	return time.Now().Add(min(max(left/2, time.Duration(expectedMs*prefillOverrun)*time.Millisecond), left))
}

// prefillTooLate reports whether the prompt cannot be prefilled in the remaining time: starting it would delay other
// requests for no benefit.
func (cr *clientRequest) prefillTooLate(pl *placement) bool {
	return pl.prefill != nil && pl.prefillMs > float64(time.Until(cr.deadline).Milliseconds())
}

// undoPlacement reverts the records of a decode placement that was not used.
func (cr *clientRequest) undoPlacement(pl *placement) {
	cr.svc.generationEnded(generationEnd{
		backendID:    pl.decode.ID,
		promptTokens: pl.promptTokens,
		status:       policy.Abandoned,
	}, nil)
}
