package proxy

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
)

var (
	drawnSeed = flag.Uint64("drawn.seed", 0, "simulate only the day of this seed")
	drawnDays = flag.Uint64("drawn.days", 1000, "number of drawn days to simulate")
)

// countingRecorder counts the responses that a request receives.
type countingRecorder struct {
	*httptest.ResponseRecorder
	responses int
}

// WriteHeader counts an explicit header.
func (o *countingRecorder) WriteHeader(status int) {
	o.responses++
	o.ResponseRecorder.WriteHeader(status)
}

// Write counts an implicit header.
func (o *countingRecorder) Write(b []byte) (int, error) {
	if o.responses == 0 {
		o.responses++
	}
	return o.ResponseRecorder.Write(b)
}

// rejectionBound is the time within which a request is rejected: nodes respond at once, so there is nothing to wait
// for.
const rejectionBound = 10 * time.Millisecond

// drawnRequest is one random request, the state when it was sent, and its result.
type drawnRequest struct {
	day             *simulatedDay
	id              string
	route           string // its first letter is its kind
	stream          bool
	usable          bool // a listed backend may serve it
	backendsHealthy bool // none of its backends has a fault
	changes         int  // number of changes before it
	dials           int  // number of dials before it

	w      *countingRecorder
	broken bool // the response was aborted
	took   time.Duration
}

