package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

var sealSeq atomic.Uint64

// seal returns a new stamp; no two are equal in this process.
func (l *life) seal() string {
	n := sealSeq.Add(1)
	return fmt.Sprintf("%08x.%x.%s", xxhash.Sum64String(l.id)>>32, n, draw(4))
}

// tokenCount reads X-Molepaddle-Token-Count.
func (l *life) tokenCount(a *answerer, en *Entry) (prompt, out int) {
	in, most, _ := strings.Cut(a.r.Header.Get(HeaderTokens), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(in))
	sum := 0
	for _, p := range en.Parts {
		sum += p.Tokens
	}
	prompt = max(prompt, sum)
	out, err := strconv.Atoi(strings.TrimSpace(most))
	if err != nil || out <= 0 {
		out = l.e.s.Tokens
	}
	return prompt, out
}

// concerned tells whether the request has to be refused before it may wait: 421 for the wrong stage, model (ours) or
// version, 503 while an order is under way; 0 when it is welcome.
func (l *life) concerned(a *answerer, en *Entry) (status, ver int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	phase := l.orders.phase
	l.e.Log.edit(func() { en.Phase = phase })
	ok := true
	switch {
	case en.Stage != "":
		ok = en.Stage == string(PhasePrefill) && phase == PhasePrefill
	case en.KVFrom != "":
		ok = phase == PhaseDecode
	default:
		ok = phase != PhasePrefill
	}
	if len(l.models) > 0 && en.Model != "" {
		for _, m := range l.models {
			if m.Name == en.Model {
				ver = m.Ver
			}
		}
		ok = ok && ver != 0
	} else if len(l.models) > 0 {
		ver = l.models[0].Ver
	}
	if x := a.r.Header.Get(HeaderExpect); x != "" && x != strconv.Itoa(ver) {
		ok = false
	}
	switch {
	case !ok:
		return http.StatusMisdirectedRequest, 0
	case l.orders.util:
		return http.StatusServiceUnavailable, 0
	}
	return 0, ver
}

