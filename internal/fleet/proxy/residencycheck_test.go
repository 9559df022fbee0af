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

var allHeld = []string{"held", "once", "read", "post"}

// TestResidencySteady serves a tenant inside its regions while others go anywhere, and keeps the ledger of it.
func TestResidencySteady(t *testing.T) {
	r := newRig(t, everywhere(nil)...)
	r.configure("east", "mid")
	got := r.burst(12, [2]int{600, 4}, append(allHeld, "free", "freeread")...)
	r.Assert(answers(got)[200] >= len(got)*3/4, qt.IsTrue, qt.Commentf("%v", answers(got)))
	r.clean()

	e := r.proxy.residency
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Assert(e.sends, qt.HasLen, 0)
	var prefills, decodes, plains int64
	for key, rest := range e.history.entries {
		r.Check(pairSubject(key), qt.Equals, `tenant "held"`)
		r.Check(key.Region == "east" || key.Region == "mid", qt.IsTrue, qt.Commentf("%v", key))
		r.Check(rest.first.IsZero() || rest.last.Before(rest.first), qt.IsFalse)
		prefills += rest.counts[purposePrefill]
		decodes += rest.counts[purposeDecode]
		plains += rest.counts[purposePlain]
	}
	r.Check(decodes > 0 && plains > 0, qt.IsTrue, qt.Commentf("%d prefills, %d decodes, %d plain", prefills, decodes, plains))
}

// TestResidencyUnderFaults has the near region fail in every way at once, with terms and without: with them nothing rests outside;
// without them the same storm spills over.
func TestResidencyUnderFaults(t *testing.T) {
	storms := map[string]func(r *rig){
		"near region dies":   func(r *rig) { crash(r.in("east")) },
		"all inside die":     func(r *rig) { crash(r.in("east")); crash(r.in("mid")) },
		"near garbles":       func(r *rig) { trouble(r.in("east"), simulation.Faults{Garble: true}) },
		"near loses answers": func(r *rig) { trouble(r.in("east"), simulation.Faults{LoseAnswer: true}) },
		"near cuts streams":  func(r *rig) { trouble(r.in("east"), simulation.Faults{CutAfter: 2}) },
		"near fails":         func(r *rig) { trouble(r.in("east"), simulation.Faults{Fail: 500}) },
		"near refuses":       func(r *rig) { trouble(r.in("east"), simulation.Faults{Refuse: true}) },
		"inside refuse": func(r *rig) {
			trouble(r.in("east"), simulation.Faults{Refuse: true})
			trouble(r.in("mid"), simulation.Faults{Refuse: true})
		},
		"handles lapse": func(r *rig) {
			for _, e := range r.engines {
				e.HandlesLapse()
			}
		},
	}
	for name, storm := range storms {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, everywhere(nil)...)
			r.configure("east", "mid")
			first := r.burst(4, [2]int{400, 4}, allHeld...)
			done := make(chan []simulation.Result)
			go func() { done <- r.burst(12, [2]int{400, 12}, append(allHeld, "free")...) }()
			storm(r)
			got := append(first, <-done...)
			got = append(got, r.burst(8, [2]int{400, 4}, allHeld...)...)
			t.Logf("answers: %v", answers(got))
			r.clean()
		})
		t.Run(name+", no terms", func(t *testing.T) {
			r := newRig(t, everywhere(nil)...)
			r.configure()
			done := make(chan []simulation.Result)
			go func() { done <- r.burst(12, [2]int{400, 12}, allHeld...) }()
			storm(r)
			<-done
			got := r.burst(8, [2]int{400, 4}, allHeld...)
			t.Logf("answers: %v, %d outside", answers(got), r.outside("east", "mid"))
			r.Assert(r.outside("east", "mid") > 0, qt.IsTrue)
		})
	}
}

// crash ends engines at once.
func crash(all []*simulation.Engine) {
	for _, e := range all {
		e.Crash()
	}
}

func trouble(all []*simulation.Engine, f simulation.Faults) {
	for _, e := range all {
		e.SetFaults(f)
	}
}

// TestResidencyOverload sends several times what fits inside: what does not fit is refused at once, and none goes outside although
// the other region stands idle.
func TestResidencyOverload(t *testing.T) {
	small := func(s *simulation.EngineSettings) {
		s.Capacity, s.Queue = 2, 1
		s.Step = 20 * time.Millisecond
	}
	r := newRig(t, everywhere(small)...)
	r.configure("east")
	got := r.burst(40, [2]int{400, 8}, "held", "once", "read", "post")
	by := answers(got)
	t.Logf("answers: %v", by)
	r.Assert(by[200] > 0 && by[503] > 0, qt.IsTrue, qt.Commentf("%v", by))
	r.clean()
	r.Assert(r.outside("east"), qt.Equals, 0)

	free := newRig(t, everywhere(small)...)
	free.configure()
	free.burst(40, [2]int{400, 8}, "held", "once", "read", "post")
	r.Assert(free.outside("east") > 0, qt.IsTrue)
}

