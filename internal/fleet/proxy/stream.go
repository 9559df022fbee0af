package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

// priority is what a backend is told of a request's urgency. Whoever comes with memory that waits elsewhere for its taker
// goes first: that memory is lost to others for so long, lapses, and its reading was paid for; then the operator's rank.
func (t *try) priority(staged bool) int {
	if staged {
		return 0
	}
	return min(t.route.Priority+1, 9)
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// stream sends a generation to the decode backend of its place and passes its events on; done: the client has its
// answer, whole or cut off.
func (t *try) stream(ctx context.Context, pl place, p *scheduler.Prompt, h *handle) (done bool, err error) {
	b := pl.at
	start := time.Now()
	status, read, kept := policy.OK, 0.0, false
	var began time.Time // when the first event came
	sent := false
	r := &relay{t: t, at: b.ID}
	bound := t.svc.firstBound(t, h != nil, pl.readMs)
	attempt := t.svc.attempt(b.ID, bound)
	defer func() {
		fast, paced := t.svc.streamed(t, h != nil, bound, began.Sub(start), r)
		attempt.end(status, fast, paced)
		t.svc.mu.Lock()
		t.svc.engines.PrefillEnded(b.ID, pl.tokens, read)
		t.svc.engines.RequestEnded(b.ID)
		switch {
		case h != nil && kept:
			t.svc.engines.ObserveTransfer(t.svc.now(), h.from.ID, b.ID, p, float64(began.Sub(start).Microseconds())/1000, true)
		case h != nil && sent:
			t.svc.engines.ObserveTransfer(t.svc.now(), h.from.ID, b.ID, p, float64(time.Since(start).Microseconds())/1000, false)
		case !kept && h == nil:
			t.svc.engines.InvalidateCache(b.ID, p)
		}
		t.svc.ranker.AttemptEnded(t.svc.now(), b.ID, status)
		t.svc.mu.Unlock()
	}()
	x := extra{until: t.deadline, priority: t.priority(h != nil), handle: h}
	heard := t.svc.awaits(b.ID)
	e, wrote, err := t.begin(ctx, pl.permit, &t.m, &x, t.connectBy(), t.headBy())
	heard(err == nil)
	sent = wrote
	if wrote {
		t.sends++
	}
	if err != nil {
		t.ran = t.ran || wrote
		status = judge(wrote, err)
		return false, err
	}
	resp := e.resp
	t.svc.told(b.ID, resp.Header.Get(externalapi.HeaderBackendLoad))
	if resp.StatusCode >= 300 || resp.Header.Get("Content-Encoding") != "" || resp.Header.Get(externalapi.HeaderBackendSeal) == "" {
		e.readUntil(time.Now().Add(time.Second))
		body, err := e.body(maxAnswer)
		switch {
		case err != nil:
			t.ran = true
			status = judge(true, err)
			return false, err
		case notRun(resp):
			status = policy.Full
			t.refused = max(t.refused, retryAfter(resp))
			t.svc.shed(b.ID, true)
			if h != nil {
				t.svc.mu.Lock()
				t.svc.ranker.TransferEnded(t.svc.now(), h.from.ID, false)
				t.svc.mu.Unlock()
			}
			return false, nil
		}
		t.ran = true
		status = policy.Error
		if resp.StatusCode < 300 || t.wouldAgain() {
			return false, errors.Errorf("status %d", resp.StatusCode)
		}
		t.answer(resp, body)
		return true, nil
	}
	if h != nil {
		t.svc.mu.Lock()
		t.svc.ranker.TransferEnded(t.svc.now(), h.from.ID, true)
		t.svc.mu.Unlock()
	}
	t.svc.shed(b.ID, false)
	err = r.pass(ctx, e, func() {
		kept, began = true, time.Now()
		attempt.answered()
		if pl.tokens > 0 {
			read = float64(time.Since(start).Microseconds()) / 1000
		}
	})
	if err == nil {
		t.v.count(http.StatusOK)
		t.svc.mu.Lock()
		t.svc.engines.ObserveDecode(t.route.Name, p, float64(time.Since(began).Microseconds())/1000)
		t.svc.mu.Unlock()
		return true, nil
	}
	t.ran = true
	status = judge(true, err)
	if r.begun {
		if ctx.Err() == nil && !errors.Is(err, errClientLeft) && t.route.Resumable {
			if t.resume(ctx, r, p) {
				return true, nil
			}
		}
		t.v.count(0)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	return false, err
}

// errClientLeft ends a stream that its client no longer takes: nobody waits for the rest of it. It counts as cancelled, which tells
// nothing of the backend.
var errClientLeft = errors.Wrap(context.Canceled, "the client has left")

// relay passes a stream on, whole events only, so that it can be taken up elsewhere after the last one.
type relay struct {
	t      *try
	at     string // id of the backend that it comes from
	begun  bool   // the client has the head
	lastID string
	events int       // since the stretch of the stream began whose pace is taken
	since  time.Time // when that was
	total  int       // events
	began  time.Time // when the first of them came
	latest time.Time // and the last
}

// gapMs is the mean time between two events, ms; 0: there were fewer than two reads of them.
func (r *relay) gapMs() float64 {
	if r.total < 2 {
		return 0
	}
	return float64(r.latest.Sub(r.began).Microseconds()) / 1000 / float64(r.total-1)
}

// paceStretch is how many events a stretch has whose pace is taken.
const paceStretch = 16

// came counts events that came now.
func (r *relay) came(events int) {
	now := time.Now()
	if r.total == 0 {
		r.began = now
	}
	r.total += events
	r.latest = now
	if r.since.IsZero() {
		r.since = now // from the first events on: what is before them is the wait for a place
		return
	}
	if r.events += events; r.events > 0 && r.t.svc.stretchOver(now.Sub(r.since), r.events) {
		r.t.svc.paced(r.at, now.Sub(r.since), r.events)
		r.events, r.since = 0, now
	}
}

// pass passes events on until the stream's end; first is called at the first event. An error: the stream broke off.
func (r *relay) pass(ctx context.Context, e *exchange, first func()) error {
	t := r.t
	resp := e.resp
	events := isEvents(resp)
	flush := http.NewResponseController(t.w)
	buf := make([]byte, 0, 4<<10)
	some := false
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				e.end(false)
				return errors.Errorf("an event over %d bytes", maxEvent)
			}
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		// A first event has its time; between events only the client's patience bounds the wait.
		by := t.deadline
		if !some && !r.begun {
			by = t.headBy()
		}
		e.readUntil(by)
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if cut := t.stays(e); cut != nil && err != io.EOF && ctx.Err() == nil {
			e.end(false)
			return cut
		}
		whole := len(buf)
		if events && err != io.EOF {
			whole = 0
			if i := bytes.LastIndex(buf, []byte("\n\n")); i >= 0 {
				whole = i + 2
			}
		}
		if whole > 0 {
			if !some {
				some = true
				first()
			}
			if !r.begun {
				r.begun = true
				t.head(resp)
				t.w.WriteHeader(resp.StatusCode)
			}
			if events {
				r.note(buf[:whole])
			}
			if _, werr := t.w.Write(buf[:whole]); werr != nil {
				e.end(false)
				return errClientLeft
			}
			if err == nil {
				_ = flush.Flush()
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if err == io.EOF {
			if !r.begun {
				r.begun = true
				t.head(resp)
				t.w.WriteHeader(resp.StatusCode)
			}
			if !some {
				first()
			}
			e.end(true)
			return nil
		}
		if err != nil {
			e.end(false)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if isTimeout(err) {
				return errSilent
			}
			return errors.Wrap(err, "stream")
		}
	}
}

// isEvents tells whether an answer is a series of events.
func isEvents(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// isTimeout tells whether a deadline, a connection's or a context's, ended an operation.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// note keeps the id of the last event, and counts the events.
func (r *relay) note(events []byte) {
	count := 0
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
			count++
		}
	}
	r.came(count)
}

// resume takes a stream up at another backend after its last event, inside the same answer; false: it could not.
func (t *try) resume(ctx context.Context, r *relay, p *scheduler.Prompt) bool {
	for ctx.Err() == nil && r.lastID != "" {
		if !t.mayAgain() {
			return false
		}
		pl, ok := t.svc.placeFor(t.route.Name, false, p, t.route.LatencyTarget(), t.tried, false, t.terms())
		if !ok {
			return false
		}
		t.tried[pl.at.ID] = true
		r.at, r.since = pl.at.ID, time.Time{}
		status, kept := policy.OK, false
		x := extra{until: t.deadline, priority: t.priority(false), lastID: r.lastID}
		e, wrote, err := t.begin(ctx, pl.permit, &t.m, &x, t.connectBy(), t.headBy())
		if wrote {
			t.sends++
		}
		done := false
		if err != nil {
			status = judge(wrote, err)
		} else if resp := e.resp; resp.StatusCode != http.StatusOK || resp.Header.Get(externalapi.HeaderBackendSeal) == "" || resp.Header.Get("Content-Encoding") != "" || !isEvents(resp) {
			status = policy.Error
			if notRun(resp) {
				status = policy.Full
			}
			e.readUntil(time.Now().Add(time.Second))
			_, _ = e.body(maxAnswer)
		} else if err = r.pass(ctx, e, func() { kept = true }); err == nil {
			done = true
		} else {
			status = judge(true, err)
		}
		left := errors.Is(err, errClientLeft)
		t.svc.mu.Lock()
		t.svc.engines.PrefillEnded(pl.at.ID, pl.tokens, 0)
		t.svc.engines.RequestEnded(pl.at.ID)
		if !kept {
			t.svc.engines.InvalidateCache(pl.at.ID, p)
		}
		t.svc.ranker.AttemptEnded(t.svc.now(), pl.at.ID, status)
		t.svc.mu.Unlock()
		if done {
			t.v.count(http.StatusOK)
			return true
		}
		if left {
			return false
		}
	}
	return false
}
