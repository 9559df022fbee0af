package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// TestAllRequestKindsWithoutFaults sends requests of all kinds to a fleet without faults.
func TestAllRequestKindsWithoutFaults(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	for i, cl := range f.clients {
		for range 4 {
			f.checkServed(cl.Do(f.ctx, lookup()), f.edge[i].settings.Node)
			f.checkServed(cl.Do(f.ctx, report()), f.edge[i].settings.Node)
			f.checkServed(cl.Do(f.ctx, hazard()), f.edge[i].settings.Node)
		}
		// A prompt takes a prefill backend 160 ms and a decode backend twice that; the latency target is 200 ms.
		for range 3 {
			f.checkServed(cl.Do(f.ctx, bulletin(40_000, 3)), f.edge[i].settings.Node)
		}
	}
	// Each prompt was prefilled completely at one backend, and its tokens were generated once.
	apart, asked := 0, map[string]simulation.Result{}
	for _, cl := range f.clients {
		for _, r := range cl.Results() {
			if r.Kind == simulation.Stream {
				asked[r.Attempt] = r
			}
		}
	}
	runs := map[string]int{}
	for _, e := range f.decode {
		for _, en := range e.Log.Entries() {
			r, ok := asked[en.Attempt]
			if !ok || en.Kind != simulation.KindRequest {
				continue
			}
			runs[en.Attempt]++
			if en.KVFrom != "" {
				apart++
				f.Check(en.HandleOwner, qt.Equals, en.Attempt)
				f.Check(en.PrefillTokens, qt.Equals, 0)
				f.Check(en.TransferredTokens, qt.Equals, r.Tokens[0])
			} else {
				f.Check(en.PrefillTokens+en.CachedTokens, qt.Equals, r.Tokens[0])
			}
		}
	}
	for attempt, r := range asked {
		f.Check(runs[attempt], qt.Equals, 1, qt.Commentf("%s: %v", r.Path, f.attemptsOf(attempt)))
	}
	f.Check(apart > 0, qt.IsTrue, qt.Commentf("no prompt was read apart"))
	t.Logf("%d of %d prompts were read apart", apart, len(asked))
	f.eventually(testTimeout, "no handle is left", func() bool {
		return !slices.ContainsFunc(f.prefill, func(e *simulation.Engine) bool { return e.Handles() > 0 })
	})
	f.checkRules()
}

// TestBackendFaults sends requests to backends that crash before, in and after the head of an answer, that send
// garbage, or more than one answer. Its assertions need three decode backends, one of which the core would order to
// prefill: the backends send no load reports, so that there are no orders.
func TestBackendFaults(t *testing.T) {
	p := &faultTest{fleet: newFleet(t, fleetOptions{
		decode:   3,
		plain:    3,
		noReport: true,
		bounds:   map[string]any{"retry_extra": 400},
	})}
	for _, tc := range []struct {
		name  string
		fault simulation.Faults
	}{
		{"no connection", simulation.Faults{Refuse: true}}, // must be first: open connections keep working
		{"before the head", simulation.Faults{LoseAnswer: true}},
		{"in the head", simulation.Faults{Garble: true}},
		{"after the head", simulation.Faults{CutAfter: 2}},
		{"failure", simulation.Faults{Fail: 500}},
	} {
		p.failingBackends(tc.name, tc.fault)
	}
	p.unresponsiveBackends()
	p.failingPrefill()
	p.surplusAnswers()
	p.replacedBackends()
	p.fullBackends()
	p.Check(p.orders(), qt.HasLen, 0)
	p.checkRules()
}

// faultTest is a fleet whose backends get faults, with a count of the requests, which are sent to its proxies in turn.
type faultTest struct {
	*fleet
	sent int
}

func (p *faultTest) setFaults(engines []*simulation.Engine, fault simulation.Faults) {
	for _, e := range engines {
		e.SetFaults(fault)
	}
}

func (p *faultTest) do(r simulation.Request) simulation.Result {
	p.sent++
	return p.clients[p.sent%len(p.clients)].Do(p.ctx, r)
}

