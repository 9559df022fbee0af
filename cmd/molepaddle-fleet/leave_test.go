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

// TestCoreEndsInTurn tells each core machine to end, the primary of the moment first, while changes come one after the
// other. Each is released by the others before its grace is over, and comes back; every change is acknowledged.
func TestCoreEndsInTurn(t *testing.T) {
	f := newFleet(t, plan{bounds: map[string]any{"sync_s": 1}})
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
		_, _, primary := f.shown(reader)
		program := primary.programs["control-plane"]
		f.ends(program)
		program.Signal(syscall.SIGTERM)
		term := time.Now()
		code, err := program.Wait(f.within(patient))
		f.Assert(err, qt.IsNil)
		f.Check(code, qt.Equals, 0)
		f.Check(time.Since(term) < f.bound("grace_s", time.Second), qt.IsTrue, qt.Commentf("ended after %v", time.Since(term)))
		f.Check(strings.Contains(program.Output(), "released by the core"), qt.IsTrue, qt.Commentf("%s ended without a release", primary.settings.Node))
		t.Logf("%s led and ended %v after SIGTERM", primary.settings.Node, time.Since(term))
		primary.start("control-plane")
		back := time.Now()
		f.until(patient, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })
	}
	close(stop)
	<-done
	f.version = version
	t.Logf("%d changes, the longest wait between two acknowledgements %v", version, longest)
	f.holds(name)
	f.judge()
}
