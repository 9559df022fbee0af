package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/simulation"
)

// prefillSlots is the quota of the account in TestPrefilledPromptsCountAgainstTheQuota.
const prefillSlots = 8

// startAllocator starts a quota allocator for one account, and points the rig's proxy to it.
func startAllocator(r *rig, account string) {
	rule := quota.Rule{Window: time.Minute, Lease: time.Minute}
	server := quota.NewServer(rule, 0, func(uint64) bool { return true })
	server.SetLimits(quota.Limits{account: {Total: prefillSlots, Normal: 0}})
	server.Lead(1, nil)
	wanted, ok := server.WantedCeilings(1)
	r.Assert(ok, qt.IsTrue)
	server.SetCeilings(wanted)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	r.Cleanup(func() {
		cancel()
		listener.Close()
	})
	go server.Serve(ctx, listener)
	holder := quota.NewHolder(rule, "edge-1", 7)
	r.proxy.quotaRule = rule
	r.proxy.quota = quota.NewClient(holder, func() string { return listener.Addr().String() }, distribution.Dial)
	go r.proxy.quota.Run(ctx)
}

// TestPrefilledPromptsCountAgainstTheQuota (QUOTA) guards against a prompt that was prefilled but found no decode
// backend releasing its slot: a tenant could then have any number of prompts prefilled.
func TestPrefilledPromptsCountAgainstTheQuota(t *testing.T) {
	engine := func(service string, phase simulation.Phase) simulation.EngineSettings {
		return simulation.EngineSettings{Service: service, Zone: "e1", Region: "east", Phase: phase, Capacity: 8}
	}
	r := newRig(t, engine("llm", simulation.PhasePrefill), engine("llm", simulation.PhaseDecode),
		engine("obs", simulation.PhaseNone))
	startAllocator(r, "plain")
	r.proxy.settings.Bounds.Apply = testTimeout
	doc := strings.Replace(string(withAccounts(r.document())), `"name":"plain",`, `"name":"plain","rate_s":1,`, 1)
	applyResource(r.proxy, distribution.ConfigType, uint64(r.version), []byte(doc))
	r.termsHistory = append(r.termsHistory, simulation.Term{From: time.Now()})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	closed.Close()
	var backends []distribution.Backend
	for _, e := range r.engines {
		b := listEntry(e)
		if b.Phase == string(simulation.PhaseDecode) {
			b.Address = closed.Addr().String() // refuses connections
		}
		backends = append(backends, b)
	}
	r.relist(backends)
	ran, overQuota := 0, 0
	for own := range 4 * prefillSlots {
		got := r.client.Do(r.Context(), routeRequestWith("free", own, [2]int{6000, 4}, bearer(plainKey)))
		if got.Status == http.StatusTooManyRequests {
			overQuota++
		}
		for _, en := range r.arrivals(got.Attempt) {
			if en.Ran {
				ran++
			}
		}
	}
	r.Assert(ran > 0, qt.IsTrue)
	r.Assert(ran <= prefillSlots, qt.IsTrue, qt.Commentf("%d prompts were prefilled", ran))
	r.Assert(overQuota > 0, qt.IsTrue)
}
