package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
)

// The deployment of these tests: three regions with two zones each; the proxy is in east.
var testZones = map[string]string{"e1": "east", "e2": "east", "m1": "mid", "m2": "mid", "w1": "west", "w2": "west"}

const (
	testDeadline = 3 * time.Second
	// testTimeout bounds the wait for an expected event.
	testTimeout = 20 * time.Second
	// withdrawalSlack is how long after a proxy got new terms attempts in flight may still be observed at a backend.
	withdrawalSlack = 500 * time.Millisecond
)

// rig is a proxy in front of simulated engines. The test supplies its configuration and endpoint list.
type rig struct {
	*qt.C
	proxy         *Proxy
	server        *httptest.Server
	engines       []*simulation.Engine
	listed        []distribution.Backend
	client        *simulation.Client
	listVersion   uint64 // version of the endpoint list
	version       int
	termsHistory  []simulation.Term // of the tenant "held"
	streamStarted chan struct{}     // one value per stream whose first event has been written to its client
	onStreamStart func()            // called when a stream starts, before the proxy reads on; nil: none
}

// streamStartWriter signals when a stream has started.
type streamStartWriter struct {
	http.ResponseWriter
	started  chan<- struct{}
	onStart  func()
	notified bool
}

func (w *streamStartWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *streamStartWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if !w.notified && strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		w.notified = true
		w.started <- struct{}{}
		if w.onStart != nil {
			w.onStart()
		}
	}
	return n, err
}

// awaitStreamStarts waits until n more streams have started.
func (r *rig) awaitStreamStarts(n int) {
	r.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range n {
		select {
		case <-r.streamStarted:
		case <-ctx.Done():
			r.Fatal("the streams did not start in time")
		}
	}
}

// testSettings returns the settings of a proxy in zone e1.
func testSettings(zones map[string]string) settings.Settings {
	return settings.Settings{
		NodeName:  "edge-1",
		Zone:      "e1",
		Region:    "east",
		Zones:     zones,
		Heartbeat: time.Second,
		Limits:    settings.Limits{Files: 4100},
		Bounds: settings.Bounds{
			Contact:     3 * time.Second,
			RetryRatio:  0.2,
			RetryExtra:  4000,
			RetryWindow: 10 * time.Second,
			Grace:       8 * time.Second,
		},
	}
}

// newRig starts engines and a proxy that has them in its endpoint list, and stops all at the end of the test.
func newRig(tb testing.TB, engines ...simulation.EngineSettings) *rig {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{C: qt.New(tb), proxy: New(ctx, testSettings(testZones), zap.NewNop())}
	r.proxy.lifecycle.Open()
	r.streamStarted = make(chan struct{}, 10_000)
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.proxy.ServeHTTP(&streamStartWriter{ResponseWriter: w, started: r.streamStarted, onStart: r.onStreamStart}, q)
	}))
	r.client = &simulation.Client{Edge: r.server.Listener.Addr().String()}
	for _, s := range engines {
		r.engines = append(r.engines, simulation.StartEngine(tb, s))
	}
	tb.Cleanup(func() {
		cancel()
		r.server.Close()
		r.proxy.background.Wait()
		r.proxy.pool.Close()
	})
	r.list(r.engines...)
	return r
}

// listEntry returns the endpoint list entry of an engine.
func listEntry(e *simulation.Engine) distribution.Backend {
	s := e.Settings()
	return distribution.Backend{
		ID:       e.ID(),
		Service:  s.Service,
		Address:  e.Address(),
		Zone:     s.Zone,
		Version:  "v1",
		Capacity: s.Capacity,
		Phase:    string(s.Phase),
	}
}

// list applies an endpoint list with these engines to the proxy.
func (r *rig) list(engines ...*simulation.Engine) {
	var all []distribution.Backend
	for _, e := range engines {
		all = append(all, listEntry(e))
	}
	r.relist(all)
}

// relist applies an endpoint list to the proxy.
func (r *rig) relist(all []distribution.Backend) {
	r.listed = all
	snapshot, err := (&distribution.BackendList{Backends: all}).MarshalMsg(nil)
	r.Assert(err, qt.IsNil)
	r.listVersion++
	applyResource(r.proxy, distribution.BackendListType, r.listVersion, snapshot)
}

// document returns the next configuration, in which the tenant is restricted to the regions; nil: there is no tenant.
func (r *rig) document(regions ...string) []byte {
	r.version++
	tenant, tenants := "", ""
	if regions != nil {
		b, _ := json.Marshal(regions)
		tenant = `,"tenant":"held"`
		tenants = `,"tenants":[{"name":"held","regions":` + string(b) + `}]`
	}
	route := func(name, kind, svc, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h","pfx":"/%s/","kind":%q,"deadline_ms":%d,`+
			`"target_ms":150,"svc":%q,"tries":3,"pin":true%s}`,
			name, name, kind, testDeadline.Milliseconds(), svc, more)
	}
	routes := strings.Join([]string{
		route("held", "stream", "llm", `,"resumable":true`+tenant),
		route("once", "stream", "llm", tenant),
		route("read", "readonly", "obs", tenant),
		route("post", "mutating", "obs", tenant),
		route("free", "stream", "llm", `,"resumable":true`),
		route("freeonce", "stream", "llm", ""),
		route("freeread", "readonly", "obs", ""),
	}, ",")
	const services = `{"name":"llm","probe":"/healthz","runtime":{"capacity":8,"kv_ntok":1000000,` +
		`"kv_tok_bytes":163840,"bw_mbps":8000000,"kv_ref_s":5}},{"name":"obs","probe":"/healthz"}`
	return fmt.Appendf(nil, `{"ver":%d,"routing":[%s],"svcs":[%s]%s}`, r.version, routes, services, tenants)
}

