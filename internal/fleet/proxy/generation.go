package proxy

import (
	"context"
	"time"

	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// maxPrefills is how often the prompt of one request is prefilled separately from its decode. If that fails as often,
// the decode backend prefills the prompt.
const maxPrefills = 2

// generation serves one request whose tokens are streamed: its prompt is prefilled at one backend and decoded at
// another, or both at one. The prompt is passed from step to step rather than stored here, as it would be allocated on
// the heap beside values that outlive the request.
type generation struct {
	cr *clientRequest
	// handle names the prompt's KV cache while it awaits its decode backend; nil: there is none.
	handle *kvHandle
	// split means that the prompt may be prefilled separately from its decode; prefills counts the separate prefills
	// that failed or went unused.
	split    bool
	prefills int
}

// serveGeneration serves a request whose tokens are streamed, trying one placement after another until one answers. The
// error is why none did.
func (cr *clientRequest) serveGeneration(ctx context.Context, prompt *scheduler.Prompt) error {
	g := generation{cr: cr, split: true}
	defer g.releaseHandle()
	for {
		pl, err := g.place(prompt)
		if err != nil {
			return err
		}
		if pl.prefill != nil && g.handle == nil {
			retry, err := g.prefill(ctx, &pl, prompt)
			if retry {
				continue
			}
			if err != nil {
				return err
			}
		}
		cr.tried[pl.decode.ID] = true
		sends := cr.sends
		err = cr.streamFrom(ctx, &pl, prompt, g.handle)
		if err == nil {
			g.handle = nil // the decode backend has taken it over
			return nil
		}
		if over := cr.checkRetry(ctx, prompt); over != nil {
			return over
		}
		if cr.canReroute(sends) {
			continue
		}
		if !g.takeRetry() {
			return attemptFailure(err)
		}
	}
}

// place selects where the prompt is prefilled and decoded, or only where it is decoded if it has been prefilled.
func (g *generation) place(prompt *scheduler.Prompt) (placement, error) {
	cr := g.cr
	terms := cr.terms()
	g.dropWithdrawnHandle(terms)
	target := cr.route.LatencyTarget()
	if g.handle != nil {
		pl, ok := cr.svc.selectDecoder(g.handle.from, cr.retryable(), prompt, target, cr.tried, terms)
		if !ok {
			return pl, errNoBackend
		}
		return pl, nil
	}
	pl, ok := cr.svc.selectPlacement(cr.route.Name, cr.retryable(), prompt, target, cr.tried, g.split, terms)
	if !ok {
		return pl, errNoBackend
	}
	if cr.prefillTooLate(&pl) {
		cr.undoPlacement(&pl)
		missing := time.Duration(pl.prefillMs)*time.Millisecond - time.Until(cr.deadline)
		cr.retryAfter = max(cr.retryAfter, missing)
		return pl, errPrefillTooLate
	}
	return pl, nil
}

// prefill runs the prefill at the placement's prefill backend. retry reports whether the prompt is to be placed again:
// after an error that allows it, or for its decode only, as the decode backend is not usable any more.
func (g *generation) prefill(
	ctx context.Context,
	pl *placement,
	prompt *scheduler.Prompt,
) (retry bool, err error) {
	cr := g.cr
	began := time.Now()
	deadline := cr.prefillDeadline(pl.prefillMs)
	a := cr.newPrefillAttempt(pl, prompt)
	handle, err := a.run(ctx, prompt, deadline)
	if err != nil {
		cr.undoPlacement(pl)
		if over := cr.checkRetry(ctx, prompt); over != nil {
			return false, over
		}
		return ctx.Err() == nil && g.takePrefillRetry(pl, a.reached), attemptFailure(err)
	}
	g.handle = handle
	cr.svc.recordPrefill(pl.prefillMs, time.Since(began))
	if !cr.svc.usableDecoder(pl.decode) {
		cr.undoPlacement(pl)
		return true, nil
	}
	return false, nil
}

// takePrefillRetry reports whether another backend may prefill the prompt after one failed to. A call that reached a
// backend counts as a send beyond the request's first, and is taken from the retry budget.
func (g *generation) takePrefillRetry(pl *placement, reached bool) bool {
	cr := g.cr
	cr.tried[pl.prefill.ID] = true
	if reached {
		g.prefills++
	}
	g.split = g.prefills < maxPrefills
	if reached && !cr.takeExtraSend() {
		return false
	}
	return len(cr.tried) <= maxBackendsTried
}

// takeRetry reports whether the request may be sent to another decode backend, and takes that from the retry budget. A
// KV handle that was part of the failed attempt cannot be used again, whether or not it was taken over. Prefilling the
// prompt separately once more takes one send more than prefilling it at the decode backend.
func (g *generation) takeRetry() bool {
	cr := g.cr
	if g.handle == nil {
		return cr.takeRetry()
	}
	cr.tried[g.handle.from.ID] = true
	g.discardHandle()
	g.split = g.prefills < maxPrefills && cr.retryPossible() && cr.takeExtraSends(2)
	return g.split || cr.takeRetry()
}

// dropWithdrawnHandle discards a KV handle whose region was withdrawn from the terms while the handle was pending: the
// prompt is prefilled again, within the terms.
func (g *generation) dropWithdrawnHandle(terms residency.Terms) {
	if g.handle == nil || g.handle.permit.Check(terms) == nil {
		return
	}
	g.discardHandle()
	g.split = g.prefills < maxPrefills && g.cr.takeExtraSend()
}

// discardHandle releases the KV handle, and counts its prefill as unused.
func (g *generation) discardHandle() {
	g.cr.releaseHandle(g.handle)
	g.handle = nil
	g.prefills++
}

// releaseHandle releases a KV handle that is still pending when the request ends.
func (g *generation) releaseHandle() {
	if g.handle != nil {
		g.cr.releaseHandle(g.handle)
	}
}
