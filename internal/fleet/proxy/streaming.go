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
func (cr *clientRequest) priority(staged bool) int {
	if staged {
		return 0
	}
	return min(cr.route.Priority+1, 9)
}

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// streamFrom sends a generation to the decode backend of its place and passes its events on; done: the client has its
// answer, whole or cut off.
func (cr *clientRequest) streamFrom(ctx context.Context, pl placement, prompt *scheduler.Prompt, handle *kvHandle) (done bool, err error) {
	b := pl.decode
	start := time.Now()
	status, read, started := policy.OK, 0.0, false
	var began time.Time // when the first event came
	sent := false
	r := &streamRelay{cr: cr, backendID: b.ID}
	bound := cr.svc.firstEventThresholdMs(cr, handle != nil, pl.prefillMs)
	record := cr.svc.beginAttempt(b.ID, bound)
	defer func() {
		fast, paced := cr.svc.recordStream(cr, handle != nil, bound, began.Sub(start), r)
		record.finish(status, fast, paced)
		cr.svc.mu.Lock()
		cr.svc.engines.PrefillEnded(b.ID, pl.promptTokens, read)
		cr.svc.engines.RequestEnded(b.ID)
		switch {
		case handle != nil && started:
			cr.svc.engines.ObserveTransfer(cr.svc.now(), handle.from.ID, b.ID, prompt, float64(began.Sub(start).Microseconds())/1000, true)
		case handle != nil && sent:
			cr.svc.engines.ObserveTransfer(cr.svc.now(), handle.from.ID, b.ID, prompt, float64(time.Since(start).Microseconds())/1000, false)
		case !started && handle == nil:
			cr.svc.engines.InvalidateCache(b.ID, prompt)
		}
		cr.svc.ranker.AttemptEnded(cr.svc.now(), b.ID, status)
		cr.svc.mu.Unlock()
	}()
	opts := attemptOptions{deadline: cr.deadline, priority: cr.priority(handle != nil), handle: handle}
	headerDone := cr.svc.awaitHeader(b.ID)
	e, wrote, err := cr.startExchange(ctx, pl.decodePermit, &cr.outbound, &opts, cr.connectDeadline(), cr.headerDeadline())
	headerDone(err == nil)
	sent = wrote
	if wrote {
		cr.sends++
	}
	if err != nil {
		cr.mayHaveRun = cr.mayHaveRun || wrote
		status = attemptStatus(wrote, err)
		return false, err
	}
	resp := e.resp
	cr.svc.recordLoad(b.ID, resp.Header.Get(externalapi.HeaderBackendLoad))
	if resp.StatusCode >= 300 || resp.Header.Get("Content-Encoding") != "" || resp.Header.Get(externalapi.HeaderBackendSeal) == "" {
		e.setReadDeadline(time.Now().Add(time.Second))
		body, err := e.readAll(maxBufferedAnswer)
		switch {
		case err != nil:
			cr.mayHaveRun = true
			status = attemptStatus(true, err)
			return false, err
		case saysNotRun(resp):
			status = policy.Full
			cr.retryAfter = max(cr.retryAfter, backendRetryAfter(resp))
			cr.svc.recordShed(b.ID, true)
			if handle != nil {
				cr.svc.mu.Lock()
				cr.svc.ranker.TransferEnded(cr.svc.now(), handle.from.ID, false)
				cr.svc.mu.Unlock()
			}
			return false, nil
		}
		cr.mayHaveRun = true
		status = policy.Error
		if resp.StatusCode < 300 || cr.retryAvailable() {
			return false, errors.Errorf("status %d", resp.StatusCode)
		}
		cr.writeAnswer(resp, body)
		return true, nil
	}
	if handle != nil {
		cr.svc.mu.Lock()
		cr.svc.ranker.TransferEnded(cr.svc.now(), handle.from.ID, true)
		cr.svc.mu.Unlock()
	}
	cr.svc.recordShed(b.ID, false)
	err = r.copyEvents(ctx, e, func() {
		started, began = true, time.Now()
		record.headerReceived()
		if pl.promptTokens > 0 {
			read = float64(time.Since(start).Microseconds()) / 1000
		}
	})
	if err == nil {
		cr.proxy.countAnswer(http.StatusOK)
		cr.svc.mu.Lock()
		cr.svc.engines.ObserveDecode(cr.route.Name, prompt, float64(time.Since(began).Microseconds())/1000)
		cr.svc.mu.Unlock()
		return true, nil
	}
	cr.mayHaveRun = true
	status = attemptStatus(true, err)
	if r.headerSent {
		if ctx.Err() == nil && !errors.Is(err, errClientGone) && cr.route.Resumable {
			if cr.resume(ctx, r, prompt) {
				return true, nil
			}
		}
		cr.proxy.countAnswer(0)
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	return false, err
}

// errClientGone ends a stream that its client no longer takes: nobody waits for the rest of it. It counts as cancelled, which tells
// nothing of the backend.
var errClientGone = errors.Wrap(context.Canceled, "the client has left")

// streamRelay passes a stream on, whole events only, so that it can be taken up elsewhere after the last one.
type streamRelay struct {
	cr           *clientRequest
	backendID    string // id of the backend that it comes from
	headerSent   bool   // the client has the head
	lastID       string
	sampleEvents int       // since the stretch of the stream began whose pace is taken
	sampleStart  time.Time // when that was
	totalEvents  int       // events
	firstEventAt time.Time // when the first of them came
	lastEventAt  time.Time // and the last
}

// meanGapMs is the mean time between two events, ms; 0: there were fewer than two reads of them.
func (r *streamRelay) meanGapMs() float64 {
	if r.totalEvents < 2 {
		return 0
	}
	return float64(r.lastEventAt.Sub(r.firstEventAt).Microseconds()) / 1000 / float64(r.totalEvents-1)
}

// paceSampleEvents is how many events a stretch has whose pace is taken.
const paceSampleEvents = 16

// arrivedAt counts events that came now.
func (r *streamRelay) countEvents(events int) {
	now := time.Now()
	if r.totalEvents == 0 {
		r.firstEventAt = now
	}
	r.totalEvents += events
	r.lastEventAt = now
	if r.sampleStart.IsZero() {
		r.sampleStart = now // from the first events on: what is before them is the wait for a place
		return
	}
	if r.sampleEvents += events; r.sampleEvents > 0 && r.cr.svc.paceSampleComplete(now.Sub(r.sampleStart), r.sampleEvents) {
		r.cr.svc.recordPace(r.backendID, now.Sub(r.sampleStart), r.sampleEvents)
		r.sampleEvents, r.sampleStart = 0, now
	}
}

// copyEvents passes events on until the stream's end; first is called at the first event. An error: the stream broke off.
func (r *streamRelay) copyEvents(ctx context.Context, e *exchange, first func()) error {
	cr := r.cr
	resp := e.resp
	events := isEventStream(resp)
	flush := http.NewResponseController(cr.w)
	buf := make([]byte, 0, 4<<10)
	gotEvent := false
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventBytes {
				e.finish(false)
				return errors.Errorf("an event over %d bytes", maxEventBytes)
			}
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		// A first event has its time; between events only the client's patience bounds the wait.
		by := cr.deadline
		if !gotEvent && !r.headerSent {
			by = cr.headerDeadline()
		}
		e.setReadDeadline(by)
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if cut := cr.checkResidency(e); cut != nil && err != io.EOF && ctx.Err() == nil {
			e.finish(false)
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
			if !gotEvent {
				gotEvent = true
				first()
			}
			if !r.headerSent {
				r.headerSent = true
				cr.copyHeader(resp)
				cr.w.WriteHeader(resp.StatusCode)
			}
			if events {
				r.scanEvents(buf[:whole])
			}
			if _, werr := cr.w.Write(buf[:whole]); werr != nil {
				e.finish(false)
				return errClientGone
			}
			if err == nil {
				_ = flush.Flush()
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if err == io.EOF {
			if !r.headerSent {
				r.headerSent = true
				cr.copyHeader(resp)
				cr.w.WriteHeader(resp.StatusCode)
			}
			if !gotEvent {
				first()
			}
			e.finish(true)
			return nil
		}
		if err != nil {
			e.finish(false)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if isTimeout(err) {
				return errAnswerTimeout
			}
			return errors.Wrap(err, "stream")
		}
	}
}

// isEventStream tells whether an answer is a series of events.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// isTimeout tells whether a deadline, a connection's or a context's, ended an operation.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// scanEvents keeps the id of the last event, and counts the events.
func (r *streamRelay) scanEvents(events []byte) {
	count := 0
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
			count++
		}
	}
	r.countEvents(count)
}

