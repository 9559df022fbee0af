package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// TestPrimaryKilledDuringChanges kills the primary while changes are submitted one after the other. All acknowledged
// changes are kept, the others are accepted, and requests are served throughout.
func TestPrimaryKilledDuringChanges(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	primary := f.primary()
	load := f.traffic([]int{0, 1})
	const first, amid, last = 2, 8, 20
	type outcome struct {
		rep simulation.Reply
		err error
	}
	ctx := f.withTimeout(testTimeout)
	seen := make(chan struct{})
	outcomes := make(chan outcome, last)
	go func() {
		defer close(outcomes)
		for v := uint64(first); v <= last; v++ {
			rep, err := f.operator.Update(ctx, v-1, addRoute(v))
			outcomes <- outcome{rep, err}
			if err != nil {
				return
			}
			if v == amid {
				close(seen)
			}
		}
	}()
	select {
	case <-seen:
	case <-ctx.Done():
		t.Fatal("no changes are acknowledged")
	}
	primary.kill("control-plane")
	var acked []uint64
	at := time.Now()
	for o := range outcomes {
		f.Assert(o.err, qt.IsNil)
		f.Assert(o.rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", o.rep.Body))
		if o.rep.Attempts > 1 {
			t.Logf("version %d took %d tries, %v after the kill", o.rep.Version, o.rep.Attempts, o.rep.At.Sub(at))
		}
		acked, f.version, at = append(acked, o.rep.Version), o.rep.Version, o.rep.At
	}
	f.Assert(f.version, qt.Equals, uint64(last))
	f.checkConfig(acked...)
	for i := range f.edge {
		f.awaitInForce(i, last, at.Add(f.bound("apply_ms", time.Millisecond)+f.bound("skew_ms", time.Millisecond)))
	}
	f.applyAddRoute(last + 1)
	load.awaitMore(8, 0, 1)
	load.stop()
	f.checkRules()
}

// TestCoreKilled kills all processes of the core at once; their disks are kept.
func TestCoreKilled(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.applyAddRoute(2)
	f.awaitInForce(0, 2, time.Now().Add(testTimeout))
	f.awaitInForce(1, 2, time.Now().Add(testTimeout))
	load := f.traffic([]int{0, 1}, addedRouteRequest(2)) // no proxy returns to an older version
	var all sync.WaitGroup
	for _, m := range f.core {
		all.Go(func() { m.kill("control-plane") })
	}
	all.Wait()
	load.awaitMore(40, 0, 1)
	// Node agents poll the platform for the list themselves when the core doesn't.
	fresh := f.startPlain()
	f.platform.Add(fresh)
	alone := time.Now()
	f.eventually(testTimeout, "a new backend is sent to",
		func() bool { return startedRuns([]*simulation.Engine{fresh}) > 0 })
	t.Logf("a new backend was sent to %v after it was added", time.Since(alone))
	for _, m := range f.core {
		m.start("control-plane")
	}
	back := time.Now()
	f.checkConfig(2)
	t.Logf("read back %v after the return", time.Since(back))
	rep := f.applyAddRoute(5)
	t.Logf("the next change %v after the return", rep.At.Sub(back))
	f.checkConfig(2, 5)
	for i := range f.edge {
		f.awaitInForce(i, 5, rep.At.Add(f.bound("apply_ms", time.Millisecond)+f.bound("skew_ms", time.Millisecond)))
	}
	load.awaitMore(8, 0, 1)
	load.stop()
	f.checkRules()
}

// TestCoreDiskLost wipes the primary's disk and, once that machine is a member again, kills the next primary.
func TestCoreDiskLost(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"sync_s": 1}})
	f.applyAddRoute(2)
	load := f.traffic([]int{0, 1})
	lost := f.primary()
	lost.kill("control-plane")
	lost.settings.DataDir = "" // use a new, empty folder
	lost.start("control-plane")
	back := time.Now()
	f.checkConfig(2)
	// A machine that is not a member doesn't know the primary, to which it could redirect a caller.
	version, _, from := f.showConfig(&simulation.Operator{Ctl: []string{lost.boot.Ctl}})
	f.Assert(version, qt.Equals, uint64(2))
	t.Logf("taken in %v after the return", time.Since(back))
	f.applyAddRoute(3)
	// A machine counts as lost for that long after its return.
	f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })
	if now := f.primary(); now != from {
		t.Logf("%s leads after %s", now.settings.Node, from.settings.Node)
		from = now
	}
	from.kill("control-plane")
	killed := time.Now()
	f.checkConfig(2, 3)
	rep := f.applyAddRoute(4)
	t.Logf("the next change %v after the second loss", rep.At.Sub(killed))
	f.checkConfig(2, 3, 4)
	for i := range f.edge {
		f.awaitInForce(i, 4, rep.At.Add(f.bound("apply_ms", time.Millisecond)+f.bound("skew_ms", time.Millisecond)))
	}
	load.stop()
	f.checkRules()
}

