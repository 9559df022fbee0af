package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

const (
	// maxBufferedAnswer bounds an answer that is held whole, in bytes.
	maxBufferedAnswer = 8 << 20
	// connectTimeout bounds a connect, minConnectTimeout from below: round trips are some milliseconds anywhere.
	connectTimeout, minConnectTimeout = 200 * time.Millisecond, 50 * time.Millisecond
	// maxBackendsTried bounds the backends to which a way is looked for.
	maxBackendsTried = 4
	// minRetryAfter is when a client whose request was not run is told to come back.
	minRetryAfter = 50 * time.Millisecond
	// headerTimeoutTargets is how many times its aim an idempotent request waits for a first byte before it goes elsewhere.
	headerTimeoutTargets = 3
	// startupWait is for how long a request waits for the first configuration and list of a process that has just started.
	startupWait = 300 * time.Millisecond
	// prefillOverrun is how many times as long as expected a prompt may take to be read.
	prefillOverrun = 2
	// unreadBodyTimeout bounds the wait for the body of a request that is refused without it, as the library reads that body before it
	// sends the answer, and for a client to read its answer after its time.
	unreadBodyTimeout = 500 * time.Millisecond
	// returnMargin is what is kept of the time for the way back to the client.
	returnMargin = 10 * time.Millisecond
)

// clientRequest is one request of a client under way.
type clientRequest struct {
	proxy    *Proxy
	w        http.ResponseWriter
	outbound outboundRequest
	route    *routingconfig.Route
	svc      *service
	residencyCheck
	arrivedAt  time.Time
	deadline   time.Time
	mayHaveRun bool // it may have run at a backend
	tried      map[string]bool
	sends      int
	retryAfter time.Duration // advice, once nothing ran
}

func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.lifecycle.Leaving() {
		w.Header().Set("Connection", "close")
		defer p.shutdown.track()()
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(arrivedAt.Add(unreadBodyTimeout))
	}
	if !p.ready.Load() {
		p.awaitSnapshot(r.Context())
	}
	snapshot := p.snapshot.Load()
	if id := r.Header.Get(externalapi.HeaderAttemptID); id != "" {
		w.Header()[externalapi.HeaderAttemptID] = []string{id}
	}
	if snapshot == nil || snapshot.index == nil {
		p.reject(w, http.StatusServiceUnavailable, 200*time.Millisecond, "no configuration yet")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		p.reject(w, http.StatusBadRequest, 0, "no path: a proxy of this fleet takes paths only")
		return
	}
	route, ok := snapshot.index.Lookup(r.Host, path)
	if !ok {
		p.reject(w, http.StatusNotFound, 0, "no route")
		return
	}
	id := r.Header.Get(externalapi.HeaderAttemptID)
	if !validID(id) || len(r.Header[externalapi.HeaderAttemptID]) != 1 {
		p.reject(w, http.StatusBadRequest, 0, externalapi.HeaderAttemptID+": missing, several or no plain word")
		return
	}
	wait := route.Deadline()
	if text := r.Header.Get(externalapi.HeaderDeadlineMs); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms <= 0 {
			p.reject(w, http.StatusBadRequest, 0, externalapi.HeaderDeadlineMs+": no number above 0")
			return
		}
		if requested := time.Duration(ms * float64(time.Millisecond)); requested < wait || wait <= 0 {
			wait = requested
		}
	}
	maxBodyBytes := int64(4 << 20)
	if l := snapshot.limits; l != nil && l.MaxBodyBytes > 0 {
		maxBodyBytes = l.MaxBodyBytes
	}
	if r.ContentLength > maxBodyBytes {
		w.Header().Set("Connection", "close")
		p.reject(w, http.StatusRequestEntityTooLarge, 0, "body too large")
		return
	}
	deadline := arrivedAt.Add(wait - min(returnMargin, wait/10))
	body, err := readBodyUntil(w, r, maxBodyBytes, deadline)
	if err != nil {
		w.Header().Set("Connection", "close")
		if isTimeout(err) {
			p.reject(w, http.StatusRequestTimeout, 0, "body not whole in time")
			return
		}
		if errors.Is(err, errBodyTooLarge) {
			p.reject(w, http.StatusRequestEntityTooLarge, 0, "body too large")
			return
		}
		p.reject(w, http.StatusBadRequest, 0, "body not whole")
		return
	}
	dropHopByHop(r.Header)
	cr := &clientRequest{proxy: p, w: w, route: route, arrivedAt: arrivedAt, deadline: deadline, tried: map[string]bool{},
		outbound: outboundRequest{id: id, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, body: body}}
	cr.bindResidency(snapshot)
	cr.svc = snapshot.services[route.Pick(xxhash.Sum64String(id)).Name]
	if cr.svc == nil {
		p.reject(w, http.StatusServiceUnavailable, minRetryAfter, "no backend known")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), cr.deadline)
	defer cancel()
	// A client that takes nothing is not waited for with a backend at work behind it.
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(cr.deadline.Add(unreadBodyTimeout))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	cr.svc.mu.Lock()
	cr.svc.retryBudget.addRequest(arrivedAt)
	model := cr.svc.runsModels
	cr.svc.mu.Unlock()
	var prompt *scheduler.Prompt
	if model {
		if p, ok := scheduler.ParsePrompt(r.Header.Get(externalapi.HeaderModel), r.Header.Get(externalapi.HeaderTokenCount), r.Header.Get(externalapi.HeaderPromptPrefix)); ok {
			prompt = &p
		}
	}
	switch {
	case cr.rejectIfLeaving(prompt):
	case prompt != nil:
		cr.serveGeneration(ctx, prompt)
	default:
		cr.servePlain(ctx)
	}
}

