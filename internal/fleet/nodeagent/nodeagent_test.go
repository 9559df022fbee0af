package nodeagent

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
)

// TestStaleControlServerIsLeft: a control server that is partitioned from its primary still answers pulls; an agent
// must leave it in time for a change to be in force within the bound. Agents have exceeded the bound by milliseconds.
func TestStaleControlServerIsLeft(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ips := []string{"127.0.4.1", "127.0.4.2", "127.0.4.3", "127.0.4.4", "127.0.0.1"}
	ports := simulation.ChoosePorts(t, 4, ips...)
	set := settings.Settings{
		NodeName:  "edge-1",
		Zone:      "z",
		Ports:     [2]int{ports.First, ports.First + 3},
		Heartbeat: 1200 * time.Millisecond,
	}
	set.Bounds.Apply = 2 * time.Second
	set.Bounds.Drain = time.Minute
	caches := map[string]*distribution.Cache{}
	for _, ip := range ips[:4] {
		ln, err := net.Listen("tcp", distribution.PullAddr(ip, set.Ports))
		c.Assert(err, qt.IsNil)
		defer ln.Close()
		s := distribution.NewCache()
		caches[ip] = s
		s.SetSnapshot(distribution.ConfigType, distribution.Version{Count: 1}, []byte("old"))
		stale := ip != ips[3]
		s.RecordContact("primary", time.Now())
		go distribution.Serve(ctx, ln, ip, s, 10*time.Second, func() (time.Time, string) {
			if !stale {
				s.RecordContact("primary", time.Now())
			}
			return s.LastContact()
		})
		set.Seeds = append(set.Seeds, net.JoinHostPort(ip, "1"))
	}
	agent := New(set, zap.NewNop())
	go func() { _ = agent.Run(ctx) }()
	awaitChange(c, agent, 1, 5*time.Second)
	// Only the server connected to the primary gets the change; all servers had a recent contact just before.
	caches[ips[3]].SetSnapshot(distribution.ConfigType, distribution.Version{Count: 2}, []byte("new"))
	began := time.Now()
	took := awaitChange(c, agent, 2, 10*time.Second).Sub(began)
	c.Assert(took < 3*set.Bounds.Apply, qt.IsTrue, qt.Commentf("%v with three of four stale", took))
	t.Logf("left the stale ones after %v", took)
}

// TestReplacedCoreIsFound replaces all control servers one after the other while a node agent runs: the agent learns
// the control servers' addresses from the servers, and reloads the seeds when no known server answers.
func TestReplacedCoreIsFound(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ips := []string{"127.0.5.1", "127.0.5.2", "127.0.5.3", "127.0.0.1"}
	ports := simulation.ChoosePorts(t, 4, ips...)
	set := settings.Settings{
		NodeName:  "edge-1",
		Zone:      "z",
		Ports:     [2]int{ports.First, ports.First + 3},
		Heartbeat: 400 * time.Millisecond,
	}
	set.Bounds.Apply = time.Second
	set.Bounds.Drain = time.Minute
	set.Seeds = []string{net.JoinHostPort(ips[0], "1")}
	serve := func(ip string, version uint64, core ...string) (stop func()) {
		ln, err := net.Listen("tcp", distribution.PullAddr(ip, set.Ports))
		c.Assert(err, qt.IsNil)
		s := distribution.NewCache()
		s.SetSnapshot(distribution.ConfigType, distribution.Version{Count: version}, []byte("x"))
		if len(core) > 0 {
			b, err := (&distribution.ControlServers{PullAddrs: core}).MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			s.SetSnapshot(distribution.ControlServersType, distribution.Version{Count: version}, b)
		}
		term, end := context.WithCancel(ctx)
		go distribution.Serve(term, ln, ip, s, 10*time.Second, func() (time.Time, string) {
			s.RecordContact("p", time.Now())
			return s.LastContact()
		})
		return func() {
			end()
			ln.Close()
		}
	}
	first := serve(ips[0], 1, distribution.PullAddr(ips[1], set.Ports))
	agent := New(set, zap.NewNop())
	agent.ReloadSeeds = func() []string { return []string{net.JoinHostPort(ips[2], "1")} }
	go func() { _ = agent.Run(ctx) }()
	awaitChange(c, agent, 1, 10*time.Second)
	second := serve(ips[1], 2)
	first()
	awaitChange(c, agent, 2, 10*time.Second) // by the control servers' addresses that it received
	defer serve(ips[2], 3)()
	second()
	awaitChange(c, agent, 3, 10*time.Second) // by the reloaded seeds
}
