package proxy

import (
	"context"
	"fmt"
	"net"
	"slices"
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

// casesPerList is how many requests are placed per endpoint list: over 10,000 cases with the twenty lists of a short
// rapid run, 50,000 with the hundred of a usual one.
const casesPerList = 530

// testGate returns a gate whose backends cannot be connected to.
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

// runtimeOf returns a service whose backends run models, with a capacity in concurrent requests.
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

// TestPlacementWithinTerms places requests over random lists, zones, phases, health states, loads and terms: never
// outside the terms, and always somewhere while an allowed usable backend is listed.
func TestPlacementWithinTerms(t *testing.T) {
	cases := 0
	rapid.Check(t, func(r *rapid.T) {
		p := newPlacementModel(r)
		for range casesPerList {
			cases++
			p.changeState()
			p.place(p.request())
		}
	})
	if cases < 10_000 {
		t.Fatalf("%d cases only", cases)
	}
	t.Logf("%d cases", cases)
}

// placementModel places requests over a service whose list and load change.
type placementModel struct {
	*rapid.T
	svc  *service
	list []distribution.Backend
	seed uint64
}

// newPlacementModel returns a model with a random list.
func newPlacementModel(r *rapid.T) *placementModel {
	p := &placementModel{T: r, svc: newService("llm", testGate(testZones), time.Second)}
	p.svc.configure(runtimeOf(rapid.IntRange(1, 8).Draw(r, "capacity")))
	p.relist()
	p.seed = rapid.Uint64().Draw(r, "seed")
	return p
}

// relist applies another random list.
func (p *placementModel) relist() {
	zoneNames := []string{"e1", "e2", "m1", "m2", "w1", "w2", "nowhere", ""}
	phases := []string{
		externalapi.PhasePrefill, externalapi.PhaseDecode, externalapi.PhaseDecode, distribution.PhaseChanging,
	}
	p.list = nil
	for i := range rapid.IntRange(0, 12).Draw(p.T, "backends") {
		p.list = append(p.list, distribution.Backend{
			ID:       fmt.Sprintf("b%d", i),
			Address:  fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 14).Draw(p.T, "address")),
			Zone:     rapid.SampledFrom(zoneNames).Draw(p.T, "zone"),
			Phase:    rapid.SampledFrom(phases).Draw(p.T, "phase"),
			Draining: rapid.IntRange(0, 4).Draw(p.T, "draining") == 0,
		})
	}
	p.svc.updateEndpoints(p.list)
}

// randInt returns a random number below n. It uses a simple generator of its own, as rapid's draws would take most of
// the time.
func (p *placementModel) randInt(n int) int {
	p.seed = p.seed*6364136223846793005 + 1442695040888963407
	return int(p.seed>>33) % n
}

// changeState sometimes replaces the list, and more often ends an attempt at a backend and reports a load.
func (p *placementModel) changeState() {
	endings := []policy.Status{
		policy.OK, policy.Error, policy.Timeout, policy.Reset, policy.ConnectFailed, policy.Full,
	}
	switch p.randInt(12) {
	case 0:
		p.relist()
	case 1, 2, 3:
		if len(p.list) > 0 {
			id := p.list[p.randInt(len(p.list))].ID
			p.svc.ranker.AttemptStarted(id)
			p.svc.attemptEnded(id, endings[p.randInt(len(endings))])
			p.svc.recordLoad(id, fmt.Sprintf("%d,%d,8", p.randInt(9), p.randInt(3)))
		}
	}
}

// placementCase is a request and the expected results of its placement.
type placementCase struct {
	terms     residency.Terms
	regions   []string // that the terms allow
	tried     map[string]bool
	byID      map[string]distribution.Backend
	servable  bool // a backend may serve it
	decodable bool // a decode backend may serve it
	prompt    *scheduler.Prompt
}

// permitted reports whether a backend may hold the request's data, computed independently of the package.
func (q *placementCase) permitted(b distribution.Backend) bool {
	region := testZones[b.Zone]
	return !q.terms.Restricted() || region != "" && slices.Contains(q.regions, region)
}

// request returns a request with terms of some regions, or none, for which some backends have been tried.
func (p *placementModel) request() *placementCase {
	q := &placementCase{tried: map[string]bool{}, byID: map[string]distribution.Backend{}}
	for _, region := range []string{"east", "mid", "west", "else"} {
		if p.randInt(2) == 0 {
			q.regions = append(q.regions, region)
		}
	}
	q.terms = residency.Within(q.regions...)
	if p.randInt(8) == 0 {
		q.terms = residency.Terms{}
	}
	for _, b := range p.list {
		if p.randInt(6) == 0 {
			q.tried[b.ID] = true
		}
		q.byID[b.ID] = b
		usable := !b.Draining && !q.tried[b.ID] && q.permitted(b)
		q.servable = q.servable || usable
		q.decodable = q.decodable || usable && b.Phase == externalapi.PhaseDecode
	}
	q.prompt = &scheduler.Prompt{
		InputTokens:     1 + p.randInt(8000),
		MaxOutputTokens: 4,
		Segments: []scheduler.Segment{
			{PrefixHash: uint64(p.randInt(4) + 1), Tokens: 100},
			{PrefixHash: p.seed, Tokens: 10},
		},
	}
	return q
}

// checkPermit fails if a permit is for a backend outside the terms.
func (p *placementModel) checkPermit(what string, q *placementCase, permit residency.Permit) {
	b := q.byID[permit.ID()]
	if !q.permitted(b) || permit.Check(q.terms) != nil {
		p.Fatalf("%s in %q under %v", what, b.Zone, q.terms)
	}
}

// place selects backends for the request as a plain one, and as a generation with a second decode backend.
func (p *placementModel) place(q *placementCase) {
	plain, ok := p.svc.selectPlain(p.seed, p.randInt(2) == 0, q.tried, q.terms)
	if ok != q.servable {
		p.Fatalf("selectPlain found one: %v, there is one: %v, under %v", ok, q.servable, q.terms)
	}
	if ok {
		p.checkPermit("selectPlain", q, plain)
		p.svc.attemptEnded(plain.ID(), policy.OK)
	}
	retryable := p.randInt(2) == 0
	target := time.Duration(p.randInt(300)) * time.Millisecond
	pl, ok := p.svc.selectPlacement("k", retryable, q.prompt, target, q.tried, p.randInt(2) == 0, q.terms)
	if ok != q.decodable {
		p.Fatalf("selectPlacement found one: %v, there is one: %v, under %v", ok, q.decodable, q.terms)
	}
	if !ok {
		return
	}
	p.checkPermit("decode", q, pl.decodePermit)
	if pl.decodePermit.ID() != pl.decode.ID {
		p.Fatal("the permit is for another backend")
	}
	if pl.prefill != nil {
		p.checkPermit("prefill", q, pl.prefillPermit)
		q.tried[pl.decode.ID] = true
		again, ok := p.svc.selectDecoder(pl.prefill, p.randInt(2) == 0, q.prompt, time.Millisecond, q.tried, q.terms)
		if ok {
			p.checkPermit("selectDecoder", q, again.decodePermit)
			p.svc.attemptEnded(again.decode.ID, policy.OK)
		}
	}
	p.svc.attemptEnded(pl.decode.ID, policy.OK)
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
