package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/status"
)

// status returns the output of `molepaddle-fleet status --json` at one core machine.
func (f *fleet) status(at *machine, flags ...string) *status.Fleet {
	f.Helper()
	code, out, errOut := fleetctl(f, append([]string{"status", "--json", "--control", at.boot.Ctl}, flags...)...)
	f.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	var s status.Fleet
	f.Assert(json.Unmarshal([]byte(out), &s), qt.IsNil)
	return &s
}

// watch runs `molepaddle-fleet watch` with the addresses of all core machines and returns its output.
func (f *fleet) watch(code int, args ...string) string {
	f.Helper()
	args = append([]string{"watch"}, args...)
	for _, addr := range f.operator.Ctl {
		args = append(args, "--control", addr)
	}
	got, out, errOut := fleetctl(f, args...)
	f.Assert(got, qt.Equals, code, qt.Commentf("%v: %s%s", args, out, errOut))
	return out + errOut
}

func names(agents []status.Agent) (all []string) {
	for _, a := range agents {
		all = append(all, a.Name)
	}
	return all
}

// TestStatus follows the rollout of configurations to every proxy, also while one hangs and after the loss of the
// primary.
func TestStatus(t *testing.T) {
	f := newFleet(t, fleetOptions{prefill: 2, decode: 2})
	primary := f.primary()
	f.watch(exitOK, "1")
	f.checkStatusEverywhere(primary)
	f.checkListVersions(primary)
	f.checkLocalStatus(primary)
	f.checkHungProxy(primary)
	f.checkStatusAfterTakeover(primary)
	f.checkRules()
}

// checkStatusEverywhere: whichever control server is called, the primary answers.
func (f *fleet) checkStatusEverywhere(primary *machine) {
	for _, m := range f.core {
		s := f.status(m)
		f.Check(s.From, qt.Equals, primary.settings.Node)
		f.Check(s.Confirmed, qt.IsTrue)
		f.Check(s.CollectingLeases, qt.IsFalse)
		f.Check(s.View.Primary, qt.Equals, primary.boot.Ctl)
		roles := map[string]int{}
		for i, member := range s.View.Members {
			f.Check(member.Address, qt.Equals, f.core[i].boot.Ctl)
			f.Check(member.Zone, qt.Equals, f.core[i].settings.Zone)
			roles[member.Role]++
			f.Check(member.Self, qt.Equals, f.core[i] == primary)
			f.Check(member.LastContactMs >= 0, qt.Equals, !member.Self, qt.Commentf("%+v", member))
		}
		f.Check(roles, qt.DeepEquals, map[string]int{"primary": 1, "backup": 1, "witness": 1})
		for _, d := range s.SingletonRoles {
			f.Check(d.Holder, qt.Equals, primary.boot.Ctl)
			f.Check(d.FencingToken, qt.Equals, s.View.Epoch)
		}
		f.Check(s.Configuration.Version, qt.Equals, int64(1))
		f.Check(s.Configuration.Seq, qt.Equals, uint64(1))
		f.Check(names(s.Agents), qt.DeepEquals, []string{"edge-1", "edge-2"})
		for i, a := range s.Agents {
			f.Check(a.Zone, qt.Equals, f.edge[i].settings.Zone)
			f.Check(a.ConfigVersion, qt.Equals, int64(1))
			f.Check(a.ConfigAgeMs > 0 && a.ConfigAgeMs < time.Minute.Milliseconds(), qt.IsTrue, qt.Commentf("%d", a.ConfigAgeMs))
		}
		f.Assert(s.Services, qt.HasLen, 2)
		f.Check(s.Services[0].Name, qt.Equals, model)
		f.Check(s.Services[0].Backends, qt.Equals, 4)
		sum := 0
		for _, n := range s.Services[0].Phases {
			sum += n
		}
		f.Check(sum, qt.Equals, 4)
		f.Check(s.Services[1], qt.DeepEquals, status.Service{Name: lookups, Backends: 2, Phases: map[string]int{}})
	}
}