// awaitSnapshot waits for what requests are served by: a process that has just started has it in a moment, and whoever came
// that early is not given up.
func (p *Proxy) awaitSnapshot(ctx context.Context) {
	t := time.NewTimer(startupWait)
	defer t.Stop()
	select {
	case <-p.becameReady:
	case <-t.C:
	case <-ctx.Done():
	}
}

// attemptStatus tells the design how an attempt ended.
func attemptStatus(wrote bool, err error) policy.Status {
	switch {
	case err == nil:
		return policy.OK
	case errors.Is(err, context.Canceled) || errors.Is(err, residency.ErrOutside):
		return policy.Cancelled
	case errors.Is(err, errAnswerTimeout) || errors.Is(err, context.DeadlineExceeded):
		return policy.Timeout
	case !wrote:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// retryPossible tells whether the request itself bears another send: by its kind, its tries and its time.
func (cr *clientRequest) retryPossible() bool {
	return (!cr.mayHaveRun || cr.route.Idempotent()) && cr.sends < max(cr.route.MaxAttempts, 1) && time.Until(cr.deadline) >= 5*time.Millisecond
}

// takeRetry tells whether the request may be sent to another backend now, and takes that from the allowance.
func (cr *clientRequest) takeRetry() bool { return cr.retryPossible() && cr.takeExtraSend() }

// retryable tells whether the request can be served by another backend if its next send fails.
func (cr *clientRequest) retryable() bool {
	return cr.route.Idempotent() && cr.sends+1 < cr.route.MaxAttempts && time.Until(cr.deadline) > cr.route.LatencyTarget()
}

// retryAvailable is takeRetry without taking from the allowance.
func (cr *clientRequest) retryAvailable() bool {
	if !cr.retryPossible() {
		return false
	}
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.available(time.Now(), 1)
}

// takeExtraSend takes one send beyond a request's first from what this proxy may make of them.
func (cr *clientRequest) takeExtraSend() bool { return cr.takeExtraSends(1) }

// takeExtraSends takes n sends beyond a request's first, or none.
func (cr *clientRequest) takeExtraSends(n float64) bool {
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.take(time.Now(), n)
}

// servePlain serves a request whose answer comes whole.
func (cr *clientRequest) servePlain(ctx context.Context) {
	key := xxhash.Sum64String(cr.outbound.id)
	for {
		permit, ok := cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())
		if !ok {
			cr.answerFailure(ctx, "no backend")
			return
		}
		cr.tried[permit.ID()] = true
		sends := cr.sends
		done, err := cr.sendPlain(ctx, permit)
		if done {
			return
		}
		if ctx.Err() != nil && time.Until(cr.deadline) > 0 {
			cr.abortClient()
		}
		if cr.sends == sends && len(cr.tried) < maxBackendsTried && time.Until(cr.deadline) > connectTimeout {
			continue // none has seen it: there was no way to that backend
		}
		if !cr.takeRetry() {
			cr.answerFailure(ctx, failureText(err))
			return
		}
	}
}

func failureText(err error) string {
	if err == nil {
		return "backends are full"
	}
	return "backend: " + err.Error()
}

// connectDeadline is until when a connection has to stand: half of the aim, since one that takes longer is of no use, and from a
// backend without power nothing ever comes.
func (cr *clientRequest) connectDeadline() time.Time {
	within := connectTimeout
	if aim := cr.route.LatencyTarget(); aim > 0 {
		within = min(max(aim/2, minConnectTimeout), connectTimeout)
	}
	return time.Now().Add(within)
}

// headerDeadline is until when an attempt waits for the head of its answer.
func (cr *clientRequest) headerDeadline() time.Time {
	if aim := cr.route.LatencyTarget(); cr.route.Idempotent() && aim > 0 && cr.sends+1 < cr.route.MaxAttempts {
		if by := time.Now().Add(max(headerTimeoutTargets*aim, 200*time.Millisecond)); by.Before(cr.deadline) {
			return by
		}
	}
	return cr.deadline
}

// sendPlain sends to one backend; done: the client has its answer.
func (cr *clientRequest) sendPlain(ctx context.Context, permit residency.Permit) (done bool, err error) {
	id := permit.ID()
	status := policy.OK
	usual, bound := cr.svc.completeThresholdMs(cr)
	record := cr.svc.beginAttempt(id, bound)
	defer func() {
		took := record.headerReceived()
		if status == policy.OK {
			cr.svc.recordComplete(cr, took)
		}
		record.finish(status, speedOf(took, usual, bound), false)
		cr.svc.attemptEnded(id, status)
	}()
	opts := attemptOptions{deadline: cr.deadline, priority: -1}
	e, wrote, err := cr.startExchange(ctx, permit, &cr.outbound, &opts, cr.connectDeadline(), cr.headerDeadline())
	if wrote {
		cr.sends++
	}
	if err != nil {
		cr.mayHaveRun = cr.mayHaveRun || wrote
		status = attemptStatus(wrote, err)
		return false, err
	}
	if e.resp.Header.Get("Content-Encoding") != "" || e.resp.StatusCode < 300 && e.resp.Header.Get(externalapi.HeaderBackendSeal) == "" {
		e.finish(false)
		cr.mayHaveRun = true
		status = policy.Error
		return false, errForeignAnswer
	}
	e.setReadDeadline(cr.deadline)
	resp := e.resp
	cr.svc.recordLoad(id, resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.readAll(maxBufferedAnswer)
	switch {
	case err != nil:
		cr.mayHaveRun = true
		if errors.Is(ctx.Err(), context.Canceled) {
			err = ctx.Err() // the client has left: the backend is not to blame
		}
		status = attemptStatus(true, err)
		return false, err
	case saysNotRun(resp):
		status = policy.Full
		cr.retryAfter = max(cr.retryAfter, backendRetryAfter(resp))
		return false, nil
	}
	cr.mayHaveRun = true
	if resp.StatusCode >= 500 {
		status = policy.Error
		if cr.retryAvailable() {
			return false, errors.Errorf("status %d", resp.StatusCode)
		}
	}
	cr.writeAnswer(resp, body)
	return true, nil
}

// servePlain tells whether an id can be sent on as it is.
func validID(id string) bool {
	if id == "" || len(id) > 256 {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
