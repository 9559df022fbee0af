package nodeagent

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/controlplane"
	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
	"molepaddle/internal/fleet/status"
)

// testTimeout bounds the wait for an event that must happen.
const testTimeout = 20 * time.Second

// testCore runs control servers on loopback, on a simulated network between all machines that can be partitioned.
type testCore struct {
	*qt.C
	network *simulation.Network
	ips     []string // of the control servers
	ports   [2]int
	apply   time.Duration
}

// agentIP is the node agent's address; its pulls use the simulated network too.
const agentIP = "127.0.0.1"

// newTestCore starts control servers at 127.0.net.1 and up; data from them and from the agent is delayed by delay.
func newTestCore(t *testing.T, net, members, survive int, apply, delay time.Duration) *testCore {
	c := &testCore{C: qt.New(t), network: simulation.NewNetwork(t), apply: apply}
	c.network.Delay = delay
	for i := range members {
		c.ips = append(c.ips, fmt.Sprintf("127.0.%d.%d", net, i+1))
	}
	span := simulation.ChoosePorts(t, 5, append(slices.Clone(c.ips), agentIP)...)
	c.ports = [2]int{span.First, span.First + 4}
	for _, ip := range c.ips {
		set := c.settings(ip, c.ips[:min(3, members)]...)
		set.Bootstrap = true
		set.DataDir = c.TempDir()
		set.Survive.Nodes = survive
		set.Bind.Control = c.controlAddr(ip)
		server, err := controlplane.New(set, zap.NewNop(), rand.Uint64)
		c.Assert(err, qt.IsNil)
		server.Dial = c.network.Dialer(ip)
		c.run(server.Run)
	}
	c.awaitMembers(members)
	return c
}

// awaitMembers waits until all control servers report a ready view with the given number of members.
func (c *testCore) awaitMembers(members int) {
	c.Helper()
	over := time.After(testTimeout)
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for _, ip := range c.ips {
		for {
			fleet, err := c.status(ip)
			if err == nil && len(fleet.View.Members) == members && fleet.View.Ready {
				break
			}
			select {
			case <-again.C:
			case <-over:
				c.Fatalf("%s: %+v %v", ip, fleet, err)
			}
		}
	}
}

// run runs a program until the end of the test.
func (c *testCore) run(program func(context.Context) error) {
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = program(ctx)
	}()
	c.Cleanup(func() {
		end()
		<-done
	})
}

func (c *testCore) settings(ip string, seeds ...string) settings.Settings {
	set := settings.Settings{
		NodeName:  ip,
		IP:        ip,
		Zone:      "z",
		Region:    "east",
		Zones:     map[string]string{"z": "east"},
		Ports:     c.ports,
		Heartbeat: 1200 * time.Millisecond,
		Bounds: settings.Bounds{
			Apply: c.apply,
			Sync:  4 * time.Second,
			Drain: time.Minute,
			Lease: 3 * time.Second,
		},
	}
	for _, seed := range seeds {
		set.Seeds = append(set.Seeds, c.controlAddr(seed))
	}
	return set
}

func (c *testCore) controlAddr(ip string) string {
	return net.JoinHostPort(ip, fmt.Sprint(c.ports[0]+4))
}

func (c *testCore) others(except ...string) []string {
	return slices.DeleteFunc(slices.Clone(c.ips), func(ip string) bool { return slices.Contains(except, ip) })
}

// replaceConfig sends a configuration to the given control servers and returns when it was acknowledged.
func (c *testCore) replaceConfig(base, version uint64, ips ...string) time.Time {
	c.Helper()
	ctx, cancel := context.WithTimeout(c.Context(), testTimeout)
	defer cancel()
	operator := &simulation.Operator{}
	for _, ip := range ips {
		operator.Ctl = append(operator.Ctl, c.controlAddr(ip))
	}
	rep, err := operator.Replace(ctx, base, fmt.Appendf(nil,
		`{"ver":%d,"routing":[{"name":"r","hostname":"h","pfx":"/","kind":"readonly","deadline_ms":1000,"svc":"s"}],`+
			`"svcs":[{"name":"s","probe":"/healthz"}],"caps":{}}`, version))
	c.Assert(err, qt.IsNil)
	c.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	return rep.At
}

// status returns the fleet's status according to one control server.
func (c *testCore) status(ip string) (*status.Fleet, error) {
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.controlAddr(ip) + externalapi.CallStatus.Path + "?" + externalapi.QueryLocal)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return status.Decode(body)
}

// primary returns the IP of the primary.
func (c *testCore) primary() string {
	c.Helper()
	fleet, err := c.status(c.ips[0])
	c.Assert(err, qt.IsNil)
	host, _, err := net.SplitHostPort(fleet.View.Primary)
	c.Assert(err, qt.IsNil)
	return host
}

// startAgent starts a node agent with the given control servers as seeds; it watches the first one that is connected to
// the primary.
func (c *testCore) startAgent(seeds ...string) *Agent {
	a := New(c.settings(agentIP, seeds...), zap.NewNop())
	a.Dial = c.network.Dialer(agentIP)
	c.run(a.Run)
	return a
}

// awaitChange waits until an agent has a change of the configuration, and returns when.
func (c *testCore) awaitChange(a *Agent, change uint64) time.Time {
	c.Helper()
	return awaitChange(c.C, a, change, testTimeout)
}

