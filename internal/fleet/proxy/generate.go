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

// handle is where a prompt's memory lies.
type handle struct {
	ref    string
	from   *backend
	at     residency.Permit // for from
	tokens int
}

// maxHandleAnswer bounds the answer that names a handle.
const maxHandleAnswer = 64 << 10

// prefill has a backend read the prompt and keep its memory for the taker; reached: the call may have come there.
func (t *try) prefill(ctx context.Context, b *backend, at residency.Permit, p *scheduler.Prompt, home bool, expectedMs float64, by time.Time) (h *handle, reached bool, err error) {
	t.svc.mu.Lock()
	tokens := t.svc.engines.PrefillStarted(b.ID, p, home)
	t.svc.ranker.AttemptStarted(b.ID)
	t.svc.mu.Unlock()
	took := 0.0
	status := policy.OK
	bound := t.slowBound(expectedMs)
	attempt := t.svc.attempt(b.ID, bound)
	defer func() {
		attempt.end(status, speedOf(took, expectedMs, bound), false)
		t.svc.mu.Lock()
		t.svc.engines.PrefillEnded(b.ID, tokens, took)
		t.svc.engines.RequestEnded(b.ID)
		if took == 0 {
			t.svc.engines.InvalidateCache(b.ID, p)
		}
		t.svc.ranker.AttemptEnded(t.svc.now(), b.ID, status)
		t.svc.mu.Unlock()
	}()
	x := extra{until: t.deadline, stage: externalapi.PhasePrefill, priority: t.priority(false)}
	e, wrote, err := t.begin(ctx, at, &t.m, &x, t.connectBy(), by)
	if err != nil {
		status = judge(wrote, err)
		return nil, wrote, err
	}
	resp := e.resp
	t.svc.told(b.ID, resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.body(maxHandleAnswer)
	var ans struct {
		Ref    string `json:"kv_ref"`
		Tokens int    `json:"ntok"`
	}
	switch {
	case err != nil:
		status = judge(true, err)
		return nil, true, err
	case notRun(resp):
		status = policy.Full
		return nil, true, errors.Errorf("prefill: status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK || json.Unmarshal(body, &ans) != nil || !plain(ans.Ref):
		status = policy.Error
		return nil, true, errors.Errorf("prefill: status %d", resp.StatusCode)
	}
	took = attempt.answered()
	return &handle{ref: ans.Ref, from: b, at: at, tokens: ans.Tokens}, true, nil
}

// freeWithin bounds the call that frees a handle, and freeLate how much longer than its request's time that call may take.
const freeWithin, freeLate = time.Second, 400 * time.Millisecond

// free gives memory back that nobody will take.
func (t *try) free(h *handle) {
	v := t.v
	v.background.Go(func() {
		ctx, cancel := context.WithTimeout(v.ctx, freeWithin)
		defer cancel()
		m := message{id: t.m.id, method: externalapi.CallFreeKVHandle.Method, target: externalapi.CallFreeKVHandle.Path + h.ref, host: h.from.Address}
		until := time.Now().Add(freeWithin)
		if late := t.deadline.Add(freeLate); late.Before(until) {
			until = late // nobody is handed much more time than the client gave
		}
		x := extra{until: until, priority: -1}
		e, _, err := t.begin(ctx, h.from.plot.ReleasePermit(), &m, &x, time.Now().Add(connectWithin), time.Now().Add(freeWithin))
		if err == nil {
			_, _ = e.body(maxHandleAnswer)
		}
	})
}

// generate serves a request whose tokens come as a stream.
func (t *try) generate(ctx context.Context, p *scheduler.Prompt) {
	split, reads := true, 0
	var h *handle // memory of the prompt that waits for its taker
	defer func() {
		if h != nil {
			t.free(h)
		}
	}()
	for {
		var pl place
		ok := false
		terms := t.terms()
		if h != nil && h.at.Check(terms) != nil {
			// Its region was withdrawn while it waited: the prompt is read anew, inside.
			t.free(h)
			h = nil
			reads++
			split = reads < 2 && t.allowed()
		}
		if h != nil {
			pl, ok = t.svc.takerFor(h.from, t.repeatable(), p, t.route.LatencyTarget(), t.tried, terms)
		} else {
			pl, ok = t.svc.placeFor(t.route.Name, t.repeatable(), p, t.route.LatencyTarget(), t.tried, split, terms)
		}
		if !ok {
			t.giveUp(ctx, "no backend")
			return
		}
		if h == nil && t.tooLate(&pl) {
			t.unsent(pl, p)
			t.refused = max(t.refused, time.Duration(pl.readMs)*time.Millisecond-time.Until(t.deadline))
			t.giveUp(ctx, "all that read prompts have too much to read")
			return
		}
		if pl.from != nil && h == nil {
			var err error
			began := time.Now()
			reached := false
			if h, reached, err = t.prefill(ctx, pl.from, pl.first, p, pl.home, pl.readMs, t.readBy(pl.readMs)); err != nil {
				t.unsent(pl, p)
				if ctx.Err() != nil {
					if time.Until(t.deadline) > 0 {
						t.clientLeft()
					}
					t.giveUp(ctx, errText(err))
					return
				}
				// Another backend reads it; a call that came to nothing is one beyond the first, and counts as such.
				t.tried[pl.from.ID] = true
				if reached {
					reads++
				}
				split = reads < 2
				if reached && !t.allowed() || len(t.tried) > maxWays {
					t.giveUp(ctx, errText(err))
					return
				}
				continue
			}
			t.svc.turned(pl.readMs, time.Since(began))
		}
		t.tried[pl.at.ID] = true
		sends := t.sends
		done, err := t.stream(ctx, pl, p, h)
		if done {
			h = nil // taken
			return
		}
		if ctx.Err() != nil && time.Until(t.deadline) > 0 {
			t.clientLeft()
		}
		if t.sends == sends && len(t.tried) < maxWays && time.Until(t.deadline) > connectWithin {
			continue // none has seen it: there was no way to that backend
		}
		paid := false
		if h != nil {
			// What was sent with it has spoilt it, whether or not that came to anything. Reading the prompt again takes one
			// more send than reading it where its tokens are made.
			t.tried[h.from.ID] = true
			t.free(h)
			h = nil
			reads++
			split = reads < 2 && t.couldAgain() && t.afford(2)
			paid = split
		}
		if !paid && !t.mayAgain() {
			t.giveUp(ctx, errText(err))
			return
		}
	}
}

// unsent takes back a place that was not used.
func (t *try) unsent(pl place, p *scheduler.Prompt) {
	t.svc.mu.Lock()
	t.svc.engines.PrefillEnded(pl.at.ID, pl.tokens, 0)
	t.svc.engines.RequestEnded(pl.at.ID)
	t.svc.ranker.AttemptEnded(t.svc.now(), pl.at.ID, policy.Moot)
	t.svc.mu.Unlock()
}

// readBy is until when a prompt that is read elsewhere is waited for: half of what is left, in case the backend is silent;
// longer where a long wait is expected, since one given up is read again from its beginning.
func (t *try) readBy(expected float64) time.Time {
	left := time.Until(t.deadline)
	return time.Now().Add(min(max(left/2, time.Duration(expected*lateReads)*time.Millisecond), left))
}

// tooLate tells whether the prompt can't be read in the time left: what is begun all the same holds up the others for nothing.
func (t *try) tooLate(pl *place) bool {
	return pl.from != nil && pl.readMs > float64(time.Until(t.deadline).Milliseconds())
}