// configure applies a configuration to the proxy in which the tenant is restricted to the regions; nil: there is no
// tenant.
func (r *rig) configure(regions ...string) {
	doc := r.document(regions...)
	applyResource(r.proxy, distribution.ConfigType, uint64(r.version), doc)
	r.Assert(r.proxy.snapshot.Load().version, qt.Equals, int64(r.version))
	r.termsHistory = append(r.termsHistory, simulation.Term{From: time.Now(), Regions: regions})
}

// routeRequest returns a request to a route; prompts of the same family share a prefix.
func routeRequest(route string, family, own int, tokens [2]int) simulation.Request {
	q := simulation.Request{
		Host:     "h",
		Path:     "/" + route + "/x",
		Body:     []byte("data of " + route),
		Kind:     simulation.ReadOnly,
		Deadline: testDeadline,
	}
	switch route {
	case "held", "free":
		q.Kind, q.Resumable = simulation.Stream, true
	case "once", "freeonce":
		q.Kind = simulation.Stream
	case "post":
		q.Kind = simulation.Mutating
	}
	if q.Kind == simulation.Stream {
		q.Model = "m"
		q.Tokens = tokens
		q.Parts = []simulation.Part{
			{ID: fmt.Sprintf("fa%04x", family), Tokens: tokens[0] - 16},
			{ID: fmt.Sprintf("%08x", own), Tokens: 16},
		}
	}
	return q
}

// burst sends n requests to each route at once, and returns their results when all have ended.
func (r *rig) burst(n int, tokens [2]int, routes ...string) []simulation.Result {
	var wg sync.WaitGroup
	out := make([]simulation.Result, n*len(routes))
	for k, route := range routes {
		for i := range n {
			wg.Go(func() { out[k*n+i] = r.client.Do(r.Context(), routeRequest(route, i%5, k*n+i, tokens)) })
		}
	}
	wg.Wait()
	return out
}

// Context returns the context for requests, which are bounded by their deadlines.
func (r *rig) Context() context.Context { return context.Background() }

// termsOf returns the terms of a request over the whole history.
func (r *rig) termsOf(of simulation.Result) []simulation.Term {
	if strings.HasPrefix(of.Path, "/free") {
		return nil
	}
	return r.termsHistory
}

// closeAndCheck stops the proxy and checks the recorded events: no data outside the terms, and one response per
// request, within its deadline. It returns the cached prefixes that remain at the engines.
func (r *rig) closeAndCheck() []simulation.Residence {
	r.Helper()
	r.server.Close() // waits for the requests; the next line waits for the release of their handles
	r.proxy.background.Wait()
	j := &simulation.Judge{Engines: r.engines, Clients: []*simulation.Client{r.client}}
	leaked, lingering := j.Leaks(r.termsOf, withdrawalSlack)
	for _, one := range leaked {
		last := r.termsHistory[len(r.termsHistory)-1].From
		r.Errorf("leaked: %v, from %v to %v after the last terms", one, one.From.Sub(last), one.Until.Sub(last))
	}
	r.Check(j.Findings(), qt.HasLen, 0)
	for _, res := range r.client.Results() {
		took := res.EndedAt.Sub(res.SentAt)
		r.Check(took <= testDeadline, qt.IsTrue, qt.Commentf("%s took %v", res.Path, took))
		r.Check(res.Status, qt.Not(qt.Equals), 0, qt.Commentf("%s: %v", res.Path, res.Err))
		if res.Status == 503 {
			r.Check(res.RetryAfter > 0, qt.IsTrue)
		}
	}
	return lingering
}

// countByStatus counts results by status; 0: aborted.
func countByStatus(all []simulation.Result) map[int]int {
	out := map[int]int{}
	for _, res := range all {
		if res.Status == 200 && !res.OK() {
			out[0]++
		} else {
			out[res.Status]++
		}
	}
	return out
}

// engineAt returns the settings of an engine of the service llm in a zone, for capacity concurrent requests.
func engineAt(zone string, phase simulation.Phase, capacity int) simulation.EngineSettings {
	return simulation.EngineSettings{
		Service:   "llm",
		Zone:      zone,
		Region:    testZones[zone],
		Phase:     phase,
		Capacity:  capacity,
		Queue:     4,
		HandleTTL: time.Minute,
	}
}

// enginesInAllRegions returns a prefill, a decode and a plain backend in each region, each modified by change if it is
// not nil.
func enginesInAllRegions(change func(s *simulation.EngineSettings)) (all []simulation.EngineSettings) {
	phases := []simulation.Phase{simulation.PhasePrefill, simulation.PhaseDecode, simulation.PhaseNone}
	for _, zone := range []string{"e1", "m1", "w1"} {
		for _, phase := range phases {
			s := engineAt(zone, phase, 8)
			if phase == simulation.PhaseNone {
				s.Service = "obs"
			}
			if change != nil {
				change(&s)
			}
			all = append(all, s)
		}
	}
	return all
}

// enginesIn returns the engines in a region.
func (r *rig) enginesIn(region string) (out []*simulation.Engine) {
	for _, e := range r.engines {
		if e.Settings().Region == region {
			out = append(out, e)
		}
	}
	return out
}

// runsOutside counts the requests and prefills that ran outside the regions.
func (r *rig) runsOutside(regions ...string) int {
	n := 0
	for _, e := range r.engines {
		for _, en := range e.Log.Entries() {
			inside := false
			for _, one := range regions {
				inside = inside || one == en.Region
			}
			if en.Ran && !inside {
				n++
			}
		}
	}
	return n
}
