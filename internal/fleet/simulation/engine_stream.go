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

// streaming tells whether its answers are streams.
func (ic *incarnation) streaming() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase != PhaseNone || ic.e.s.Stream
}

// step does d of work, and what SlowBy adds, after waiting while the Engine is held.
func (ic *incarnation) step(ctx context.Context, rw *responseWriter, d time.Duration) error {
	if err := ic.e.awaitRelease(ctx); err != nil {
		return err
	}
	return sleep(ctx, d+rw.faults.SlowBy)
}

// sendPlain answers with a body of BodyBytes that only this run has.
func (ic *incarnation) sendPlain(ctx context.Context, rw *responseWriter, en *Entry) {
	if ic.step(ctx, rw, ic.e.s.Step) != nil {
		ic.abort(ctx, rw, en, false)
		return
	}
	body := make([]byte, ic.e.s.BodyBytes)
	word := en.Seal + " "
	for i := range body {
		body[i] = word[i%len(word)]
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
func (ic *incarnation) sendStream(ctx context.Context, rw *responseWriter, en *Entry, out, ver int) {
	stride := ic.e.s.Stride
	last, _ := strconv.Atoi(rw.request.Header.Get(HeaderLastEvent))
	total := (out + stride - 1) / stride
	ic.e.Log.edit(func() { en.FirstEvent, en.LastEvent, en.Total = last+1, last, total })
	var b *bytes.Buffer
	open := func() {
		ic.e.Log.edit(func() { en.Status = http.StatusOK })
		b = rw.head(http.StatusOK, HeaderSeal, en.Seal, "Content-Type", "text/event-stream", HeaderVersions,
			strconv.Itoa(ver), "Transfer-Encoding", "chunked")
		b.WriteString("\r\n")
	}
	for id := last + 1; id <= total; id++ {
		if ic.step(ctx, rw, ic.e.s.Step) != nil {
			ic.abort(ctx, rw, en, b != nil)
			return
		}
		if b == nil {
			open()
		}
		ev := &bytes.Buffer{}
		if v := ic.version(en.Model); v != ver {
			ver = v
			fmt.Fprintf(ev, "versions: %d\n", ver)
		}
		fmt.Fprintf(ev, "id: %d\ndata: %s %d\n\n", id, en.Seal, min(stride, out-(id-1)*stride))
		fmt.Fprintf(b, "%x\r\n%s\r\n", ev.Len(), ev)
		if !rw.write(b.Bytes()) {
			return
		}
		b.Reset()
		ic.e.Log.edit(func() { en.LastEvent = id })
		if n := rw.faults.CutAfter; n > 0 && id-last >= n && id < total {
			ic.recordBroken(rw, en)
			return
		}
		if n := rw.faults.StallAfter; n > 0 && id-last >= n && id < total {
			<-ctx.Done()
			ic.abort(ctx, rw, en, true)
			return
		}
	}
	if b == nil {
		open()
	}
	b.WriteString("0\r\n\r\n")
	rw.release()
	if rw.write(b.Bytes()) {
		ic.e.Log.edit(func() { en.Complete = true })
	}
}
