package proxy

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

// engineService returns a service with prefill backends p0, p1 ... and decode backends d0, d1 ...
func engineService(capacity, prefill, decode int) *service {
	s := newService("llm", testGate(testZones), time.Second)
	s.configure(runtimeOf(capacity))
	var list []distribution.Backend
	for i := range prefill + decode {
		b := distribution.Backend{
			ID:      fmt.Sprintf("p%d", i),
			Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Zone:    "e1",
			Phase:   externalapi.PhasePrefill,
		}
		if i >= prefill {
			b.ID, b.Phase = fmt.Sprintf("d%d", i-prefill), externalapi.PhaseDecode
		}
		list = append(list, b)
	}
	s.updateEndpoints(list)
	return s
}

// sharedPrefixPrompt returns a prompt with a shared prefix, and a segment of its own.
func sharedPrefixPrompt(key, own uint64) *scheduler.Prompt {
	return &scheduler.Prompt{
		InputTokens:     9000,
		MaxOutputTokens: 2,
		Segments:        []scheduler.Segment{{PrefixHash: key, Tokens: 6000}, {PrefixHash: own, Tokens: 3000}},
	}
}

// place selects the placement of a request that is not retryable, may be prefilled separately, and has no terms. It
// fails if there is none.
func place(c *qt.C, s *service, kind string, prompt *scheduler.Prompt, target time.Duration) placement {
	pl, ok := s.selectPlacement(kind, false, prompt, target, map[string]bool{}, true, residency.Terms{})
	c.Assert(ok, qt.IsTrue)
	return pl
}

// TestLatePrefillIsRejectedAtOnce: a prefill that cannot complete in the remaining time is not started. In a burst of
// twice the capacity, such prefills delayed the others, and nearly all missed their deadlines.
func TestLatePrefillIsRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := engineService(64, 2, 2)
	late, n := false, 0
	for ; n < 4000 && !late; n++ {
		prompt := sharedPrefixPrompt(uint64(n%5), uint64(1000+n))
		pl := place(c, s, "k", prompt, 150*time.Millisecond)
		c.Assert(pl.prefill, qt.IsNotNil)
		one := clientRequest{svc: s, deadline: time.Now().Add(2 * time.Second)}
		late = one.prefillTooLate(&pl)
		if !late {
			s.engines.PrefillStarted(pl.prefill.ID, prompt, pl.atPreferred)
		}
	}
	c.Assert(late, qt.IsTrue)
	c.Assert(n > 100, qt.IsTrue, qt.Commentf("after %d", n))
	one := clientRequest{svc: s, deadline: time.Now().Add(time.Minute)}
	pl := place(c, s, "k", sharedPrefixPrompt(1, 1), 150*time.Millisecond)
	c.Assert(one.prefillTooLate(&pl), qt.IsFalse, qt.Commentf("a request with enough time waits"))
	// A prefill with a long expected wait is not abandoned halfway; any other is, in case the backend is unresponsive.
	c.Assert(time.Until(one.prefillDeadline(10)) < 31*time.Second, qt.IsTrue)
	c.Assert(time.Until(one.prefillDeadline(20_000)) > 39*time.Second, qt.IsTrue)
	c.Assert(time.Until(one.prefillDeadline(1e6)) < 61*time.Second, qt.IsTrue)
}

// TestPreferredBackendKeptUnderLoad: if all prefill backends have long queues, a prompt stays at its preferred one, as
// recomputing it elsewhere adds to the queues.
func TestPreferredBackendKeptUnderLoad(t *testing.T) {
	c := qt.New(t)
	s := engineService(64, 4, 2)
	prefillers := func(id string) bool { return s.byID[id].Phase == externalapi.PhasePrefill }
	home := s.ranker.PreferredBackend(0, 7, prefillers)
	chosen := func() string {
		pl := place(c, s, "k", sharedPrefixPrompt(7, 8), 150*time.Millisecond)
		s.attemptEnded(pl.decode.ID, policy.OK)
		s.engines.RequestEnded(pl.decode.ID)
		return pl.prefill.ID
	}
	load := func(id string, prompts int) {
		for i := range prompts {
			segments := []scheduler.Segment{{PrefixHash: uint64(100 + i), Tokens: 5000}}
			s.engines.PrefillStarted(id, &scheduler.Prompt{InputTokens: 5000, Segments: segments}, false)
		}
	}
	c.Assert(chosen(), qt.Equals, home)
	for _, id := range []string{"p0", "p1", "p2", "p3"} {
		load(id, 30)
	}
	load(home, 5)
	c.Assert(chosen(), qt.Equals, home, qt.Commentf("all have long queues"))
	load(home, 60)
	c.Assert(chosen(), qt.Not(qt.Equals), home, qt.Commentf("only it has a long queue"))
}

// longAnswerPrompt returns a short prompt with a long output.
func longAnswerPrompt() *scheduler.Prompt {
	return &scheduler.Prompt{
		InputTokens:     100,
		MaxOutputTokens: 80,
		Segments:        []scheduler.Segment{{PrefixHash: 1, Tokens: 50}, {PrefixHash: 2, Tokens: 50}},
	}
}

// TestLongDecodesGoToFreeBackends: requests with long outputs go to decode backends with free capacity, by the loads
// that the control plane polled.
func TestLongDecodesGoToFreeBackends(t *testing.T) {
	c := qt.New(t)
	s := engineService(8, 1, 4)
	talk := longAnswerPrompt()
	for range 50 {
		s.engines.ObserveDecode("talk", talk, 4000)
	}
	full := map[string]int{"d0": 8, "d1": 9, "d2": 8, "d3": 2}
	s.applyPolledLoad(full, nil)
	for range 5 {
		pl := place(c, s, "talk", talk, 120*time.Millisecond)
		c.Assert(pl.prefill, qt.IsNil)
		c.Assert(pl.decode.ID, qt.Equals, "d3")
	}
	// A request that has waited long for its response header keeps others away from a backend, though it is reported as
	// free.
	s.start = s.start.Add(-time.Second) // a second later
	s.applyPolledLoad(map[string]int{"d0": 0, "d1": 0, "d2": 8, "d3": 8}, nil)
	ended := s.awaitHeader("d0")
	s.start = s.start.Add(-time.Second)
	pl := place(c, s, "talk", talk, 120*time.Millisecond)
	c.Assert(pl.decode.ID, qt.Equals, "d1")
	ended(true)
	s.applyPolledLoad(map[string]int{"d0": 0, "d1": 0, "d2": 8, "d3": 8}, []string{"d1"})
	pl = place(c, s, "talk", talk, 120*time.Millisecond)
	c.Assert(pl.decode.ID, qt.Equals, "d0", qt.Commentf("the other did not respond to the control plane"))
}

// TestLongPromptsAreSplitWhateverTheirOutput: whether a prompt is prefilled separately depends on how long its prefill
// would delay others at the decode backend, not on the length of its output. When outputs grew from two tokens to four,
// all long prompts of a kind were prefilled at decode backends.
func TestLongPromptsAreSplitWhateverTheirOutput(t *testing.T) {
	c := qt.New(t)
	s := engineService(12, 4, 12)
	verdict := sharedPrefixPrompt(1, 2)
	for _, makingMs := range []float64{30, 150, 400, 4000} {
		for range 100 {
			s.engines.ObserveDecode("verdict", verdict, makingMs)
		}
		pl := place(c, s, "verdict", verdict, 200*time.Millisecond)
		c.Assert(pl.prefill, qt.IsNotNil, qt.Commentf("decode of %v ms", makingMs))
	}
}
