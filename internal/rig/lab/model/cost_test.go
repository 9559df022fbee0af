package model

import (
	"fmt"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// BenchmarkDecide measures the decisions on one request and its outcome, by the number of servers
// and of other open requests. `molepaddle lab report --bench` plots it.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{3, 30, 300, 3000} {
		for _, open := range []int{1, 100, 10000} {
			b.Run(fmt.Sprintf("servers=%d/open=%d", servers, open), func(b *testing.B) { decide(b, servers, open) })
		}
	}
}

func decide(b *testing.B, servers, open int) {
	var set settings.Settings
	set.Classes = []settings.Class{{Name: "x", LatencyTargetMs: 1e9, ClientTimeoutMs: 2e9, Idempotency: settings.Idempotent, Value: 1}}
	set.Membership, set.Weights, set.ValueBy, set.RoundMs = "pushed", "nominal", "request", 5
	set.Limits = settings.Limits{MaxAttempts: 3, ConnectTimeoutMs: 150, KeepaliveMs: 30000, Cancellation: true}
	set.Contract = settings.Contract{MaxPollIntervalMs: 10000, SlowStartFraction: 0.3, SlowStartMs: 8000, DrainGraceMs: 250, OverloadFactor: 2.5, OverloadAfterMs: 1000}
	set.Replicas = 1
	bal, err := policy.New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	entries := make([]cluster.Entry, servers)
	for i := range entries {
		entries[i] = cluster.Entry{Server: cluster.Addr{10, 0, byte(i >> 8), byte(i), 0, 1}, Health: cluster.Ready, Weight: 1, Window: 1e6}
	}
	now := clockBase
	acts := bal.Handle(now, &policy.Event{Kind: policy.EvList, List: cluster.ListFull, Entries: entries}, nil)
	id := policy.RequestID(0)
	begin := func() (at cluster.Addr, sent bool) {
		id++
		acts = bal.Handle(now, &policy.Event{Kind: policy.EvRequest, Request: id, Key: uint64(id) * 7919, LeftMs: 2e9}, acts[:0])
		for i := range acts {
			if acts[i].Kind == policy.ActSend && acts[i].Request == id {
				return acts[i].Server, true
			}
		}
		return at, false
	}
	for range open - 1 {
		begin()
	}
	b.ReportAllocs()
	for b.Loop() {
		now += 0.01
		if at, sent := begin(); sent {
			acts = bal.Handle(now, &policy.Event{Kind: policy.EvOutcome, Request: id, Server: at, Status: policy.OK, LatencyMs: 20}, acts[:0])
		}
	}
}