// failingBackends sends requests while all backends have a fault, and then while one of three has none.
func (p *faultTest) failingBackends(name string, fault simulation.Faults) {
	// If no backend is healthy, a request that may run once ends without a definite result, or is rejected and never
	// runs.
	p.setFaults(p.plain, fault)
	p.setFaults(p.decode, fault)
	for range 4 {
		r := p.do(report())
		p.Check(r.Status/100 == 5, qt.IsTrue, qt.Commentf("%s: status %d %v", name, r.Status, r.Err))
		r = p.do(hazard())
		switch {
		case fault.CutAfter > 0:
			p.Check(r.Status, qt.Equals, http.StatusOK)
			p.Check(r.Complete, qt.IsFalse, qt.Commentf("%s: %d events", name, len(r.Events)))
			p.Check(r.Events, qt.HasLen, fault.CutAfter)
		default:
			p.Check(r.Status/100 == 5, qt.IsTrue, qt.Commentf("%s: status %d %v", name, r.Status, r.Err))
		}
	}
	if fault.CutAfter > 0 {
		// Three backends generate 2, 2 and 1 of its 5 events.
		r := p.do(bulletin(2000, 5))
		p.checkServed(r, name)
		seals := map[string]bool{}
		for _, ev := range r.Events {
			seals[ev.Seal] = true
		}
		p.Check(seals, qt.HasLen, 3)
	}
	// If one of three backends is healthy, a request that may run more than once is served.
	p.setFaults(p.plain[2:], simulation.Faults{})
	p.setFaults(p.decode[2:], simulation.Faults{})
	for range 6 {
		p.checkServed(p.do(lookup()), name)
		p.checkServed(p.do(bulletin(2000, 5)), name)
	}
	p.setFaults(p.engines(), simulation.Faults{})
}

// unresponsiveBackends: idempotent requests are retried at the healthy backend; for the others the proxy waits until
// their deadline.
func (p *faultTest) unresponsiveBackends() {
	for _, r := range p.whileUnresponsive(slices.Concat(p.decode[:2], p.plain[:2]), lookup(), lookup(), bulletin(2000, 3),
		bulletin(2000, 3)) {
		p.checkServed(r, "silent")
	}
	once := []simulation.Request{report(), hazard()}
	for i := range once {
		once[i].Deadline = 800 * time.Millisecond
	}
	for _, r := range p.whileUnresponsive(slices.Concat(p.decode, p.plain), once...) {
		p.Check(r.Status == 0 || r.Status == http.StatusGatewayTimeout, qt.IsTrue,
			qt.Commentf("%s: status %d", r.Path, r.Status))
		p.Check(r.EndedAt.Sub(r.SentAt) > r.Deadline*3/4, qt.IsTrue,
			qt.Commentf("%s: ended after %v", r.Path, r.EndedAt.Sub(r.SentAt)))
	}
}

// whileUnresponsive concurrently sends requests while some backends don't answer, and returns the results in the order
// of the requests.
func (p *faultTest) whileUnresponsive(es []*simulation.Engine, rs ...simulation.Request) (out []simulation.Result) {
	p.setFaults(es, simulation.Faults{Unresponsive: true})
	var open []<-chan simulation.Result
	for i, r := range rs {
		open = append(open, p.doAsync(i%len(p.clients), r))
	}
	for _, ch := range open {
		out = append(out, <-ch)
	}
	p.setFaults(p.engines(), simulation.Faults{})
	return out
}

// failingPrefill: if a prefill backend fails, the prompt is served nevertheless.
func (p *faultTest) failingPrefill() {
	for _, fault := range []simulation.Faults{{LoseAnswer: true}, {Garble: true}, {Fail: 500}, {Refuse: true}} {
		p.setFaults(p.prefill, fault)
		p.checkServed(p.do(bulletin(40_000, 3)), "prefill")
	}
	p.setFaults(p.prefill, simulation.Faults{})
}

// surplusAnswers: a surplus answer is never taken for the answer to the next request on the same connection.
func (p *faultTest) surplusAnswers() {
	p.setFaults(p.engines(), simulation.Faults{Extra: true})
	for range 10 {
		for _, r := range []simulation.Request{lookup(), report(), hazard(), bulletin(2000, 3)} {
			res := p.do(r)
			if r.Idempotent() {
				p.checkServed(res, "answers twice")
			} else if !res.OK() {
				p.Check(res.Status/100 == 5, qt.IsTrue, qt.Commentf("answers twice: status %d %v", res.Status, res.Err))
			}
		}
	}
	p.setFaults(p.engines(), simulation.Faults{})
}

