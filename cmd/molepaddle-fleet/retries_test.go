package main

import (
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

// earlierChange is a change that was sent before, with the answer expected whenever it is sent again.
type earlierChange struct {
	replace bool
	base    uint64
	change  object
	want    int
}

// renumber submits n changes that only raise the version, and asserts their acknowledgement.
func (f *fleet) renumber(n int) {
	f.Helper()
	for range n {
		rep, err := f.operator.Update(f.withTimeout(testTimeout), f.version, object{"ver": f.version + 1})
		f.Assert(err, qt.IsNil)
		f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
		f.version++
	}
}

// checkResendsAt asserts the answers to changes that are sent again to one machine of the core.
func (f *fleet) checkResendsAt(m *machine, when string, changes []earlierChange) {
	f.Helper()
	o := &simulation.Operator{Ctl: []string{m.boot.Ctl}}
	for _, c := range changes {
		send := o.Update
		if c.replace {
			send = o.Replace
		}
		rep, err := send(f.withTimeout(testTimeout), c.base, c.change)
		f.Assert(err, qt.IsNil, qt.Commentf("%s: at %s: on %d", when, m.settings.Node, c.base))
		f.Check(rep.Status, qt.Equals, c.want, qt.Commentf("%s: at %s: on %d: %s", when, m.settings.Node, c.base, rep.Body))
	}
}

// checkResends does so at each machine of the core.
func (f *fleet) checkResends(when string, changes []earlierChange) {
	f.Helper()
	for _, m := range f.core {
		f.checkResendsAt(m, when, changes)
	}
}

// TestResendAfterManyChanges sends acknowledged changes again to each machine: after hundreds of others, after the
// primary lost its disk and became a member again, after the next primary was killed, after one was stopped, and after
// all were killed. They are acknowledged each time, and competing changes on the same base are rejected each time.
func TestResendAfterManyChanges(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"sync_s": 1}})
	f.applyAddRoute(2)
	f.renumber(3)
	changes := []earlierChange{
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
	f.checkResends("after many changes", changes)

	wiped := f.primary()
	wiped.kill("control-plane")
	f.renumber(1)
	wiped.settings.DataDir = "" // a new one, empty
	wiped.start("control-plane")
	back := time.Now()
	f.checkResends("after a disk was lost", changes)
	f.renumber(5)
	f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })

	killed := f.primary()
	killed.kill("control-plane")
	f.checkResendsAt(wiped, "the empty disk was taken in and the primary killed", changes)
	killed.start("control-plane")
	back = time.Now()
	f.checkResends("after a restart", changes)
	f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })

	frozen := f.primary()
	program := frozen.programs["control-plane"]
	program.Signal(syscall.SIGSTOP)
	latest := earlierChange{false, f.version, addRoute(f.version + 1), http.StatusOK}
	f.applyAddRoute(f.version + 1)
	f.renumber(1)
	program.Signal(syscall.SIGCONT)
	f.checkResendsAt(frozen, "at once after it was frozen", append([]earlierChange{latest}, changes...))
	f.checkResends("after one was frozen", append(changes, latest))

	var all sync.WaitGroup
	for _, m := range f.core {
		all.Go(func() { m.kill("control-plane") })
	}
	all.Wait()
	for _, m := range f.core {
		m.start("control-plane")
	}
	f.checkResends("after all were killed", append(changes, latest))
	f.checkConfig(2, latest.base+1)
	f.checkRules()
}

func rivalName(operator int, version uint64) string {
	return fmt.Sprintf("rival-%d-%d", operator, version)
}

// rivalRoute returns a change by one of two operators that use the same version number; it adds a route of that
// operator.
func rivalRoute(operator int, version uint64) object {
	name := rivalName(operator, version)
	return object{"ver": version,
		"upsert": object{"routing": list{route(name, "/"+name+"/", "readonly", lookups, 4000, 200, 3, false)}}}
}

// sendRivals has two operators concurrently send different changes with the same version on top of the newest, and
// calls meanwhile. Their first calls time out early, so that the answers are lost at some step. One change must be
// acknowledged, the other rejected.
func (f *fleet) sendRivals(round int, meanwhile func()) (winner int, unanswered int64) {
	f.Helper()
	base := f.version
	var replies [2]simulation.Reply
	var errs [2]error
	var lost atomic.Int64
	var both sync.WaitGroup
	for i := range replies {
		ctl := append(slices.Clone(f.operator.Ctl[i:]), f.operator.Ctl[:i]...)
		silence := time.Duration(300+200*((round+3*i)%8)) * time.Microsecond
		both.Go(func() {
			change := rivalRoute(i, base+1)
			hasty := &simulation.Operator{Ctl: ctl, Timeout: silence, MaxAttempts: 1}
			replies[i], errs[i] = hasty.Update(f.withTimeout(testTimeout), base, change)
			if errs[i] == nil {
				return
			}
			lost.Add(1)
			patiently := &simulation.Operator{Ctl: ctl}
			replies[i], errs[i] = patiently.Update(f.withTimeout(testTimeout), base, change)
		})
	}
	meanwhile()
	both.Wait()
	f.Assert(errs, qt.Equals, [2]error{}, qt.Commentf("round %d", round))
	statuses := [2]int{replies[0].Status, replies[1].Status}
	winner = slices.Index(statuses[:], http.StatusOK)
	f.Assert(winner >= 0, qt.IsTrue, qt.Commentf("round %d: %v", round, statuses))
	f.Assert(statuses[1-winner], qt.Equals, http.StatusPreconditionFailed, qt.Commentf("round %d", round))
	f.version = base + 1
	return winner, lost.Load()
}

// TestOperatorsRaceAcrossTakeovers has two operators repeatedly send different changes with the same version while the
// primary is killed, later another one is stopped, and while calls time out after a millisecond. Each time one change
// is acknowledged and the other rejected, and both get the same answer again when they are sent again to any machine.
func TestOperatorsRaceAcrossTakeovers(t *testing.T) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"sync_s": 1}})
	const rounds, killAt, freezeAt, thawAt = 45, 10, 30, 32
	first, unanswered := f.version, int64(0)
	var changes []earlierChange
	var routesDue []string
	var back time.Time
	var frozen *simulation.Program
	for round := range rounds {
		base := f.version
		winner, lost := f.sendRivals(round, func() {
			switch round {
			case killAt:
				primary := f.primary()
				primary.kill("control-plane")
				primary.start("control-plane")
				back = time.Now()
			case freezeAt:
				f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(back) > f.bound("sync_s", time.Second) })
				frozen = f.primary().programs["control-plane"]
				frozen.Signal(syscall.SIGSTOP)
			case thawAt:
				frozen.Signal(syscall.SIGCONT)
			}
		})
		unanswered += lost
		changes = append(changes, earlierChange{false, base, rivalRoute(winner, base+1), http.StatusOK},
			earlierChange{false, base, rivalRoute(1-winner, base+1), http.StatusPreconditionFailed})
		routesDue = append(routesDue, rivalName(winner, base+1))
	}
	t.Logf("%d of %d changes had no answer to their first call", unanswered, 2*rounds)
	f.checkResends("at the end", changes)
	version, routes, _ := f.showConfig(f.operator)
	f.Assert(version, qt.Equals, first+rounds)
	f.Assert(routes[len(routes)-rounds:], qt.DeepEquals, routesDue)
	f.Assert(slices.ContainsFunc(routes[:len(routes)-rounds],
		func(name string) bool { return strings.HasPrefix(name, "rival") }), qt.IsFalse)
	f.checkRules()
}