// resume takes a stream up at another backend after its last event, inside the same answer; false: it could not.
func (cr *clientRequest) resume(ctx context.Context, r *streamRelay, prompt *scheduler.Prompt) bool {
	for ctx.Err() == nil && r.lastID != "" {
		if !cr.takeRetry() {
			return false
		}
		pl, ok := cr.svc.selectPlacement(cr.route.Name, false, prompt, cr.route.LatencyTarget(), cr.tried, false, cr.terms())
		if !ok {
			return false
		}
		cr.tried[pl.decode.ID] = true
		r.backendID, r.sampleStart = pl.decode.ID, time.Time{}
		status, kept := policy.OK, false
		opts := attemptOptions{deadline: cr.deadline, priority: cr.priority(false), lastID: r.lastID}
		e, wrote, err := cr.startExchange(ctx, pl.decodePermit, &cr.outbound, &opts, cr.connectDeadline(), cr.headerDeadline())
		if wrote {
			cr.sends++
		}
		done := false
		if err != nil {
			status = attemptStatus(wrote, err)
		} else if resp := e.resp; resp.StatusCode != http.StatusOK || resp.Header.Get(externalapi.HeaderBackendSeal) == "" || resp.Header.Get("Content-Encoding") != "" || !isEventStream(resp) {
			status = policy.Error
			if saysNotRun(resp) {
				status = policy.Full
			}
			e.setReadDeadline(time.Now().Add(time.Second))
			_, _ = e.readAll(maxBufferedAnswer)
		} else if err = r.copyEvents(ctx, e, func() { kept = true }); err == nil {
			done = true
		} else {
			status = attemptStatus(true, err)
		}
		left := errors.Is(err, errClientGone)
		cr.svc.mu.Lock()
		cr.svc.engines.PrefillEnded(pl.decode.ID, pl.promptTokens, 0)
		cr.svc.engines.RequestEnded(pl.decode.ID)
		if !kept {
			cr.svc.engines.InvalidateCache(pl.decode.ID, prompt)
		}
		cr.svc.ranker.AttemptEnded(cr.svc.now(), pl.decode.ID, status)
		cr.svc.mu.Unlock()
		if done {
			cr.proxy.countAnswer(http.StatusOK)
			return true
		}
		if left {
			return false
		}
	}
	return false
}
