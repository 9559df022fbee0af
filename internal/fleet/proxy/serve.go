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
	// maxAnswer bounds an answer that is held whole, in bytes.
	maxAnswer = 8 << 20
	// connectWithin bounds a connect, connectLeast from below: round trips are some milliseconds anywhere.
	connectWithin, connectLeast = 200 * time.Millisecond, 50 * time.Millisecond
	// maxWays bounds the backends to which a way is looked for.
	maxWays = 4
	// soonAgain is when a client whose request was not run is told to come back.
	soonAgain = 50 * time.Millisecond
	// silentAims is how many times its aim an idempotent request waits for a first byte before it goes elsewhere.
	silentAims = 3
	// startWait is for how long a request waits for the first configuration and list of a process that has just started.
	startWait = 300 * time.Millisecond
	// lateReads is how many times as long as expected a prompt may take to be read.
	lateReads = 2
	// unreadWithin bounds the wait for the body of a request that is refused without it, as the library reads that body before it
	// sends the answer, and for a client to read its answer after its time.
	unreadWithin = 500 * time.Millisecond
	// margin is what is kept of the time for the way back to the client.
	margin = 10 * time.Millisecond
)

// try is one request of a client under way.
type try struct {
	v        *Proxy
	w        http.ResponseWriter
	m        message
	route    *routingconfig.Route
	svc      *service
	world    *world  // whose terms these are
	subject  subject // whose data it carries
	bounds   residency.Terms
	came     time.Time
	deadline time.Time
	ran      bool // it may have run at a backend
	tried    map[string]bool
	sends    int
	refused  time.Duration // advice, once nothing ran
}

func (v *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	v.working.Add(1)
	defer v.working.Add(-1)
	if v.life.Leaving() {
		w.Header().Set("Connection", "close")
		defer v.departure.came()()
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(came.Add(unreadWithin))
	}
	if !v.ready.Load() {
		v.awaitWorld(r.Context())
	}
	world := v.world.Load()
	if id := r.Header.Get(externalapi.HeaderAttemptID); id != "" {
		w.Header()[externalapi.HeaderAttemptID] = []string{id}
	}
	if world == nil || world.index == nil {
		v.refuse(w, http.StatusServiceUnavailable, 200*time.Millisecond, "no configuration yet")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		v.refuse(w, http.StatusBadRequest, 0, "no path: a proxy of this fleet takes paths only")
		return
	}
	route, ok := world.index.Lookup(r.Host, path)
	if !ok {
		v.refuse(w, http.StatusNotFound, 0, "no route")
		return
	}
	id := r.Header.Get(externalapi.HeaderAttemptID)
	if !plain(id) || len(r.Header[externalapi.HeaderAttemptID]) != 1 {
		v.refuse(w, http.StatusBadRequest, 0, externalapi.HeaderAttemptID+": missing, several or no plain word")
		return
	}
	wait := route.Deadline()
	if text := r.Header.Get(externalapi.HeaderDeadlineMs); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms <= 0 {
			v.refuse(w, http.StatusBadRequest, 0, externalapi.HeaderDeadlineMs+": no number above 0")
			return
		}
		if told := time.Duration(ms * float64(time.Millisecond)); told < wait || wait <= 0 {
			wait = told
		}
	}
	most := int64(4 << 20)
	if l := world.limits; l != nil && l.MaxBodyBytes > 0 {
		most = l.MaxBodyBytes
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		v.refuse(w, http.StatusRequestEntityTooLarge, 0, "body too large")
		return
	}
	deadline := came.Add(wait - min(margin, wait/10))
	body, err := readBodyBy(w, r, most, deadline)
	if err != nil {
		w.Header().Set("Connection", "close")
		if isTimeout(err) {
			v.refuse(w, http.StatusRequestTimeout, 0, "body not whole in time")
			return
		}
		if errors.Is(err, errTooLarge) {
			v.refuse(w, http.StatusRequestEntityTooLarge, 0, "body too large")
			return
		}
		v.refuse(w, http.StatusBadRequest, 0, "body not whole")
		return
	}
	dropHop(r.Header)
	t := &try{v: v, w: w, route: route, came: came, deadline: deadline, tried: map[string]bool{},
		m: message{id: id, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, body: body}}
	t.enclose(world)
	t.svc = world.services[route.Pick(xxhash.Sum64String(id)).Name]
	if t.svc == nil {
		v.refuse(w, http.StatusServiceUnavailable, soonAgain, "no backend known")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()
	// A client that takes nothing is not waited for with a backend at work behind it.
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(t.deadline.Add(unreadWithin))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	t.svc.mu.Lock()
	t.svc.spent.ask(came)
	model := t.svc.model
	t.svc.mu.Unlock()
	var prompt *scheduler.Prompt
	if model {
		if p, ok := scheduler.ParsePrompt(r.Header.Get(externalapi.HeaderModel), r.Header.Get(externalapi.HeaderTokenCount), r.Header.Get(externalapi.HeaderPromptPrefix)); ok {
			prompt = &p
		}
	}
	switch {
	case t.refusedLeaving(prompt):
	case prompt != nil:
		t.generate(ctx, prompt)
	default:
		t.plain(ctx)
	}
}

// awaitWorld waits for what requests are served by: a process that has just started has it in a moment, and whoever came
// that early is not given up.
func (v *Proxy) awaitWorld(ctx context.Context) {
	t := time.NewTimer(startWait)
	defer t.Stop()
	select {
	case <-v.served:
	case <-t.C:
	case <-ctx.Done():
	}
}

