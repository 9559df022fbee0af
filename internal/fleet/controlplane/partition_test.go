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

// stateCalls are calls whose answers say something of the state: none of them may be given without contact.
func stateCalls(version uint64) map[string]func(c *cluster, ip string) reply {
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
		"a change":                    replace(current, configDocument(version+1)),
		"a change sent again":         replace("0", configDocument(version)),
		"a change on another base":    replace(fmt.Sprint(version+5), configDocument(version+6)),
		"an invalid change":           replace(current, []byte(`{"ver":1}`)),
		"show":                        get(externalapi.CallShow.Path),
		"status":                      get(externalapi.CallStatus.Path),
		"residency":                   get(externalapi.CallResidency.Path),
		"residency of an unknown one": get(externalapi.CallResidency.Path + "?tenant=nobody"),
	}
}

// expectUnavailable asks a machine that is cut off for everything: it says nothing of the state, soon, and tells
// callers to go on elsewhere. Where it still hears others it may send callers to one of those given.
func (c *cluster) expectUnavailable(ip string, version uint64, within time.Duration, heard ...string) {
	c.Helper()
	var all sync.WaitGroup
	for name, ask := range stateCalls(version) {
		all.Go(func() {
			got := ask(c, ip)
			c.Check(got.took < within, qt.IsTrue, qt.Commentf("%s at %s took %v", name, ip, got.took))
			toHeard := slices.ContainsFunc(heard, func(to string) bool {
				return strings.HasPrefix(got.location, "http://"+c.control(to)+"/")
			})
			if got.status == http.StatusTemporaryRedirect && toHeard {
				return
			}
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable,
				qt.Commentf("%s at %s: %s %s", name, ip, got.location, got.body))
			c.Check(got.retry, qt.Not(qt.Equals), "", qt.Commentf("%s", name))
		})
	}
	all.Wait()
}

// promptAnswer is more than an answer takes that waits for nothing.
const promptAnswer = 300 * time.Millisecond

// callerTimeout is how long the operator waits for an answer.
const callerTimeout = time.Second

// TestPartitionedPrimary: a primary that is cut off, both ways or one way, gives no verdict from the cut on: calls that are
// parked and those that come soon are answered before their caller moves on, later ones at once. The others go on.
// Healed, it says what they acknowledged, or sends callers there.
func TestPartitionedPrimary(t *testing.T) {
	for i, one := range []struct {
		name  string
		cut   func(c *cluster, primary, other string)
		hears bool
	}{
		{"whole", func(c *cluster, primary, other string) { c.network.Partition([]string{primary}, []string{other}) }, false},
		{"it is not heard", func(c *cluster, primary, other string) { c.network.Cut(primary, other) }, true},
		{"it hears nothing", func(c *cluster, primary, other string) { c.network.Cut(other, primary) }, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := newCluster(t, 40+i, 3, 1, nil)
			c.replaceConfig(0, 5, c.ips...)
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
			c.expectUnavailable(old, 5, callerTimeout, heard...)
			// Of two changes under one number one was sent to the old primary alone: its backups may have it from
			// there.
			in := c.showConfig(others...)
			t.Logf("shown elsewhere %v after the cut, at try %d", in.At.Sub(cut), in.Attempts)
			c.replaceConfig(in.Version, in.Version+2, others...)
			c.eventually("the cut is known", func() bool {
				st := c.servers[old].status.Load()
				now := time.Now()
				where := decideAdmission(st, c.servers[old].contact.forEpoch(st.Epoch), now.Add(-heartbeatInterval), now)
				return where == rejectPartitioned || one.hears && where == redirectToPrimary
			}, old)
			c.expectUnavailable(old, 5, promptAnswer, heard...)
			bad := c.call(old, externalapi.CallReplace.Method, externalapi.CallReplace.Path, "x", configDocument(9))
			c.Assert(bad.status, qt.Equals, http.StatusBadRequest,
				qt.Commentf("what is wrong with a call as such doesn't depend on the state"))
			c.network.Heal()
			healed := time.Now()
			c.eventually("in touch again", func() bool {
				got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
				c.Assert(got.status != http.StatusOK || got.body == string(c.showConfig(others...).Body), qt.IsTrue,
					qt.Commentf("%d %s", got.status, got.body))
				return got.status == http.StatusOK || got.status == http.StatusTemporaryRedirect
			}, c.ips...)
			t.Logf("in touch again %v after the cut healed", time.Since(healed))
		})
	}
}

