package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/simulation"
	"molepaddle/internal/fleet/status"
)

var upgradeOld = flag.String("upgrade.old", "",
	"path of molepaddle-fleet of an older build, from which and back to which TestRollingUpgrade replaces servers; "+
		"without it this build is restarted")

// TestRollingUpgrade upgrades the control servers from an older build to this one, one at a time, and back again, while
// changes are proposed and clients send requests. Node agents and proxies run the older build in one case, and this
// build in the other. .ci/upgrade builds the older program.
func TestRollingUpgrade(t *testing.T) {
	if *upgradeOld == "" {
		t.Run("restarts", func(t *testing.T) { runUpgrade(t, "", "") })
		return
	}
	t.Run("agents of the older build", func(t *testing.T) { runUpgrade(t, *upgradeOld, *upgradeOld) })
	t.Run("agents of this build", func(t *testing.T) { runUpgrade(t, *upgradeOld, "") })
}

// runUpgrade runs one upgrade and the downgrade; an empty path means this build.
func runUpgrade(t *testing.T, old, edge string) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"sync_s": 1}, coreBinary: old, edgeBinary: edge})
	load := f.traffic([]int{0, 1})
	changes := f.proposeChanges()
	u := &upgrade{fleet: f, changes: changes, newer: map[*machine]bool{}, pairs: map[buildPair]bool{}}
	// Each build must have been the primary of a backup of the other. The primary is replaced last, so that by then all
	// its backups are of the other build. On a busy machine it may lose its role to one of them; then the upgrade is
	// repeated.
	const rounds = 3
	mixed := func() bool { return u.pairs[buildPair{primary: true}] && u.pairs[buildPair{backup: true}] }
	for range rounds {
		for _, m := range f.primaryLast() {
			u.replace(m, "", true)
		}
		for _, m := range f.primaryLast() {
			u.replace(m, old, false)
		}
		if mixed() {
			break
		}
	}
	f.Check(mixed(), qt.IsTrue, qt.Commentf("no primary of each build led a backup of the other: %+v", u.pairs))

	changes.stop()
	f.awaitConvergence()
	version, routes, _ := f.showConfig(f.operator)
	f.Check(version, qt.Equals, f.version)
	for _, m := range f.core {
		version, _, _ := f.showConfig(&simulation.Operator{Ctl: []string{m.boot.Ctl}})
		f.Check(version, qt.Equals, f.version, qt.Commentf("asked at %s", m.settings.Node))
		s, err := f.localStatus(m)
		f.Assert(err, qt.IsNil, qt.Commentf("%s", m.settings.Node))
		if holdsRecord(s) {
			f.Check(s.Configuration.Version, qt.Equals, int64(f.version), qt.Commentf("held by %s", m.settings.Node))
		}
	}
	for _, v := range changes.acknowledged {
		f.Check(slices.Contains(routes, addedRouteName(v)), qt.IsTrue, qt.Commentf("the acknowledged version %d is lost", v))
	}
	f.awaitRollout(f.version)
	load.awaitMore(8, 0, 1)
	load.stop()
	f.checkRules()
	t.Logf("%d changes acknowledged, %d of them after more than one try, %d sent again, %d reads; longest change %v",
		len(changes.acknowledged), changes.retried, changes.repeated, changes.reads.Load(), changes.longest)
}

// upgrade is the state of one upgrade test.
type upgrade struct {
	*fleet
	changes *changeLoad
	newer   map[*machine]bool  // true for machines that run the new build
	pairs   map[buildPair]bool // pairs that were observed while changes were acknowledged
}

// buildPair records whether a primary and its backup run the new build.
type buildPair struct{ primary, backup bool }

// primaryLast returns the core machines, the primary last.
func (f *fleet) primaryLast() []*machine {
	f.Helper()
	primary := f.primary()
	all := slices.DeleteFunc(slices.Clone(f.core), func(m *machine) bool { return m == primary })
	return append(all, primary)
}

