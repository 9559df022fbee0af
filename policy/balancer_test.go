package policy

import (
	"fmt"
	"math"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

func TestInvalidSettings(t *testing.T) {
	for key, spoil := range map[string]func(*settings.Settings){
		"classes":             func(s *settings.Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *settings.Settings) { s.Classes[0].LatencyTargetMs = math.NaN() },
		"classes[1].giveUpMs": func(s *settings.Settings) { s.Classes[1].ClientTimeoutMs = -1 },
		"classes[0].effect":   func(s *settings.Settings) { s.Classes[0].Idempotency = "maybe" },
		"classes[2].group":    func(s *settings.Settings) { s.Classes[2].DedupScope = "moon" },
		"contract.coldMs":     func(s *settings.Settings) { s.Contract.SlowStartMs = -5 },
		"prices.handshake":    func(s *settings.Settings) { s.Prices.Handshake = math.NaN() },
		"limits.keepaliveMs":  func(s *settings.Settings) { s.Limits.KeepaliveMs = math.Inf(1) },
		"membershipMode":      func(s *settings.Settings) { s.Membership = "" },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), key) {
			t.Errorf("spoilt %s: error %v does not name it", key, err)
		}
	}
}

func ExampleBalancer() {
	settings := settings.Settings{
		Classes:    []settings.Class{{Name: "read", LatencyTargetMs: 200, ClientTimeoutMs: 800, Idempotency: settings.Idempotent, Value: 1}},
		Limits:     settings.Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []cluster.Entry{{Server: cluster.Addr{10, 0, 0, 1, 0x1f, 0x90}, Health: cluster.Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EvList, List: cluster.ListFull, Entries: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EvRequest, Request: 1, Key: 7, LeftMs: 800}, nil) {
		if a.Kind == ActSend {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// Valid but unusual values must not corrupt the learned statistics, and each request is answered once.
func TestOddValues(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
	r := newHarness(t, testSettings(), 3)
	r.list(cluster.ListDelta,
		cluster.Entry{Server: addr(9), Health: cluster.Gone},
		cluster.Entry{Server: addr(1), Health: cluster.Draining})
	final := map[RequestID]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActRefuse || a.Kind == ActFail {
				final[a.Request]++
			}
		}
	}
	for i, x := range odd {
		r.list(cluster.ListDelta, cluster.Entry{Server: addr(2), Health: cluster.Ready, Weight: x, SinceMs: x})
		for _, class := range []int{-1, 0, 1, 2, 3, 1 << 16} {
			r.id++
			actions := r.handle(Event{
				Kind:    EvRequest,
				Request: r.id,
				Class:   class,
				Tenant:  -i,
				Key:     5,
				LeftMs:  x,
				HintMs:  x,
				HasHint: true,
			})
			count(actions)
			if a := find(actions, ActSend); a != nil {
				r.now++
				st := []Status{OK, Error, Timeout}[i%3]
				final[r.id] += map[Status]int{OK: 1}[st]
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, 0, a.Server, st, x))
				count(r.outcome(r.id, -1, a.Server, st, x))
			}
		}
	}
	for range 300 {
		r.now += 10
		count(r.handle(Event{Kind: EvTimer, Token: tickToken}))
		for id := RequestID(1); id <= r.id; id++ { // end the retries as well
			if q := r.b.requests[id]; q != nil && q.inFlight > 0 {
				a := q.attempts[len(q.attempts)-1]
				count(r.outcome(id, a.index, a.s.id, Timeout, 10))
			}
		}
	}
	for id := RequestID(1); id <= r.id; id++ {
		if final[id] > 1 || final[id] == 0 && r.b.requests[id] == nil {
			t.Errorf("request %d has %d final answers", id, final[id])
		}
	}
	latency, answerTimes := r.b.normalLatency, r.b.answerTimes
	x := latency.OverallMean + answerTimes.MeanHint + answerTimes.Expected(0, 5) + latency.Unloaded +
		answerTimes.Mean(0)
	if math.IsNaN(x) || math.IsInf(x, 0) {
		t.Errorf("unusual values made the means %v", x)
	}
}

// The clock may start at any value. A request without time left is answered exactly once, and others are
// served as usual.
func TestClockStartsAnywhereAndNoTimeLeft(t *testing.T) {
	for _, start := range []float64{-1e7, 0, 1e13} {
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, b: b, now: start}
		b.Start(start, nil)
		r.list(cluster.ListCached,
			cluster.Entry{Server: addr(0), Health: cluster.Ready, Weight: 1},
			cluster.Entry{Server: addr(1), Health: cluster.Ready, Weight: 1})
		for _, left := range []float64{0, -5, 600} {
			r.id++
			finals, actions := 0, r.handle(Event{Kind: EvRequest, Request: r.id, Class: 0, Key: 3, LeftMs: left})
			a := find(actions, ActSend)
			if (a != nil) != (left > 0) {
				t.Fatalf("clock %v, %v ms left: sent %v", start, left, a != nil)
			}
			if a != nil {
				r.now += 20
				r.outcome(r.id, 0, a.Server, OK, 20)
				finals++
			}
			for range 3 {
				for _, a := range append(actions, r.tick(10)...) {
					if a.Request == r.id && (a.Kind == ActRefuse || a.Kind == ActFail) {
						finals++
					}
				}
				actions = nil
			}
			if finals != 1 || r.b.requests[r.id] != nil {
				t.Errorf("clock %v, %v ms left: %d final answers", start, left, finals)
			}
		}
	}
}
