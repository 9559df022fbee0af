package proxy

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/plantedfault"
)

// drainGrace is the time from the beginning of a drain to the end of all connections in these tests.
const drainGrace = 7700 * time.Millisecond

// What the control plane may say of the other proxies of these tests.
var (
	unknownPeers = peers{}
	allServe     = peers{total: 8, serving: 7, zoneTotal: 4, zoneServing: 3}
	allDrain     = peers{total: 8, serving: 0, zoneTotal: 4, zoneServing: 0}
	fewServe     = peers{total: 8, serving: 5, zoneTotal: 4, zoneServing: 1}
)

// TestPeersAway: clients meet draining proxies where fewer than half of a zone's serve, but not where none does while
// others do, and not where nothing is known.
func TestPeersAway(t *testing.T) {
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

// TestPeersOfMembership counts by zone.
func TestPeersOfMembership(t *testing.T) {
	size := distribution.MembershipSize{
		Proxies:  7,
		Zones:    map[string]int{"a": 3, "b": 4},
		Draining: map[string]int{"a": 2, "b": 1},
	}
	qt.Check(t, peersOf(&size, "a"), qt.Equals, peers{total: 7, serving: 4, zoneTotal: 3, zoneServing: 1})
	qt.Check(t, peersOf(&size, "c"), qt.Equals, peers{total: 7, serving: 4})
}

// TestListenerCloses says when a draining proxy closes its listener, given when the last of its early requests ends.
func TestListenerCloses(t *testing.T) {
	latest := drainGrace - lastAcceptMargin
	for _, tc := range []struct {
		name   string
		known  peers
		first  bool
		client time.Duration // when a new connection comes; 0: none does
		ended  time.Duration // of the early requests
		want   time.Duration
	}{
		{"nothing under way", allServe, true, 0, 0, acceptWindow},
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

// closesAfter plays a drain and returns when its listener is closed. It steps whenever something happens, or the drain
// asks for it.
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

// TestDrainSearch tries every order of a few events at every step of time: what the control plane says, clients that
// come, early requests that end. Its rules hold after each.
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

// checkDrainStep says which rule a step of a drain broke.
func checkDrainStep(d *drainState, now time.Time, early int64, phase drainPhase, wake time.Time) error {
	age := now.Sub(d.began)
	latest := drainGrace - lastAcceptMargin
	switch {
	case d.phase == drainFinishing && phase != drainFinishing:
		return fmt.Errorf("the listener is opened again")
	case phase == drainAccepting && age >= latest:
		return fmt.Errorf("it accepts what it can't finish")
	case phase == drainAccepting && (!wake.After(now) || wake.After(d.closeAt)):
		return fmt.Errorf("steps again at %v", wake.Sub(d.began))
	case phase == drainAccepting && early == 0 && age >= acceptWindow+lateCloseDelay:
		return fmt.Errorf("it stays though it needn't")
	case d.phase == drainFinishing || phase == drainAccepting || age >= latest:
		return nil
	case early > 0:
		return fmt.Errorf("the listener is closed while the proxy has to stay anyway")
	case age < earlyAcceptWindow:
		return fmt.Errorf("it closes before the others know")
	case age < acceptWindow && !d.peers.routedWhileDraining():
		return fmt.Errorf("it closes while the platform still sends it clients")
	case age < acceptWindow && !d.closesEarly:
		return fmt.Errorf("all close at once")
	case age < acceptWindow+lateCloseDelay && !d.closesEarly && d.lateClients && !d.peers.routedWhileDraining():
		return fmt.Errorf("all close at once though clients still come")
	}
	return nil
}

// TestRetryAfterWhileAllDrain: clients that can't be served come back when the draining proxies are back.
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
	c.Check(d.retryAfter(closeAt, manyProxiesPerZone), qt.Equals, restartDelay, qt.Commentf("clients still come"))
}

const drainTests = "^(TestListenerCloses|TestDrainSearch|TestPeersAway|TestRetryAfterWhileAllDrain)$"

var plantedInDrain = []plantedfault.Fault{
	{
		Name:  "the listener closes while earlier requests last",
		Texts: []string{"	case early > 0:\n		return drainAccepting, latest\n", ""},
		Tests: drainTests,
	},
	{
		Name:  "the listener closes before the platform knows",
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
		Name:  "all that drain at once close at once",
		Texts: []string{"case d.peers.routedWhileDraining() && d.closesEarly:", "case d.peers.routedWhileDraining():", "	case d.peers.routedWhileDraining():\n	case", "	case"},
		Tests: drainTests,
	},
	{
		Name:  "nobody closes first",
		Texts: []string{"case d.peers.routedWhileDraining() && d.closesEarly:", "case false:"},
		Tests: drainTests,
	},
	{
		Name:  "a late client counts for nothing",
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
		Name:  "clients are sent to others that drain too",
		Texts: []string{"	if d.clientsReachDraining() {\n		back", "	if false {\n		back"},
		Tests: drainTests,
	},
}

// TestPlantedInDrain: each deliberate error of the drain is found.
func TestPlantedInDrain(t *testing.T) { plantedfault.Find(t, plantedInDrain) }