// showConfig is the configuration that some machines show.
func (c *cluster) showConfig(ips ...string) simulation.Reply {
	c.Helper()
	ctx, cancel := context.WithTimeout(c.Context(), testTimeout)
	defer cancel()
	rep, err := c.operator(ips...).Show(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Status, qt.Equals, http.StatusOK)
	return rep
}

// TestNoAnswerRightAfterPartition: each call by itself, as the first that comes after the cut, when the primary doesn't
// know of it yet.
func TestNoAnswerRightAfterPartition(t *testing.T) {
	net := 80
	for name, ask := range stateCalls(5) {
		t.Run(name, func(t *testing.T) {
			net++
			c := newCluster(t, net, 3, 1, nil)
			c.replaceConfig(0, 5, c.ips...)
			old := c.primary(c.ips...)
			c.network.Partition([]string{old}, c.others(old))
			got := ask(c, old)
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s %s", got.location, got.body))
			c.Check(got.took < callerTimeout, qt.IsTrue, qt.Commentf("%v", got.took))
		})
	}
}

// TestPrimaryAfterAFreeze: a primary whose process slept while another took over says nothing of the state, nor
// that its configuration is fresh, before it has asked.
func TestPrimaryAfterAFreeze(t *testing.T) {
	c := newCluster(t, 44, 3, 1, nil)
	c.replaceConfig(0, 5, c.ips...)
	old := c.primary(c.ips...)
	others := c.others(old)
	led := c.servers[old].status.Load().Epoch
	resume := c.servers[old].pauseDriver()
	slept := time.Now()
	c.replaceConfig(5, 7, others...)
	next := c.primary(others...)
	// Nothing that the others said meanwhile arrives: what the machine says, it says by itself.
	for _, other := range others {
		c.network.Cut(other, old)
	}
	c.expectUnavailable(old, 5, callerTimeout)
	resume()
	c.expectUnavailable(old, 5, callerTimeout)
	c.Assert(c.servers[old].isLeader(c.servers[old].status.Load()), qt.IsFalse)
	// It may have learnt of the next view from what came while it slept; in its own it has had no contact since.
	contact := c.servers[old].contact.forEpoch(led)
	c.Assert(contact.at.Before(slept.Add(heartbeatInterval)), qt.IsTrue,
		qt.Commentf("in contact %v after it slept", contact.at.Sub(slept)))
	fresh, _ := c.servers[old].cache.LastContact()
	c.Assert(fresh.Before(slept.Add(heartbeatInterval)), qt.IsTrue,
		qt.Commentf("fresh %v after it slept", fresh.Sub(slept)))
	c.network.Heal()
	c.eventually("the next primary is known", func() bool {
		got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
		c.Assert(got.status, qt.Not(qt.Equals), http.StatusOK)
		return got.status == http.StatusTemporaryRedirect &&
			got.location == "http://"+c.control(next)+externalapi.CallShow.Path
	}, c.ips...)
}

// TestRestartWhilePartitioned: machines that start while they are cut off say nothing and send nobody anywhere, the
// former primary not to itself.
func TestRestartWhilePartitioned(t *testing.T) {
	c := newCluster(t, 45, 3, 1, nil)
	c.replaceConfig(0, 5, c.ips...)
	old := c.primary(c.ips...)
	others := c.others(old)
	c.network.Partition([]string{old}, others)
	c.replaceConfig(5, 7, others...)
	set := c.servers[old].set
	c.servers[old].stop()
	set.Bootstrap = false
	c.start(set)
	c.expectUnavailable(old, 5, callerTimeout)
	c.Assert(c.publishedControlServers(old), qt.HasLen, 3, qt.Commentf("who pulls here learns of the others"))
	// Both halves at once: the others know their view from their disks only.
	for _, ip := range others {
		c.servers[ip].stop()
	}
	c.network.Partition(others[:1], others[1:])
	for _, ip := range others {
		set := c.servers[ip].set
		set.Bootstrap = false
		c.start(set)
		c.expectUnavailable(ip, 7, callerTimeout)
	}
	c.network.Heal()
	c.replaceConfig(7, 9, c.ips...)
}

// publishedControlServers are the control servers that one tells those that pull of.
func (c *cluster) publishedControlServers(ip string) []string {
	var core distribution.ControlServers
	for _, r := range c.servers[ip].cache.Fetch(c.Context(), ip, &distribution.Request{}).Resources {
		if r.Type == distribution.ControlServersType {
			_, err := core.UnmarshalMsg(r.Snapshot)
			c.Assert(err, qt.IsNil)
		}
	}
	return core.PullAddrs
}

