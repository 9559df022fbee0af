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

// defaultPriority is the priority of a request without a valid Priority header; 0 is the most urgent, 9 the least.
const defaultPriority = 5

// serveOne answers one request and records it.
func (ic *incarnation) serveOne(ctx context.Context, rw *responseWriter) {
	en := ic.newEntry(rw.request)
	run := ic.route(en)
	ic.e.Log.add(en)
	defer ic.e.Log.edit(func() {}) // wakes tests that wait for what the handler changed outside of the Log
	defer ic.recordEnd(en)
	if rw.faults.Unresponsive {
		rw.keepAlive = false
		<-ctx.Done()
		return
	}
	if t := rw.request.Header.Get(HeaderTarget); t != "" && t != ic.id {
		ic.reject(rw, en, http.StatusMisdirectedRequest)
		return
	}
	run(ctx, rw, en)
}

// newEntry returns the log entry of a request that has just arrived.
func (ic *incarnation) newEntry(r incoming) *Entry {
	s := &ic.e.s
	en := &Entry{
		At:       r.at,
		Kind:     KindRequest,
		Engine:   ic.id,
		Address:  s.Address,
		Service:  s.Service,
		Zone:     s.Zone,
		Region:   s.Region,
		Phase:    ic.Phase(),
		Attempt:  r.Header.Get(HeaderAttempt),
		Method:   r.Method,
		Path:     r.RequestURI,
		Host:     r.Host,
		Header:   maps.Clone(r.Header),
		Body:     r.body,
		BodyHash: xxhash.Sum64(r.body),
		Stage:    r.Header.Get(HeaderStage),
		Model:    r.Header.Get(HeaderModel),
		Parts:    parseParts(r.Header.Get(HeaderPrefix)),
		Priority: defaultPriority,
		KVFrom:   r.Header.Get(HeaderKVFrom),
	}
	if p, err := strconv.Atoi(r.Header.Get(HeaderPriority)); err == nil && p >= 0 && p <= 9 {
		en.Priority = p
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64); err == nil {
		en.Deadline = time.Duration(ms * float64(time.Millisecond))
	}
	return en
}

// handler answers one request. It rejects, responds, or closes the connection by rw.keepAlive.
type handler func(ctx context.Context, rw *responseWriter, en *Entry)

// route sets an entry's kind and returns its handler.
func (ic *incarnation) route(en *Entry) handler {
	path, _, _ := strings.Cut(en.Path, "?")
	switch {
	case path == ic.e.s.Probe && en.Method == http.MethodGet:
		en.Kind = KindProbe
		return ic.serveProbe
	case path == PathReport && en.Method == http.MethodGet:
		en.Kind = KindReport
		return ic.serveReport
	case path == PathOrder && en.Method == http.MethodPost:
		en.Kind = KindOrder
		return ic.serveOrder
	case strings.HasPrefix(path, PathHandle) && en.Method == http.MethodDelete:
		en.Kind = KindFree
		return ic.serveFreeHandle
	case en.Stage != "":
		en.Kind = KindPrefill
		return ic.servePrefill
	}
	return ic.serveRequest
}

// recordEnd records when the work on a request ended: as its slot is released, which is before the end of its answer is
// sent. The time that it takes to write that isn't part of the request's run.
func (ic *incarnation) recordEnd(en *Entry) {
	ic.e.Log.edit(func() {
		if en.Ended.IsZero() {
			en.Ended = ic.e.s.Now()
		}
	})
}

// parseParts returns the parts of X-Molepaddle-Prompt-Prefix; those that can't be read are left out.
func parseParts(s string) (parts []Part) {
	for f := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(f), ":")
		if tokens, err := strconv.Atoi(n); ok && err == nil && tokens >= 0 {
			parts = append(parts, Part{id, tokens})
		}
	}
	return parts
}

// formatParts returns the value of X-Molepaddle-Prompt-Prefix.
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

// respond sends a complete answer and records it.
func (ic *incarnation) respond(rw *responseWriter, en *Entry, status int, body []byte, headers ...string) {
	ic.e.Log.edit(func() { en.Status = status })
	rw.release()
	complete := rw.send(status, body, headers...)
	ic.e.Log.edit(func() { en.Complete = complete })
}

// reject answers that the request was not run.
func (ic *incarnation) reject(rw *responseWriter, en *Entry, status int) {
	ic.e.Log.edit(func() { en.NotRun = true })
	ic.respond(rw, en, status, nil, HeaderNotRun, "1")
}

// serveProbe answers a health check. It waits for a slot as a request does.
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
	healthy := !rw.faults.Draining && rw.faults.Fail == 0
	if healthy == rw.faults.InvertProbes {
		ic.respond(rw, en, http.StatusServiceUnavailable, nil, HeaderBackend, ic.id)
		return
	}
	ic.respond(rw, en, http.StatusOK, nil, HeaderBackend, ic.id)
}

// serveReport answers with the load report. It needs no slot.
func (ic *incarnation) serveReport(_ context.Context, rw *responseWriter, en *Entry) {
	if ic.e.s.NoReport {
		ic.respond(rw, en, http.StatusNotFound, nil)
		return
	}
	ic.mu.Lock()
	ic.expireHandles()
	body, _ := json.Marshal(map[string]any{
		"phase":      ic.orders.phase,
		"model_list": slices.Clone(ic.models),
		"util":       ic.orders.pending,
		"seqno":      ic.orders.seqno,
		"queued":     len(ic.queue),
		"active":     ic.running,
		"kv_inuse":   ic.mem.inUse(),
		"kv_cap":     ic.mem.size,
		"kv_refs":    len(ic.handles),
	})
	ic.mu.Unlock()
	ic.respond(rw, en, http.StatusOK, body, "Content-Type", "application/json")
}

// serveOrder accepts or rejects an order; see orderState. A pending order rejects all queued requests.
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
		ic.rejectWaiting()
	}
	completed := ic.finishOrder()
	ic.mu.Unlock()
	if completed {
		ic.e.notifyChange()
	}
	if rw.faults.LoseAnswer {
		rw.keepAlive = false
		return
	}
	ic.respond(rw, en, status, nil)
}

// finishOrder completes the pending order once nothing runs, after the time of EngineSettings.Swap, and reports whether
// it completed it at once. ic.mu is held.
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

// serveFreeHandle releases a handle: 200, or 404 when there is none (ours).
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