// awaitChange waits until an agent has a change of the configuration, and returns when; it fails the test after
// timeout.
func awaitChange(c *qt.C, a *Agent, change uint64, timeout time.Duration) time.Time {
	c.Helper()
	over := time.After(timeout)
	for {
		changed := a.cache.Changed()
		if at, _ := a.cache.Version(distribution.ConfigType); at.Count >= change {
			return time.Now()
		}
		select {
		case <-changed:
		case <-over:
			c.Fatalf("change %d does not reach the agent within %v", change, timeout)
		}
	}
}

// TestChangeReachesAgentInTime partitions the control server that a node agent watches from the core, but not from the
// agent: a change that is acknowledged afterwards reaches the agent within apply_ms.
func TestChangeReachesAgentInTime(t *testing.T) {
	backup := func(c *testCore) string { return c.others(c.primary())[0] }
	type situation struct {
		name             string
		members, survive int
		follows          func(c *testCore) string
		cut              func(c *testCore, followed string) (majority []string)
	}
	isolate := func(c *testCore, followed string) []string {
		c.network.Partition([]string{followed}, c.others(followed))
		return c.others(followed)
	}
	for i, tc := range []situation{
		{"a backup, in both directions", 3, 1, backup, isolate},
		{"a backup, outgoing only", 3, 1, backup, func(c *testCore, followed string) []string {
			for _, ip := range c.others(followed) {
				c.network.Cut(followed, ip)
			}
			return c.others(followed)
		}},
		{"a backup, incoming only", 3, 1, backup, func(c *testCore, followed string) []string {
			for _, ip := range c.others(followed) {
				c.network.Cut(ip, followed)
			}
			return c.others(followed)
		}},
		{"the primary", 3, 1, (*testCore).primary, isolate},
		{"two of five", 5, 2, backup, func(c *testCore, followed string) []string {
			lost := append([]string{followed}, c.others(followed, c.primary())[0])
			c.network.Partition(lost, c.others(lost...))
			return c.others(lost...)
		}},
	} {
		for j, apply := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s %v", tc.name, apply), func(t *testing.T) {
				c := newTestCore(t, 50+2*i+j, tc.members, tc.survive, apply, 0)
				c.replaceConfig(0, 5, c.ips...)
				followed := tc.follows(c)
				a := c.startAgent(followed)
				c.awaitChange(a, 1)
				cut := time.Now()
				side := tc.cut(c, followed)
				acked := c.replaceConfig(5, 7, side...)
				there := c.awaitChange(a, 2)
				t.Logf("acknowledged %v after the cut, with the agent %v after that", acked.Sub(cut), there.Sub(acked))
				c.Assert(there.Sub(acked) < apply, qt.IsTrue, qt.Commentf("%v", there.Sub(acked)))
			})
		}
	}
}

// TestAgentStartsOnTheMinoritySide: an agent that starts during a partition, with a control server of the minority side
// as its only seed, learns the other servers' addresses from it, and gets the configuration that was acknowledged on
// the majority side.
func TestAgentStartsOnTheMinoritySide(t *testing.T) {
	c := newTestCore(t, 62, 3, 1, 2*time.Second, 0)
	c.replaceConfig(0, 5, c.ips...)
	lone := c.others(c.primary())[0]
	c.network.Partition([]string{lone}, c.others(lone))
	c.replaceConfig(5, 7, c.others(lone)...)
	began := time.Now()
	a := c.startAgent(lone)
	took := c.awaitChange(a, 2).Sub(began)
	t.Logf("the newest configuration %v after the start", took)
	c.Assert(took < c.apply, qt.IsTrue, qt.Commentf("%v", took))
}

// TestAgentStaysWithAConnectedServer: with round trips as between regions, an agent doesn't leave a control server that
// is connected to the primary, neither the primary itself nor a backup.
func TestAgentStaysWithAConnectedServer(t *testing.T) {
	backup := func(c *testCore) string { return c.others(c.primary())[0] }
	for i, follows := range []func(c *testCore) string{(*testCore).primary, backup} {
		const trip = 60 * time.Millisecond
		c := newTestCore(t, 64+i, 3, 1, 2*time.Second, trip/2)
		c.replaceConfig(0, 5, c.ips...)
		a := New(c.settings(agentIP, follows(c)), zap.NewNop())
		var dials atomic.Int64
		dial := c.network.Dialer(agentIP)
		a.Dial = func(addr string, within time.Duration) (net.Conn, error) {
			dials.Add(1)
			return dial(addr, within)
		}
		began := time.Now()
		c.run(a.Run)
		const observed = 4 * time.Second
		over := time.After(testTimeout)
		again := time.NewTicker(20 * time.Millisecond)
		defer again.Stop()
		worst := time.Duration(0)
		lastContact, _ := a.cache.LastContact()
		for ; lastContact.Before(began.Add(observed)); lastContact, _ = a.cache.LastContact() {
			if !lastContact.IsZero() {
				worst = max(worst, time.Since(lastContact))
			}
			select {
			case <-again.C:
			case <-over:
				c.Fatalf("the last contact with the primary was %v after the start", lastContact.Sub(began))
			}
		}
		t.Logf("%d connections in %v, the last contact %v old at the most", dials.Load(), observed, worst)
		c.Assert(dials.Load() <= 2, qt.IsTrue, qt.Commentf("%d connections", dials.Load()))
	}
}
