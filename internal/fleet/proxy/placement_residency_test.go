package proxy

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/internal/protocol/transport"
	"molepaddle/policy"
)

// casesEach is how many requests are placed over one list: with the twenty lists that rapid tries in a short run, over
// 10,000 cases, with the hundred of a usual one 50,000.
const casesEach = 530

// testGate returns a gate whose backends can't be connected to.
func testGate(zones map[string]string) *residency.Gate {
	dial := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no network here") }
	pool := transport.New(transport.Options{
		Dial:    dial,
		Timeout: time.Second,
		Idle:    time.Second,
		Most:    1,
		Settle:  time.Millisecond,
		Resting: 1,
	})
	return residency.NewGate(pool, zones)
}

// runtimeOf returns a service whose backends run models, so many requests at once each.
func runtimeOf(capacity int) *routingconfig.Service {
	return &routingconfig.Service{
		Name: "llm",
		Runtime: &routingconfig.Runtime{
			Capacity:       capacity,
			KVCacheTokens:  100_000,
			KVTokenBytes:   163_840,
			KVTransferMbps: 8e6,
		},
	}
}

// TestPlacementWithinTerms places requests over random lists, zones, phases, health, load and terms: never outside,
// and always somewhere while a permitted usable backend is there.
func TestPlacementWithinTerms(t *testing.T) {
	cases := 0
	zoneNames := []string{"e1", "e2", "m1", "m2", "w1", "w2", "nowhere", ""}
	phases := []string{
		externalapi.PhasePrefill, externalapi.PhaseDecode, externalapi.PhaseDecode, distribution.PhaseChanging,
	}
	endings := []policy.Status{
		policy.OK, policy.Error, policy.Timeout, policy.Reset, policy.ConnectFailed, policy.Full,
	}
	rapid.Check(t, func(r *rapid.T) {
		gate := testGate(testZones)
		s := newService("llm", gate, time.Second)
		s.configure(runtimeOf(rapid.IntRange(1, 8).Draw(r, "capacity")))
		draw := func() (all []distribution.Backend) {
			for i := range rapid.IntRange(0, 12).Draw(r, "backends") {
				all = append(all, distribution.Backend{
					ID:       fmt.Sprintf("b%d", i),
					Address:  fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 14).Draw(r, "address")),
					Zone:     rapid.SampledFrom(zoneNames).Draw(r, "zone"),
					Phase:    rapid.SampledFrom(phases).Draw(r, "phase"),
					Draining: rapid.IntRange(0, 4).Draw(r, "draining") == 0,
				})
			}
			return all
		}
		list := draw()
		s.updateEndpoints(list)
		seed := rapid.Uint64().Draw(r, "seed")
		next := func(n int) int { // a small generator of our own: rapid's draws would take most of the time
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		for range casesEach {
			cases++
			switch next(12) {
			case 0:
				list = draw()
				s.updateEndpoints(list)
			case 1, 2, 3:
				if len(list) > 0 {
					id := list[next(len(list))].ID
					s.ranker.AttemptStarted(id)
					s.attemptEnded(id, endings[next(len(endings))])
					s.recordLoad(id, fmt.Sprintf("%d,%d,8", next(9), next(3)))
				}
			}
			var names []string
			for _, region := range []string{"east", "mid", "west", "else"} {
				if next(2) == 0 {
					names = append(names, region)
				}
			}
			terms := residency.Within(names...)
			if next(8) == 0 {
				terms = residency.Terms{}
			}
			tried := map[string]bool{}
			permitted := func(b distribution.Backend) bool {
				region := testZones[b.Zone] // independent of what the package makes of it
				if !terms.Restricted() {
					return true
				}
				for _, one := range names {
					if region != "" && region == one {
						return true
					}
				}
				return false
			}
			byID := map[string]distribution.Backend{}
			anywhere, decodes := false, false
			for _, b := range list {
				if next(6) == 0 {
					tried[b.ID] = true
				}
				byID[b.ID] = b
				usable := !b.Draining && !tried[b.ID] && permitted(b)
				anywhere = anywhere || usable
				decodes = decodes || usable && b.Phase == externalapi.PhaseDecode
			}
			prompt := &scheduler.Prompt{
				InputTokens:     1 + next(8000),
				MaxOutputTokens: 4,
				Segments: []scheduler.Segment{
					{PrefixHash: uint64(next(4) + 1), Tokens: 100},
					{PrefixHash: seed, Tokens: 10},
				},
			}
			check := func(what string, p residency.Permit) {
				if !permitted(byID[p.ID()]) || p.Check(terms) != nil {
					r.Fatalf("%s in %q under %v", what, byID[p.ID()].Zone, terms)
				}
			}
			at, ok := s.selectPlain(seed, next(2) == 0, tried, terms)
			if ok != anywhere {
				r.Fatalf("selectPlain found one: %v, there is one: %v, under %v", ok, anywhere, terms)
			}
			if ok {
				check("selectPlain", at)
				s.attemptEnded(at.ID(), policy.OK)
			}
			retryable := next(2) == 0
			target := time.Duration(next(300)) * time.Millisecond
			pl, ok := s.selectPlacement("k", retryable, prompt, target, tried, next(2) == 0, terms)
			if ok != decodes {
				r.Fatalf("selectPlacement found one: %v, there is one: %v, under %v", ok, decodes, terms)
			}
			if !ok {
				continue
			}
			check("decode", pl.decodePermit)
			if pl.decodePermit.ID() != pl.decode.ID {
				r.Fatal("the permit is for another backend")
			}
			if pl.prefill != nil {
				check("prefill", pl.prefillPermit)
				tried[pl.decode.ID] = true
				again, ok := s.selectDecoder(pl.prefill, next(2) == 0, prompt, time.Millisecond, tried, terms)
				if ok {
					check("selectDecoder", again.decodePermit)
					s.attemptEnded(again.decode.ID, policy.OK)
				}
			}
			s.attemptEnded(pl.decode.ID, policy.OK)
		}
	})
	if cases < 10_000 {
		t.Fatalf("%d cases only", cases)
	}
	t.Logf("%d cases", cases)
}

