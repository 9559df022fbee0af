package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxEventBytes bounds one event of a stream, and with it the buffer, in bytes.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the initial buffer of a stream, in bytes.
	eventBufferBytes = 4 << 10
	// healthSampleEvents is the number of events in a sample by which the outlier detection judges a backend.
	healthSampleEvents = 16
	// minPaceSample is the least duration of a sample by which the duration of further streams is estimated. It is long
	// enough that a short stall doesn't look like a slow pace.
	minPaceSample = 500 * time.Millisecond
	// minPaceEvents is the least number of events of a complete stream that is such a sample although it is shorter.
	minPaceEvents = 16
)

// streamRelay relays a stream to the client in complete events only, so that another backend can continue after the
// last one. It belongs to the goroutine that serves the request.
type streamRelay struct {
	cr        *clientRequest
	backendID string // id of the backend that sends the stream

	// State at the client: headerSent means that its response has started, and lastID is the id of its last event.
	headerSent bool
	lastID     string

	healthSample eventSample // of the backend, for the outlier detection
	paceSample   eventSample // of the service, for the estimate of the duration of streams
	paceObserved bool        // a pace sample was recorded

	// Totals over all backends.
	totalEvents  int
	firstEventAt time.Time
	lastEventAt  time.Time
}

// meanGapMs returns the mean time between two events, ms; 0: fewer than two arrived.
func (r *streamRelay) meanGapMs() float64 {
	if r.totalEvents < 2 {
		return 0
	}
	return float64(r.lastEventAt.Sub(r.firstEventAt).Microseconds()) / 1000 / float64(r.totalEvents-1)
}

// resumeAt records that another backend continues the stream.
func (r *streamRelay) resumeAt(backendID string) {
	r.backendID = backendID
	r.healthSample = eventSample{}
	r.paceSample = eventSample{}
}

// eventSample is a section of a stream. It starts with the first events, as the time before them is the wait for a
// batch slot; these don't count. The zero value has not started.
type eventSample struct {
	events    int
	startedAt time.Time
}

// add adds newly arrived events, and returns how long the section has lasted.
func (es *eventSample) add(now time.Time, events int) (lasted time.Duration) {
	if es.startedAt.IsZero() {
		es.startedAt = now
		return 0
	}
	es.events += events
	return now.Sub(es.startedAt)
}

// restart begins the next section.
func (es *eventSample) restart(now time.Time) { *es = eventSample{startedAt: now} }

// copyEvents relays events until the stream ends, and finishes the exchange. first is called once, when the first event
// has arrived and before it is relayed; its error ends a stream that is not complete by then. An error means that the
// stream broke off; events relayed before remain sent.
func (r *streamRelay) copyEvents(ctx context.Context, e *exchange, first func() error) error {
	in := eventReader{body: e.resp.Body, isEvents: isEventStream(e.resp), buf: make([]byte, 0, eventBufferBytes)}
	flush := http.NewResponseController(r.cr.w)
	gotEvent := false
	for {
		if err := in.grow(); err != nil {
			e.finish(false)
			return err
		}
		e.setReadDeadline(r.eventDeadline(gotEvent))
		err := in.read()
		if withdrawn := r.cr.checkResidency(e); withdrawn != nil && err != io.EOF && ctx.Err() == nil {
			e.finish(false)
			return withdrawn
		}
		if events := in.complete(err == io.EOF); len(events) > 0 {
			if !gotEvent {
				gotEvent = true
				if ferr := first(); ferr != nil && err == nil {
					e.finish(false)
					return ferr
				}
			}
			if werr := r.write(e.resp, events, in.isEvents); werr != nil {
				e.finish(false)
				return werr
			}
			if err == nil {
				_ = flush.Flush()
			}
			in.drop(len(events))
		}
		if err == io.EOF {
			r.sendHeader(e.resp)
			if !gotEvent {
				_ = first() // the stream is complete
			}
			r.ended()
			e.finish(true)
			return nil
		}
		if err != nil {
			e.finish(false)
			return streamError(ctx, err)
		}
	}
}

