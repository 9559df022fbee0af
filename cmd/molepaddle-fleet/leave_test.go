package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// awaitNotReady waits until a machine's readiness check fails.
func (f *fleet) awaitNotReady(m *machine) {
	f.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	f.eventually(testTimeout, "not ready", func() bool {
		resp, err := client.Get("http://" + m.boot.Readyz + simulation.PathReady)
		f.Assert(err, qt.IsNil, qt.Commentf("no answer before 503"))
		f.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode == http.StatusServiceUnavailable
	})
}

// TestDrainingProxyRejectsWhatItCannotFinish: a proxy that is shutting down still gets clients for some seconds. A
// stream that may take longer than it has left is refused at once, before any backend saw it, so that its client goes
// elsewhere in time; what ends soon is served.
func TestDrainingProxyRejectsWhatItCannotFinish(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	m := f.edge[0]
	proxy := m.programs["proxy"]
	f.expectExit(proxy)
	proxy.Signal(syscall.SIGTERM)
	f.awaitNotReady(m)

	client := &simulation.Client{Edge: m.boot.Edge}
	f.clients = append(f.clients, client)
	for _, short := range []simulation.Request{lookup(), report(), bulletin(2000, 2)} {
		f.checkServed(client.Do(f.ctx, short), "while it leaves")
	}
	var releases []func()
	for _, e := range f.decode {
		releases = append(releases, e.Hold())
	}
	long := hazard()
	long.Deadline, long.Tokens = testTimeout, [2]int{220, 300}
	refused := client.Do(f.ctx, long)
	for _, release := range releases {
		release()
	}
	f.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable,
		qt.Commentf("complete %v, %v after %v", refused.Complete, refused.Err, refused.EndedAt.Sub(refused.SentAt)))
	f.Check(refused.RetryAfter > 0, qt.IsTrue)
	f.Check(refused.Closing, qt.IsTrue)
	f.Check(refused.EndedAt.Sub(refused.SentAt) < time.Second, qt.IsTrue,
		qt.Commentf("refused after %v", refused.EndedAt.Sub(refused.SentAt)))
	f.Check(f.attemptsOf(refused.Attempt), qt.HasLen, 0)
	elsewhere := long
	elsewhere.Attempt = ""
	f.checkServed(f.clients[1].Do(f.ctx, elsewhere), "at a proxy that stays")

	code, err := proxy.Wait(f.withTimeout(testTimeout))
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0)
	for _, line := range []string{`"msg":"draining"`, `"msg":"shut down"`} {
		f.Check(strings.Contains(proxy.Output(), line), qt.IsTrue, qt.Commentf("%s is not in the log", line))
	}
	f.Check(strings.Contains(proxy.Output(), "requests aborted"), qt.IsFalse, qt.Commentf("%s", proxy.Output()))
	f.checkRules()
}

// TestCoreShutsDownInTurn shuts down each core machine, the primary of the moment first, while changes come one
// after the other. Each is released by the others before its grace is over, and comes back; every change is
// acknowledged.
func TestCoreShutsDownInTurn(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"sync_s": 1}})
	const name = 2 // of the one route that all changes bring again
	stop, done := make(chan struct{}), make(chan struct{})
	var longest time.Duration
	version, at := f.version, time.Now()
	go func() {
		defer close(done)
		for v := version + 1; ; v++ {
			select {
			case <-stop:
				return
			default:
			}
			change := addRoute(name)
			change["ver"] = v
			rep, err := f.operator.Update(f.ctx, v-1, change)
			if !f.Check(err, qt.IsNil) || !f.Check(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body)) {
				return
			}
			longest, at, version = max(longest, rep.At.Sub(at)), rep.At, rep.Version
		}
	}()
	reader := &simulation.Operator{Ctl: f.operator.Ctl}
	for range len(f.core) {
		_, _, primary := f.showConfig(reader)
		program := primary.programs["control-plane"]
		f.expectExit(program)
		program.Signal(syscall.SIGTERM)
		term := time.Now()
		code, err := program.Wait(f.withTimeout(testTimeout))
		f.Assert(err, qt.IsNil)
		f.Check(code, qt.Equals, 0)
		f.Check(time.Since(term) < f.bound("grace_s", time.Second), qt.IsTrue,
			qt.Commentf("ended after %v", time.Since(term)))
		f.Check(strings.Contains(program.Output(), "released by the core"), qt.IsTrue,
			qt.Commentf("%s ended without a release", primary.settings.Node))
		t.Logf("%s led and ended %v after SIGTERM", primary.settings.Node, time.Since(term))
		primary.start("control-plane")
		back := time.Now()
		f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })
	}
	close(stop)
	<-done
	f.version = version
	t.Logf("%d changes, the longest wait between two acknowledgements %v", version, longest)
	f.checkConfig(name)
	f.checkRules()
}
