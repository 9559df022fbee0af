package policy

import (
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

// harness drives one Balancer event by event.
type harness struct {
	t   *testing.T
	b   *Balancer
	now float64
	id  RequestID
}

func addr(i int) cluster.Addr { return cluster.Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() settings.Settings {
	s := settings.Settings{
		Classes: []settings.Class{
			{Name: "free", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: settings.Idempotent, Value: 1},
			{Name: "once", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: settings.NonIdempotent, Value: 4},
			{
				Name:            "keyed",
				LatencyTargetMs: 300,
				ClientTimeoutMs: 1000,
				Idempotency:     settings.Deduplicated,
				DedupScope:      settings.DedupCell,
				DedupTTLMs:      500,
				Value:           2,
			},
		},
		Limits: settings.Limits{
			Cancellation:     true,
			MaxAttempts:      3,
			MaxRetryAfterMs:  500,
			HedgedRequests:   true,
			ConnectTimeoutMs: 100,
		},
		Contract: settings.Contract{
			AnswerSlackMs:     20,
			MaxPollIntervalMs: 8000,
			SlowStartFraction: 0.2,
			SlowStartMs:       10000,
			DrainGraceMs:      500,
			OverloadFactor:    3,
			OverloadAfterMs:   1000,
		},
		Membership: "pushed",
		Replicas:   3,
		RoundMs:    5,
		ValueBy:    "request",
		Weights:    "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newHarness(t *testing.T, s settings.Settings, servers int) *harness {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, b: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]cluster.Entry, servers)
	for i := range entries {
		entries[i] = cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.list(cluster.ListCached, entries...)
	return r
}

func (r *harness) handle(ev Event) []Action { return r.b.Handle(r.now, &ev, nil) }

func (r *harness) list(kind cluster.ListKind, entries ...cluster.Entry) []Action {
	return r.handle(Event{Kind: EvList, List: kind, Entries: entries})
}

func (r *harness) startRequest(class int, key uint64) (RequestID, []Action) {
	r.id++
	return r.id, r.handle(Event{Kind: EvRequest, Request: r.id, Class: class, Key: key, LeftMs: 600})
}

func (r *harness) outcome(id RequestID, try int, s cluster.Addr, st Status, rtt float64) []Action {
	return r.handle(Event{
		Kind:      EvOutcome,
		Request:   id,
		Attempt:   try,
		Server:    s,
		Status:    st,
		LatencyMs: rtt,
		Final:     st == OK,
	})
}

func find(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustSend starts one request and returns its id and the server that it was sent to.
func (r *harness) mustSend(class int, key uint64) (RequestID, cluster.Addr) {
	r.t.Helper()
	id, actions := r.startRequest(class, key)
	a := find(actions, ActSend)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// tick advances the clock by ms and fires the tick timer.
func (r *harness) tick(ms float64) []Action {
	r.now += ms
	return r.handle(Event{Kind: EvTimer, Token: tickToken})
}

// newSeededHarness returns a harness with an empty endpoint list, and the entries of ten servers past slow start.
func newSeededHarness(t *testing.T, seed uint64) (*harness, []cluster.Entry) {
	t.Helper()
	b, err := New(testSettings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	entries := make([]cluster.Entry, 10)
	for i := range entries {
		entries[i] = cluster.Entry{Server: addr(i), Health: cluster.Ready, Weight: 1}
	}
	return &harness{t: t, b: b, now: 1e6}, entries
}

// newWarmHarness returns a harness whose Balancer has learned an answer time of 10 ms.
func newWarmHarness(t *testing.T, servers int) *harness {
	r := newHarness(t, testSettings(), servers)
	for i := range 300 {
		id, s := r.mustSend(i%3, uint64(r.b.rng.Int64()))
		r.now += 10
		r.outcome(id, 0, s, OK, 10)
	}
	return r
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}