// runRequest sends one request and checks its response.
func (d *simulatedDay) runRequest(number int) {
	d.mu.Lock()
	q := &drawnRequest{day: d, id: fmt.Sprintf("%d-%d", d.seed, number), backendsHealthy: true}
	r := q.draw()
	d.changeInFlight = d.rng.IntN(2) == 0
	q.recordState()
	d.mu.Unlock()

	q.w = &countingRecorder{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	q.broken = serveUntilAborted(d.proxy, q.w, r)
	q.took = time.Since(began)
	d.proxy.background.Wait() // for the release of its handles

	d.mu.Lock()
	defer d.mu.Unlock()
	d.changeInFlight = false
	q.backendsHealthy = q.backendsHealthy && d.changes == q.changes
	q.checkInvariants()
	q.checkAnswer()
	q.checkAgainstBackends()
	q.countKind()
}

// draw returns a random request.
func (q *drawnRequest) draw() *http.Request {
	d := q.day
	q.route = string("rpso"[d.rng.IntN(4)]) + append(drawnTenants, "free")[d.rng.IntN(len(drawnTenants)+1)]
	q.stream = q.route[0] == 's' || q.route[0] == 'o'
	r := httptest.NewRequest(http.MethodPost, "http://h/"+q.route+"/x", strings.NewReader("data"))
	r = r.WithContext(context.WithValue(r.Context(), clientRequestKey{}, true))
	r.RequestURI = "/" + q.route + "/x"
	r.Header.Set(externalapi.HeaderAttemptID, q.id)
	if q.stream {
		in := 50 + d.rng.IntN(4000)
		tokens := fmt.Sprintf("%d,%d", in, 1+d.rng.IntN(40))
		prefix := fmt.Sprintf("fa%02x:%d,%08x:20", d.rng.IntN(3), in-20, d.rng.Uint32())
		r.Header.Set(externalapi.HeaderModel, "m")
		r.Header.Set(externalapi.HeaderTokenCount, tokens)
		r.Header.Set(externalapi.HeaderPromptPrefix, prefix)
	}
	return r
}

// recordState records the backends available for the request, and the counters before it.
func (q *drawnRequest) recordState() {
	d := q.day
	service := "obs"
	if q.stream {
		service = "llm"
	}
	for _, n := range d.nodes {
		if n.service == service && n.listed && !n.draining && d.allowed(n, q.route) {
			q.usable = q.usable || n.phase != externalapi.PhasePrefill
			q.backendsHealthy = q.backendsHealthy && n.fault == noFault && d.nodesByAddress[n.address] == n
		}
	}
	q.changes = d.changes
	q.dials = d.dials
}

// addFinding records a finding on the request.
func (q *drawnRequest) addFinding(format string, args ...any) {
	q.day.addFinding("%s of %s: status %d, aborted %v, %d runs, %q: %s",
		q.id, q.route, q.w.Code, q.broken, q.day.runs[q.id], q.w.Body, fmt.Sprintf(format, args...))
}

// checkInvariants checks the rules for every request: one response, within its deadline, and at most one run unless the
// request is idempotent.
func (q *drawnRequest) checkInvariants() {
	if q.w.responses != 1 {
		q.addFinding("%d answers", q.w.responses)
	}
	if q.took > testDeadline {
		q.addFinding("after %v", q.took)
	}
	if q.w.Code == http.StatusServiceUnavailable && q.took > rejectionBound {
		q.addFinding("rejected after %v", q.took)
	}
	if (q.route[0] == 'p' || q.route[0] == 'o') && q.day.runs[q.id] > 1 {
		q.addFinding("run more than once")
	}
}

// checkAnswer checks the response by its status.
func (q *drawnRequest) checkAnswer() {
	switch {
	case q.broken && (!q.stream || q.w.Code != http.StatusOK):
		q.addFinding("aborted before the response started")
	case q.w.Code == http.StatusOK && q.stream:
		q.checkEvents()
	case q.w.Code == http.StatusOK:
		if q.w.Body.String() != "answer to "+q.id {
			q.addFinding("unexpected body")
		}
	case q.w.Code == http.StatusServiceUnavailable:
		if q.day.runs[q.id] > 0 {
			q.addFinding("rejected, but it has run")
		}
		if q.w.Header().Get(externalapi.HeaderRetryAfter) == "" {
			q.addFinding("no Retry-After")
		}
	case q.w.Code != http.StatusBadGateway && q.w.Code != http.StatusInternalServerError:
		q.addFinding("unexpected status")
	}
}

// checkEvents checks that a stream is in order, and complete or aborted.
func (q *drawnRequest) checkEvents() {
	got := strings.Split(strings.TrimSuffix(q.w.Body.String(), "\n\n"), "\n\n")
	for i, e := range got {
		if e != fmt.Sprintf("id: %d\ndata: inside  answer to %s", i+1, q.id) {
			q.addFinding("event %d", i+1)
		}
	}
	if !q.broken && len(got) != drawnEvents || len(got) > drawnEvents {
		q.addFinding("%d events", len(got))
	}
}

// checkAgainstBackends checks the response against the backends available: none, or only healthy ones.
func (q *drawnRequest) checkAgainstBackends() {
	d := q.day
	switch {
	case !q.usable && d.changes == q.changes:
		d.counts["no backend"]++
		if q.w.Code != http.StatusServiceUnavailable || d.runs[q.id] > 0 || d.dials != q.dials {
			q.addFinding("not rejected at once though no allowed backend is listed; %d dials", d.dials-q.dials)
		}
	case q.usable && q.backendsHealthy:
		d.counts["all healthy"]++
		if q.w.Code != http.StatusOK || q.broken {
			q.addFinding("not served though all allowed backends are healthy")
		}
	}
}

// countKind counts the request by kind.
func (q *drawnRequest) countKind() {
	if q.day.changes != q.changes {
		q.day.counts["changed in flight"]++
	}
	if q.broken {
		q.day.counts["aborted"]++
	}
	q.day.counts[fmt.Sprint(q.w.Code)]++
}

// run runs the day and closes the proxy's connections.
func (d *simulatedDay) run() {
	const steps = 30
	for i := range steps {
		d.mu.Lock()
		for range d.rng.IntN(3) {
			d.change()
		}
		passes := time.Duration(0) // lets failed backends be tried again
		if d.rng.IntN(4) == 0 {
			passes = time.Duration(d.rng.Int64N(int64(4 * time.Second)))
		}
		d.mu.Unlock()
		time.Sleep(passes)
		d.runRequest(i)
	}
	d.proxy.pool.Close()
}

// TestDrawnDays simulates a proxy with random in-memory nodes in six regions with 21 zones, in synctest bubbles: nodes
// and whole regions fail in many ways, the endpoint list changes, lags and is corrected, addresses are reassigned, and
// tenants' terms change, between requests and during them. No request runs and no handle is used outside the terms in
// force. Each request gets exactly one response within its deadline: 503 at once, without a connection attempt, if no
// allowed backend is listed; success if all allowed backends are healthy. Rejected requests never run, requests that
// may run once run at most once, and streams are complete or aborted, never out of order.
func TestDrawnDays(t *testing.T) {
	c := qt.New(t)
	from, to := uint64(1), *drawnDays
	if *drawnSeed > 0 {
		from, to = *drawnSeed, *drawnSeed
	}
	counts := map[string]int{}
	for seed := from; seed <= to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			d := newSimulatedDay(t, seed)
			d.run()
			for _, f := range d.findings {
				t.Errorf("seed %d: %s", seed, f)
			}
			for k, n := range d.counts {
				counts[k] += n
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d days: %v", to-from+1, counts)
	if *drawnSeed == 0 && *drawnDays >= 100 {
		kinds := []string{"200", "500", "502", "503", "no backend", "all healthy", "changed in flight", "aborted"}
		for _, k := range kinds {
			c.Check(counts[k] > 0, qt.IsTrue, qt.Commentf("no request of the kind %q in all days", k))
		}
	}
}