// TestOperatorsRace has two operators submit changes on the same base version and retry them: one of them wins, and
// retries don't change the outcome.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	ctls := f.operator.Ctl
	var lost []uint64
	for base := uint64(1); base < 10; base += 3 {
		versions := [2]uint64{base + 1, base + 3}
		var reps [2]simulation.Reply
		var errs [2]error
		var both sync.WaitGroup
		for i, v := range versions {
			both.Go(func() {
				o := &simulation.Operator{Ctl: append(slices.Clone(ctls[i:]), ctls[:i]...)}
				reps[i], errs[i] = o.Update(f.withTimeout(testTimeout), base, addRoute(v))
			})
		}
		both.Wait()
		f.Assert(errs, qt.Equals, [2]error{})
		winner := slices.IndexFunc(reps[:], func(r simulation.Reply) bool { return r.Status == http.StatusOK })
		f.Assert(winner >= 0, qt.IsTrue,
			qt.Commentf("%d %s and %d %s", reps[0].Status, reps[0].Body, reps[1].Status, reps[1].Body))
		f.Assert(reps[1-winner].Status, qt.Equals, http.StatusPreconditionFailed, qt.Commentf("%s", reps[1-winner].Body))
		lost = append(lost, versions[1-winner])
		f.version = versions[winner]
		f.checkConfig(f.version)
		for _, ctl := range ctls {
			o := &simulation.Operator{Ctl: []string{ctl}}
			rep, err := o.Update(f.withTimeout(testTimeout), base, addRoute(versions[winner]))
			f.Assert(err, qt.IsNil)
			f.Assert(rep.Status, qt.Equals, http.StatusOK)
			rep, err = o.Update(f.withTimeout(testTimeout), base, addRoute(versions[1-winner]))
			f.Assert(err, qt.IsNil)
			f.Assert(rep.Status, qt.Equals, http.StatusPreconditionFailed)
		}
		if winner == 0 { // the next round builds on base+3
			f.applyAddRoute(base + 3)
			lost = slices.DeleteFunc(lost, func(v uint64) bool { return v == base+3 })
		}
	}

	_, routes, _ := f.showConfig(f.operator)
	for _, v := range lost {
		f.Assert(slices.Contains(routes, addedRouteName(v)), qt.IsFalse, qt.Commentf("version %d lost its race", v))
	}
	rep := f.applyAddRoute(f.version + 2)
	for i := range f.edge {
		f.awaitInForce(i, f.version, rep.At.Add(f.bound("apply_ms", time.Millisecond)))
		for _, v := range lost {
			r := addedRouteRequest(v)
			r.Services = []string{}
			f.Check(f.clients[i].Do(f.ctx, r).Status, qt.Equals, http.StatusNotFound, qt.Commentf("version %d", v))
		}
	}
	f.checkRules()
}

// TestInvalidConfigurations submits invalid configurations: all findings are returned with their paths, and no part of
// a configuration takes effect.
func TestInvalidConfigurations(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	bad := f.version + 1
	wrong := func(name, prefix string, change func(object)) object {
		r := route(name, prefix, "readonly", lookups, 4000, 200, 1, false)
		change(r)
		return r
	}
	for _, tc := range []struct {
		name   string
		doc    any
		places []string
	}{
		{"many faults", object{"ver": f.version, "upsert": object{"routing": list{
			wrong("bad-svc", "/bad-svc/", func(r object) { r["svc"] = "nobody" }),
			wrong("bad-wait", "/bad-wait/", func(r object) { r["deadline_ms"] = 0 }),
			wrong("bad-split", "/bad-split/", func(r object) {
				delete(r, "svc")
				r["shares"] = list{object{"svc": lookups, "wt": 0}, object{"svc": model, "wt": 0}}
			}),
			wrong("bad-twin", "/lookup/", func(object) {}),
			wrong("bad-prefix", "/bad-prefix", func(object) {}),
		}}}, []string{"ver", "routing[0]", "routing[1].deadline_ms", "routing[2].shares", "routing[3]", "routing[4].pfx"}},
		{"no service left", object{"ver": bad, "remove": object{"svcs": list{lookups}}}, []string{""}},
		{"cut off", []byte(`{"ver":100,"upsert":{"rout`), []string{"byte"}},
	} {
		rep, err := f.operator.Update(f.withTimeout(testTimeout), f.version, tc.doc)
		f.Assert(err, qt.IsNil, qt.Commentf("%s", tc.name))
		f.Check(rep.Status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s: %s", tc.name, rep.Body))
		var told struct {
			Findings []struct{ Place, Text string }
		}
		f.Check(json.Unmarshal(rep.Body, &told), qt.IsNil)
		for _, place := range tc.places {
			f.Check(slices.ContainsFunc(told.Findings, func(x struct{ Place, Text string }) bool {
				return strings.Contains(x.Place, place) && x.Text != ""
			}), qt.IsTrue, qt.Commentf("%s: nothing is told of %q: %s", tc.name, place, rep.Body))
		}
	}
	whole := f.configuration(bad)
	whole["routing"] = append(whole["routing"].(list),
		wrong("bad-svc", "/bad-svc/", func(r object) { r["svc"] = "nobody" }))
	rep, err := f.operator.Replace(f.withTimeout(testTimeout), f.version, whole)
	f.Assert(err, qt.IsNil)
	f.Check(rep.Status, qt.Equals, http.StatusBadRequest)
	f.Check(strings.Contains(string(rep.Body), `"place":"routing[4].svc"`), qt.IsTrue, qt.Commentf("%s", rep.Body))

	version, routes, _ := f.showConfig(f.operator)
	f.Assert(version, qt.Equals, f.version)
	f.Assert(slices.ContainsFunc(routes, func(name string) bool { return strings.HasPrefix(name, "bad") }), qt.IsFalse)
	rep = f.applyAddRoute(bad + 1)
	for i := range f.edge {
		f.awaitInForce(i, f.version, rep.At.Add(f.bound("apply_ms", time.Millisecond)))
		for _, path := range []string{"/bad-svc/x", "/bad-wait/x", "/bad-split/x"} {
			r := lookup()
			r.Path, r.Services = path, []string{}
			f.Check(f.clients[i].Do(f.ctx, r).Status, qt.Equals, http.StatusNotFound)
		}
	}
	f.checkRules()
}
