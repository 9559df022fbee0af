package proxy

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/plantedfault"
)

// drainGrace is the time from the start of a drain until all connections are closed in these tests.
const drainGrace = 7700 * time.Millisecond

// Peer counts that the control plane may report in these tests.
var (
	unknownPeers = peers{}
	allServe     = peers{total: 8, serving: 7, zoneTotal: 4, zoneServing: 3}
	allDrain     = peers{total: 8, serving: 0, zoneTotal: 4, zoneServing: 0}
	fewServe     = peers{total: 8, serving: 5, zoneTotal: 4, zoneServing: 1}
)

// TestRoutedWhileDraining: clients reach draining proxies if fewer than half of a zone's proxies serve, but not if none
// of the zone does while others do, and not if nothing has been reported.
func TestRoutedWhileDraining(t *testing.T) {
	for _, tc := range []struct {
		name string
		of   peers
		want bool
	}{
		{"nothing is known", unknownPeers, false},
		{"one drains", allServe, false},
		{"half of the zone drains", peers{total: 8, serving: 6, zoneTotal: 4, zoneServing: 2}, false},
		{"more than half of the zone drain", fewServe, true},
		{"all of the zone drain", peers{total: 8, serving: 4, zoneTotal: 4, zoneServing: 0}, false},
		{"all drain", allDrain, true},
		{"the only one drains", peers{total: 1, zoneTotal: 1}, true},
	} {
		qt.Check(t, tc.of.routedWhileDraining(), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestPeersOfMembership checks the counts by zone.
func TestPeersOfMembership(t *testing.T) {
	size := distribution.MembershipSize{
		Proxies:  7,
		Zones:    map[string]int{"a": 3, "b": 4},
		Draining: map[string]int{"a": 2, "b": 1},
	}
	qt.Check(t, peersOf(&size, "a"), qt.Equals, peers{total: 7, serving: 4, zoneTotal: 3, zoneServing: 1})
	qt.Check(t, peersOf(&size, "c"), qt.Equals, peers{total: 7, serving: 4})
}

// TestListenerCloses checks when a draining proxy closes its listener, given when the last of its early requests ends.
func TestListenerCloses(t *testing.T) {
	latest := drainGrace - lastAcceptMargin
	for _, tc := range []struct {
		name   string
		known  peers
		first  bool
		client time.Duration // when a new connection arrives; 0: none does
		ended  time.Duration // when the early requests end
		want   time.Duration
	}{
		{"no requests in flight", allServe, true, 0, 0, acceptWindow},
		{"early requests end later", allServe, false, 0, 5 * time.Second, 5 * time.Second},
		{"early requests never end", allServe, false, 0, time.Minute, latest},
		{"all drain, one of the first", allDrain, true, 0, 0, earlyAcceptWindow},
		{"all drain, one of the first with a stream", allDrain, true, 0, 2 * time.Second, 2 * time.Second},
		{"all drain, one of the others", allDrain, false, 0, 0, acceptWindow},
		{"few serve, one of the first", fewServe, true, 0, 0, earlyAcceptWindow},
		{"nothing is known", unknownPeers, true, 0, 0, acceptWindow},
		{"nothing is known, a client in time", unknownPeers, false, notReadyLag, 0, acceptWindow},
		{"nothing is known, a late client, one of the first", unknownPeers, true, notReadyLag + 1, 0, acceptWindow},
		{"nothing is known, a late client, one of the others", unknownPeers, false, notReadyLag + 1, 0,
			acceptWindow + lateCloseDelay},
	} {
		qt.Check(t, closesAfter(tc.known, tc.first, tc.client, tc.ended), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// closesAfter simulates a drain and returns when its listener is closed. It steps at each event, and when the drain
// requests it.
func closesAfter(known peers, first bool, client, ended time.Duration) time.Duration {
	began := time.Unix(1000, 0)
	d := newDrainState(began, began.Add(drainGrace), first, known)
	for now := began; ; {
		at := now.Sub(began)
		early := int64(0)
		if at < ended {
			early = 1
		}
		phase, next := d.step(now, early)
		if phase == drainFinishing || !next.After(now) { // a step that asks for no later one is an error of its own
			return at
		}
		if client > at && began.Add(client).Before(next) {
			next = began.Add(client)
		}
		if ended > at && began.Add(ended).Before(next) {
			next = began.Add(ended)
		}
		now = next
		if now.Sub(began) == client {
			d.connected(now)
		}
	}
}

// TestDrainSearch tries every order of a few events at every time step: reports of the control plane, new connections,
// and the end of early requests. The rules are checked after each step.
func TestDrainSearch(t *testing.T) {
	const stepTime, depth = 700 * time.Millisecond, 6
	events := []func(d *drainState, now time.Time, early *int64){
		func(*drainState, time.Time, *int64) {},
		func(d *drainState, _ time.Time, _ *int64) { d.peers = allDrain },
		func(d *drainState, _ time.Time, _ *int64) { d.peers = allServe },
		func(d *drainState, now time.Time, _ *int64) { d.connected(now) },
		func(_ *drainState, _ time.Time, early *int64) { *early = 0 },
	}
	began := time.Unix(1000, 0)
	states := 0
	var search func(d drainState, early int64, at, left int)
	search = func(d drainState, early int64, at, left int) {
		if left == 0 {
			return
		}
		now := began.Add(time.Duration(at) * stepTime)
		for _, event := range events {
			next, open := d, early
			event(&next, now, &open)
			was := next
			phase, wake := next.step(now, open)
			states++
			if err := checkDrainStep(&was, now, open, phase, wake); err != nil {
				t.Fatalf("%v after %v: %+v", err, now.Sub(began), was)
			}
			search(next, open, at+1, left-1)
		}
	}
	for _, first := range []bool{false, true} {
		for _, early := range []int64{0, 1} {
			for from := range 7 {
				search(newDrainState(began, began.Add(drainGrace), first, unknownPeers), early, from, depth)
			}
		}
	}
	t.Logf("%d steps", states)
}

// checkDrainStep returns the rule that a step of a drain violates.
func checkDrainStep(d *drainState, now time.Time, early int64, phase drainPhase, wake time.Time) error {
	age := now.Sub(d.began)
	latest := drainGrace - lastAcceptMargin
	switch {
	case d.phase == drainFinishing && phase != drainFinishing:
		return fmt.Errorf("the closed listener was reopened")
	case phase == drainAccepting && age >= latest:
		return fmt.Errorf("the proxy accepts requests that it cannot finish")
	case phase == drainAccepting && (!wake.After(now) || wake.After(d.closeAt)):
		return fmt.Errorf("next step at %v, outside the drain", wake.Sub(d.began))
	case phase == drainAccepting && early == 0 && age >= acceptWindow+lateCloseDelay:
		return fmt.Errorf("the listener is still open without early requests")
	case d.phase == drainFinishing || phase == drainAccepting || age >= latest:
		return nil
	case early > 0:
		return fmt.Errorf("the listener is closed while early requests are in flight")
	case age < earlyAcceptWindow:
		return fmt.Errorf("the listener is closed before earlyAcceptWindow")
	case age < acceptWindow && !d.peers.routedWhileDraining():
		return fmt.Errorf("the listener is closed while the platform still sends clients")
	case age < acceptWindow && !d.closesEarly:
		return fmt.Errorf("all proxies close at once")
	case age < acceptWindow+lateCloseDelay && !d.closesEarly && d.lateClients && !d.peers.routedWhileDraining():
		return fmt.Errorf("all proxies close at once while clients still arrive")
	}
	return nil
}

// TestRetryAfterWhileAllDrain: clients that cannot be served are told to retry once the draining proxies are back.
func TestRetryAfterWhileAllDrain(t *testing.T) {
	c := qt.New(t)
	began := time.Unix(1000, 0)
	closeAt := began.Add(drainGrace)
	d := newDrainState(began, closeAt, false, allDrain)
	c.Check(d.retryAfter(began, manyProxiesPerZone), qt.Equals, drainGrace+restartDelay)
	c.Check(d.retryAfter(began.Add(5*time.Second), 1), qt.Equals, drainGrace+restartDelay-5*time.Second)
	c.Check(d.retryAfter(closeAt.Add(restartDelay), 1), qt.Equals, minRetryAfter)
	d.peers = allServe
	c.Check(d.retryAfter(began, manyProxiesPerZone), qt.Equals, retryElsewhereAfter)
	d.connected(began.Add(notReadyLag + time.Millisecond))
	c.Check(d.retryAfter(closeAt, manyProxiesPerZone), qt.Equals, restartDelay, qt.Commentf("clients still arrive"))
}

const drainTests = "^(TestListenerCloses|TestDrainSearch|TestRoutedWhileDraining|TestRetryAfterWhileAllDrain)$"

var drainFaults = []plantedfault.Fault{
	{
		Name:  "the listener closes while earlier requests last",
		Texts: []string{"	case early > 0:\n		return drainAccepting, latest\n", ""},
		Tests: drainTests,
	},
	{
		Name:  "the listener closes before the platform stops sending clients",
		Texts: []string{"case now.Before(earliest):", "case now.Before(d.began):"},
		Tests: drainTests,
	},
	{
		Name:  "the listener never closes while a stream lasts",
		Texts: []string{"	case !now.Before(latest):\n		d.phase = drainFinishing\n", ""},
		Tests: drainTests,
	},
	{
		Name:  "a closed listener is opened again",
		Texts: []string{"	if d.phase == drainFinishing {\n		return drainFinishing, d.closeAt\n	}\n", ""},
		Tests: drainTests,
	},
	{
		Name: "all that drain at once close at once",
		Texts: []string{
			"case d.peers.routedWhileDraining() && d.closesEarly:", "case d.peers.routedWhileDraining():",
			"	case d.peers.routedWhileDraining():\n	case", "	case",
		},
		Tests: drainTests,
	},
	{
		Name:  "no proxy closes first",
		Texts: []string{"case d.peers.routedWhileDraining() && d.closesEarly:", "case false:"},
		Tests: drainTests,
	},
	{
		Name:  "a late client is ignored",
		Texts: []string{"		d.lateClients = true\n", "		_ = now\n"},
		Tests: drainTests,
	},
	{
		Name:  "early clients count as late",
		Texts: []string{"now.Sub(d.began) > notReadyLag", "now.Sub(d.began) > 0"},
		Tests: drainTests,
	},
	{
		Name:  "a zone without a proxy counts as a fleet without one",
		Texts: []string{"return ps.serving == 0", "return true"},
		Tests: drainTests,
	},
	{
		Name:  "clients are sent to other draining proxies",
		Texts: []string{"	if d.clientsReachDraining() {\n		back", "	if false {\n		back"},
		Tests: drainTests,
	},
}

// TestPlantedDrainFaults checks that each planted fault of the drain is detected.
func TestPlantedDrainFaults(t *testing.T) { plantedfault.Find(t, drainFaults) }