// checkListVersions: proxies report their version of the backend list through their node agents.
func (f *fleet) checkListVersions(primary *machine) {
	f.eventually(testTimeout, "both proxies have the newest list", func() bool {
		s := f.status(primary)
		return !slices.ContainsFunc(s.Agents,
			func(a status.Agent) bool { return a.BackendListVersion != s.BackendList.ListVersion })
	})
	f.platform.Drain(f.plain[0])
	f.eventually(testTimeout, "a draining backend is counted",
		func() bool { return f.status(primary).Services[1].Draining == 1 })
	before := f.status(primary).BackendList.ListVersion
	f.eventually(testTimeout, "both proxies have the list that tells of it", func() bool {
		return !slices.ContainsFunc(f.status(primary).Agents,
			func(a status.Agent) bool { return a.BackendListVersion.Count < before.Count })
	})
}

// checkLocalStatus: with --local a control server that is not the primary answers from its own state.
func (f *fleet) checkLocalStatus(primary *machine) {
	other := f.core[slices.IndexFunc(f.core, func(m *machine) bool { return m != primary })]
	s := f.status(other, "--local")
	f.Check(s.From, qt.Equals, other.settings.Node)
	f.Check(s.Confirmed, qt.IsFalse)
	f.Check(s.View.Primary, qt.Equals, primary.boot.Ctl)
}

// checkHungProxy: a proxy that hangs is listed without the next version, for as long as it has a lease.
func (f *fleet) checkHungProxy(primary *machine) {
	hung := f.edge[1].programs["proxy"]
	hung.Signal(syscall.SIGSTOP)
	f.applyAddRoute(2)
	f.eventually(testTimeout, "only the proxy that hangs lacks the version", func() bool {
		return slices.Equal(names(f.status(primary).Behind(2)), []string{"edge-2"})
	})
	out := f.watch(exitTimeout, "2", "--limit", "500ms")
	f.Check(out, qt.Contains, "version 2: in force at 1 of 2 agents; not at edge-2 (1)")
	hung.Signal(syscall.SIGCONT)
	f.Check(f.watch(exitOK), qt.Contains, "version 2: in force at 2 of 2 agents")

	f.edge[1].kill("proxy")
	f.applyAddRoute(3)
	out = f.watch(exitOK, "3")
	f.Check(out, qt.Contains, "no lease any more: edge-2 (2)")
	f.Check(names(f.status(primary).Agents), qt.DeepEquals, []string{"edge-1"})
	f.edge[1].start("proxy")
	f.awaitReady(f.edge[1])
}

// checkStatusAfterTakeover: after the loss of the primary the next one answers, and reports that it is still collecting
// leases until it knows all agents.
func (f *fleet) checkStatusAfterTakeover(primary *machine) {
	primary.kill("control-plane")
	out := f.watch(exitOK, "3")
	f.Logf("after the loss of the primary:\n%s", out)
	f.Check(out, qt.Contains, "the primary is new and may not have heard all")
	s := f.status(f.primary())
	f.Check(s.View.Primary, qt.Not(qt.Equals), primary.boot.Ctl)
	lost := slices.IndexFunc(f.core, func(m *machine) bool { return m == primary })
	f.Check(s.View.Members[lost].LastContactMs > 3000, qt.IsTrue,
		qt.Commentf("%+v: the lease's time has passed since its end", s.View.Members[lost]))
	f.Check(names(s.Agents), qt.DeepEquals, []string{"edge-1", "edge-2"})
	f.Check(s.SingletonRoles[1], qt.DeepEquals, status.SingletonRole{
		Name:         status.SingletonPhases,
		Holder:       s.View.Primary,
		FencingToken: s.View.Epoch,
	})
	f.Check(fmt.Sprint(s.Agents[0].ConfigVersion, s.Agents[1].ConfigVersion), qt.Equals, "3 3")
}

// TestStatusWithoutPrimary requests the status while most of the core is down.
func TestStatusWithoutPrimary(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	primary := f.primary()
	var left *machine
	for _, m := range f.core {
		if m == primary || left != nil {
			m.kill("control-plane")
		} else {
			left = m
		}
	}
	code, _, errOut := fleetctl(t, "status", "--control", left.boot.Ctl, "--within", "3s")
	f.Assert(code, qt.Equals, exitIndeterminate, qt.Commentf("%s", errOut))
	f.Check(errOut, qt.Contains, "--local shows what one machine knows")
	code, out, _ := fleetctl(t, "status", "--local", "--control", left.boot.Ctl)
	f.Assert(code, qt.Equals, exitOK)
	f.Check(out, qt.Contains, "not confirmed by the core")
	f.Check(out, qt.Contains, "version 1")
	f.checkRules()
}

// lateFor is the number of status calls for which one agent of the fake control plane lacks a change.
const lateFor = 3