// replace ends a control server with SIGTERM and starts another build on its data folder. It returns once all servers
// have the newest version again, changes are acknowledged in a stable view, and the proxies have a version of that
// time.
func (u *upgrade) replace(m *machine, binary string, newer bool) {
	f := u.fleet
	f.Helper()
	program := m.programs["control-plane"]
	f.expectExit(program)
	began := time.Now()
	program.Signal(syscall.SIGTERM)
	code, err := program.Wait(f.withTimeout(testTimeout))
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0, qt.Commentf("%s", m.settings.Node))
	ended := time.Now()
	f.Check(ended.Sub(began) < f.bound("grace_s", time.Second), qt.IsTrue,
		qt.Commentf("%s ended %v after SIGTERM", m.settings.Node, ended.Sub(began)))
	m.binary, u.newer[m] = binary, newer
	m.start("control-plane")
	// A server counts as lost until sync_s after its return.
	f.eventually(testTimeout, "sync_s over", func() bool { return time.Since(ended) > f.bound("sync_s", time.Second) })
	f.awaitConvergence()
	u.awaitStableView()
	f.awaitRollout(u.changes.newest.Load())
	_, err = os.Stat(filepath.Join(m.settings.DataDir, "control.db.broken"))
	f.Check(os.IsNotExist(err), qt.IsTrue, qt.Commentf("%s set the state of the other build aside", m.settings.Node))
	f.Logf("%s was replaced: ended after %v, stable view again after %v",
		m.settings.Node, ended.Sub(began), time.Since(began))
}

// awaitConvergence waits until all control servers, by their local status, are in one view with all members, and the
// primary and its backups, which store the replicated log, have a version at least as new as the newest at the call.
func (f *fleet) awaitConvergence() {
	f.Helper()
	newest, _, _ := f.showConfig(&simulation.Operator{Ctl: f.operator.Ctl})
	f.eventually(testTimeout, "all control servers in one view, at the newest version", func() bool {
		var view status.View
		for _, m := range f.core {
			s, err := f.localStatus(m)
			if err != nil || !s.View.Ready || len(s.View.Members) != len(f.core) ||
				holdsRecord(s) && s.Configuration.Version < int64(newest) {
				return false
			}
			if view.Epoch == 0 {
				view = s.View
			}
			if s.View.Epoch != view.Epoch || s.View.Primary != view.Primary {
				return false
			}
		}
		return true
	})
}

// awaitStableView waits until some consecutive changes were acknowledged in one view, and records the builds of its
// primary and backup. If a backup can't decode its primary's messages, the servers form new views until both are of one
// build: nothing is lost, but the builds are not compatible.
func (u *upgrade) awaitStableView() {
	f := u.fleet
	f.Helper()
	const inOneView = 10
	var epoch, from uint64
	f.eventually(testTimeout, "changes go on in one view", func() bool {
		s, err := f.localStatus(f.core[0])
		newest := u.changes.newest.Load()
		if err != nil || !s.View.Ready || s.View.Epoch != epoch {
			if epoch, from = 0, newest; err == nil {
				epoch = s.View.Epoch
			}
			return false
		}
		if newest < from+inOneView {
			return false
		}
		var pair buildPair
		for _, member := range s.View.Members {
			i := slices.IndexFunc(f.core, func(m *machine) bool { return m.boot.Ctl == member.Address })
			switch {
			case i < 0:
				return false
			case member.Role == replication.Primary.String():
				pair.primary = u.newer[f.core[i]]
			case member.Role == replication.Backup.String():
				pair.backup = u.newer[f.core[i]]
			}
		}
		u.pairs[pair] = true
		return true
	})
}

// awaitRollout waits until a version is in force at both proxies.
func (f *fleet) awaitRollout(version uint64) {
	f.Helper()
	within := f.bound("apply_ms", time.Millisecond) + f.bound("skew_ms", time.Millisecond)
	for i := range f.edge {
		f.awaitInForce(i, version, time.Now().Add(within))
	}
}

// holdsRecord reports whether the control server that returned a status stores the replicated log; a witness doesn't.
func holdsRecord(s *status.Fleet) bool {
	return slices.ContainsFunc(s.View.Members, func(m status.Member) bool {
		return m.Self && m.Role != replication.Witness.String()
	})
}

// localStatus returns the status of a control server from its own state.
func (f *fleet) localStatus(m *machine) (*status.Fleet, error) {
	client := operatorclient.Client{Endpoints: []string{m.boot.Ctl}, CallTimeout: time.Second}
	s, _, err := client.Status(f.ctx, true)
	return s, err
}

