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

// stateCalls returns calls whose answers reveal something about the state; none may be answered without contact.
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
		"a change":                       replace(current, configDocument(version+1)),
		"a change sent again":            replace("0", configDocument(version)),
		"a change on another base":       replace(fmt.Sprint(version+5), configDocument(version+6)),
		"an invalid change":              replace(current, []byte(`{"ver":1}`)),
		"show":                           get(externalapi.CallShow.Path),
		"status":                         get(externalapi.CallStatus.Path),
		"residency":                      get(externalapi.CallResidency.Path),
		"residency of an unknown tenant": get(externalapi.CallResidency.Path + "?tenant=nobody"),
	}
}

// expectUnavailable makes every call to a partitioned machine and checks that it reveals nothing about the state,
// answers in time, and refers callers to other machines. If it still receives messages, it may redirect callers to one
// of the machines in heard.
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

// promptAnswer is more than the duration of an answer that waits for nothing.
const promptAnswer = 300 * time.Millisecond

// callerTimeout is how long the operator waits for an answer.
const callerTimeout = time.Second

// TestPartitionedPrimary checks that a primary that is partitioned, in both directions or in one, gives no answer about
// the state from then on: pending and early calls are answered before the caller moves on, later ones at once. The
// other members continue, and after the partition heals the machine shows what they acknowledged or redirects there.
func TestPartitionedPrimary(t *testing.T) {
	for i, one := range []struct {
		name  string
		cut   func(c *cluster, primary, other string)
		hears bool
	}{
		{"both ways", func(c *cluster, primary, other string) { c.network.Partition([]string{primary}, []string{other}) }, false},
		{"outgoing", func(c *cluster, primary, other string) { c.network.Cut(primary, other) }, true},
		{"incoming", func(c *cluster, primary, other string) { c.network.Cut(other, primary) }, false},
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
			// One of two changes with the same version was sent to the old primary only; its backups may have received
			// it.
			in := c.showConfig(others...)
			t.Logf("shown by the other members %v after the partition, at attempt %d", in.At.Sub(cut), in.Attempts)
			c.replaceConfig(in.Version, in.Version+2, others...)
			c.eventually("the machine knows that it is partitioned", func() bool {
				st := c.servers[old].status.Load()
				now := time.Now()
				where := decideAdmission(st, c.servers[old].contact.forEpoch(st.Epoch), now.Add(-heartbeatInterval), now)
				return where == rejectPartitioned || one.hears && where == redirectToPrimary
			}, old)
			c.expectUnavailable(old, 5, promptAnswer, heard...)
			bad := c.call(old, externalapi.CallReplace.Method, externalapi.CallReplace.Path, "x", configDocument(9))
			c.Assert(bad.status, qt.Equals, http.StatusBadRequest,
				qt.Commentf("a malformed call is an error whatever the state"))
			c.network.Heal()
			healed := time.Now()
			c.eventually("in contact again", func() bool {
				got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
				c.Assert(got.status != http.StatusOK || got.body == string(c.showConfig(others...).Body), qt.IsTrue,
					qt.Commentf("%d %s", got.status, got.body))
				return got.status == http.StatusOK || got.status == http.StatusTemporaryRedirect
			}, c.ips...)
			t.Logf("in contact again %v after the partition healed", time.Since(healed))
		})
	}
}

// showConfig returns the configuration shown by the given machines.
func (c *cluster) showConfig(ips ...string) simulation.Reply {
	c.Helper()
	ctx, cancel := context.WithTimeout(c.Context(), testTimeout)
	defer cancel()
	rep, err := c.operator(ips...).Show(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Status, qt.Equals, http.StatusOK)
	return rep
}

// TestNoAnswerRightAfterPartition checks each call separately as the first one after the partition, when the primary
// hasn't detected it yet.
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

