package choose

import (
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// world is one baseline with some servers that all are ready.
type world struct {
	t   *testing.T
	d   Decider
	now float64
	id  policy.RequestID
}

func addr(i int) cluster.Addr { return cluster.Addr{10, 0, 0, byte(i), 0, 1} }

func start(t *testing.T, name string, servers int) *world {
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
	w := &world{t: t, d: d, now: 1000}
	for i := range servers {
		w.list(i, cluster.Ready)
	}
	return w
}

func (w *world) list(i int, h cluster.Health) {
	w.d.Handle(w.now, &policy.Event{Kind: policy.EvList, List: cluster.ListDelta, Entries: []cluster.Entry{{Server: addr(i), Health: h, Weight: 1}}}, nil)
}

// ask brings a request and gives what is done; end brings how its attempt ended.
func (w *world) ask(class int) policy.Action {
	w.id++
	return w.only(w.d.Handle(w.now, &policy.Event{Kind: policy.EvRequest, Request: w.id, Class: class, LeftMs: 1000}, nil))
}

func (w *world) end(id policy.RequestID, st policy.Status, ms float64) policy.Action {
	w.now += ms
	return w.only(w.d.Handle(w.now, &policy.Event{Kind: policy.EvOutcome, Request: id, Status: st, LatencyMs: ms}, nil))
}

func (w *world) only(acts []policy.Action) policy.Action {
	w.t.Helper()
	if len(acts) > 1 {
		w.t.Fatalf("%+v", acts)
	}
	if len(acts) == 0 {
		return policy.Action{}
	}
	return acts[0]
}

// Every baseline keeps the rules that a list and the outcomes tell.
func TestRulesAreKept(t *testing.T) {
	for _, name := range Baselines() {
		w := start(t, name, 3)
		w.list(1, cluster.Draining)
		for range 50 {
			if a := w.ask(0); a.Kind != policy.ActSend || a.Server == addr(1) {
				t.Fatalf("%s: %+v", name, a)
			}
			w.end(w.id, policy.OK, 10)
		}
		// Safe: elsewhere, never twice to one server while there is another; then refused.
		first := w.ask(0)
		if again := w.end(w.id, policy.Error, 1); again.Kind != policy.ActSend || again.Server == first.Server {
			t.Errorf("%s: %+v", name, again)
		}
		// Keyed: within its window only.
		w.ask(1)
		if a := w.end(w.id, policy.Reset, 280); a.Kind != policy.ActSend || !(a.BeginMs > 0 && a.BeginMs <= 20) {
			t.Errorf("%s: a keyed repeat: %+v", name, a)
		}
		if a := w.end(w.id, policy.Reset, 30); a.Kind != policy.ActRefuse {
			t.Errorf("%s: a keyed repeat after its window: %+v", name, a)
		}
		// Unsafe: only what never ran.
		w.ask(2)
		if a := w.end(w.id, policy.Full, 1); a.Kind != policy.ActSend {
			t.Errorf("%s: turned away: %+v", name, a)
		}
		if a := w.end(w.id, policy.Error, 1); a.Kind != policy.ActFail {
			t.Errorf("%s: an order that may have run: %+v", name, a)
		}
		// Three attempts at the most.
		w.list(1, cluster.Ready)
		w.list(4, cluster.Ready)
		w.ask(0)
		w.end(w.id, policy.Full, 1)
		if a := w.end(w.id, policy.Full, 1); a.Kind != policy.ActSend {
			t.Errorf("%s: %+v", name, a)
		}
		if a := w.end(w.id, policy.Full, 1); a.Kind != policy.ActRefuse {
			t.Errorf("%s: a fourth attempt: %+v", name, a)
		}
	}
}

// Two choices take the one with less out; round robin takes all in turn.
func TestPicks(t *testing.T) {
	w := start(t, "p2c-least", 2)
	out := map[cluster.Addr]int{}
	for range 40 {
		out[w.ask(0).Server]++
	}
	if out[addr(0)] != 20 || out[addr(1)] != 20 {
		t.Errorf("two choices: %v", out)
	}
	w = start(t, "round-robin", 4)
	out = map[cluster.Addr]int{}
	for range 40 {
		out[w.ask(0).Server]++
	}
	for i := range 4 {
		if out[addr(i)] != 10 {
			t.Errorf("round robin: %v", out)
		}
	}
	// Peak EWMA keeps off a server that was slow, and comes back as the peak fades.
	w = start(t, "peak-ewma", 2)
	slow := w.ask(0).Server
	w.end(w.id, policy.OK, 900)
	for range 20 {
		if a := w.ask(0); a.Server == slow && w.id > 3 {
			t.Errorf("peak EWMA went to the slow one at request %d", w.id)
		}
		w.end(w.id, policy.OK, 10)
	}
}

// Envoy's ejection: five errors in a row, one server of few at once, for 30 s, longer each time.
func TestOutlier(t *testing.T) {
	w := start(t, "envoy-outlier", 4)
	fail := func(i int) {
		for n := 0; n < 5; {
			a := w.ask(2)
			if a.Server == addr(i) {
				w.end(w.id, policy.Error, 1)
				n++
			} else {
				w.end(w.id, policy.OK, 1)
			}
		}
	}
	seen := func() map[cluster.Addr]int {
		out := map[cluster.Addr]int{}
		for range 200 {
			out[w.ask(0).Server]++
			w.end(w.id, policy.OK, 1)
		}
		return out
	}
	fail(0)
	if out := seen(); out[addr(0)] != 0 {
		t.Errorf("ousted, and sent to: %v", out)
	}
	fail(1)
	if out := seen(); out[addr(1)] == 0 {
		t.Errorf("two of four were ousted: %v", out)
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
		t.Error("a chooser that is none")
	}
}
