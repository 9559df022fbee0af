package main

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// sentBefore is a change that was sent once, with the answer that is due whenever it comes again.
type sentBefore struct {
	replace bool
	base    uint64
	change  object
	want    int
}

// renumber has n changes acknowledged one after the other that raise the version alone.
func (f *fleet) renumber(n int) {
	f.Helper()
	for range n {
		rep, err := f.operator.Update(f.within(patient), f.version, object{"ver": f.version + 1})
		f.Assert(err, qt.IsNil)
		f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
		f.version++
	}
}

// answeredAt asks that changes that come again at one machine of the core get the answers due.
func (f *fleet) answeredAt(m *machine, when string, changes []sentBefore) {
	f.Helper()
	o := &simulation.Operator{Ctl: []string{m.boot.Ctl}}
	for _, c := range changes {
		send := o.Update
		if c.replace {
			send = o.Replace
		}
		rep, err := send(f.within(patient), c.base, c.change)
		f.Assert(err, qt.IsNil, qt.Commentf("%s: at %s: on %d", when, m.settings.Node, c.base))
		f.Check(rep.Status, qt.Equals, c.want, qt.Commentf("%s: at %s: on %d: %s", when, m.settings.Node, c.base, rep.Body))
	}
}

// answeredAnywhere asks the same of each machine of the core.
func (f *fleet) answeredAnywhere(when string, changes []sentBefore) {
	f.Helper()
	for _, m := range f.core {
		f.answeredAt(m, when, changes)
	}
}

// TestSentAgainAfterManyChanges: changes that were acknowledged are sent again at each machine after hundreds of others, after the primary
// lost its disk and was taken in again, after the next primary was killed, after one was frozen, and after all were killed. They are
// acknowledged each time, and those that lost their base to them are refused each time.
func TestSentAgainAfterManyChanges(t *testing.T) {
	f := newFleet(t, plan{bounds: map[string]any{"sync_s": 1}})
	f.add(2)
	f.renumber(3)
	changes := []sentBefore{
		{true, 0, f.configuration(1), http.StatusOK},
		{false, 1, addRoute(2), http.StatusOK},
		{false, 2, object{"ver": 3}, http.StatusOK},
		{true, 1, f.configuration(2), http.StatusPreconditionFailed},
		{false, 1, addRoute(3), http.StatusPreconditionFailed},
		{false, 0, addRoute(2), http.StatusPreconditionFailed},
	}
	began := time.Now()
	f.renumber(220)
	t.Logf("220 changes took %v", time.Since(began))
	f.answeredAnywhere("after many changes", changes)

	wiped := f.primary()
	wiped.kill("control-plane")
	f.renumber(1)
	wiped.settings.DataDir = "" // a new one, empty
	wiped.start("control-plane")
	back := time.Now()
	f.answeredAnywhere("after a disk was lost", changes)
	f.renumber(5)
	f.until(patient, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })

	killed := f.primary()
	killed.kill("control-plane")
	f.answeredAt(wiped, "the empty disk was taken in and the primary killed", changes)
	killed.start("control-plane")
	back = time.Now()
	f.answeredAnywhere("after a restart", changes)
	f.until(patient, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })

	frozen := f.primary()
	program := frozen.programs["control-plane"]
	program.Signal(syscall.SIGSTOP)
	latest := sentBefore{false, f.version, addRoute(f.version + 1), http.StatusOK}
	f.add(f.version + 1)
	f.renumber(1)
	program.Signal(syscall.SIGCONT)
	f.answeredAt(frozen, "at once after it was frozen", append([]sentBefore{latest}, changes...))
	f.answeredAnywhere("after one was frozen", append(changes, latest))

	var all sync.WaitGroup
	for _, m := range f.core {
		all.Go(func() { m.kill("control-plane") })
	}
	all.Wait()
	for _, m := range f.core {
		m.start("control-plane")
	}
	f.answeredAnywhere("after all were killed", append(changes, latest))
	f.holds(2, latest.base+1)
	f.judge()
}
