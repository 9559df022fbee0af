package controlplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/simulation"
)

// verdictsOf are calls whose answers say something of the state: none of them may be given without contact.
func verdictsOf(version uint64) map[string]func(c *cluster, ip string) reply {
	replace := func(base string, body []byte) func(c *cluster, ip string) reply {
		return func(c *cluster, ip string) reply {
			return c.call(ip, externalapi.CallReplace.Method, externalapi.CallReplace.Path, base, body)
		}
	}
	get := func(path string) func(c *cluster, ip string) reply {
		return func(c *cluster, ip string) reply { return c.call(ip, http.MethodGet, path, "", nil) }
	}
	current := fmt.Sprint(version)
	return map[string]func(c *cluster, ip string) reply{
		"a change":                    replace(current, documentOf(version+1)),
		"a change sent again":         replace("0", documentOf(version)),
		"a change on another base":    replace(fmt.Sprint(version+5), documentOf(version+6)),
		"an invalid change":           replace(current, []byte(`{"ver":1}`)),
		"show":                        get(externalapi.CallShow.Path),
		"status":                      get(externalapi.CallStatus.Path),
		"residency":                   get(externalapi.CallResidency.Path),
		"residency of an unknown one": get(externalapi.CallResidency.Path + "?tenant=nobody"),
	}
}

// unresponsive asks a machine that is cut off for everything: it says nothing of the state, soon, and tells callers to go on elsewhere.
// Where it still hears others it may send callers to one of those given.
func (c *cluster) silent(ip string, version uint64, within time.Duration, heard ...string) {
	c.Helper()
	var all sync.WaitGroup
	for name, ask := range verdictsOf(version) {
		all.Go(func() {
			got := ask(c, ip)
			c.Check(got.took < within, qt.IsTrue, qt.Commentf("%s at %s took %v", name, ip, got.took))
			if got.status == http.StatusTemporaryRedirect && slices.ContainsFunc(heard, func(to string) bool { return strings.HasPrefix(got.location, "http://"+c.control(to)+"/") }) {
				return
			}
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s at %s: %s %s", name, ip, got.location, got.body))
			c.Check(got.retry, qt.Not(qt.Equals), "", qt.Commentf("%s", name))
		})
	}
	all.Wait()
}

// atOnce is more than an answer takes that waits for nothing.
const atOnce = 300 * time.Millisecond

// moveOn is how long the operator waits for an answer.
const moveOn = time.Second

// TestCutOffPrimary: a primary that is cut off, whole or one way, gives no verdict from the cut on: calls that are parked and those
// that come soon are answered before their caller moves on, later ones at once. The others go on. Healed, it says what they
// acknowledged, or sends callers there.
func TestCutOffPrimary(t *testing.T) {
	for i, one := range []struct {
		name  string
		cut   func(c *cluster, primary, other string)
		hears bool
	}{
		{"whole", func(c *cluster, primary, other string) { c.network.Part([]string{primary}, []string{other}) }, false},
		{"it is not heard", func(c *cluster, primary, other string) { c.network.Cut(primary, other) }, true},
		{"it hears nothing", func(c *cluster, primary, other string) { c.network.Cut(other, primary) }, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := newCluster(t, 40+i, 3, 1, nil)
			c.replaced(0, 5, c.ips...)
			old := c.primary(c.ips...)
			others := c.others(old)
			for _, other := range others {
				one.cut(c, old, other)
			}
			cut := time.Now()
			var heard []string
			if one.hears {
				heard = others
			}
			c.silent(old, 5, moveOn, heard...)
			// Of two changes under one number one was sent to the old primary alone: its backups may have it from there.
			in := c.shown(others...)
			t.Logf("shown elsewhere %v after the cut, at try %d", in.At.Sub(cut), in.Tries)
			c.replaced(in.Version, in.Version+2, others...)
			c.within("the cut is known", func() bool {
				st := c.servers[old].status.Load()
				now := time.Now()
				where := decideAdmission(st, c.servers[old].contact.forEpoch(st.Epoch), now.Add(-heartbeatInterval), now)
				return where == rejectPartitioned || one.hears && where == redirectToPrimary
			}, old)
			c.silent(old, 5, atOnce, heard...)
			bad := c.call(old, externalapi.CallReplace.Method, externalapi.CallReplace.Path, "x", documentOf(9))
			c.Assert(bad.status, qt.Equals, http.StatusBadRequest, qt.Commentf("what is wrong with a call as such doesn't depend on the state"))
			c.network.Heal()
			healed := time.Now()
			c.within("in touch again", func() bool {
				got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
				c.Assert(got.status != http.StatusOK || got.body == string(c.shown(others...).Body), qt.IsTrue, qt.Commentf("%d %s", got.status, got.body))
				return got.status == http.StatusOK || got.status == http.StatusTemporaryRedirect
			}, c.ips...)
			t.Logf("in touch again %v after the cut healed", time.Since(healed))
		})
	}
}

