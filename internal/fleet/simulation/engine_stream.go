package simulation

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// streaming reports whether the Engine answers with streams.
func (ic *incarnation) streaming() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase != PhaseNone || ic.e.s.Stream
}

// step simulates work of d plus SlowBy, after blocking while the Engine is held. It returns early when ctx ends.
func (ic *incarnation) step(ctx context.Context, rw *responseWriter, d time.Duration) error {
	if err := ic.e.awaitRelease(ctx); err != nil {
		return err
	}
	return sleep(ctx, d+rw.faults.SlowBy)
}

// sendPlain answers with a body of BodyBytes that no other run has: its seal, repeated.
func (ic *incarnation) sendPlain(ctx context.Context, rw *responseWriter, en *Entry) {
	if ic.step(ctx, rw, ic.e.s.Step) != nil {
		ic.abort(ctx, rw, en, false)
		return
	}
	body := make([]byte, ic.e.s.BodyBytes)
	pattern := en.Seal + " "
	for i := range body {
		body[i] = pattern[i%len(pattern)]
	}
	ic.e.Log.edit(func() { en.AnswerHash = xxhash.Sum64(body) })
	if n := rw.faults.CutAfter; n > 0 && n < len(body) {
		ic.e.Log.edit(func() { en.Status = http.StatusOK })
		ic.recordBroken(rw, en)
		b := rw.head(http.StatusOK, HeaderSeal, en.Seal)
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body[:n])
		rw.write(b.Bytes())
		return
	}
	ic.respond(rw, en, http.StatusOK, body, HeaderSeal, en.Seal)
}

// sendStream answers with events. Event N holds up to Stride tokens; a run with Last-Event-Id starts at the next one.
// The head is sent with the first event, or with the end when there is none.
func (ic *incarnation) sendStream(ctx context.Context, rw *responseWriter, en *Entry, out, ver int) {
	stride := ic.e.s.Stride
	last, _ := strconv.Atoi(rw.request.Header.Get(HeaderLastEvent))
	total := (out + stride - 1) / stride
	ic.e.Log.edit(func() {
		en.FirstEvent = last + 1
		en.LastEvent = last
		en.Total = total
	})
	var b *bytes.Buffer
	for id := last + 1; id <= total; id++ {
		if ic.step(ctx, rw, ic.e.s.Step) != nil {
			ic.abort(ctx, rw, en, b != nil)
			return
		}
		if b == nil {
			b = ic.streamHead(rw, en, ver)
		}
		ev := &bytes.Buffer{}
		if v := ic.version(en.Model); v != ver {
			ver = v
			fmt.Fprintf(ev, "versions: %d\n", ver)
		}
		fmt.Fprintf(ev, "id: %d\ndata: %s %d\n\n", id, en.Seal, min(stride, out-(id-1)*stride))
		fmt.Fprintf(b, "%x\r\n%s\r\n", ev.Len(), ev)
		if !rw.write(b.Bytes()) {
			if ic.ctx.Err() != nil {
				ic.recordBroken(rw, en)
			}
			return
		}
		b.Reset()
		ic.e.Log.edit(func() { en.LastEvent = id })
		if id < total && ic.streamFault(ctx, rw, en, id-last) {
			return
		}
	}
	if b == nil {
		b = ic.streamHead(rw, en, ver)
	}
	b.WriteString("0\r\n\r\n")
	rw.release()
	if rw.write(b.Bytes()) {
		ic.e.Log.edit(func() { en.Complete = true })
	}
}

// streamHead returns the response head of a stream.
func (ic *incarnation) streamHead(rw *responseWriter, en *Entry, ver int) *bytes.Buffer {
	ic.e.Log.edit(func() { en.Status = http.StatusOK })
	b := rw.head(http.StatusOK,
		HeaderSeal, en.Seal,
		"Content-Type", "text/event-stream",
		HeaderVersions, strconv.Itoa(ver),
		"Transfer-Encoding", "chunked",
	)
	b.WriteString("\r\n")
	return b
}

// streamFault cuts or stalls a stream after the number of events that the faults specify, and reports whether the
// stream is over. A stalled stream is over when ctx ends.
func (ic *incarnation) streamFault(ctx context.Context, rw *responseWriter, en *Entry, events int) bool {
	if n := rw.faults.CutAfter; n > 0 && events >= n {
		ic.recordBroken(rw, en)
		return true
	}
	if n := rw.faults.StallAfter; n > 0 && events >= n {
		<-ctx.Done()
		ic.abort(ctx, rw, en, true)
		return true
	}
	return false
}
