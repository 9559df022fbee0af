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
	// paceSampleEvents is the number of events in a pace sample.
	paceSampleEvents = 16
)

// streamRelay relays a stream to the client in complete events only, so that another backend can continue after the
// last one. It belongs to the goroutine that serves the request.
type streamRelay struct {
	cr        *clientRequest
	backendID string // id of the backend that sends the stream

	// State at the client: headerSent means that its response has started, and lastID is the id of its last event.
	headerSent bool
	lastID     string

	// The current pace sample. It starts with the first events, as the time before them is the wait for a batch slot.
	sampleEvents int
	sampleStart  time.Time // zero: no sample has begun

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
	r.sampleStart = time.Time{}
}

// copyEvents relays events until the stream ends, and finishes the exchange. first is called once, when the first event
// has arrived. An error means that the stream broke off; events relayed before remain sent.
func (r *streamRelay) copyEvents(ctx context.Context, e *exchange, first func()) error {
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
				first()
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
				first()
			}
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
	r.countEvents(count)
}

// countEvents counts newly arrived events, and records the pace of a complete sample.
func (r *streamRelay) countEvents(events int) {
	now := time.Now()
	if r.totalEvents == 0 {
		r.firstEventAt = now
	}
	r.totalEvents += events
	r.lastEventAt = now
	if r.sampleStart.IsZero() {
		r.sampleStart = now
		return
	}
	r.sampleEvents += events
	if r.sampleEvents == 0 {
		return
	}
	lasted := now.Sub(r.sampleStart)
	svc := r.cr.svc
	if svc.paceSampleComplete(lasted, r.sampleEvents) {
		svc.recordPace(r.backendID, lasted, r.sampleEvents)
		r.sampleEvents = 0
		r.sampleStart = now
	}
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