// TestResidencyWithdrawn withdraws a region while streams run there and handles wait there.
func TestResidencyWithdrawn(t *testing.T) {
	r := newRig(t, everywhere(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.configure("east")
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(3, [2]int{400, 100}, "held", "once") }()
	r.awaitBegun(6)
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
			r.Check(cutOff(res), qt.IsTrue, qt.Commentf("%d", res.Status)) // what may not be resumed
		}
	}
	r.Check(resumed, qt.Equals, 3)
	got = r.burst(8, [2]int{400, 4}, allHeld...)
	r.Check(answers(got)[200] > 0, qt.IsTrue, qt.Commentf("%v", answers(got)))
	lingering := r.clean()
	t.Logf("%d kept parts linger", len(lingering))
}

// TestResidencyWithdrawnBetweenReads withdraws a region as the proxy passes an event on, where the next does not come: the
// stream is cut all the same, long before its deadline, and taken up inside.
func TestResidencyWithdrawnBetweenReads(t *testing.T) {
	r := newRig(t, everywhere(nil)...)
	r.configure("east")
	trouble(r.in("east"), simulation.Faults{StallAfter: 1})
	r.at = sync.OnceFunc(func() {
		r.configure("mid")
		for range 1000 {
			runtime.Gosched() // the cut is made beside this: let it come before the next read
		}
	})
	got := r.burst(1, [2]int{400, 5}, "held")
	r.Check(got[0].OK(), qt.IsTrue, qt.Commentf("%d %v", got[0].Status, got[0].Err))
	r.clean()
}

// cutOff tells whether an answer can't be taken for a whole one: broken off, or, before its first event, refused without a promise.
func cutOff(res simulation.Result) bool {
	return res.Status == 502 || res.Status == 200 && !res.Complete
}

