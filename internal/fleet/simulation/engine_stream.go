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

// streams tells whether its answers are streams.
func (l *life) streams() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders.phase != PhaseNone || l.e.s.Stream
}

// step does d of work, and what SlowBy adds, after waiting while the Engine is held.
func (l *life) step(ctx context.Context, a *answerer, d time.Duration) error {
	if err := l.e.pass(ctx); err != nil {
		return err
	}
	return wait(ctx, d+a.f.SlowBy)
}

// plain answers with a body of BodyBytes that only this run has.
func (l *life) plain(ctx context.Context, a *answerer, en *Entry) {
	if l.step(ctx, a, l.e.s.Step) != nil {
		l.stop(ctx, a, en, false)
		return
	}
	body := make([]byte, l.e.s.BodyBytes)
	word := en.Seal + " "
	for i := range body {
		body[i] = word[i%len(word)]
	}
	l.e.Log.edit(func() { en.AnswerHash = xxhash.Sum64(body) })
	if n := a.f.CutAfter; n > 0 && n < len(body) {
		l.e.Log.edit(func() { en.Status = http.StatusOK })
		l.broke(a, en)
		b := a.head(http.StatusOK, HeaderSeal, en.Seal)
		fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body[:n])
		a.write(b.Bytes())
		return
	}
	l.answer(a, en, http.StatusOK, body, HeaderSeal, en.Seal)
}

// stream answers with events. Event N holds up to Stride tokens; a run with Last-Event-Id starts at the next one.
func (l *life) stream(ctx context.Context, a *answerer, en *Entry, out, ver int) {
	stride := l.e.s.Stride
	last, _ := strconv.Atoi(a.r.Header.Get(HeaderLastEvent))
	total := (out + stride - 1) / stride
	l.e.Log.edit(func() { en.FirstEvent, en.LastEvent, en.Total = last+1, last, total })
	var b *bytes.Buffer
	open := func() {
		l.e.Log.edit(func() { en.Status = http.StatusOK })
		b = a.head(http.StatusOK, HeaderSeal, en.Seal, "Content-Type", "text/event-stream", HeaderVersions,
			strconv.Itoa(ver), "Transfer-Encoding", "chunked")
		b.WriteString("\r\n")
	}
	for id := last + 1; id <= total; id++ {
		if l.step(ctx, a, l.e.s.Step) != nil {
			l.stop(ctx, a, en, b != nil)
			return
		}
		if b == nil {
			open()
		}
		ev := &bytes.Buffer{}
		if v := l.version(en.Model); v != ver {
			ver = v
			fmt.Fprintf(ev, "versions: %d\n", ver)
		}
		fmt.Fprintf(ev, "id: %d\ndata: %s %d\n\n", id, en.Seal, min(stride, out-(id-1)*stride))
		fmt.Fprintf(b, "%x\r\n%s\r\n", ev.Len(), ev)
		if !a.write(b.Bytes()) {
			return
		}
		b.Reset()
		l.e.Log.edit(func() { en.LastEvent = id })
		if n := a.f.CutAfter; n > 0 && id-last >= n && id < total {
			l.broke(a, en)
			return
		}
		if n := a.f.StallAfter; n > 0 && id-last >= n && id < total {
			<-ctx.Done()
			l.stop(ctx, a, en, true)
			return
		}
	}
	if b == nil {
		open()
	}
	b.WriteString("0\r\n\r\n")
	a.done()
	if a.write(b.Bytes()) {
		l.e.Log.edit(func() { en.Whole = true })
	}
}
