package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// TestStagedPromptsAreRetried guards against a retry budget that is too small for separately prefilled prompts. With
// eighty proxies, each can save little more than one extra send; if the decode backend failed, such a prompt needed
// two, one for the prefill and one for the decode, and was never served.
func TestStagedPromptsAreRetried(t *testing.T) {
	for _, fault := range []simulation.Faults{{Fail: 500}, {LoseAnswer: true}, {Garble: true}, {Refuse: true}} {
		engine := func(phase simulation.Phase) simulation.EngineSettings {
			return simulation.EngineSettings{Service: "llm", Zone: "e1", Phase: phase, Capacity: 8}
		}
		r := newRig(t, engine(simulation.PhasePrefill), engine(simulation.PhaseDecode), engine(simulation.PhaseDecode))
		r.proxy.settings.Bounds.RetryExtra, r.proxy.proxies = 202, 81
		r.configure()
		setFaults(r.engines[1:2], fault)
		for own := range 20 {
			got := r.client.Do(r.Context(), routeRequest("free", own%3, own, [2]int{6000, 2}))
			r.Check(got.OK(), qt.IsTrue, qt.Commentf("%+v: %d %v", fault, got.Status, got.Err))
		}
		r.Check(r.proxy.services["llm"].retryBudget.tokens >= 0, qt.IsTrue)
	}
}
