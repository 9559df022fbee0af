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

// once counts the answers that a request is given.
type once struct {
	*httptest.ResponseRecorder
	answers int
}

// WriteHeader counts a header.
func (o *once) WriteHeader(status int) {
	o.answers++
	o.ResponseRecorder.WriteHeader(status)
}

// Write counts a header that is implied.
func (o *once) Write(b []byte) (int, error) {
	if o.answers == 0 {
		o.answers++
	}
	return o.ResponseRecorder.Write(b)
}

// promptly is within what a refusal comes: nodes answer at once, so that there is nothing to wait for.
const promptly = 10 * time.Millisecond

// drawnRequest is one request, what stood when it was made, and what it came to.
type drawnRequest struct {
	d       *drawn
	id      string
	route   string // its first letter is its kind
	stream  bool
	usable  bool // a backend may serve it, by the list
	calm    bool // none of its backends is in trouble
	changes int  // before it
	dials   int  // before it

	w      *once
	broken bool // the answer was broken off
	took   time.Duration
}

// ask makes one request and judges its answer.
func (d *drawn) ask(number int) {
	d.mu.Lock()
	q := &drawnRequest{d: d, id: fmt.Sprintf("%d-%d", d.seed, number), calm: true}
	r := q.draw()
	d.midway = d.rng.IntN(2) == 0
	q.lookAround()
	d.mu.Unlock()

	q.w = &once{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	q.broken = serveUntilAborted(d.proxy, q.w, r)
	q.took = time.Since(began)
	d.proxy.background.Wait() // the handles released after it

	d.mu.Lock()
	defer d.mu.Unlock()
	d.midway = false
	q.calm = q.calm && d.changes == q.changes
	q.judge()
	q.judgeAnswer()
	q.judgeByBackends()
	q.count()
}

// draw draws the request.
func (q *drawnRequest) draw() *http.Request {
	d := q.d
	q.route = string("rpso"[d.rng.IntN(4)]) + append(drawnTenants, "free")[d.rng.IntN(len(drawnTenants)+1)]
	q.stream = q.route[0] == 's' || q.route[0] == 'o'
	r := httptest.NewRequest(http.MethodPost, "http://h/"+q.route+"/x", strings.NewReader("data"))
	r = r.WithContext(context.WithValue(r.Context(), asked{}, true))
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

// lookAround notes which backends there are for the request, and what has happened before it.
func (q *drawnRequest) lookAround() {
	d := q.d
	service := "obs"
	if q.stream {
		service = "llm"
	}
	for _, n := range d.nodes {
		if n.service == service && n.listed && !n.draining && d.allowed(n, q.route) {
			q.usable = q.usable || n.phase != externalapi.PhasePrefill
			q.calm = q.calm && n.trouble == fine && d.at[n.address] == n
		}
	}
	q.changes = d.changes
	q.dials = d.dials
}

// bad records a finding on the request.
func (q *drawnRequest) bad(format string, args ...any) {
	q.d.find("%s of %s: status %d, broken off %v, %d runs, %q: %s",
		q.id, q.route, q.w.Code, q.broken, q.d.runs[q.id], q.w.Body, fmt.Sprintf(format, args...))
}

// judge looks at what holds for every request: one answer, in its time, and run once at most where that is asked for.
func (q *drawnRequest) judge() {
	if q.w.answers != 1 {
		q.bad("%d answers", q.w.answers)
	}
	if q.took > testDeadline {
		q.bad("after %v", q.took)
	}
	if q.w.Code == http.StatusServiceUnavailable && q.took > promptly {
		q.bad("refused after %v", q.took)
	}
	if (q.route[0] == 'p' || q.route[0] == 'o') && q.d.runs[q.id] > 1 {
		q.bad("run more than once")
	}
}

// judgeAnswer looks at the answer by its status.
func (q *drawnRequest) judgeAnswer() {
	switch {
	case q.broken && (!q.stream || q.w.Code != http.StatusOK):
		q.bad("broken off before it began")
	case q.w.Code == http.StatusOK && q.stream:
		q.judgeEvents()
	case q.w.Code == http.StatusOK:
		if q.w.Body.String() != "answer to "+q.id {
			q.bad("another body")
		}
	case q.w.Code == http.StatusServiceUnavailable:
		if q.d.runs[q.id] > 0 {
			q.bad("it has run")
		}
		if q.w.Header().Get(externalapi.HeaderRetryAfter) == "" {
			q.bad("no time to come back")
		}
	case q.w.Code != http.StatusBadGateway && q.w.Code != http.StatusInternalServerError:
		q.bad("another status")
	}
}

// judgeEvents looks at a stream: it is complete or broken off, and in order.
func (q *drawnRequest) judgeEvents() {
	got := strings.Split(strings.TrimSuffix(q.w.Body.String(), "\n\n"), "\n\n")
	for i, e := range got {
		if e != fmt.Sprintf("id: %d\ndata: inside  answer to %s", i+1, q.id) {
			q.bad("event %d", i+1)
		}
	}
	if !q.broken && len(got) != drawnEvents || len(got) > drawnEvents {
		q.bad("%d events", len(got))
	}
}

// judgeByBackends looks at the answer by the backends that there were: none, or only well ones.
func (q *drawnRequest) judgeByBackends() {
	d := q.d
	switch {
	case !q.usable && d.changes == q.changes:
		d.counts["nowhere"]++
		if q.w.Code != http.StatusServiceUnavailable || d.runs[q.id] > 0 || d.dials != q.dials {
			q.bad("there is no backend inside, and %d connections were asked for", d.dials-q.dials)
		}
	case q.usable && q.calm:
		d.counts["calm"]++
		if q.w.Code != http.StatusOK || q.broken {
			q.bad("all is well inside")
		}
	}
}

// count counts the request among its kinds.
func (q *drawnRequest) count() {
	if q.d.changes != q.changes {
		q.d.counts["changed under way"]++
	}
	if q.broken {
		q.d.counts["broken off"]++
	}
	q.d.counts[fmt.Sprint(q.w.Code)]++
}

// play plays the day and ends it.
func (d *drawn) play() {
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
		d.ask(i)
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
			d := newDrawn(t, seed)
			d.play()
			for _, f := range d.found {
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
		kinds := []string{"200", "500", "502", "503", "nowhere", "calm", "changed under way", "broken off"}
		for _, k := range kinds {
			c.Check(counts[k] > 0, qt.IsTrue, qt.Commentf("no request of the kind %q: the days are too tame", k))
		}
	}
}
