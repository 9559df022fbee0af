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
	drawnSeed = flag.Uint64("drawn.seed", 0, "play this drawn day alone")
	drawnDays = flag.Uint64("drawn.days", 1000, "so many drawn days are played")
)

// countingRecorder counts the answers that a request is given.
type countingRecorder struct {
	*httptest.ResponseRecorder
	responses int
}

// WriteHeader counts a header.
func (o *countingRecorder) WriteHeader(status int) {
	o.responses++
	o.ResponseRecorder.WriteHeader(status)
}

// Write counts a header that is implied.
func (o *countingRecorder) Write(b []byte) (int, error) {
	if o.responses == 0 {
		o.responses++
	}
	return o.ResponseRecorder.Write(b)
}

// rejectionBound is within what a refusal comes: nodes answer at once, so that there is nothing to wait for.
const rejectionBound = 10 * time.Millisecond

// drawnRequest is one request, what stood when it was made, and what it came to.
type drawnRequest struct {
	day             *simulatedDay
	id              string
	route           string // its first letter is its kind
	stream          bool
	usable          bool // a backend may serve it, by the list
	backendsHealthy bool // none of its backends is in trouble
	changes         int  // before it
	dials           int  // before it

	w      *countingRecorder
	broken bool // the answer was broken off
	took   time.Duration
}

// runRequest makes one request and judges its answer.
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
	d.proxy.background.Wait() // the handles released after it

	d.mu.Lock()
	defer d.mu.Unlock()
	d.changeInFlight = false
	q.backendsHealthy = q.backendsHealthy && d.changes == q.changes
	q.checkInvariants()
	q.checkAnswer()
	q.checkAgainstBackends()
	q.countKind()
}

// draw draws the request.
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

// recordState notes which backends there are for the request, and what has happened before it.
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
	q.day.addFinding("%s of %s: status %d, broken off %v, %d runs, %q: %s",
		q.id, q.route, q.w.Code, q.broken, q.day.runs[q.id], q.w.Body, fmt.Sprintf(format, args...))
}

// checkInvariants looks at what holds for every request: one answer, in its time, and run once at most where that is asked for.
func (q *drawnRequest) checkInvariants() {
	if q.w.responses != 1 {
		q.addFinding("%d answers", q.w.responses)
	}
	if q.took > testDeadline {
		q.addFinding("after %v", q.took)
	}
	if q.w.Code == http.StatusServiceUnavailable && q.took > rejectionBound {
		q.addFinding("refused after %v", q.took)
	}
	if (q.route[0] == 'p' || q.route[0] == 'o') && q.day.runs[q.id] > 1 {
		q.addFinding("run more than once")
	}
}

// checkAnswer looks at the answer by its status.
func (q *drawnRequest) checkAnswer() {
	switch {
	case q.broken && (!q.stream || q.w.Code != http.StatusOK):
		q.addFinding("broken off before it began")
	case q.w.Code == http.StatusOK && q.stream:
		q.checkEvents()
	case q.w.Code == http.StatusOK:
		if q.w.Body.String() != "answer to "+q.id {
			q.addFinding("another body")
		}
	case q.w.Code == http.StatusServiceUnavailable:
		if q.day.runs[q.id] > 0 {
			q.addFinding("it has run")
		}
		if q.w.Header().Get(externalapi.HeaderRetryAfter) == "" {
			q.addFinding("no time to come back")
		}
	case q.w.Code != http.StatusBadGateway && q.w.Code != http.StatusInternalServerError:
		q.addFinding("another status")
	}
}

// checkEvents looks at a stream: it is complete or broken off, and in order.
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

// checkAgainstBackends looks at the answer by the backends that there were: none, or only well ones.
func (q *drawnRequest) checkAgainstBackends() {
	d := q.day
	switch {
	case !q.usable && d.changes == q.changes:
		d.counts["no backend"]++
		if q.w.Code != http.StatusServiceUnavailable || d.runs[q.id] > 0 || d.dials != q.dials {
			q.addFinding("there is no backend inside, and %d connections were asked for", d.dials-q.dials)
		}
	case q.usable && q.backendsHealthy:
		d.counts["all healthy"]++
		if q.w.Code != http.StatusOK || q.broken {
			q.addFinding("all is well inside")
		}
	}
}

// countKind counts the request among its kinds.
func (q *drawnRequest) countKind() {
	if q.day.changes != q.changes {
		q.day.counts["changed in flight"]++
	}
	if q.broken {
		q.day.counts["aborted"]++
	}
	q.day.counts[fmt.Sprint(q.w.Code)]++
}

// run plays the day and ends it.
func (d *simulatedDay) run() {
	const steps = 30
	for i := range steps {
		d.mu.Lock()
		for range d.rng.IntN(3) {
			d.change()
		}
		passes := time.Duration(0) // so that who failed is tried again
		if d.rng.IntN(4) == 0 {
			passes = time.Duration(d.rng.Int64N(int64(4 * time.Second)))
		}
		d.mu.Unlock()
		time.Sleep(passes)
		d.runRequest(i)
	}
	d.proxy.pool.Close()
}

// TestDrawnDays plays days of six regions with 21 zones before nodes in memory, on a clock of their own: nodes and
// whole regions fail in many ways, the list changes, lags and is corrected, addresses come to others, and tenants'
// terms change, between requests and under them. Nothing runs and nothing is taken outside of the terms of that
// moment; each request has exactly one answer, in its time: where no backend inside is listed, 503 at once without a
// connection asked for; where all is well inside, success. What was refused never runs, what may run once does so at
// most once, and streams are complete or broken off, never out of order.
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
			c.Check(counts[k] > 0, qt.IsTrue, qt.Commentf("no request of the kind %q: the days are too tame", k))
		}
	}
}