// shown is the configuration that some machines show.
func (c *cluster) shown(ips ...string) simulation.Reply {
	c.Helper()
	ctx, cancel := context.WithTimeout(c.Context(), testPatience)
	defer cancel()
	rep, err := c.operator(ips...).Show(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Status, qt.Equals, http.StatusOK)
	return rep
}

// TestNoVerdictRightAfterTheCut: each call by itself, as the first that comes after the cut, when the primary doesn't know of it yet.
func TestNoVerdictRightAfterTheCut(t *testing.T) {
	net := 80
	for name, ask := range verdictsOf(5) {
		t.Run(name, func(t *testing.T) {
			net++
			c := newCluster(t, net, 3, 1, nil)
			c.replaced(0, 5, c.ips...)
			old := c.primary(c.ips...)
			c.network.Part([]string{old}, c.others(old))
			got := ask(c, old)
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s %s", got.location, got.body))
			c.Check(got.took < moveOn, qt.IsTrue, qt.Commentf("%v", got.took))
		})
	}
}

// TestThawedPrimary: a primary whose process slept while another took its place says nothing of the state, nor that its
// configuration is fresh, before it has asked.
func TestThawedPrimary(t *testing.T) {
	c := newCluster(t, 44, 3, 1, nil)
	c.replaced(0, 5, c.ips...)
	old := c.primary(c.ips...)
	others := c.others(old)
	led := c.servers[old].status.Load().Epoch
	resume := c.servers[old].pauseDriver()
	slept := time.Now()
	c.replaced(5, 7, others...)
	next := c.primary(others...)
	// Nothing that the others said meanwhile arrives: what the machine says, it says by itself.
	for _, other := range others {
		c.network.Cut(other, old)
	}
	c.silent(old, 5, moveOn)
	resume()
	c.silent(old, 5, moveOn)
	c.Assert(c.servers[old].isLeader(c.servers[old].status.Load()), qt.IsFalse)
	// It may have learnt of the next view from what came while it slept; in its own it has had no contact since.
	contact := c.servers[old].contact.forEpoch(led)
	c.Assert(contact.at.Before(slept.Add(heartbeatInterval)), qt.IsTrue, qt.Commentf("in contact %v after it slept", contact.at.Sub(slept)))
	fresh, _ := c.servers[old].cache.LastContact()
	c.Assert(fresh.Before(slept.Add(heartbeatInterval)), qt.IsTrue, qt.Commentf("fresh %v after it slept", fresh.Sub(slept)))
	c.network.Heal()
	c.within("the next primary is known", func() bool {
		got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
		c.Assert(got.status, qt.Not(qt.Equals), http.StatusOK)
		return got.status == http.StatusTemporaryRedirect && got.location == "http://"+c.control(next)+externalapi.CallShow.Path
	}, c.ips...)
}

// TestRestartedOnWrongSide: machines that start while they are cut off say nothing and send nobody anywhere, the former primary
// not to itself.
func TestRestartedOnWrongSide(t *testing.T) {
	c := newCluster(t, 45, 3, 1, nil)
	c.replaced(0, 5, c.ips...)
	old := c.primary(c.ips...)
	others := c.others(old)
	c.network.Part([]string{old}, others)
	c.replaced(5, 7, others...)
	set := c.servers[old].set
	c.servers[old].stop()
	set.Bootstrap = false
	c.start(set)
	c.silent(old, 5, moveOn)
	c.Assert(c.pulls(old), qt.HasLen, 3, qt.Commentf("who pulls here learns of the others"))
	// Both halves at once: the others know their view from their disks only.
	for _, ip := range others {
		c.servers[ip].stop()
	}
	c.network.Part(others[:1], others[1:])
	for _, ip := range others {
		set := c.servers[ip].set
		set.Bootstrap = false
		c.start(set)
		c.silent(ip, 7, moveOn)
	}
	c.network.Heal()
	c.replaced(7, 9, c.ips...)
}

// pulls are the control servers that one tells those that pull of.
func (c *cluster) pulls(ip string) []string {
	var core distribution.ControlServers
	for _, r := range c.servers[ip].cache.Fetch(c.Context(), ip, &distribution.Request{}).Resources {
		if r.Type == distribution.ControlServersType {
			_, err := core.UnmarshalMsg(r.Snapshot)
			c.Assert(err, qt.IsNil)
		}
	}
	return core.PullAddrs
}