// fleetStatus returns the status of the fake control plane: of three agents one is late with each change.
func (s *fakeControlPlane) fleetStatus(local bool) *status.Fleet {
	f := &status.Fleet{
		From:          "core-koto-hall-1",
		Confirmed:     !local,
		View:          status.View{Epoch: 4, Primary: pageControl, Ready: true},
		Configuration: status.Configuration{Version: s.doc.Version(), Seq: 3, AgeMs: 310},
		BackendList:   status.BackendList{ListVersion: status.ListVersion{Epoch: 4, Count: 12}, AgeMs: 140},
	}
	zones := []string{"koto-hall", "shinagawa-hall", "kawasaki-hall"}
	roles := []string{"primary", "backup", "witness"}
	for i, addr := range pageCore {
		f.View.Members = append(f.View.Members, status.Member{Address: addr, Zone: zones[i], Region: "kanto", Role: roles[i],
			Self: i == 0, LastContactMs: int64(70*i - 1)})
	}
	for _, name := range []string{status.SingletonPoll, status.SingletonPhases} {
		f.SingletonRoles = append(f.SingletonRoles, status.SingletonRole{Name: name, Holder: pageControl, FencingToken: 4})
	}
	if s.doc == nil {
		f.Configuration = status.Configuration{}
		return f
	}
	for i, zone := range zones {
		a := status.Agent{
			Name:               fmt.Sprintf("edge-%s-1", zone),
			Zone:               zone,
			LeaseAgeMs:         int64(40 + 210*i),
			ConfigVersion:      s.doc.Version(),
			ConfigAgeMs:        int64(290 - 30*i),
			BackendListVersion: f.BackendList.ListVersion,
		}
		if i == 2 && s.statusCalls <= lateFor {
			a.ConfigVersion, a.ConfigAgeMs = s.previous.Version(), 3_600_000
		}
		f.Agents = append(f.Agents, a)
	}
	f.Services = []status.Service{{
		Name:     "obs-lookup",
		Backends: 4,
		Draining: 1,
	}, {Name: "sora-llm", Backends: 9, Phases: map[string]int{"prefill": 4, "decode": 4, "changing": 1}}}
	return f
}

func TestStatusExitCodes(t *testing.T) {
	c := qt.New(t)
	s := newFakeControlPlane(c)
	code, out, errOut := fleetctl(t, "watch", "--control", s.addr)
	c.Check(code, qt.Equals, exitFailure, qt.Commentf("%s%s", out, errOut))
	c.Check(errOut, qt.Contains, "no configuration yet")
	code, out, _ = fleetctl(t, "status", "--control", s.addr)
	c.Check(code, qt.Equals, exitOK)
	c.Check(out, qt.Contains, "no configuration yet")
	c.Check(out, qt.Contains, "no agent holds a lease")
	// watch waits for a version that no agent has, until its time limit.
	code, _, errOut = fleetctl(t, "watch", "5", "--limit", "300ms", "--control", s.addr)
	c.Check(code, qt.Equals, exitTimeout)
	c.Check(errOut, qt.Contains, "not within 300ms: version 5: in force at 0 of 0 agents")
	code, _, _ = fleetctl(t, "propose", data("fleet.json"), "--control", s.addr)
	c.Assert(code, qt.Equals, exitOK)
	code, out, errOut = fleetctl(t, "watch", "--json", "--control", s.addr)
	c.Check(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	f, err := status.Decode([]byte(out))
	c.Assert(err, qt.IsNil)
	c.Check(f.AppliedEverywhere(5), qt.IsTrue)
	nobody := unusedAddr(c)
	code, _, errOut = fleetctl(t, "status", "--control", nobody, "--within", "150ms")
	c.Check(code, qt.Equals, exitFailure)
	c.Check(errOut, qt.Contains, "nothing was sent: "+nobody)
	code, _, errOut = fleetctl(t, "watch", "--control", nobody, "--within", "100ms", "--limit", "300ms")
	c.Check(code, qt.Equals, exitFailure, qt.Commentf("%s", errOut))
	for _, args := range [][]string{{"status"}, {"watch"}, {"watch", "-1", "--control", s.addr},
		{"watch", "x", "--control", s.addr},
		{"watch", "--limit", "0s", "--control", s.addr}} {
		code, _, errOut := fleetctl(t, args...)
		c.Check(code, qt.Equals, exitUsage, qt.Commentf("%v: %s", args, errOut))
	}
}