// replacedBackends: another backend at the address of a listed one, of the same service or another, doesn't run
// requests meant for the listed one. When it rejects one, also a request that may run once is retried elsewhere.
func (p *faultTest) replacedBackends() {
	p.decode[0].Restart(p)
	gone := p.plain[0]
	gone.Crash()
	p.others = append(p.others, simulation.StartEngine(p, simulation.EngineSettings{
		Service: "other",
		Address: gone.Address(),
	}))
	for range 8 {
		for _, r := range []simulation.Request{lookup(), report(), hazard(), bulletin(2000, 3)} {
			p.checkServed(p.do(r), "another at its address")
		}
	}
	p.Check(startedRuns(p.others), qt.Equals, 0)
	p.platform.Remove(gone)
	p.plain, p.others = p.plain[1:], append(p.others, gone)
}

// fullBackends: while other requests occupy all slots of the backends, a request is rejected with a Retry-After and
// never runs.
func (p *faultTest) fullBackends() {
	full := slices.Concat(p.decode, p.plain)
	var held []<-chan simulation.Result
	var releases []func()
	others := len(p.clients)
	for _, e := range full {
		p.clients = append(p.clients, &simulation.Client{Edge: e.Address()})
		releases = append(releases, e.Hold())
		r := lookup()
		if e.Settings().Phase != simulation.PhaseNone {
			r = bulletin(100, 1)
		}
		r.Deadline = testTimeout // so that it occupies its slot until release
		for range e.Settings().Capacity {
			held = append(held, p.doAsync(len(p.clients)-1, r))
		}
		p.eventually(testTimeout, "a backend is full", func() bool { n, _ := e.Load(); return n == e.Settings().Capacity })
	}
	for i := range others {
		for _, r := range []simulation.Request{report(), hazard(), lookup(), bulletin(2000, 2)} {
			res := p.clients[i].Do(p.ctx, r)
			p.Check(res.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s: %v", r.Path, res.Err))
			p.Check(res.RetryAfter > 0, qt.IsTrue)
			p.Check(res.EndedAt.Sub(res.SentAt) < time.Second, qt.IsTrue,
				qt.Commentf("refused after %v", res.EndedAt.Sub(res.SentAt)))
		}
	}
	for _, release := range releases {
		release()
	}
	for _, ch := range held {
		p.checkServed(<-ch, "held")
	}
}

// TestPhaseOrder starts with one decode backend too many: the core orders it to prefill, and all requests are served
// meanwhile.
func TestPhaseOrder(t *testing.T) {
	f := newFleet(t, fleetOptions{decode: 4})
	load := f.traffic([]int{0, 1})
	reads := func() (n int) {
		for _, e := range f.decode {
			if e.Phase() == simulation.PhasePrefill {
				n++
			}
		}
		return n
	}
	// An order that the backups could not confirm is not sent; it is decided again once its announcement has expired.
	f.eventually(2*testTimeout, "one reads prompts instead", func() bool { return reads() == 1 })
	load.awaitMore(16, 0, 1)
	load.stop()
	// Late load reports may cause further orders, as a backend that doesn't report counts as lost. No fencing token is
	// ever too low.
	orders := f.orders()
	f.Assert(len(orders) > 0, qt.IsTrue)
	slices.SortFunc(orders, func(a, b simulation.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	f.Check(orders[0].Status, qt.Equals, http.StatusAccepted)
	f.Check(orders[0].Phase, qt.Equals, simulation.PhaseDecode)
	for _, o := range orders {
		f.Check(o.Status, qt.Not(qt.Equals), http.StatusPreconditionFailed, qt.Commentf("fence %d", o.Gen))
	}
	f.checkRules()
}

// TestProxyShutdown sends SIGTERM to a proxy with requests in flight.
func TestProxyShutdown(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"grace_s": 3}})
	m, cl := f.edge[0], f.clients[0]
	f.checkServed(cl.Do(f.ctx, lookup()), "before") // its connection stays open
	var releases []func()
	for _, e := range slices.Concat(f.decode, f.plain) {
		releases = append(releases, e.Hold())
	}
	was := startedRuns(f.engines())
	var open []<-chan simulation.Result
	for _, r := range []simulation.Request{hazard(), hazard(), report(), bulletin(1000, 3), lookup()} {
		open = append(open, f.doAsync(0, r))
	}
	f.eventually(testTimeout, "all have begun", func() bool { return startedRuns(f.engines()) >= was+len(open) })

	proxy := m.programs["proxy"]
	f.expectExit(proxy)
	proxy.Signal(syscall.SIGTERM)
	term := time.Now()
	f.awaitNotReady(m)
	f.Check(time.Since(term) < time.Second, qt.IsTrue, qt.Commentf("not ready %v after SIGTERM", time.Since(term)))
	for _, release := range releases {
		release()
	}
	for _, ch := range open {
		f.checkServed(<-ch, "under way at SIGTERM")
	}
	// Clients connect for as long as they are accepted. A request that was read completely is answered.
	var after atomic.Int64
	var late sync.WaitGroup
	for range 3 {
		cl := &simulation.Client{Edge: m.boot.Edge, KeepAlive: true}
		f.clients = append(f.clients, cl)
		late.Go(func() {
			for r := cl.Do(f.ctx, lookup()); r.OK(); r = cl.Do(f.ctx, lookup()) {
				after.Add(1)
			}
		})
	}
	code, err := proxy.Wait(f.withTimeout(testTimeout))
	took := time.Since(term)
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0)
	f.Check(took < f.bound("grace_s", time.Second), qt.IsTrue, qt.Commentf("ended after %v", took))
	late.Wait()
	t.Logf("%d served after SIGTERM; ended after %v", after.Load(), took)
	for _, cl := range f.clients[len(f.edge):] {
		for _, r := range cl.Results() {
			switch {
			case r.Status != 0:
				f.checkServed(r, "while it ends")
				f.Check(r.Closing, qt.IsTrue, qt.Commentf("the connection stays open"))
			case !strings.Contains(r.Err.Error(), "dial"):
				f.Check(f.attemptsOf(r.Attempt), qt.HasLen, 0, qt.Commentf("%v", r.Err))
				took := r.EndedAt.Sub(r.SentAt)
				f.Check(took <= f.bound("loss_slack_ms", time.Millisecond), qt.IsTrue, qt.Commentf("%v after %v", r.Err, took))
			}
		}
	}
	f.Check(after.Load() > 0, qt.IsTrue, qt.Commentf("nobody was let in after SIGTERM"))
	f.checkServed(f.clients[1].Do(f.ctx, lookup()), "the other one")
	f.checkRules()
}

