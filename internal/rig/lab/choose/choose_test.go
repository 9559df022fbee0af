package choose

import (
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// harness drives one baseline with servers that are all ready.
type harness struct {
	t   *testing.T
	d   Decider
	now float64
	id  policy.RequestID
}

func addr(i int) cluster.Addr { return cluster.Addr{10, 0, 0, byte(i), 0, 1} }

func newHarness(t *testing.T, name string, servers int) *harness {
	t.Helper()
	var set settings.Settings
	for _, e := range []settings.Idempotency{settings.Idempotent, settings.Deduplicated, settings.NonIdempotent} {
		set.Classes = append(set.Classes, settings.Class{Name: string(e), LatencyTargetMs: 100, ClientTimeoutMs: 1000, Idempotency: e, DedupScope: settings.DedupAll, DedupTTLMs: 300, Value: 1})
	}
	set.Membership, set.RoundMs, set.Limits.MaxAttempts = "pushed", 5, 3
	d, err := New(name, set, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &harness{t: t, d: d, now: 1000}
	for i := range servers {
		w.setHealth(i, cluster.Ready)
	}
	return w
}

func (w *harness) setHealth(i int, h cluster.Health) {
	w.d.Handle(w.now, &policy.Event{Kind: policy.EvList, List: cluster.ListDelta, Entries: []cluster.Entry{{Server: addr(i), Health: h, Weight: 1}}}, nil)
}

// request sends a request event and returns the resulting action; finish does so for an outcome.
func (w *harness) request(class int) policy.Action {
	w.id++
	return w.single(w.d.Handle(w.now, &policy.Event{Kind: policy.EvRequest, Request: w.id, Class: class, LeftMs: 1000}, nil))
}

func (w *harness) finish(id policy.RequestID, st policy.Status, ms float64) policy.Action {
	w.now += ms
	return w.single(w.d.Handle(w.now, &policy.Event{Kind: policy.EvOutcome, Request: id, Status: st, LatencyMs: ms}, nil))
}

func (w *harness) single(acts []policy.Action) policy.Action {
	w.t.Helper()
	if len(acts) > 1 {
		w.t.Fatalf("%+v", acts)
	}
	if len(acts) == 0 {
		return policy.Action{}
	}
	return acts[0]
}

// Every baseline follows the rules that it can derive from the list and the outcomes.
func TestRulesAreKept(t *testing.T) {
	for _, name := range Baselines() {
		w := newHarness(t, name, 3)
		w.setHealth(1, cluster.Draining)
		for range 50 {
			if a := w.request(0); a.Kind != policy.ActSend || a.Server == addr(1) {
				t.Fatalf("%s: %+v", name, a)
			}
			w.finish(w.id, policy.OK, 10)
		}
		// Safe: retried at another server while there is one.
		first := w.request(0)
		if again := w.finish(w.id, policy.Error, 1); again.Kind != policy.ActSend || again.Server == first.Server {
			t.Errorf("%s: %+v", name, again)
		}
		// Keyed: retried within the deduplication window only.
		w.request(1)
		if a := w.finish(w.id, policy.Reset, 280); a.Kind != policy.ActSend || !(a.BeginMs > 0 && a.BeginMs <= 20) {
			t.Errorf("%s: a keyed repeat: %+v", name, a)
		}
		if a := w.finish(w.id, policy.Reset, 30); a.Kind != policy.ActRefuse {
			t.Errorf("%s: a keyed repeat after its window: %+v", name, a)
		}
		// Unsafe: retried only if it never ran.
		w.request(2)
		if a := w.finish(w.id, policy.Full, 1); a.Kind != policy.ActSend {
			t.Errorf("%s: rejected: %+v", name, a)
		}
		if a := w.finish(w.id, policy.Error, 1); a.Kind != policy.ActFail {
			t.Errorf("%s: an order that may have run: %+v", name, a)
		}
		// At most three attempts.
		w.setHealth(1, cluster.Ready)
		w.setHealth(4, cluster.Ready)
		w.request(0)
		w.finish(w.id, policy.Full, 1)
		if a := w.finish(w.id, policy.Full, 1); a.Kind != policy.ActSend {
			t.Errorf("%s: %+v", name, a)
		}
		if a := w.finish(w.id, policy.Full, 1); a.Kind != policy.ActRefuse {
			t.Errorf("%s: a fourth attempt: %+v", name, a)
		}
	}
}

// Two choices prefer the server with fewer attempts in flight; round robin uses all in turn.
func TestPicks(t *testing.T) {
	w := newHarness(t, "p2c-least", 2)
	out := map[cluster.Addr]int{}
	for range 40 {
		out[w.request(0).Server]++
	}
	if out[addr(0)] != 20 || out[addr(1)] != 20 {
		t.Errorf("two choices: %v", out)
	}
	w = newHarness(t, "round-robin", 4)
	out = map[cluster.Addr]int{}
	for range 40 {
		out[w.request(0).Server]++
	}
	for i := range 4 {
		if out[addr(i)] != 10 {
			t.Errorf("round robin: %v", out)
		}
	}
	// Peak EWMA keeps off a server that was slow, and comes back as the peak fades.
	w = newHarness(t, "peak-ewma", 2)
	slow := w.request(0).Server
	w.finish(w.id, policy.OK, 900)
	for range 20 {
		if a := w.request(0); a.Server == slow && w.id > 3 {
			t.Errorf("peak EWMA picked the slow server at request %d", w.id)
		}
		w.finish(w.id, policy.OK, 10)
	}
}

// Envoy's ejection: after five errors in a row, one server of four at once, for 30 s, longer each time.
func TestEnvoyOutlierEjection(t *testing.T) {
	w := newHarness(t, "envoy-outlier", 4)
	fail := func(i int) {
		for n := 0; n < 5; {
			a := w.request(2)
			if a.Server == addr(i) {
				w.finish(w.id, policy.Error, 1)
				n++
			} else {
				w.finish(w.id, policy.OK, 1)
			}
		}
	}
	seen := func() map[cluster.Addr]int {
		out := map[cluster.Addr]int{}
		for range 200 {
			out[w.request(0).Server]++
			w.finish(w.id, policy.OK, 1)
		}
		return out
	}
	fail(0)
	if out := seen(); out[addr(0)] != 0 {
		t.Errorf("ejected, but gets requests: %v", out)
	}
	fail(1)
	if out := seen(); out[addr(1)] == 0 {
		t.Errorf("two of four were ejected: %v", out)
	}
	w.now += 30000
	if out := seen(); out[addr(0)] == 0 {
		t.Errorf("not back after 30 s: %v", out)
	}
	fail(0)
	w.now += 31000
	if out := seen(); out[addr(0)] != 0 {
		t.Errorf("back after 31 s the second time: %v", out)
	}
	if _, err := New("best", settings.Settings{}, 1, nil); err == nil {
		t.Error("an unknown chooser was accepted")
	}
}
