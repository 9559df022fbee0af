package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// defaultBodyLimit bounds a request's body, in bytes, if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// maxAttemptIDBytes bounds the id that a client gives its request, which is copied into headers and sent to
	// backends.
	maxAttemptIDBytes = 256
	// minRetryAfter is the least Retry-After of a request that was not run.
	minRetryAfter = 50 * time.Millisecond
	// unconfiguredRetryAfter is the Retry-After of a proxy without a configuration.
	unconfiguredRetryAfter = 200 * time.Millisecond
	// startupWait is how long a request waits for the first configuration and endpoint list of a process that has just
	// started.
	startupWait = 300 * time.Millisecond
	// unreadBodyTimeout bounds the wait for the body of a request that is rejected before its body was read, as
	// net/http reads that body before it sends the response. It also bounds the time for a client to read its response
	// after the deadline.
	unreadBodyTimeout = 500 * time.Millisecond
	// returnMargin is the part of the time limit that is reserved for the response's way back to the client, at most a
	// tenth of the limit.
	returnMargin = 10 * time.Millisecond
)

// clientRequest is one client request in flight. It belongs to the goroutine that serves the request.
type clientRequest struct {
	proxy    *Proxy
	w        http.ResponseWriter
	outbound outboundRequest
	route    *routingconfig.Route
	svc      *service

	residencyCheck // where its data may be held
	clientAccount  // the account that it belongs to

	arrivedAt time.Time
	servedAt  time.Time // when it was admitted and its body read
	deadline  time.Time // by when the response has to be complete

	cameDraining bool // it was admitted while the proxy drains

	// Results of its attempts.
	mayHaveRun bool // a backend may have begun to execute it
	prefilled  bool // a backend may have prefilled its prompt
	failed     bool // its response is a backend's error
	tried      map[string]bool
	sends      int
	retryAfter time.Duration // the longest Retry-After of the backends that did not run it
}

// ServeHTTP serves one client request. It admits the request, reads its body and finds its route, sends it to backends
// until one answers, relays that response, and records the outcome of each attempt. It returns once the client has its
// response, and panics with http.ErrAbortHandler if a truncated response must not look complete.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	p.inFlight.Add(1)
	defer p.requestEnded()
	if p.lifecycle.Leaving() {
		w.Header().Set("Connection", "close")
		defer p.shutdown.track(arrivedAt)()
	}
	cr, err := p.admit(w, r, arrivedAt)
	if err != nil {
		p.writeError(w, err)
		return
	}
	defer cr.svc.release()
	ctx, cancel := context.WithDeadline(r.Context(), cr.deadline)
	defer cancel()
	// A client that does not read must not occupy a backend: the write of the response is bounded as well.
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(cr.deadline.Add(unreadBodyTimeout))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	defer cr.releaseUnused()
	cr.serve(ctx)
}

// requestEnded records the end of a request.
func (p *Proxy) requestEnded() {
	p.inFlight.Add(-1)
	p.shutdown.requestEnded()
}

// admit checks a request against the routing snapshot, reads its body, and finds its route and service. Its errors are
// of type *rejection.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (*clientRequest, error) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(arrivedAt.Add(unreadBodyTimeout))
	}
	if !p.ready.Load() {
		p.awaitSnapshot(r.Context())
	}
	if id := r.Header.Get(externalapi.HeaderAttemptID); id != "" {
		w.Header()[externalapi.HeaderAttemptID] = []string{id}
	}
	current, err := p.currentRouting(r)
	if err != nil {
		return nil, err
	}
	cr, err := p.admitHead(r, current, arrivedAt)
	if err == nil {
		cr.w = w
		err = cr.admitBody(r, current.snapshot)
	}
	if err != nil {
		current.releaseService()
		return nil, err
	}
	return cr, nil
}

// requestRouting is the routing of a request, all by one snapshot.
type requestRouting struct {
	confirmedAt time.Time // when the snapshot's configuration was confirmed
	snapshot    *routingSnapshot
	route       *routingconfig.Route
	svc         *service // acquired; nil: it is not configured
}

// releaseService ends the use of the service.
func (rr *requestRouting) releaseService() {
	if rr.svc != nil {
		rr.svc.release()
	}
}

// currentRouting finds the route of a request in the newest snapshot and acquires its service. Its errors are of type
// *rejection.
func (p *Proxy) currentRouting(r *http.Request) (requestRouting, error) {
	for {
		confirmedAt := p.confirmedAt() // before the snapshot: see authenticate
		snapshot := p.snapshot.Load()
		route, err := snapshot.findRoute(r)
		if err != nil {
			return requestRouting{}, err
		}
		svc, current := snapshot.acquireService(route, r.Header.Get(externalapi.HeaderAttemptID))
		if current {
			return requestRouting{confirmedAt: confirmedAt, snapshot: snapshot, route: route, svc: svc}, nil
		}
	}
}

// admitHead checks the head of a request: its key and quota, its id and its deadline. Its errors are of type
// *rejection.
func (p *Proxy) admitHead(r *http.Request, current requestRouting, arrivedAt time.Time) (*clientRequest, error) {
	route := current.route
	account, err := p.authenticate(r, current.snapshot, route, arrivedAt, current.confirmedAt)
	if err != nil {
		return nil, err
	}
	id, err := attemptID(r.Header)
	if err != nil {
		return nil, err
	}
	wait, err := timeToAnswer(route, r.Header)
	if err != nil {
		return nil, err
	}
	slot, err := p.acquireQuota(r.Context(), account, route)
	if err != nil {
		return nil, err
	}
	return &clientRequest{
		proxy:         p,
		route:         route,
		svc:           current.svc,
		clientAccount: clientAccount{account: account, slot: slot},
		arrivedAt:     arrivedAt,
		deadline:      arrivedAt.Add(wait - min(returnMargin, wait/10)),
		tried:         map[string]bool{},
		outbound:      outboundRequest{id: id},
	}, nil
}