// TestProxyShutdownUnderArrivals sends streams to a proxy that got SIGTERM for as long as it accepts connections. Each
// takes half a second, which the proxy has observed before. It completes every stream that it begins within its grace
// period. With a long grace period it begins all; with a short one it may reject some, before they reach a backend.
func TestProxyShutdownUnderArrivals(t *testing.T) {
	for _, grace := range []int{3, 8} {
		t.Run(fmt.Sprintf("grace %d s", grace), func(t *testing.T) { proxyShutdownUnderArrivals(t, grace) })
	}
}

func proxyShutdownUnderArrivals(t *testing.T, grace int) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"grace_s": grace}})
	proxy := f.edge[0].programs["proxy"]
	half := hazard()
	half.Tokens[1] = 250 // of 2 ms each
	f.checkServed(f.clients[0].Do(f.ctx, half), "before")
	f.expectExit(proxy)
	proxy.Signal(syscall.SIGTERM)
	term := time.Now()
	var come sync.WaitGroup
	for range 3 {
		cl := &simulation.Client{Edge: f.edge[0].boot.Edge, KeepAlive: true}
		f.clients = append(f.clients, cl)
		come.Go(func() {
			for ok := true; ok; {
				ok = cl.Do(f.ctx, half).OK()
			}
		})
	}
	code, err := proxy.Wait(f.withTimeout(testTimeout))
	took := time.Since(term)
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0)
	f.Check(took < f.bound("grace_s", time.Second), qt.IsTrue, qt.Commentf("ended after %v", took))
	come.Wait()
	for _, cl := range f.clients[len(f.edge):] {
		for _, r := range cl.Results() {
			ways := f.attemptsOf(r.Attempt)
			switch {
			case r.Status == http.StatusServiceUnavailable && grace == 3:
				f.Check(ways, qt.HasLen, 0)
				f.Check(r.RetryAfter > 0 && r.Closing, qt.IsTrue, qt.Commentf("%+v", r.Header))
			case r.Status != 0 || len(ways) > 0:
				f.checkServed(r, fmt.Sprintf("begun %v after SIGTERM", r.SentAt.Sub(term)))
			}
		}
	}
	f.checkRules()
}