// TestResidencyTermsAppear puts a route under terms while its streams run elsewhere: they are cut at their next event.
func TestResidencyTermsAppear(t *testing.T) {
	r := newRig(t, everywhere(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.list(r.in("west")...)
	r.configure()
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(3, [2]int{400, 100}, "held") }()
	r.awaitBegun(3)
	r.list(r.engines...)
	r.configure("east")
	for _, res := range <-done {
		r.Check(res.OK(), qt.IsTrue, qt.Commentf("%d %v", res.Status, res.Err)) // taken up inside
	}
	r.clean()
}

// TestResidencyHandleWithdrawn withdraws the region where memory waits for a taker that is full: the memory is freed.
func TestResidencyHandleWithdrawn(t *testing.T) {
	at := func(zone string, phase simulation.Phase) simulation.EngineSettings {
		return simulation.EngineSettings{Service: "llm", Zone: zone, Region: testZones[zone], Phase: phase, Capacity: 1, Queue: 4, KVRef: time.Minute}
	}
	r := newRig(t, at("e1", simulation.PhasePrefill), at("m1", simulation.PhaseDecode))
	reader, taker := r.engines[0], r.engines[1]
	r.configure("east", "mid")
	release := taker.Hold()
	defer release()
	done := make(chan []simulation.Result, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 2*testDeadline)
	defer cancel()
	// Another's holds the only place; the tenant's waits behind it, its memory still where it was read. Neither is to be
	// repeated, so that its head is waited for until its deadline.
	for _, one := range []struct {
		route            string
		running, waiting int
	}{{"freeonce", 1, 0}, {"once", 1, 1}} {
		go func() { done <- r.burst(1, [2]int{4000, 4}, one.route) }()
		_, err := taker.Log.Wait(ctx, func([]simulation.Entry) bool {
			running, waiting := taker.Load()
			return running == one.running && waiting == one.waiting
		})
		r.Assert(err, qt.IsNil)
	}
	r.Assert(reader.Handles(), qt.Equals, 1)
	r.configure("mid")
	_, err := reader.Log.Wait(ctx, func([]simulation.Entry) bool { return reader.Handles() == 0 })
	r.Assert(err, qt.IsNil)
	release()
	<-done
	<-done
	r.clean()
}

// TestResidencyDecoders has memory taken from where it was read to another region of the tenant, with an idle taker outside.
func TestResidencyDecoders(t *testing.T) {
	at := func(zone string, phase simulation.Phase) simulation.EngineSettings {
		return simulation.EngineSettings{Service: "llm", Zone: zone, Region: testZones[zone], Phase: phase, Capacity: 8, Queue: 4, KVRef: time.Minute}
	}
	r := newRig(t, at("e1", simulation.PhasePrefill), at("m1", simulation.PhaseDecode), at("w1", simulation.PhaseDecode), at("w2", simulation.PhaseDecode))
	r.configure("east", "mid")
	for range 4 {
		r.burst(4, [2]int{4000, 4}, "held", "once")
	}
	moved := 0
	for _, en := range r.engines[1].Log.Entries() {
		moved += en.MovedTokens
	}
	r.Assert(moved > 0, qt.IsTrue)
	r.clean()
}

// TestResidencyResumes has every stream cut off half way: they are taken up at the other backend of the tenant's regions, although
// more stand idle outside.
func TestResidencyResumes(t *testing.T) {
	at := func(zone string) simulation.EngineSettings {
		return simulation.EngineSettings{Service: "llm", Zone: zone, Region: testZones[zone], Phase: simulation.PhaseDecode, Capacity: 64}
	}
	r := newRig(t, at("e1"), at("m1"), at("w1"), at("w2"), at("w2"))
	trouble(r.engines[:2], simulation.Faults{CutAfter: 2})
	r.configure("east", "mid")
	for i := range 24 {
		q := ask("held", i, i, [2]int{400, 4})
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
	r.clean()
}

// TestResidencyUnknownZone fails closed where the region of a backend is not known.
func TestResidencyUnknownZone(t *testing.T) {
	r := newRig(t, everywhere(func(s *simulation.EngineSettings) { s.Zone = "x-" + s.Zone })...)
	r.configure("east", "mid", "west")
	for _, res := range r.burst(3, [2]int{400, 4}, allHeld...) {
		r.Check(res.Status, qt.Equals, 503)
		r.Check(string(res.AnswerBody), qt.Contains, "of no known region: ")
		r.Check(res.EndedAt.Sub(res.SentAt) < testDeadline, qt.IsTrue)
	}
	r.Check(answers(r.burst(3, [2]int{400, 4}, "free", "freeread")), qt.DeepEquals, map[int]int{200: 6})
	for _, e := range r.engines {
		for _, en := range e.Log.Entries() {
			r.Check(string(en.Body), qt.Contains, "data of free")
		}
	}
}

// TestResidencyRelisted has the platform correct the region of a backend while a stream runs there.
func TestResidencyRelisted(t *testing.T) {
	r := newRig(t, everywhere(func(s *simulation.EngineSettings) { s.Step = 10 * time.Millisecond })...)
	r.configure("east")
	done := make(chan []simulation.Result)
	go func() { done <- r.burst(2, [2]int{400, 100}, "once") }()
	r.awaitBegun(2)
	list := append([]distribution.Backend{}, r.listed...)
	for i := range list {
		if list[i].Zone == "e1" {
			list[i].Zone = "w1" // where it was all along
		}
	}
	r.relist(list)
	for _, res := range <-done {
		r.Check(cutOff(res), qt.IsTrue, qt.Commentf("%d", res.Status))
	}
	for _, res := range r.burst(2, [2]int{400, 4}, allHeld...) {
		r.Check(res.Status, qt.Equals, 503)
	}
}

// TestResidencyAddressReused sends to an address that belongs to a backend of another region by now, of which the list does
// not tell yet: bytes reach it, nothing rests there.
func TestResidencyAddressReused(t *testing.T) {
	at := func(zone string, phase simulation.Phase, address string) simulation.EngineSettings {
		return simulation.EngineSettings{Service: "llm", Zone: zone, Region: testZones[zone], Phase: phase, Address: address}
	}
	r := newRig(t, at("e1", simulation.PhasePrefill, ""), at("e1", simulation.PhaseDecode, ""))
	r.configure("east")
	for _, e := range r.engines[:2] {
		e.Crash()
		s := at("w1", e.Settings().Phase, e.Address())
		r.engines = append(r.engines, simulation.StartEngine(t, s))
	}
	got := r.burst(6, [2]int{400, 4}, "held", "once")
	r.Check(answers(got), qt.DeepEquals, map[int]int{503: 12})
	r.Check(r.outside("east"), qt.Equals, 0)
	misdirected := 0
	for _, e := range r.engines[2:] {
		for _, en := range e.Log.Entries() {
			if en.Status == 421 {
				misdirected++
			}
		}
	}
	r.Check(misdirected > 0, qt.IsTrue)
	r.clean()
}

// TestResidencyThroughTelemeter has terms reach a proxy as in service: pulled from the node agent beside it.
func TestResidencyThroughTelemeter(t *testing.T) {
	r := newRig(t, everywhere(nil)...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testPatience)
	defer cancel()
	defer ln.Close()
	store := distribution.NewCache()
	go distribution.Serve(ctx, ln, "node-agent", store, time.Minute, store.LastContact)
	port := ln.Addr().(*net.TCPAddr).Port
	set := testSettings(testZones)
	set.Ports = [2]int{port - 2, port}
	set.Heartbeat = 50 * time.Millisecond
	v := New(ctx, set, zap.NewNop())
	defer v.pool.Close()
	list, err := (&distribution.BackendList{Backends: r.listed}).MarshalMsg(nil)
	r.Assert(err, qt.IsNil)
	store.SetSnapshot(distribution.BackendListType, distribution.Version{Epoch: 1, Count: 1}, list)
	store.SetSnapshot(distribution.ConfigType, distribution.Version{Epoch: 1, Count: 1}, r.document("east"))
	fed, taken := make(chan error, 1), make(chan struct{}, 8)
	go func() {
		fed <- distribution.Watch(ctx, distribution.NodeAgentAddr(set.Ports), &distribution.Watcher{Name: "edge-1", MaxWait: time.Second, ReadTimeout: testPatience,
			Members: func() []distribution.Member { return nil }, Versions: func() map[string]distribution.Version { return maps.Clone(v.versions) },
			Apply: func(n *distribution.Response) []string {
				v.apply(n)
				select {
				case taken <- struct{}{}:
				case <-ctx.Done(): // nobody listens any more; pulls are answered at once until the connection is closed
				}
				return nil
			}})
	}()
	awaits := func(terms residency.Terms) {
		for {
			select {
			case <-taken:
				if w := v.snapshot.Load(); w != nil && w.termsByTenant["held"].Equal(terms) {
					return
				}
			case err := <-fed:
				t.Fatal("the node agent was lost: ", err)
			case <-ctx.Done():
				t.Fatal("the terms don't come")
			}
		}
	}
	awaits(residency.Within("east"))
	body := fmt.Sprintf(`{"ver":%d,"upsert":{"tenants":[{"name":"held","regions":["mid"]}]}}`, r.version+1)
	r.Assert(store.AppendChange(distribution.ConfigType, distribution.Version{Epoch: 1, Count: 1}, distribution.Version{Epoch: 1, Count: 2},
		distribution.Change{Version: distribution.Version{Epoch: 1, Count: 2}, Body: []byte(body)}, nil), qt.IsTrue)
	awaits(residency.Within("mid"))
	cancel()
	<-fed
}

// TestTermsOf looks at the terms of requests under way by newer configurations.
func TestTermsOf(t *testing.T) {
	c := qt.New(t)
	in := residency.Within
	old := &routingSnapshot{residencyByRoute: map[string]*routeResidency{"r": {"t", in("east", "mid")}}, termsByTenant: map[string]residency.Terms{"t": in("east", "mid")}}
	bound := &subject{route: "r", tenant: "t", arrivalTerms: in("east", "mid")}
	narrow := &subject{route: "n", tenant: "t", arrivalTerms: in("east")}
	alone := &subject{route: "a", arrivalTerms: in("east")}
	free := &subject{route: "r"}
	c.Check(old.termsOf(bound).Equal(in("east", "mid")), qt.IsTrue)
	c.Check(old.termsOf(narrow).Equal(in("east")), qt.IsTrue) // its route is gone: the tenant's, as far as it came under them
	c.Check(old.termsOf(alone).Equal(in("east")), qt.IsTrue)
	c.Check(old.termsOf(free).Equal(in("east", "mid")), qt.IsTrue) // the route got terms
	c.Check((&routingSnapshot{}).termsOf(free).Restricted(), qt.IsFalse)
	c.Check((&routingSnapshot{}).termsOf(bound).Equal(in("east", "mid")), qt.IsTrue) // nobody tells any more: those it came under
	moved := &routingSnapshot{residencyByRoute: map[string]*routeResidency{"r": {"u", in("west")}}, termsByTenant: map[string]residency.Terms{"t": in("mid"), "u": in("west")}}
	c.Check(moved.termsOf(bound).Equal(in("mid")), qt.IsTrue) // the route is another tenant's, the data is not
	c.Check(moved.termsOf(narrow).Equal(in()), qt.IsTrue)
}
