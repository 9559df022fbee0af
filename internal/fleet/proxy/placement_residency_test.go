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

// TestPlacementWithinTerms places requests over random lists, zones, phases, health, load and terms: never outside, and
// always somewhere while a permitted usable backend is there.
func TestPlacementWithinTerms(t *testing.T) {
	cases := 0
	rapid.Check(t, func(r *rapid.T) {
		p := newPlacementPlay(r)
		for range casesEach {
			cases++
			p.change()
			p.place(p.request())
		}
	})
	if cases < 10_000 {
		t.Fatalf("%d cases only", cases)
	}
	t.Logf("%d cases", cases)
}

// placementPlay places requests over a service whose list and load change.
type placementPlay struct {
	*rapid.T
	svc  *service
	list []distribution.Backend
	seed uint64
}

// newPlacementPlay returns a play over a drawn list.
func newPlacementPlay(r *rapid.T) *placementPlay {
	p := &placementPlay{T: r, svc: newService("llm", testGate(testZones), time.Second)}
	p.svc.configure(runtimeOf(rapid.IntRange(1, 8).Draw(r, "capacity")))
	p.relist()
	p.seed = rapid.Uint64().Draw(r, "seed")
	return p
}

// relist draws another list.
func (p *placementPlay) relist() {
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

// next is a number below n, by a small generator of our own: rapid's draws would take most of the time.
func (p *placementPlay) next(n int) int {
	p.seed = p.seed*6364136223846793005 + 1442695040888963407
	return int(p.seed>>33) % n
}

// change has the list change now and then, and more often an attempt end somewhere and a load be reported.
func (p *placementPlay) change() {
	endings := []policy.Status{
		policy.OK, policy.Error, policy.Timeout, policy.Reset, policy.ConnectFailed, policy.Full,
	}
	switch p.next(12) {
	case 0:
		p.relist()
	case 1, 2, 3:
		if len(p.list) > 0 {
			id := p.list[p.next(len(p.list))].ID
			p.svc.ranker.AttemptStarted(id)
			p.svc.attemptEnded(id, endings[p.next(len(endings))])
			p.svc.recordLoad(id, fmt.Sprintf("%d,%d,8", p.next(9), p.next(3)))
		}
	}
}

// playedRequest is a request and what may serve it.
type playedRequest struct {
	terms    residency.Terms
	regions  []string // that the terms allow
	tried    map[string]bool
	byID     map[string]distribution.Backend
	anywhere bool // a backend may serve it
	decodes  bool // a decode backend may
	prompt   *scheduler.Prompt
}

// permitted reports whether a backend may hold the request's data, independent of what the package makes of it.
func (q *playedRequest) permitted(b distribution.Backend) bool {
	region := testZones[b.Zone]
	return !q.terms.Restricted() || region != "" && slices.Contains(q.regions, region)
}

// request makes a request with terms of some regions, or none, that some backends were tried for.
func (p *placementPlay) request() *playedRequest {
	q := &playedRequest{tried: map[string]bool{}, byID: map[string]distribution.Backend{}}
	for _, region := range []string{"east", "mid", "west", "else"} {
		if p.next(2) == 0 {
			q.regions = append(q.regions, region)
		}
	}
	q.terms = residency.Within(q.regions...)
	if p.next(8) == 0 {
		q.terms = residency.Terms{}
	}
	for _, b := range p.list {
		if p.next(6) == 0 {
			q.tried[b.ID] = true
		}
		q.byID[b.ID] = b
		usable := !b.Draining && !q.tried[b.ID] && q.permitted(b)
		q.anywhere = q.anywhere || usable
		q.decodes = q.decodes || usable && b.Phase == externalapi.PhaseDecode
	}
	q.prompt = &scheduler.Prompt{
		InputTokens:     1 + p.next(8000),
		MaxOutputTokens: 4,
		Segments: []scheduler.Segment{
			{PrefixHash: uint64(p.next(4) + 1), Tokens: 100},
			{PrefixHash: p.seed, Tokens: 10},
		},
	}
	return q
}

// check fails where a permit is for a backend outside the terms.
func (p *placementPlay) check(what string, q *playedRequest, permit residency.Permit) {
	b := q.byID[permit.ID()]
	if !q.permitted(b) || permit.Check(q.terms) != nil {
		p.Fatalf("%s in %q under %v", what, b.Zone, q.terms)
	}
}

// place chooses backends for the request as a plain one, and as a generation with a second decode backend.
func (p *placementPlay) place(q *playedRequest) {
	plain, ok := p.svc.selectPlain(p.seed, p.next(2) == 0, q.tried, q.terms)
	if ok != q.anywhere {
		p.Fatalf("selectPlain found one: %v, there is one: %v, under %v", ok, q.anywhere, q.terms)
	}
	if ok {
		p.check("selectPlain", q, plain)
		p.svc.attemptEnded(plain.ID(), policy.OK)
	}
	retryable := p.next(2) == 0
	target := time.Duration(p.next(300)) * time.Millisecond
	pl, ok := p.svc.selectPlacement("k", retryable, q.prompt, target, q.tried, p.next(2) == 0, q.terms)
	if ok != q.decodes {
		p.Fatalf("selectPlacement found one: %v, there is one: %v, under %v", ok, q.decodes, q.terms)
	}
	if !ok {
		return
	}
	p.check("decode", q, pl.decodePermit)
	if pl.decodePermit.ID() != pl.decode.ID {
		p.Fatal("the permit is for another backend")
	}
	if pl.prefill != nil {
		p.check("prefill", q, pl.prefillPermit)
		q.tried[pl.decode.ID] = true
		again, ok := p.svc.selectDecoder(pl.prefill, p.next(2) == 0, q.prompt, time.Millisecond, q.tried, q.terms)
		if ok {
			p.check("selectDecoder", q, again.decodePermit)
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