// BenchmarkPlacement measures a placement among nine backends in three regions, with terms and without.
func BenchmarkPlacement(b *testing.B) {
	for _, one := range []struct {
		name  string
		terms residency.Terms
	}{
		{"free", residency.Terms{}},
		{"one region", residency.Within("east")},
		{"all regions", residency.Within("east", "mid", "west")},
	} {
		b.Run(one.name, func(b *testing.B) {
			s := newService("llm", testGate(testZones), time.Second)
			s.configure(runtimeOf(64))
			var list []distribution.Backend
			for i := range 9 {
				phase := externalapi.PhaseDecode
				if i%3 == 0 {
					phase = externalapi.PhasePrefill
				}
				list = append(list, distribution.Backend{
					ID:      fmt.Sprintf("b%d", i),
					Address: fmt.Sprintf("10.0.0.%d:80", i),
					Zone:    []string{"e1", "m1", "w1"}[i/3],
					Phase:   phase,
				})
			}
			s.updateEndpoints(list)
			prompt := &scheduler.Prompt{
				InputTokens:     6300,
				MaxOutputTokens: 2,
				Segments:        []scheduler.Segment{{PrefixHash: 1, Tokens: 6000}, {PrefixHash: 2, Tokens: 300}},
			}
			tried := map[string]bool{}
			b.ReportAllocs()
			for b.Loop() {
				pl, ok := s.selectPlacement("k", false, prompt, 150*time.Millisecond, tried, true, one.terms)
				if !ok {
					b.Fatal("no placement")
				}
				s.mu.Lock()
				s.engines.PrefillEnded(pl.decode.ID, pl.promptTokens, 0)
				s.engines.RequestEnded(pl.decode.ID)
				s.ranker.AttemptEnded(0, pl.decode.ID, policy.OK)
				s.mu.Unlock()
			}
		})
	}
}