// admitBody reads the body of a request, and releases its quota slot if it rejects it. Its errors are of type
// *rejection.
func (cr *clientRequest) admitBody(r *http.Request, snapshot *routingSnapshot) error {
	body, err := readClientBody(cr.w, r, snapshot.bodyLimit(), cr.deadline)
	if err != nil {
		cr.slot.Release()
		return err
	}
	dropHopByHop(r.Header)
	setTenantHeader(r.Header, cr.account) // after the removal of fields that the client's Connection field lists
	cr.outbound.method = r.Method
	cr.outbound.target = r.RequestURI
	cr.outbound.host = r.Host
	cr.outbound.header = r.Header
	cr.outbound.body = body
	cr.bindResidency(snapshot)
	if cr.svc == nil {
		cr.slot.Release()
		return &rejection{
			status:     http.StatusServiceUnavailable,
			retryAfter: minRetryAfter,
			reason:     "no backend known",
		}
	}
	return nil
}

// serve sends an admitted request to backends until one answers, and writes the response.
func (cr *clientRequest) serve(ctx context.Context) {
	cr.servedAt = time.Now()
	var prompt *scheduler.Prompt
	if cr.svc.countRequest(cr.arrivedAt) {
		if p, ok := parsePrompt(cr.outbound.header); ok {
			prompt = &p // p is not allocated on the heap
		}
	}
	if cr.rejectIfOutlastsDrain(prompt) {
		return
	}
	var err error
	if prompt != nil {
		err = cr.serveGeneration(ctx, prompt)
	} else {
		err = cr.servePlain(ctx)
	}
	cr.recordEnd(err)
	if err != nil {
		cr.proxy.writeError(cr.w, cr.rejectionFor(err))
	}
}

// awaitSnapshot waits for the first routing snapshot, for at most startupWait: a process that has just started receives
// it soon, and requests that arrive earlier need not fail.
func (p *Proxy) awaitSnapshot(ctx context.Context) {
	t := time.NewTimer(startupWait)
	defer t.Stop()
	select {
	case <-p.becameReady:
	case <-t.C:
	case <-ctx.Done():
	}
}

// findRoute returns the route of a request. A nil snapshot has no routes. Its errors are of type *rejection.
func (rs *routingSnapshot) findRoute(r *http.Request) (*routingconfig.Route, error) {
	if rs == nil || rs.index == nil {
		return nil, &rejection{
			status:     http.StatusServiceUnavailable,
			retryAfter: unconfiguredRetryAfter,
			reason:     "no configuration yet",
		}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, &rejection{
			status: http.StatusBadRequest,
			reason: "no path: a proxy of this fleet takes paths only",
		}
	}
	route, ok := rs.index.Lookup(r.Host, path)
	if !ok {
		return nil, &rejection{status: http.StatusNotFound, reason: "no route"}
	}
	return route, nil
}

// bodyLimit returns the maximum size of a request's body, in bytes.
func (rs *routingSnapshot) bodyLimit() int64 {
	if l := rs.limits; l != nil && l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return defaultBodyLimit
}

// attemptID returns the id that the client gave its request, which has to occur exactly once. It is no id of an attempt
// in this package's sense. Its errors are of type *rejection.
func attemptID(header http.Header) (string, error) {
	id := header.Get(externalapi.HeaderAttemptID)
	if !validID(id) || len(header[externalapi.HeaderAttemptID]) != 1 {
		return "", &rejection{
			status: http.StatusBadRequest,
			reason: externalapi.HeaderAttemptID + ": missing, several or no plain word",
		}
	}
	return id, nil
}

// validID reports whether an id can be forwarded unchanged: printable ASCII without spaces, of at most
// maxAttemptIDBytes.
func validID(id string) bool {
	if id == "" || len(id) > maxAttemptIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// timeToAnswer returns the time limit of the response: that of the route, or that of the client if it is shorter or the
// route has none. Its errors are of type *rejection.
func timeToAnswer(route *routingconfig.Route, header http.Header) (time.Duration, error) {
	wait := route.Deadline()
	text := header.Get(externalapi.HeaderDeadlineMs)
	if text == "" {
		return wait, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms <= 0 {
		return 0, &rejection{
			status: http.StatusBadRequest,
			reason: externalapi.HeaderDeadlineMs + ": no number above 0",
		}
	}
	requested := time.Duration(ms * float64(time.Millisecond))
	if requested < wait || wait <= 0 {
		return requested, nil
	}
	return wait, nil
}

// readClientBody reads the body of a request, of at most limit bytes, until deadline. Its errors are of type
// *rejection and close the connection, since the rest of the body may still arrive.
func readClientBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	body, err := readBodyUntil(w, r, limit, deadline)
	switch {
	case err == nil:
		return body, nil
	case isTimeout(err):
		return nil, &rejection{
			status:    http.StatusRequestTimeout,
			reason:    "body not whole in time",
			closeConn: true,
		}
	case errors.Is(err, errBodyTooLarge):
		return nil, &rejection{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConn: true}
	}
	return nil, &rejection{status: http.StatusBadRequest, reason: "body not whole", closeConn: true}
}

// parsePrompt returns the description of the prompt in a request's headers; false: it is missing or invalid.
func parsePrompt(header http.Header) (scheduler.Prompt, bool) {
	return scheduler.ParsePrompt(
		header.Get(externalapi.HeaderModel),
		header.Get(externalapi.HeaderTokenCount),
		header.Get(externalapi.HeaderPromptPrefix),
	)
}