// eventDeadline returns until when the next event is awaited. The first event has a deadline of its own; between events
// only the request's deadline bounds the wait.
func (r *streamRelay) eventDeadline(gotEvent bool) time.Time {
	if !gotEvent && !r.headerSent {
		return r.cr.headerDeadline()
	}
	return r.cr.deadline
}

// sendHeader sends the head of the response, once.
func (r *streamRelay) sendHeader(resp *http.Response) {
	if r.headerSent {
		return
	}
	r.headerSent = true
	r.cr.copyHeader(resp)
	r.cr.w.WriteHeader(resp.StatusCode)
}

// write writes complete events to the client. The error is errClientGone.
func (r *streamRelay) write(resp *http.Response, events []byte, isEvents bool) error {
	r.sendHeader(resp)
	if isEvents {
		r.scanEvents(events)
	}
	if _, err := r.cr.w.Write(events); err != nil {
		return errClientGone
	}
	return nil
}

// scanEvents records the id of the last event, and counts the events.
func (r *streamRelay) scanEvents(events []byte) {
	count := 0
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
			count++
		}
	}
	r.countEvents(time.Now(), count)
}

// countEvents counts newly arrived events, and records the samples that are complete.
func (r *streamRelay) countEvents(now time.Time, events int) {
	if r.totalEvents == 0 {
		r.firstEventAt = now
	}
	r.totalEvents += events
	r.lastEventAt = now
	svc := r.cr.svc
	lasted := r.healthSample.add(now, events)
	if r.healthSample.events > 0 && svc.healthSampleComplete(lasted, r.healthSample.events) {
		svc.recordHealthSample(r.backendID, lasted, r.healthSample.events)
		r.healthSample.restart(now)
	}
	lasted = r.paceSample.add(now, events)
	if r.paceSample.events > 0 && lasted >= minPaceSample {
		r.recordPace(lasted)
		r.paceSample.restart(now)
	}
}

// ended records the pace of a complete stream that ended before its first sample.
func (r *streamRelay) ended() {
	if r.paceSample.events >= minPaceEvents && !r.paceObserved {
		r.recordPace(r.lastEventAt.Sub(r.paceSample.startedAt))
	}
}

// recordPace records the current pace sample, which has lasted for a time.
func (r *streamRelay) recordPace(lasted time.Duration) {
	r.paceObserved = true
	r.cr.svc.recordPace(lasted, r.paceSample.events)
}

// eventReader reads a stream and finds the ends of its events.
type eventReader struct {
	body     io.Reader
	isEvents bool   // false: each read is complete by itself
	buf      []byte // received and not relayed yet
}

// grow makes space for the rest of an event that has filled the buffer. It returns an error if the event is longer than
// maxEventBytes.
func (er *eventReader) grow() error {
	if len(er.buf) < cap(er.buf) {
		return nil
	}
	if cap(er.buf) >= maxEventBytes {
		return errors.Errorf("an event over %d bytes", maxEventBytes)
	}
	grown := make([]byte, len(er.buf), min(2*cap(er.buf), maxEventBytes))
	copy(grown, er.buf)
	er.buf = grown
	return nil
}

// read reads the available bytes into the free space of the buffer, as io.Reader does. The buffer must not be full.
func (er *eventReader) read() error {
	n, err := er.body.Read(er.buf[len(er.buf):cap(er.buf)])
	er.buf = er.buf[:len(er.buf)+n]
	return err
}

// complete returns the bytes that may be relayed: complete events, or everything at the end of the stream.
func (er *eventReader) complete(ended bool) []byte {
	if !er.isEvents || ended {
		return er.buf
	}
	i := bytes.LastIndex(er.buf, []byte("\n\n"))
	if i < 0 {
		return nil
	}
	return er.buf[:i+2]
}

// drop removes the first n bytes, which have been relayed.
func (er *eventReader) drop(n int) { er.buf = append(er.buf[:0], er.buf[n:]...) }

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// streamError returns the error of a stream that broke off in a read.
func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isTimeout(err) {
		return errAnswerTimeout
	}
	return errors.Wrap(err, "stream")
}