// TestBackendDrain drains backends of both services: no request reaches them later than drain_ms after the list shows
// them as draining.
func TestBackendDrain(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"drain_ms": 2000}})
	load := f.traffic([]int{0, 1})
	load.awaitMore(16, 0, 1)
	leaving := []*simulation.Engine{f.decode[0], f.plain[0]}
	f.platform.Drain(leaving...)
	listed := time.Now().Add(f.delay)
	bound := listed.Add(f.bound("drain_ms", time.Millisecond))
	for i := range f.edge {
		f.eventually(testTimeout, "requests after the bound", func() bool { return load.endedSince(i, bound) >= 16 })
	}
	load.stop()
	for _, e := range leaving {
		last := time.Duration(0)
		for _, en := range e.Log.Entries() {
			if en.Kind != simulation.KindRequest && en.Kind != simulation.KindPrefill ||
				en.Status == http.StatusMisdirectedRequest {
				continue
			}
			last = max(last, en.At.Sub(listed))
			f.Check(en.At.After(bound), qt.IsFalse,
				qt.Commentf("%s came %v after the list showed it", en.Path, en.At.Sub(listed)))
		}
		t.Logf("the last request came %v after the list showed that %s drains", last, e.Settings().Service)
	}
	f.checkRules()
}

// TestNodeAgentKilled kills a node agent: its proxy keeps serving, and catches up when the agent is back.
func TestNodeAgentKilled(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	apply := f.bound("apply_ms", time.Millisecond)
	rep := f.applyAddRoute(2)
	for i := range f.edge {
		f.awaitInForce(i, 2, rep.At.Add(apply))
	}
	load := f.traffic([]int{0, 1}, addedRouteRequest(2)) // no proxy returns to an older version
	m := f.edge[0]
	m.kill("node-agent")
	rep = f.applyAddRoute(3)
	f.awaitInForce(1, 3, rep.At.Add(apply))
	load.awaitMore(20, 0, 1)
	f.Check(f.clients[0].Do(f.ctx, addedRouteRequest(3)).Status, qt.Equals, http.StatusNotFound)

	m.start("node-agent")
	back := time.Now()
	f.awaitInForce(0, 3, back.Add(f.bound("contact_ms", time.Millisecond)+apply))
	t.Logf("brought up to date %v after its node agent's return", time.Since(back))
	rep = f.applyAddRoute(6)
	for i := range f.edge {
		f.awaitInForce(i, 6, rep.At.Add(apply))
	}
	// Updates of the backend list arrive again as well.
	fresh := f.startPlain()
	f.platform.Add(fresh)
	f.eventually(testTimeout, "a new backend is sent to",
		func() bool { return startedRuns([]*simulation.Engine{fresh}) > 0 })
	load.stop()
	f.checkRules()
}

// TestUnresponsiveBackendIsDetected makes a decode backend unresponsive: each proxy may lose requests that run once to
// it, until the control plane has polled its load report in vain and notified all proxies.
func TestUnresponsiveBackendIsDetected(t *testing.T) {
	f := newFleet(t, fleetOptions{decode: 3})
	// While there are few backends, all proxies use the same ones for long answers.
	f.checkServed(f.clients[0].Do(f.ctx, hazard()), "before")
	asked := func(e *simulation.Engine) (n int) {
		for _, en := range e.Log.Entries() {
			if en.Kind == simulation.KindRequest {
				n++
			}
		}
		return n
	}
	silent := f.decode[slices.IndexFunc(f.decode, func(e *simulation.Engine) bool { return asked(e) > 0 })]
	silent.SetFaults(simulation.Faults{Unresponsive: true})
	began := time.Now()
	// Clients leave before their deadline, which tells a proxy nothing about the backend.
	r := hazard()
	r.Deadline = testTimeout
	row := 0
	f.eventually(testTimeout, "nothing is sent to the silent one", func() bool {
		for i := range f.clients {
			ctx, leave := context.WithTimeout(f.ctx, 600*time.Millisecond)
			if row++; !f.clients[i].Do(ctx, r).OK() {
				row = 0
			}
			leave()
		}
		return row >= 24
	})
	f.Logf("known everywhere after %v", time.Since(began))
	silent.SetFaults(simulation.Faults{})
	n := asked(silent)
	f.eventually(testTimeout, "it is sent to again", func() bool {
		for i := range f.clients {
			f.checkServed(f.clients[i].Do(f.ctx, hazard()), "after")
		}
		return asked(silent) > n
	})
	f.checkRules()
}
