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

// serveOne answers one request and records it.
func (ic *incarnation) serveOne(ctx context.Context, rw *responseWriter) {
	s, r, en := &ic.e.s, rw.request, &Entry{}
	ic.mu.Lock()
	phase := ic.orders.phase
	ic.mu.Unlock()
	*en = Entry{
		At: r.at, Kind: KindRequest, Engine: ic.id, Address: s.Address, Service: s.Service, Zone: s.Zone, Region: s.Region,
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
	var run func(context.Context, *responseWriter, *Entry)
	switch {
	case path == s.Probe && r.Method == http.MethodGet:
		en.Kind, run = KindProbe, ic.serveProbe
	case path == PathReport && r.Method == http.MethodGet:
		en.Kind, run = KindReport, ic.serveReport
	case path == PathOrder && r.Method == http.MethodPost:
		en.Kind, run = KindOrder, ic.serveOrder
	case strings.HasPrefix(path, PathHandle) && r.Method == http.MethodDelete:
		en.Kind, run = KindFree, ic.serveFreeHandle
	case en.Stage != "":
		en.Kind, run = KindPrefill, ic.servePrefill
	default:
		run = ic.serveRequest
	}
	ic.e.Log.add(en)
	defer ic.e.Log.edit(func() {})
	defer ic.recordEnd(en)
	if rw.faults.Silent {
		rw.keepAlive = false
		<-ctx.Done()
		return
	}
	if t := r.Header.Get(HeaderTarget); t != "" && t != ic.id {
		ic.reject(rw, en, http.StatusMisdirectedRequest)
		return
	}
	run(ctx, rw, en)
}

// recordEnd records when the work on a request ended: as its place is given back, which is before the end of its answer goes
// out. How long it takes to write that is no time in which the request is here.
func (ic *incarnation) recordEnd(en *Entry) {
	ic.e.Log.edit(func() {
		if en.Ended.IsZero() {
			en.Ended = ic.e.s.Now()
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

// respond sends a whole answer and records it.
func (ic *incarnation) respond(rw *responseWriter, en *Entry, status int, body []byte, headers ...string) {
	ic.e.Log.edit(func() { en.Status = status })
	rw.release()
	whole := rw.send(status, body, headers...)
	ic.e.Log.edit(func() { en.Complete = whole })
}

// reject answers that the request was not run.
func (ic *incarnation) reject(rw *responseWriter, en *Entry, status int) {
	ic.e.Log.edit(func() { en.NotRun = true })
	ic.respond(rw, en, status, nil, HeaderNotRun, "1")
}

// serveProbe waits for a slot like a request.
func (ic *incarnation) serveProbe(ctx context.Context, rw *responseWriter, en *Entry) {
	ok := ic.acquireSlot(ctx, &waiter{priority: en.Priority, tryReserve: func() bool { return true }})
	if !ok {
		ic.reject(rw, en, http.StatusServiceUnavailable)
		return
	}
	rw.release = sync.OnceFunc(func() { ic.releaseSlot(nil) })
	defer rw.release()
	if ic.e.awaitRelease(ctx) != nil {
		rw.keepAlive = false
		return
	}
	well := !rw.faults.Draining && rw.faults.Fail == 0
	if well == rw.faults.InvertProbes {
		ic.respond(rw, en, http.StatusServiceUnavailable, nil, HeaderBackend, ic.id)
		return
	}
	ic.respond(rw, en, http.StatusOK, nil, HeaderBackend, ic.id)
}

// serveReport needs no slot.
func (ic *incarnation) serveReport(_ context.Context, rw *responseWriter, en *Entry) {
	if ic.e.s.NoReport {
		ic.respond(rw, en, http.StatusNotFound, nil)
		return
	}
	ic.mu.Lock()
	ic.expireHandles()
	body, _ := json.Marshal(map[string]any{
		"phase": ic.orders.phase, "model_list": slices.Clone(ic.models), "util": ic.orders.pending, "seqno": ic.orders.seqno,
		"queued": len(ic.queue), "active": ic.running, "kv_inuse": ic.mem.inUse(), "kv_cap": ic.mem.size,
		"kv_refs": len(ic.handles),
	})
	ic.mu.Unlock()
	ic.respond(rw, en, http.StatusOK, body, "Content-Type", "application/json")
}

// checkEventOrder takes an order; see orders.
func (ic *incarnation) serveOrder(_ context.Context, rw *responseWriter, en *Entry) {
	o, ok := parseOrder(rw.request.body)
	if !ok {
		ic.respond(rw, en, http.StatusBadRequest, nil)
		return
	}
	ic.e.Log.edit(func() { en.Owner, en.Gen = *o.Owner, *o.Gen })
	ic.mu.Lock()
	status := ic.orders.accept(o)
	if ic.orders.pending {
		for _, w := range ic.queue {
			w.granted <- false
		}
		ic.queue = nil
	}
	done := ic.finishOrder()
	ic.mu.Unlock()
	if done {
		ic.e.notifyChange()
	}
	if rw.faults.LoseAnswer {
		rw.keepAlive = false
		return
	}
	ic.respond(rw, en, status, nil)
}

// finishOrder ends the order under way once nothing runs, after the swap's time. It tells whether it ended now. l.mu is held.
func (ic *incarnation) finishOrder() bool {
	if !ic.orders.pending || ic.orderFinishing || ic.running > 0 {
		return false
	}
	if ic.e.s.Swap == 0 {
		ic.orders.complete()
		return true
	}
	ic.orderFinishing = true
	time.AfterFunc(ic.e.s.Swap, func() {
		ic.mu.Lock()
		ic.orderFinishing = false
		ic.orders.complete()
		ic.mu.Unlock()
		ic.e.notifyChange()
	})
	return false
}

// serveFreeHandle drops a handle: 200, or 404 when it is not there (ours).
func (ic *incarnation) serveFreeHandle(_ context.Context, rw *responseWriter, en *Entry) {
	id := strings.TrimPrefix(en.Path, PathHandle)
	ic.e.Log.edit(func() { en.Handle = id })
	ic.mu.Lock()
	ic.expireHandles()
	h := ic.handles[id]
	if h != nil {
		ic.releaseHandle(h)
	}
	ic.mu.Unlock()
	if h == nil {
		ic.respond(rw, en, http.StatusNotFound, nil)
		return
	}
	ic.respond(rw, en, http.StatusOK, nil)
}