// accept admits a request with memory for its prompt and out tokens more. The answer went out when it returns nil.
func (l *life) accept(ctx context.Context, a *answerer, en *Entry, out int) (ls *lease, ver int, ok bool) {
	if en.Attempt == "" {
		l.refuse(a, en, http.StatusBadRequest)
		return nil, 0, false
	}
	status, ver := l.concerned(a, en)
	if status != 0 {
		l.refuse(a, en, status)
		return nil, 0, false
	}
	prompt, _ := l.tokenCount(a, en)
	rest := prompt
	for _, p := range en.Parts {
		rest -= p.Tokens
	}
	plain := !l.streams()
	if !plain && prompt+out > l.e.s.KVTokens {
		l.refuse(a, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	admitted := l.admit(ctx, &waiter{priority: en.Priority, try: func() bool {
		if l.orders.util {
			return false
		}
		if plain {
			return true
		}
		ls = l.mem.reserve(en.Model, ver, en.Parts, rest+out, rest)
		return ls != nil
	}})
	if !admitted {
		l.refuse(a, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	return ls, ver, true
}

// streams tells whether its answers are streams.
func (l *life) streams() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders.phase != PhaseNone || l.e.s.Stream
}

// bounded returns ctx ended at the request's deadline.
func bounded(ctx context.Context, en *Entry) (context.Context, context.CancelFunc) {
	if en.Deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, en.Deadline)
}

// step does d of work, and what SlowBy adds, after waiting while the Engine is held.
func (l *life) step(ctx context.Context, a *answerer, d time.Duration) error {
	if err := l.e.pass(ctx); err != nil {
		return err
	}
	return wait(ctx, d+a.f.SlowBy)
}

// began records that work began.
func (l *life) began(en *Entry, seal string) {
	l.e.Log.edit(func() { en.Ran, en.Began, en.Seal = true, l.e.s.Now(), seal })
}

// read reads the part of the prompt that is not kept and keeps it.
func (l *life) read(ctx context.Context, a *answerer, en *Entry, ls *lease, each time.Duration) error {
	l.e.Log.edit(func() { en.ReadTokens, en.KeptTokens = ls.read, ls.kept })
	if err := l.step(ctx, a, time.Duration(ls.read)*each); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil {
		l.mem.filled(ls, en.Attempt, false)
	}
	return l.ctx.Err()
}

// stop ends a request at its deadline or when its connection closed: 504 when the head is not out and the deadline
// passed, a close otherwise.
func (l *life) stop(ctx context.Context, a *answerer, en *Entry, head bool) {
	if !head && ctx.Err() == context.DeadlineExceeded {
		l.answer(a, en, http.StatusGatewayTimeout, nil, HeaderSeal, en.Seal)
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		l.broke(a, en)
	}
	a.keep = false
}

// broke records that the Engine itself breaks an answer off.
func (l *life) broke(a *answerer, en *Entry) {
	a.keep = false
	l.e.Log.edit(func() { en.Broke = true })
}

// prefill reads a prompt and answers with a handle. The answer has no seal: it is not meant for a client.
func (l *life) prefill(conn context.Context, a *answerer, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	ls, ver, ok := l.accept(ctx, a, en, 0)
	if !ok {
		return
	}
	l.began(en, "")
	if l.read(ctx, a, en, ls, l.e.s.TokenRead) != nil {
		l.leave(ls)
		l.over(en)
		l.stop(ctx, a, en, false)
		return
	}
	if a.f.Fail != 0 {
		l.leave(ls)
		l.over(en)
		l.answer(a, en, a.f.Fail, nil)
		return
	}
	h := &handle{owner: en.Attempt, model: en.Model, ver: ver, parts: en.Parts, lease: ls, tokens: ls.read + ls.kept}
	l.mu.Lock()
	l.hand(h)
	l.mu.Unlock()
	l.e.Log.edit(func() { en.Handle = h.id })
	l.leave(nil)
	l.over(en)
	if a.f.LoseAnswer || a.f.Garble {
		l.broke(a, en)
		if a.f.Garble {
			a.write([]byte(garbage))
		}
		return
	}
	body, _ := json.Marshal(map[string]any{"kv_ref": h.id, "ntok": h.tokens, "ver": ver})
	l.answer(a, en, http.StatusOK, body, "Content-Type", "application/json")
	if a.f.Extra {
		a.extra()
	}
}

// garbage is no answer in HTTP.
const garbage = "\x00\x17 no answer \xff\r\n\r\n"

// request runs a client's request.
func (l *life) request(conn context.Context, a *answerer, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	_, out := l.tokenCount(a, en)
	ls, ver, ok := l.accept(ctx, a, en, out)
	if !ok {
		return
	}
	a.done = sync.OnceFunc(func() { l.leave(ls); l.over(en) })
	defer a.done()
	if en.KVFrom != "" {
		h, err := l.fetch(ctx, en.KVFrom, en.Model, ver, a.f.KVSlow)
		if err != nil {
			l.refuse(a, en, http.StatusServiceUnavailable)
			return
		}
		l.e.Log.edit(func() { en.Handle, en.HandleOwner, en.MovedTokens = h.id, h.owner, h.tokens })
		l.mu.Lock()
		if l.ctx.Err() == nil {
			l.mem.filled(ls, en.Attempt, true)
		}
		ls.kept, ls.read = 0, 0
		l.mu.Unlock()
	}
	seal := l.seal()
	l.began(en, seal)
	if ls != nil {
		each := l.e.s.TokenRead
		if l.Phase() == PhaseDecode {
			each *= 2
		}
		if l.read(ctx, a, en, ls, each) != nil {
			l.stop(ctx, a, en, false)
			return
		}
	}
	switch {
	case a.f.Fail != 0:
		if l.step(ctx, a, 0) != nil {
			l.stop(ctx, a, en, false)
			return
		}
		l.answer(a, en, a.f.Fail, nil, HeaderSeal, seal)
	case a.f.LoseAnswer:
		if l.step(ctx, a, l.e.s.Step) == nil {
			l.broke(a, en)
		}
		a.keep = false
	case a.f.Garble:
		l.broke(a, en)
		a.write([]byte(garbage))
	case l.streams():
		l.stream(ctx, a, en, out, ver)
	default:
		l.plain(ctx, a, en)
	}
	if a.f.Extra && a.keep {
		a.extra()
	}
}

// Phase returns the phase now.
func (l *life) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders.phase
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

// version returns the version of a model's weights now; the first model's when it is not named.
func (l *life) version(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.models {
		if m.Name == model || model == "" {
			return m.Ver
		}
	}
	return 0
}
