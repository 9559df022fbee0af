package proxy

import (
	"context"
	"fmt"
	"maps"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/simulation"
)

var restrictedRoutes = []string{"held", "once", "read", "post"}

// TestResidencySteady serves a tenant inside its regions while unrestricted requests go anywhere, and checks the
// residency log.
func TestResidencySteady(t *testing.T) {
	r := newRig(t, enginesInAllRegions(nil)...)
	r.configure("east", "mid")
	got := r.burst(12, [2]int{600, 4}, append(restrictedRoutes, "free", "freeread")...)
	r.Assert(countByStatus(got)[200] >= len(got)*3/4, qt.IsTrue, qt.Commentf("%v", countByStatus(got)))
	r.closeAndCheck()

	tracker := r.proxy.residency
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	r.Assert(tracker.sends, qt.HasLen, 0)
	var prefills, decodes, plains int64
	for key, entry := range tracker.history.entries {
		r.Check(pairSubject(key), qt.Equals, `tenant "held"`)
		r.Check(key.Region == "east" || key.Region == "mid", qt.IsTrue, qt.Commentf("%v", key))
		r.Check(entry.first.IsZero() || entry.last.Before(entry.first), qt.IsFalse)
		prefills += entry.counts[purposePrefill]
		decodes += entry.counts[purposeDecode]
		plains += entry.counts[purposePlain]
	}
	counts := qt.Commentf("%d prefills, %d decodes, %d plain", prefills, decodes, plains)
	r.Check(decodes > 0 && plains > 0, qt.IsTrue, counts)
}

// TestResidencyUnderFaults injects faults into the proxy's own region, or all allowed ones, with terms and without:
// with them no data is held outside; without them requests spill over to other regions under the same faults.
func TestResidencyUnderFaults(t *testing.T) {
	faults := map[string]func(r *rig){
		"local crashes": func(r *rig) { crash(r.enginesIn("east")) },
		"allowed crash": func(r *rig) {
			crash(r.enginesIn("east"))
			crash(r.enginesIn("mid"))
		},
		"local garbles":       func(r *rig) { setFaults(r.enginesIn("east"), simulation.Faults{Garble: true}) },
		"local loses answers": func(r *rig) { setFaults(r.enginesIn("east"), simulation.Faults{LoseAnswer: true}) },
		"local cuts streams":  func(r *rig) { setFaults(r.enginesIn("east"), simulation.Faults{CutAfter: 2}) },
		"local fails":         func(r *rig) { setFaults(r.enginesIn("east"), simulation.Faults{Fail: 500}) },
		"local rejects":       func(r *rig) { setFaults(r.enginesIn("east"), simulation.Faults{Refuse: true}) },
		"allowed reject": func(r *rig) {
			setFaults(r.enginesIn("east"), simulation.Faults{Refuse: true})
			setFaults(r.enginesIn("mid"), simulation.Faults{Refuse: true})
		},
		"handles expire": func(r *rig) {
			for _, e := range r.engines {
				e.ExpireHandles()
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, enginesInAllRegions(nil)...)
			r.configure("east", "mid")
			first := r.burst(4, [2]int{400, 4}, restrictedRoutes...)
			done := make(chan []simulation.Result)
			go func() { done <- r.burst(12, [2]int{400, 12}, append(restrictedRoutes, "free")...) }()
			inject(r)
			got := append(first, <-done...)
			got = append(got, r.burst(8, [2]int{400, 4}, restrictedRoutes...)...)
			t.Logf("answers: %v", countByStatus(got))
			r.closeAndCheck()
		})
		t.Run(name+", no terms", func(t *testing.T) {
			r := newRig(t, enginesInAllRegions(nil)...)
			r.configure()
			done := make(chan []simulation.Result)
			go func() { done <- r.burst(12, [2]int{400, 12}, restrictedRoutes...) }()
			inject(r)
			<-done
			got := r.burst(8, [2]int{400, 4}, restrictedRoutes...)
			t.Logf("answers: %v, %d outside", countByStatus(got), r.runsOutside("east", "mid"))
			r.Assert(r.runsOutside("east", "mid") > 0, qt.IsTrue)
		})
	}
}

// crash stops engines abruptly.
func crash(all []*simulation.Engine) {
	for _, e := range all {
		e.Crash()
	}
}

// setFaults sets the faults of engines.
func setFaults(all []*simulation.Engine, f simulation.Faults) {
	for _, e := range all {
		e.SetFaults(f)
	}
}