// TestPrimaryAfterAFreeze checks that a primary whose process was suspended while another took over reveals nothing
// about the state, and doesn't claim that its configuration is fresh, before its view is confirmed.
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
	// Nothing that the others sent meanwhile arrives: the machine answers from its own state only.
	for _, other := range others {
		c.network.Cut(other, old)
	}
	c.expectUnavailable(old, 5, callerTimeout)
	resume()
	c.expectUnavailable(old, 5, callerTimeout)
	c.Assert(c.servers[old].isLeader(c.servers[old].status.Load()), qt.IsFalse)
	// It may know the next view from messages received while suspended; in its own it has had no contact since.
	contact := c.servers[old].contact.forEpoch(led)
	c.Assert(contact.at.Before(slept.Add(heartbeatInterval)), qt.IsTrue,
		qt.Commentf("in contact %v after the suspension began", contact.at.Sub(slept)))
	fresh, _ := c.servers[old].cache.LastContact()
	c.Assert(fresh.Before(slept.Add(heartbeatInterval)), qt.IsTrue,
		qt.Commentf("fresh %v after the suspension began", fresh.Sub(slept)))
	c.network.Heal()
	c.eventually("the next primary is known", func() bool {
		got := c.call(old, http.MethodGet, externalapi.CallShow.Path, "", nil)
		c.Assert(got.status, qt.Not(qt.Equals), http.StatusOK)
		return got.status == http.StatusTemporaryRedirect &&
			got.location == "http://"+c.control(next)+externalapi.CallShow.Path
	}, c.ips...)
}

// TestRestartWhilePartitioned checks that machines that start while partitioned reveal nothing and redirect no caller,
// and that the former primary doesn't redirect to itself.
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
	c.Assert(c.publishedControlServers(old), qt.HasLen, 3, qt.Commentf("pulling clients learn of the other members"))
	// The others restart partitioned from each other too: they know their view only from their disks.
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

// publishedControlServers returns the addresses of control servers that a machine publishes to pulling clients.
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

// TestRedirectsNeverLoop checks that a machine redirects callers only to a primary that has contacted it since the call
// arrived, in the epoch known to both, so that redirects never lead back to a machine of the same or an earlier epoch.
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
		at, last time.Duration // before now
		want     admission
	}{
		{"a primary that was confirmed", replication.Primary, true, recent, recent, admitHere},
		{"a primary whose confirmation is stale", replication.Primary, true, stale, stale, awaitPrimary},
		{"a primary whose backups aren't in sync", replication.Primary, false, 0, 0, awaitPrimary},
		{"a partitioned primary", replication.Primary, true, partitionTimeout, partitionTimeout, rejectPartitioned},
		{"a primary that stopped long ago", replication.Primary, false, longAgo, longAgo, rejectPartitioned},
		{"a backup contacted by its primary since", replication.Backup, true, recent / 2, recent / 2, redirectToPrimary},
		{"a backup contacted by its primary before", replication.Backup, true, recent, recent, awaitPrimary},
		{"a backup that is ready by its disk alone", replication.Backup, true, never, longAgo, rejectPartitioned},
		{"a backup not yet contacted by its primary", replication.Backup, true, never, recent, awaitPrimary},
		{"a partitioned witness", replication.Witness, false, longAgo, longAgo, rejectPartitioned},
		{"a non-member contacted by the primary", replication.NonMember, false, 0, 0, awaitPrimary},
		{"a machine that has just started", replication.Backup, true, never, 0, awaitPrimary},
	} {
		got := decideAdmission(status(one.role, one.ready), state(one.at, one.last), came, now)
		qt.Check(t, got, qt.Equals, one.want, qt.Commentf("%s", one.name))
	}
	contact := newContact(now)
	contact.renew(4, now)
	contact.renew(3, now.Add(time.Hour)) // a late message of an earlier primary
	qt.Check(t, contact.forEpoch(4).at, qt.Equals, now)
	qt.Check(t, contact.forEpoch(3).at.IsZero(), qt.IsTrue)
	contact.enterEpoch(5, now)
	qt.Check(t, contact.forEpoch(5).at.IsZero(), qt.IsTrue, qt.Commentf("no contact with the new primary"))
}

// acceptSilently accepts connections at an address and never answers, which to a caller looks like a machine without
// power.
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

// TestAcknowledgementAfterPrimaryLoss checks that after the loss of the primary a caller at a surviving member gets its
// change acknowledged in the first call, which waits for the takeover; a caller that tries the lost machine first gets
// it after one more time-out.
func TestAcknowledgementAfterPrimaryLoss(t *testing.T) {
	for i, one := range []struct {
		name   string
		silent bool // its addresses don't reset connections
		back   bool // its process restarts at once, with its disk
		first  bool // the caller tries the lost machine first
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
			t.Logf("acknowledged %v after the loss, at attempt %d", took, rep.Attempts)
			c.Assert(took < one.within+callerTimeout/2, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