// judge tells the design how an attempt ended.
func judge(wrote bool, err error) policy.Status {
	switch {
	case err == nil:
		return policy.OK
	case errors.Is(err, context.Canceled) || errors.Is(err, residency.ErrOutside):
		return policy.Cancelled
	case errors.Is(err, errSilent) || errors.Is(err, context.DeadlineExceeded):
		return policy.Timeout
	case !wrote:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// couldAgain tells whether the request itself bears another send: by its kind, its tries and its time.
func (t *try) couldAgain() bool {
	return (!t.ran || t.route.Idempotent()) && t.sends < max(t.route.MaxAttempts, 1) && time.Until(t.deadline) >= 5*time.Millisecond
}

// mayAgain tells whether the request may be sent to another backend now, and takes that from the allowance.
func (t *try) mayAgain() bool { return t.couldAgain() && t.allowed() }

// repeatable tells whether the request can be served by another backend if its next send fails.
func (t *try) repeatable() bool {
	return t.route.Idempotent() && t.sends+1 < t.route.MaxAttempts && time.Until(t.deadline) > t.route.LatencyTarget()
}

// wouldAgain is mayAgain without taking from the allowance.
func (t *try) wouldAgain() bool {
	if !t.couldAgain() {
		return false
	}
	t.svc.mu.Lock()
	defer t.svc.mu.Unlock()
	return t.svc.spent.left(time.Now(), 1)
}

// allowed takes one send beyond a request's first from what this proxy may make of them.
func (t *try) allowed() bool { return t.afford(1) }

// afford takes n sends beyond a request's first, or none.
func (t *try) afford(n float64) bool {
	t.svc.mu.Lock()
	defer t.svc.mu.Unlock()
	return t.svc.spent.take(time.Now(), n)
}

// plain serves a request whose answer comes whole.
func (t *try) plain(ctx context.Context) {
	key := xxhash.Sum64String(t.m.id)
	for {
		at, ok := t.svc.pick(key, t.repeatable(), t.tried, t.terms())
		if !ok {
			t.giveUp(ctx, "no backend")
			return
		}
		t.tried[at.ID()] = true
		sends := t.sends
		done, err := t.plainAt(ctx, at)
		if done {
			return
		}
		if ctx.Err() != nil && time.Until(t.deadline) > 0 {
			t.clientLeft()
		}
		if t.sends == sends && len(t.tried) < maxWays && time.Until(t.deadline) > connectWithin {
			continue // none has seen it: there was no way to that backend
		}
		if !t.mayAgain() {
			t.giveUp(ctx, errText(err))
			return
		}
	}
}

func errText(err error) string {
	if err == nil {
		return "backends are full"
	}
	return "backend: " + err.Error()
}

// connectBy is until when a connection has to stand: half of the aim, since one that takes longer is of no use, and from a
// backend without power nothing ever comes.
func (t *try) connectBy() time.Time {
	within := connectWithin
	if aim := t.route.LatencyTarget(); aim > 0 {
		within = min(max(aim/2, connectLeast), connectWithin)
	}
	return time.Now().Add(within)
}

// headBy is until when an attempt waits for the head of its answer.
func (t *try) headBy() time.Time {
	if aim := t.route.LatencyTarget(); t.route.Idempotent() && aim > 0 && t.sends+1 < t.route.MaxAttempts {
		if by := time.Now().Add(max(silentAims*aim, 200*time.Millisecond)); by.Before(t.deadline) {
			return by
		}
	}
	return t.deadline
}

// plainAt sends to one backend; done: the client has its answer.
func (t *try) plainAt(ctx context.Context, at residency.Permit) (done bool, err error) {
	id := at.ID()
	status := policy.OK
	usual, bound := t.svc.wholeBound(t)
	attempt := t.svc.attempt(id, bound)
	defer func() {
		took := attempt.answered()
		if status == policy.OK {
			t.svc.tookWhole(t, took)
		}
		attempt.end(status, speedOf(took, usual, bound), false)
		t.svc.ended(id, status)
	}()
	x := extra{until: t.deadline, priority: -1}
	e, wrote, err := t.begin(ctx, at, &t.m, &x, t.connectBy(), t.headBy())
	if wrote {
		t.sends++
	}
	if err != nil {
		t.ran = t.ran || wrote
		status = judge(wrote, err)
		return false, err
	}
	if e.resp.Header.Get("Content-Encoding") != "" || e.resp.StatusCode < 300 && e.resp.Header.Get(externalapi.HeaderBackendSeal) == "" {
		e.end(false)
		t.ran = true
		status = policy.Error
		return false, errNotOurs
	}
	e.readUntil(t.deadline)
	resp := e.resp
	t.svc.told(id, resp.Header.Get(externalapi.HeaderBackendLoad))
	body, err := e.body(maxAnswer)
	switch {
	case err != nil:
		t.ran = true
		if errors.Is(ctx.Err(), context.Canceled) {
			err = ctx.Err() // the client has left: the backend is not to blame
		}
		status = judge(true, err)
		return false, err
	case notRun(resp):
		status = policy.Full
		t.refused = max(t.refused, retryAfter(resp))
		return false, nil
	}
	t.ran = true
	if resp.StatusCode >= 500 {
		status = policy.Error
		if t.wouldAgain() {
			return false, errors.Errorf("status %d", resp.StatusCode)
		}
	}
	t.answer(resp, body)
	return true, nil
}

// plain tells whether an id can be sent on as it is.
func plain(id string) bool {
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