// TestResidencyOverload sends several times the capacity of the allowed region: the excess is rejected at once, and
// nothing goes outside although the other regions are idle.
func TestResidencyOverload(t *testing.T) {
	small := func(s *simulation.EngineSettings) {
		s.Capacity = 2
		s.Queue = 1
		s.Step = 20 * time.Millisecond
	}
	r := newRig(t, enginesInAllRegions(small)...)
	r.configure("east")
	got := r.burst(40, [2]int{400, 8}, "held", "once", "read", "post")
	by := countByStatus(got)
	t.Logf("answers: %v", by)
	r.Assert(by[200] > 0 && by[503] > 0, qt.IsTrue, qt.Commentf("%v", by))
	r.closeAndCheck()
	r.Assert(r.runsOutside("east"), qt.Equals, 0)

	free := newRig(t, enginesInAllRegions(small)...)
	free.configure()
	free.burst(40, [2]int{400, 8}, "held", "once", "read", "post")
	r.Assert(free.runsOutside("east") > 0, qt.IsTrue)
}

// TestResidencyWithdrawn withdraws a region during streams there and while KV handles are pending there.
func TestResidencyWithdrawn(t *testing.T) {
	r := newRig(t, enginesInAllRegions(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.configure("east")
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(3, [2]int{400, 100}, "held", "once") }()
	r.awaitStreamStarts(6)
	r.configure("mid")
	got := <-done
	resumed := 0
	for _, res := range got {
		if res.Path == "/held/x" {
			r.Check(res.OK(), qt.IsTrue, qt.Commentf("%d %v", res.Status, res.Err))
			if n := len(res.Events); n > 0 && res.Events[0].Seal != res.Events[n-1].Seal {
				resumed++
			}
		} else {
			r.Check(cutOff(res), qt.IsTrue, qt.Commentf("%d", res.Status)) // not resumable
		}
	}
	r.Check(resumed, qt.Equals, 3)
	got = r.burst(8, [2]int{400, 4}, restrictedRoutes...)
	r.Check(countByStatus(got)[200] > 0, qt.IsTrue, qt.Commentf("%v", countByStatus(got)))
	lingering := r.closeAndCheck()
	t.Logf("%d cached prefixes are left", len(lingering))
}

// TestResidencyWithdrawnBetweenReads withdraws a region while the proxy relays an event and the next one does not
// arrive: the attempt is still cancelled long before its deadline, and the stream is resumed inside the terms.
func TestResidencyWithdrawnBetweenReads(t *testing.T) {
	r := newRig(t, enginesInAllRegions(nil)...)
	r.configure("east")
	setFaults(r.enginesIn("east"), simulation.Faults{StallAfter: 1})
	r.onStreamStart = sync.OnceFunc(func() {
		r.configure("mid")
		for range 1000 {
			runtime.Gosched() // lets the concurrent cancellation happen before the next read
		}
	})
	got := r.burst(1, [2]int{400, 5}, "held")
	r.Check(got[0].OK(), qt.IsTrue, qt.Commentf("%d %v", got[0].Status, got[0].Err))
	r.closeAndCheck()
}

// cutOff reports whether a response cannot be mistaken for a complete one: it was aborted, or rejected before its first
// event with a status that does not imply that the request has not run.
func cutOff(res simulation.Result) bool {
	return res.Status == 502 || res.Status == 200 && !res.Complete
}

// TestResidencyTermsAppear adds terms to a route while its streams run outside them: they are resumed inside at their
// next event.
func TestResidencyTermsAppear(t *testing.T) {
	r := newRig(t, enginesInAllRegions(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.list(r.enginesIn("west")...)
	r.configure()
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(3, [2]int{400, 100}, "held") }()
	r.awaitStreamStarts(3)
	r.list(r.engines...)
	r.configure("east")
	for _, res := range <-done {
		r.Check(res.OK(), qt.IsTrue, qt.Commentf("%d %v", res.Status, res.Err)) // resumed inside
	}
	r.closeAndCheck()
}

// TestResidencyHandleWithdrawn withdraws the region in which a KV cache waits for a decode backend that is full: its
// handle is released.
func TestResidencyHandleWithdrawn(t *testing.T) {
	r := newRig(t, engineAt("e1", simulation.PhasePrefill, 1), engineAt("m1", simulation.PhaseDecode, 1))
	prefill, decode := r.engines[0], r.engines[1]
	r.configure("east", "mid")
	release := decode.Hold()
	defer release()
	done := make(chan []simulation.Result, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 2*testDeadline)
	defer cancel()
	// A request without terms fills the backend; the tenant's waits behind it, while its KV cache is still at the
	// prefill backend. Neither is retryable, so that the response header is awaited until the deadline.
	for _, one := range []struct {
		route            string
		running, waiting int
	}{{"freeonce", 1, 0}, {"once", 1, 1}} {
		go func() { done <- r.burst(1, [2]int{4000, 4}, one.route) }()
		_, err := decode.Log.Wait(ctx, func([]simulation.Entry) bool {
			running, waiting := decode.Load()
			return running == one.running && waiting == one.waiting
		})
		r.Assert(err, qt.IsNil)
	}
	r.Assert(prefill.Handles(), qt.Equals, 1)
	r.configure("mid")
	_, err := prefill.Log.Wait(ctx, func([]simulation.Entry) bool { return prefill.Handles() == 0 })
	r.Assert(err, qt.IsNil)
	release()
	<-done
	<-done
	r.closeAndCheck()
}

// TestResidencyDecoders has KV caches transferred to another region of the tenant, with idle decode backends outside.
func TestResidencyDecoders(t *testing.T) {
	r := newRig(t,
		engineAt("e1", simulation.PhasePrefill, 8),
		engineAt("m1", simulation.PhaseDecode, 8),
		engineAt("w1", simulation.PhaseDecode, 8),
		engineAt("w2", simulation.PhaseDecode, 8))
	r.configure("east", "mid")
	for range 4 {
		r.burst(4, [2]int{4000, 4}, "held", "once")
	}
	moved := 0
	for _, en := range r.engines[1].Log.Entries() {
		moved += en.TransferredTokens
	}
	r.Assert(moved > 0, qt.IsTrue)
	r.closeAndCheck()
}

// TestResidencyResumes cuts every stream halfway: streams are resumed at the other backend in the tenant's regions,
// although more backends are idle outside.
func TestResidencyResumes(t *testing.T) {
	at := func(zone string) simulation.EngineSettings {
		return simulation.EngineSettings{
			Service:  "llm",
			Zone:     zone,
			Region:   testZones[zone],
			Phase:    simulation.PhaseDecode,
			Capacity: 64,
		}
	}
	r := newRig(t, at("e1"), at("m1"), at("w1"), at("w2"), at("w2"))
	setFaults(r.engines[:2], simulation.Faults{CutAfter: 2})
	r.configure("east", "mid")
	for i := range 24 {
		q := routeRequest("held", i, i, [2]int{400, 4})
		r.Check(r.client.Do(r.Context(), q).OK(), qt.IsTrue)
	}
	resumed := 0
	for _, e := range r.engines[:2] {
		for _, en := range e.Log.Entries() {
			if en.FirstEvent > 1 {
				resumed++
			}
		}
	}
	r.Check(resumed, qt.Equals, 24)
	r.closeAndCheck()
}

// TestResidencyUnknownZone: requests with terms are rejected if the region of a backend is unknown.
func TestResidencyUnknownZone(t *testing.T) {
	r := newRig(t, enginesInAllRegions(func(s *simulation.EngineSettings) { s.Zone = "x-" + s.Zone })...)
	r.configure("east", "mid", "west")
	for _, res := range r.burst(3, [2]int{400, 4}, restrictedRoutes...) {
		r.Check(res.Status, qt.Equals, 503)
		r.Check(string(res.AnswerBody), qt.Contains, "of no known region: ")
		r.Check(res.EndedAt.Sub(res.SentAt) < testDeadline, qt.IsTrue)
	}
	r.Check(countByStatus(r.burst(3, [2]int{400, 4}, "free", "freeread")), qt.DeepEquals, map[int]int{200: 6})
	for _, e := range r.engines {
		for _, en := range e.Log.Entries() {
			r.Check(string(en.Body), qt.Contains, "data of free")
		}
	}
}

// TestResidencyRelisted corrects the region of a backend in the endpoint list while a stream runs there.
func TestResidencyRelisted(t *testing.T) {
	r := newRig(t, enginesInAllRegions(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.configure("east")
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(2, [2]int{400, 100}, "once") }()
	r.awaitStreamStarts(2)
	list := append([]distribution.Backend{}, r.listed...)
	for i := range list {
		if list[i].Zone == "e1" {
			list[i].Zone = "w1" // its actual zone
		}
	}
	r.relist(list)
	for _, res := range <-done {
		r.Check(cutOff(res), qt.IsTrue, qt.Commentf("%d", res.Status))
	}
	for _, res := range r.burst(2, [2]int{400, 4}, restrictedRoutes...) {
		r.Check(res.Status, qt.Equals, 503)
	}
}

// TestResidencyAddressReused sends to an address that now belongs to a backend of another region, while the endpoint
// list is out of date: bytes reach that backend, but it holds no data.
func TestResidencyAddressReused(t *testing.T) {
	at := func(zone string, phase simulation.Phase, address string) simulation.EngineSettings {
		return simulation.EngineSettings{
			Service: "llm",
			Zone:    zone,
			Region:  testZones[zone],
			Phase:   phase,
			Address: address,
		}
	}
	r := newRig(t, at("e1", simulation.PhasePrefill, ""), at("e1", simulation.PhaseDecode, ""))
	r.configure("east")
	for _, e := range r.engines[:2] {
		e.Crash()
		s := at("w1", e.Settings().Phase, e.Address())
		r.engines = append(r.engines, simulation.StartEngine(t, s))
	}
	got := r.burst(6, [2]int{400, 4}, "held", "once")
	r.Check(countByStatus(got), qt.DeepEquals, map[int]int{503: 12})
	r.Check(r.runsOutside("east"), qt.Equals, 0)
	misdirected := 0
	for _, e := range r.engines[2:] {
		for _, en := range e.Log.Entries() {
			if en.Status == 421 {
				misdirected++
			}
		}
	}
	r.Check(misdirected > 0, qt.IsTrue)
	r.closeAndCheck()
}

// TestResidencyThroughNodeAgent delivers terms to a proxy as in production: the proxy pulls them from its node agent.
func TestResidencyThroughNodeAgent(t *testing.T) {
	r := newRig(t, enginesInAllRegions(nil)...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	defer ln.Close()
	store := distribution.NewCache()
	go distribution.Serve(ctx, ln, "node-agent", store, time.Minute, store.LastContact)
	port := ln.Addr().(*net.TCPAddr).Port
	set := testSettings(testZones)
	set.Ports = [2]int{port - 2, port}
	set.Heartbeat = 50 * time.Millisecond
	p := New(ctx, set, zap.NewNop())
	defer p.pool.Close()
	list, err := (&distribution.BackendList{Backends: r.listed}).MarshalMsg(nil)
	r.Assert(err, qt.IsNil)
	store.SetSnapshot(distribution.BackendListType, distribution.Version{Epoch: 1, Count: 1}, list)
	store.SetSnapshot(distribution.ConfigType, distribution.Version{Epoch: 1, Count: 1}, r.document("east"))
	ended, applied := make(chan error, 1), make(chan struct{}, 8)
	watcher := &distribution.Watcher{
		Name:        "edge-1",
		MaxWait:     time.Second,
		ReadTimeout: testTimeout,
		Members:     func() []distribution.Member { return nil },
		Versions:    func() map[string]distribution.Version { return maps.Clone(p.versions) },
		Apply: func(response *distribution.Response) []string {
			p.apply(response, time.Now())
			select {
			case applied <- struct{}{}:
			case <-ctx.Done(): // no receiver any more; pulls are answered at once until the connection is closed
			}
			return nil
		},
	}
	go func() { ended <- distribution.Watch(ctx, distribution.NodeAgentAddr(set.Ports), watcher) }()
	awaits := func(terms residency.Terms) {
		for {
			select {
			case <-applied:
				if s := p.snapshot.Load(); s != nil && s.termsByTenant["held"].Equal(terms) {
					return
				}
			case err := <-ended:
				t.Fatal("the node agent connection ended: ", err)
			case <-ctx.Done():
				t.Fatal("the terms were not applied in time")
			}
		}
	}
	awaits(residency.Within("east"))
	body := fmt.Sprintf(`{"ver":%d,"upsert":{"tenants":[{"name":"held","regions":["mid"]}]}}`, r.version+1)
	base := distribution.Version{Epoch: 1, Count: 1}
	next := distribution.Version{Epoch: 1, Count: 2}
	change := distribution.Change{Version: next, Body: []byte(body)}
	r.Assert(store.AppendChange(distribution.ConfigType, base, next, change, nil), qt.IsTrue)
	awaits(residency.Within("mid"))
	cancel()
	<-ended
}