// TestRedirectsNeverLoop: a machine sends callers only to a primary that it has heard since the call came, in the
// epoch that both know, so following redirects never leads back to a machine of the same or an older epoch.
func TestRedirectsNeverLoop(t *testing.T) {
	now := time.Now()
	came := now.Add(-heartbeatInterval)
	status := func(role replication.Role, ready bool) *replication.Status {
		return &replication.Status{Role: role, Ready: ready, Epoch: 4, PrimaryAddr: "127.0.0.2:7"}
	}
	const never, recent, stale, longAgo = -1, heartbeatInterval, leaderContactTimeout, 20 * time.Second
	state := func(at, last time.Duration) contactState {
		s := contactState{last: now.Add(-last)}
		if at != never {
			s.at = now.Add(-at)
		}
		return s
	}
	for _, one := range []struct {
		name     string
		role     replication.Role
		ready    bool
		at, last time.Duration // ago
		want     admission
	}{
		{"a primary that was confirmed", replication.Primary, true, recent, recent, admitHere},
		{"a primary that wasn't for long", replication.Primary, true, stale, stale, awaitPrimary},
		{"a primary whose backups aren't in step", replication.Primary, false, 0, 0, awaitPrimary},
		{"a primary that was cut off", replication.Primary, true, partitionTimeout, partitionTimeout, rejectPartitioned},
		{"a primary that stopped long ago", replication.Primary, false, longAgo, longAgo, rejectPartitioned},
		{"a backup that has heard its primary since", replication.Backup, true, recent / 2, recent / 2, redirectToPrimary},
		{"a backup that heard its primary before", replication.Backup, true, recent, recent, awaitPrimary},
		{"a backup that is ready by its disk alone", replication.Backup, true, never, longAgo, rejectPartitioned},
		{"a backup of a view whose primary wasn't heard", replication.Backup, true, never, recent, awaitPrimary},
		{"a witness that is cut off", replication.Witness, false, longAgo, longAgo, rejectPartitioned},
		{"a machine that is no member but hears the primary", replication.NonMember, false, 0, 0, awaitPrimary},
		{"a machine that has just started", replication.Backup, true, never, 0, awaitPrimary},
	} {
		got := decideAdmission(status(one.role, one.ready), state(one.at, one.last), came, now)
		qt.Check(t, got, qt.Equals, one.want, qt.Commentf("%s", one.name))
	}
	contact := newContact(now)
	contact.renew(4, now)
	contact.renew(3, now.Add(time.Hour)) // a late message of an older primary
	qt.Check(t, contact.forEpoch(4).at, qt.Equals, now)
	qt.Check(t, contact.forEpoch(3).at.IsZero(), qt.IsTrue)
	contact.enterEpoch(5, now)
	qt.Check(t, contact.forEpoch(5).at.IsZero(), qt.IsTrue, qt.Commentf("of the new primary nothing was heard"))
}

// acceptSilently takes connections at an address and says nothing, as a machine without power does for a caller.
func (c *cluster) acceptSilently(addr string) {
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

// TestAcknowledgementAfterPrimaryLoss: after the loss of the primary a caller at a survivor gets the next
// acknowledgement in its first call, which waits for the takeover; one that turns to the lost machine first has it a
// second of silence later.
func TestAcknowledgementAfterPrimaryLoss(t *testing.T) {
	for i, one := range []struct {
		name   string
		silent bool // no reset from its addresses
		back   bool // its process starts again at once, with its disk
		first  bool // the caller turns to the lost machine first
		within time.Duration
	}{
		{"killed", false, false, false, callerTimeout},
		{"killed, asked first", false, false, true, 2 * callerTimeout},
		{"killed, back at once", false, true, false, callerTimeout},
		{"killed, back at once, asked first", false, true, true, 2 * callerTimeout},
		{"without power", true, false, false, callerTimeout},
		{"without power, asked first", true, false, true, 3 * callerTimeout},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := newCluster(t, 70+i, 3, 1, nil)
			c.replaceConfig(0, 5, c.ips...)
			lost := c.primary(c.ips...)
			order := c.others(lost)
			if one.first {
				order = append([]string{lost}, order...)
			} else {
				order = append(order, lost)
			}
			if one.silent {
				c.network.Partition([]string{lost}, c.others(lost))
			}
			c.servers[lost].stop()
			c.network.CloseConns(lost)
			killed := time.Now()
			if one.silent {
				c.acceptSilently(c.control(lost))
			}
			if one.back {
				set := c.servers[lost].set
				set.Bootstrap = false
				c.start(set)
			}
			rep := c.replaceConfig(5, 7, order...)
			took := rep.At.Sub(killed)
			t.Logf("acknowledged %v after the loss, at try %d", took, rep.Attempts)
			c.Assert(took < one.within+callerTimeout/2, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