// TestRedirectsLeadOn: a machine sends callers only to a primary that it has heard since the call came, in the epoch that both know,
// so following redirects never leads back to a machine of the same or an older epoch.
func TestRedirectsLeadOn(t *testing.T) {
	now := time.Now()
	came := now.Add(-heartbeatInterval)
	status := func(role replication.Role, ready bool) *replication.Status {
		return &replication.Status{Role: role, Ready: ready, Epoch: 4, PrimaryAddr: "127.0.0.2:7"}
	}
	const never = -1
	state := func(at, last time.Duration) contactState {
		s := contactState{last: now.Add(-last)}
		if at != never {
			s.at = now.Add(-at)
		}
		return s
	}
	for _, one := range []struct {
		name string
		st   *replication.Status
		c    contactState
		want admission
	}{
		{"a primary that was confirmed", status(replication.Primary, true), state(heartbeatInterval, heartbeatInterval), admitHere},
		{"a primary that wasn't for long", status(replication.Primary, true), state(leaderContactTimeout, leaderContactTimeout), awaitPrimary},
		{"a primary whose backups aren't in step", status(replication.Primary, false), state(0, 0), awaitPrimary},
		{"a primary that was cut off", status(replication.Primary, true), state(partitionTimeout, partitionTimeout), rejectPartitioned},
		{"a primary that stopped long ago", status(replication.Primary, false), state(20*time.Second, 20*time.Second), rejectPartitioned},
		{"a backup that has heard its primary since", status(replication.Backup, true), state(heartbeatInterval/2, heartbeatInterval/2), redirectToPrimary},
		{"a backup that heard its primary before", status(replication.Backup, true), state(heartbeatInterval, heartbeatInterval), awaitPrimary},
		{"a backup that is ready by its disk alone", status(replication.Backup, true), state(never, 20*time.Second), rejectPartitioned},
		{"a backup of a view whose primary wasn't heard", status(replication.Backup, true), state(never, heartbeatInterval), awaitPrimary},
		{"a witness that is cut off", status(replication.Witness, false), state(20*time.Second, 20*time.Second), rejectPartitioned},
		{"a machine that is no member but hears the primary", status(replication.NonMember, false), state(0, 0), awaitPrimary},
		{"a machine that has just started", status(replication.Backup, true), state(never, 0), awaitPrimary},
	} {
		qt.Check(t, decideAdmission(one.st, one.c, came, now), qt.Equals, one.want, qt.Commentf("%s", one.name))
	}
	contact := newContact(now)
	contact.renew(4, now)
	contact.renew(3, now.Add(time.Hour)) // a late word of an older primary
	qt.Check(t, contact.forEpoch(4).at, qt.Equals, now)
	qt.Check(t, contact.forEpoch(3).at.IsZero(), qt.IsTrue)
	contact.enterEpoch(5, now)
	qt.Check(t, contact.forEpoch(5).at.IsZero(), qt.IsTrue, qt.Commentf("of the new primary nothing was heard"))
}

// silence takes connections at an address and says nothing, as a machine without power does for a caller.
func (c *cluster) silence(addr string) {
	c.Helper()
	ln, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.Cleanup(func() { conn.Close() })
		}
	}()
}

// TestNextAcknowledgementAfterALoss: after the loss of the primary a caller at a survivor gets the next acknowledgement in its first
// call, which waits for the takeover; one that turns to the lost machine first has it a second of silence later.
func TestNextAcknowledgementAfterALoss(t *testing.T) {
	for i, one := range []struct {
		name   string
		silent bool // no reset from its addresses
		back   bool // its process starts again at once, with its disk
		first  bool // the caller turns to the lost machine first
		within time.Duration
	}{
		{"killed", false, false, false, moveOn},
		{"killed, asked first", false, false, true, 2 * moveOn},
		{"killed, back at once", false, true, false, moveOn},
		{"killed, back at once, asked first", false, true, true, 2 * moveOn},
		{"without power", true, false, false, moveOn},
		{"without power, asked first", true, false, true, 3 * moveOn},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := newCluster(t, 70+i, 3, 1, nil)
			c.replaced(0, 5, c.ips...)
			lost := c.primary(c.ips...)
			order := c.others(lost)
			if one.first {
				order = append([]string{lost}, order...)
			} else {
				order = append(order, lost)
			}
			if one.silent {
				c.network.Part([]string{lost}, c.others(lost))
			}
			c.servers[lost].stop()
			c.network.Drop(lost)
			killed := time.Now()
			if one.silent {
				c.silence(c.control(lost))
			}
			if one.back {
				set := c.servers[lost].set
				set.Bootstrap = false
				c.start(set)
			}
			rep := c.replaced(5, 7, order...)
			took := rep.At.Sub(killed)
			t.Logf("acknowledged %v after the loss, at try %d", took, rep.Tries)
			c.Assert(took < one.within+moveOn/2, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
