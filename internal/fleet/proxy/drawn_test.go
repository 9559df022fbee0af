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

func (o *once) WriteHeader(status int) {
	o.answers++
	o.ResponseRecorder.WriteHeader(status)
}

func (o *once) Write(b []byte) (int, error) {
	if o.answers == 0 {
		o.answers++
	}
	return o.ResponseRecorder.Write(b)
}

// promptly is within what a refusal comes: nodes answer at once, so that there is nothing to wait for.
const promptly = 10 * time.Millisecond

// ask makes one request and judges its answer.
func (d *drawn) ask(number int) {
	d.mu.Lock()
	route := string("rpso"[d.rng.IntN(4)]) + append(drawnTenants, "free")[d.rng.IntN(len(drawnTenants)+1)]
	id := fmt.Sprintf("%d-%d", d.seed, number)
	stream := route[0] == 's' || route[0] == 'o'
	r := httptest.NewRequest(http.MethodPost, "http://h/"+route+"/x", strings.NewReader("data"))
	r = r.WithContext(context.WithValue(r.Context(), asked{}, true))
	r.RequestURI = "/" + route + "/x"
	r.Header.Set(externalapi.HeaderAttemptID, id)
	if stream {
		in := 50 + d.rng.IntN(4000)
		r.Header.Set(externalapi.HeaderModel, "m")
		r.Header.Set(externalapi.HeaderTokenCount, fmt.Sprintf("%d,%d", in, 1+d.rng.IntN(40)))
		r.Header.Set(externalapi.HeaderPromptPrefix, fmt.Sprintf("fa%02x:%d,%08x:20", d.rng.IntN(3), in-20, d.rng.Uint32()))
	}
	d.midway = d.rng.IntN(2) == 0
	usable, calm := false, true // by the list, and all of those without trouble
	for _, n := range d.nodes {
		if n.service == map[bool]string{true: "llm", false: "obs"}[stream] && n.listed && !n.draining && d.allowed(n, route) {
			usable = usable || n.phase != externalapi.PhasePrefill
			calm = calm && n.trouble == fine && d.at[n.address] == n
		}
	}
	changes, dials := d.changes, d.dials
	d.mu.Unlock()

	w := &once{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	broken := serveUntilAborted(d.proxy, w, r)
	took := time.Since(began)
	d.proxy.background.Wait() // what is freed after it

	d.mu.Lock()
	defer d.mu.Unlock()
	d.midway = false
	calm = calm && d.changes == changes
	bad := func(format string, args ...any) {
		d.find("%s of %s: status %d, broken off %v, %d runs, %q: %s", id, route, w.Code, broken, d.runs[id], w.Body, fmt.Sprintf(format, args...))
	}
	if w.answers != 1 {
		bad("%d answers", w.answers)
	}
	if took > testDeadline {
		bad("after %v", took)
	}
	if w.Code == http.StatusServiceUnavailable && took > promptly {
		bad("refused after %v", took)
	}
	if (route[0] == 'p' || route[0] == 'o') && d.runs[id] > 1 {
		bad("run more than once")
	}
	switch {
	case broken && (!stream || w.Code != http.StatusOK):
		bad("broken off before it began")
	case w.Code == http.StatusOK && stream:
		got := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		for i, e := range got {
			if e != fmt.Sprintf("id: %d\ndata: inside  answer to %s", i+1, id) {
				bad("event %d", i+1)
			}
		}
		if !broken && len(got) != drawnEvents || len(got) > drawnEvents {
			bad("%d events", len(got))
		}
	case w.Code == http.StatusOK:
		if w.Body.String() != "answer to "+id {
			bad("another body")
		}
	case w.Code == http.StatusServiceUnavailable:
		if d.runs[id] > 0 {
			bad("it has run")
		}
		if w.Header().Get(externalapi.HeaderRetryAfter) == "" {
			bad("no time to come back")
		}
	case w.Code != http.StatusBadGateway && w.Code != http.StatusInternalServerError:
		bad("another status")
	}
	switch {
	case !usable && d.changes == changes:
		d.counts["nowhere"]++
		if w.Code != http.StatusServiceUnavailable || d.runs[id] > 0 || d.dials != dials {
			bad("there is no place inside, and %d connections were asked for", d.dials-dials)
		}
	case usable && calm:
		d.counts["calm"]++
		if w.Code != http.StatusOK || broken {
			bad("all is well inside")
		}
	}
	if d.changes != changes {
		d.counts["changed under way"]++
	}
	if broken {
		d.counts["broken off"]++
	}
	d.counts[fmt.Sprint(w.Code)]++
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

// TestDrawnDays plays days of six regions with 21 zones before nodes in memory, on a clock of their own: nodes and whole regions
// fail in many ways, the list changes, lags and is corrected, addresses come to others, and tenants' terms change, between
// requests and under them. Nothing runs and nothing is taken outside of the terms of that moment; each request has exactly one
// answer, in its time: where no place inside is listed, 503 at once without a connection asked for; where all is well inside,
// success. What was refused never runs, what may run once does so at most once, and streams are whole or broken off, never out
// of order.
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
		for _, k := range []string{"200", "500", "502", "503", "nowhere", "calm", "changed under way", "broken off"} {
			c.Check(counts[k] > 0, qt.IsTrue, qt.Commentf("no request of the kind %q: the days are too tame", k))
		}
	}
}
