package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit/sites"
)

// An avoided gateway gets nothing new while another gateway is reachable. If all reachable gateways
// are avoided, they are all used, so that a view can't make the site unreachable.
func TestAvoided(t *testing.T) {
	one, listen := startFar(t, 1, time.Millisecond), sites.Loopback(t)
	named := farFile(t, listen.Addr().String(), "")
	named.Gateway.Name = "gw-c"
	two := sites.Start(t, sites.Options{Servers: 1, Work: time.Millisecond, Links: listen, Operator: named})
	file := nearFile(t, one.Links.Addr().String(), "")
	file.Gateway.Sites[0].Peers = append(file.Gateway.Sites[0].Peers, operator.Peer{Name: "gw-c",
		Address: listen.Addr().String()})
	near := sites.Start(t, sites.Options{Operator: file})
	for _, s := range []*sites.Site{one, two, near} {
		s.Ready(t)
	}
	ask := func(n int) {
		t.Helper()
		for range n {
			if a := sites.Ask(t.Context(), near.Base, "order", 3*time.Second, []byte("x")); a.Status != http.StatusOK {
				t.Fatalf("%+v", a)
			}
		}
	}
	both := func() bool { return len(one.Came()) > 0 && len(two.Came()) > 0 }
	sites.Eventually(t, "both are sent to", func() bool { ask(1); return both() })
	near.Agent.AvoidGateways("gw-c")
	before := len(two.Came())
	ask(40)
	if now := len(two.Came()); now != before {
		t.Errorf("%d requests were sent to the avoided gateway", now-before)
	}
	near.Agent.AvoidGateways("gw-b", "gw-c")
	before = len(two.Came())
	sites.Eventually(t, "with both avoided both are sent to", func() bool { ask(1); return len(two.Came()) > before })
	near.Agent.AvoidGateways("gw-c")
	one.Kill()
	sites.Eventually(t, "the one avoided is all there is", func() bool {
		return sites.Ask(t.Context(), near.Base, "order", time.Second, []byte("x")).Status == http.StatusOK
	})
}

// A suspicion that only one agent reports does not suffice to avoid a gateway, and a view that
// suspects itself of being partitioned avoids none.
func TestWhomAViewAvoids(t *testing.T) {
	m := func(name, role, process string, s members.State, doubts ...string) members.Member {
		return members.Member{ID: members.ID{Name: name, Incarnation: 1},
			Info: members.Info{Role: role, Process: process}, State: s, SuspectedBy: doubts}
	}
	v := members.View{Members: []members.Member{m("a", "gateway", "ready", members.Alive), m("b", "gateway", "ready",
		members.Suspect, "x"),
		m("c", "gateway", "ready", members.Suspect, "x", "y"), m("d", "gateway", "ready", members.Dead, "x", "y", "z"),
		m("e", "gateway", "evacuating", members.Alive),
		m("f", "agent", "ready", members.Dead), m("g", "gateway", "ending", members.Left)}}
	got := v.Avoid("gateway")
	if len(got) != 4 || got[0] != "c" || got[1] != "d" || got[2] != "e" || got[3] != "g" {
		t.Errorf("%v", got)
	}
	if v.SelfSuspicion = "I may be cut off"; v.Avoid("gateway") != nil {
		t.Error("a view that suspects itself avoids others")
	}
}
