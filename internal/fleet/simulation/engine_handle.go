package simulation

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handle answers one request and records it.
func (l *life) handle(ctx context.Context, a *answerer) {
	s, r, en := &l.e.s, a.r, &Entry{}
	l.mu.Lock()
	phase := l.orders.phase
	l.mu.Unlock()
	*en = Entry{
		At: r.at, Kind: KindRequest, Engine: l.id, Address: s.Address, Service: s.Service, Zone: s.Zone, Region: s.Region,
		Phase: phase, Attempt: r.Header.Get(HeaderAttempt), Method: r.Method, Path: r.RequestURI, Host: r.Host,
		Header: maps.Clone(r.Header), Body: r.body, BodyHash: xxhash.Sum64(r.body), Stage: r.Header.Get(HeaderStage),
		Model: r.Header.Get(HeaderModel), Parts: parseParts(r.Header.Get(HeaderPrefix)), Priority: 5,
		KVFrom: r.Header.Get(HeaderKVFrom),
	}
	if p, err := strconv.Atoi(r.Header.Get(HeaderPriority)); err == nil && p >= 0 && p <= 9 {
		en.Priority = p
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64); err == nil {
		en.Deadline = time.Duration(ms * float64(time.Millisecond))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var run func(context.Context, *answerer, *Entry)
	switch {
	case path == s.Probe && r.Method == http.MethodGet:
		en.Kind, run = KindProbe, l.probe
	case path == PathReport && r.Method == http.MethodGet:
		en.Kind, run = KindReport, l.report
	case path == PathOrder && r.Method == http.MethodPost:
		en.Kind, run = KindOrder, l.order
	case strings.HasPrefix(path, PathHandle) && r.Method == http.MethodDelete:
		en.Kind, run = KindFree, l.free
	case en.Stage != "":
		en.Kind, run = KindPrefill, l.prefill
	default:
		run = l.request
	}
	l.e.Log.add(en)
	defer l.e.Log.edit(func() {})
	defer l.over(en)
	if a.f.Silent {
		a.keep = false
		<-ctx.Done()
		return
	}
	if t := r.Header.Get(HeaderTarget); t != "" && t != l.id {
		l.refuse(a, en, http.StatusMisdirectedRequest)
		return
	}
	run(ctx, a, en)
}

// over records when the work on a request ended: as its place is given back, which is before the end of its answer goes
// out. How long it takes to write that is no time in which the request is here.
func (l *life) over(en *Entry) {
	l.e.Log.edit(func() {
		if en.Ended.IsZero() {
			en.Ended = l.e.s.Now()
		}
	})
}

// parseParts reads X-Molepaddle-Prompt-Prefix; parts that can't be read are left out.
func parseParts(s string) (parts []Part) {
	for f := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(f), ":")
		if tokens, err := strconv.Atoi(n); ok && err == nil && tokens >= 0 {
			parts = append(parts, Part{id, tokens})
		}
	}
	return parts
}

// formatParts writes X-Molepaddle-Prompt-Prefix.
func formatParts(parts []Part) string {
	var b []byte
	for i, p := range parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(b, p.ID...), ':')
		b = strconv.AppendInt(b, int64(p.Tokens), 10)
	}
	return string(b)
}

// answer sends a whole answer and records it.
func (l *life) answer(a *answerer, en *Entry, status int, body []byte, headers ...string) {
	l.e.Log.edit(func() { en.Status = status })
	a.done()
	whole := a.send(status, body, headers...)
	l.e.Log.edit(func() { en.Whole = whole })
}

// refuse answers that the request was not run.
func (l *life) refuse(a *answerer, en *Entry, status int) {
	l.e.Log.edit(func() { en.NotRun = true })
	l.answer(a, en, status, nil, HeaderNotRun, "1")
}

// probe waits for a slot like a request.
func (l *life) probe(ctx context.Context, a *answerer, en *Entry) {
	ok := l.admit(ctx, &waiter{priority: en.Priority, try: func() bool { return true }})
	if !ok {
		l.refuse(a, en, http.StatusServiceUnavailable)
		return
	}
	a.done = sync.OnceFunc(func() { l.leave(nil) })
	defer a.done()
	if l.e.pass(ctx) != nil {
		a.keep = false
		return
	}
	well := !a.f.Draining && a.f.Fail == 0
	if well == a.f.LieHealth {
		l.answer(a, en, http.StatusServiceUnavailable, nil, HeaderBackend, l.id)
		return
	}
	l.answer(a, en, http.StatusOK, nil, HeaderBackend, l.id)
}

// report needs no slot.
func (l *life) report(_ context.Context, a *answerer, en *Entry) {
	if l.e.s.NoReport {
		l.answer(a, en, http.StatusNotFound, nil)
		return
	}
	l.mu.Lock()
	l.lapse()
	body, _ := json.Marshal(map[string]any{
		"phase": l.orders.phase, "model_list": slices.Clone(l.models), "util": l.orders.util, "seqno": l.orders.seqno,
		"queued": len(l.queue), "active": l.running, "kv_inuse": l.mem.inUse(), "kv_cap": l.mem.size,
		"kv_refs": len(l.handles),
	})
	l.mu.Unlock()
	l.answer(a, en, http.StatusOK, body, "Content-Type", "application/json")
}

// order takes an order; see orders.
func (l *life) order(_ context.Context, a *answerer, en *Entry) {
	o, ok := parseOrder(a.r.body)
	if !ok {
		l.answer(a, en, http.StatusBadRequest, nil)
		return
	}
	l.e.Log.edit(func() { en.Owner, en.Gen = *o.Owner, *o.Gen })
	l.mu.Lock()
	status := l.orders.take(o)
	if l.orders.util {
		for _, w := range l.queue {
			w.granted <- false
		}
		l.queue = nil
	}
	done := l.swap()
	l.mu.Unlock()
	if done {
		l.e.changed()
	}
	if a.f.LoseAnswer {
		a.keep = false
		return
	}
	l.answer(a, en, status, nil)
}

// swap ends the order under way once nothing runs, after the swap's time. It tells whether it ended now. l.mu is held.
func (l *life) swap() bool {
	if !l.orders.util || l.swapping || l.running > 0 {
		return false
	}
	if l.e.s.Swap == 0 {
		l.orders.done()
		return true
	}
	l.swapping = true
	time.AfterFunc(l.e.s.Swap, func() {
		l.mu.Lock()
		l.swapping = false
		l.orders.done()
		l.mu.Unlock()
		l.e.changed()
	})
	return false
}

// free drops a handle: 200, or 404 when it is not there (ours).
func (l *life) free(_ context.Context, a *answerer, en *Entry) {
	id := strings.TrimPrefix(en.Path, PathHandle)
	l.e.Log.edit(func() { en.Handle = id })
	l.mu.Lock()
	l.lapse()
	h := l.handles[id]
	if h != nil {
		l.letGo(h)
	}
	l.mu.Unlock()
	if h == nil {
		l.answer(a, en, http.StatusNotFound, nil)
		return
	}
	l.answer(a, en, http.StatusOK, nil)
}