// changeLoad proposes changes one after the other, and reads the configuration meanwhile.
type changeLoad struct {
	f       *fleet
	end     context.CancelFunc
	running sync.WaitGroup
	newest  atomic.Uint64 // acknowledged
	reads   atomic.Int64

	// Owned by the goroutine that proposes, and readable by others once it has ended.
	acknowledged []uint64
	retried      int // changes acknowledged after more than one attempt
	repeated     int // acknowledged changes that were sent again
	longest      time.Duration
}

const (
	// changePause is the time between two changes.
	changePause = 20 * time.Millisecond
	// changePadding is the size of a change in bytes: some tens of changes exceed the log that a server keeps after a
	// snapshot.
	changePadding = 24 << 10
	// repeatEvery is the number of changes after which an earlier one is sent again.
	repeatEvery = 4
)

// proposeChanges proposes changes on top of the newest version until stop is called.
func (f *fleet) proposeChanges() *changeLoad {
	ctx, cancel := context.WithCancel(f.ctx)
	f.Cleanup(cancel)
	l := &changeLoad{f: f, end: cancel}
	l.newest.Store(f.version)
	l.running.Go(func() { l.propose(ctx) })
	l.running.Go(func() { l.read(ctx) })
	return l
}

// paddedChange returns an update that adds the route of a version and replaces a large one.
func paddedChange(version uint64) object {
	change := addRoute(version)
	upsert := change["upsert"].(object)
	large := route("large", "/large/", "readonly", lookups, 4000, 200, 3, false)
	large["note"] = strings.Repeat("x", changePadding)
	upsert["routing"] = append(upsert["routing"].(list), large)
	return change
}

// propose submits changes, each after the acknowledgement of the one before. Retryable answers lead to a retry; any
// other answer than an acknowledgement fails the test. Every repeatEvery changes an earlier one is sent again: it must
// be recognized as a duplicate, also by a build that did not accept it itself.
func (l *changeLoad) propose(ctx context.Context) {
	operator := &simulation.Operator{Ctl: l.f.operator.Ctl}
	send := func(v uint64) bool {
		bounded, cancel := context.WithTimeout(l.f.ctx, testTimeout)
		defer cancel()
		began := time.Now()
		rep, err := operator.Update(bounded, v-1, paddedChange(v))
		if !l.f.Check(err, qt.IsNil, qt.Commentf("version %d", v)) ||
			!l.f.Check(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("version %d: %s", v, rep.Body)) {
			return false
		}
		l.longest = max(l.longest, time.Since(began))
		if rep.Attempts > 1 {
			l.retried++
		}
		return true
	}
	for v := l.newest.Load() + 1; ctx.Err() == nil; v++ {
		if !send(v) {
			return
		}
		l.acknowledged = append(l.acknowledged, v)
		l.newest.Store(v)
		if v%repeatEvery == 0 {
			// Both early and late changes are sent again: servers received some in a snapshot of the other build.
			l.repeated++
			if !send(l.acknowledged[l.repeated*17%len(l.acknowledged)]) {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(changePause):
		}
	}
}

// read reads the configuration repeatedly and asserts that it is never older than one acknowledged or shown before.
func (l *changeLoad) read(ctx context.Context) {
	ctls := l.f.operator.Ctl
	var last uint64
	for n := 0; ctx.Err() == nil; n++ {
		operator := &simulation.Operator{Ctl: append(slices.Clone(ctls[n%len(ctls):]), ctls[:n%len(ctls)]...)}
		least := max(last, l.newest.Load())
		bounded, cancel := context.WithTimeout(l.f.ctx, testTimeout)
		rep, err := operator.Show(bounded)
		cancel()
		if !l.f.Check(err, qt.IsNil) || !l.f.Check(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body)) {
			return
		}
		l.f.Check(rep.Version >= least, qt.IsTrue, qt.Commentf("%s shows %d after %d", rep.From, rep.Version, least))
		last = rep.Version
		l.reads.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(changePause):
		}
	}
}

// stop ends the load and waits for the change in flight.
func (l *changeLoad) stop() {
	l.end()
	l.running.Wait()
	l.f.version = l.newest.Load()
}
