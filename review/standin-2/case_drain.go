package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["drain-after-prefill"] = drainAfterPrefill }

// drainAfterPrefill sends long prompts, which queue at a prefill backend that reads them one after the other as fast as
// the sheet's engines. Meanwhile one of three backends of the service is replaced: a new one starts, the old one drains,
// serves on for drain_ms and 3 s more, and ends.
func drainAfterPrefill(f *fleet) (broken bool) {
	const (
		promptTokens = 39_600 // the longest of the sheet's prompts
		tokensPerMs  = 307    // of the sheet's engines
		events       = 60
		linger       = 3 * time.Second
		requests     = 60
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	set := simulation.EngineSettings{
		Service:         llm,
		Zone:            "koto-hall",
		Region:          "kanto",
		Capacity:        64,
		Queue:           192,
		KVTokens:        600_000,
		Step:            20 * time.Millisecond,
		PrefillPerToken: time.Millisecond / tokensPerMs,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	start := func(id string, phase simulation.Phase, capacity int) *simulation.Engine {
		set.ID, set.Phase, set.Capacity = id, phase, capacity
		return simulation.StartEngine(f, set)
	}
	engines := []*simulation.Engine{
		start("prefill-1", simulation.PhasePrefill, 1), // one prompt at a time, so that all together are read at the rate above
		start("decode-1", simulation.PhaseDecode, 64),
		start("decode-2", simulation.PhaseDecode, 64),
	}
	leaving := engines[2]
	platform := f.startPlatform(nil, engines...)
	f.startPrograms(ctx, config(`{"name": "r-long", "hostname": "review.example", "pfx": "/long/", "kind": "stream",
   "deadline_ms": 20000, "target_ms": 8000, "prio": 1, "svc": "llm", "tries": 2, "pin": true, "resumable": false,
   "gap_aim_ms": 150}`))
	successor := start("decode-3", simulation.PhaseDecode, 64)
	engines = append(engines, successor)

	client := &simulation.Client{Edge: f.edge}
	results := make([]simulation.Result, requests)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() {
			results[i] = client.Do(ctx, simulation.Request{
				Attempt:  fmt.Sprintf("long-%d", i+1),
				Kind:     simulation.Stream,
				Host:     host,
				Path:     "/long/",
				Body:     []byte("{}"),
				Deadline: 20 * time.Second,
				Model:    "m",
				Tokens:   [2]int{promptTokens, events},
				Parts:    []simulation.Part{{ID: fmt.Sprintf("%x", 0xabc00+i*7), Tokens: promptTokens}},
			})
		})
	}
	f.note("%d requests sent", requests)
	if f.trouble {
		time.Sleep(200 * time.Millisecond)
		platform.Add(successor)
		f.note("%s is started and listed", successor.ID())
		time.Sleep(100 * time.Millisecond)
		platform.Drain(leaving)
		f.note("%s begins to drain; the list shows it %v later", leaving.ID(), listDelay)
		ends := listDelay + drain + linger
		time.AfterFunc(ends, func() {
			f.note("%s ends", leaving.ID())
			platform.Remove(leaving)
			leaving.Crash()
		})
	}
	all.Wait()
	for i := range results {
		r := &results[i]
		f.noteAt(r.EndedAt, "%s, sent at %.3f s: %s", r.Attempt, r.SentAt.Sub(f.start).Seconds(), outcome(r))
	}
	shown, drained := f.platform.shownDraining(leaving.ID())
	if drained {
		f.noteAt(shown, "the control plane was answered with the list that shows %s as draining", leaving.ID())
	}
	for _, e := range engines {
		for _, en := range e.Log.Entries() {
			if en.Kind == simulation.KindOrder {
				f.noteAt(en.At, "%s: an order to change its phase arrives, status %d", en.Engine, en.Status)
			}
			if en.Kind != simulation.KindRequest && en.Kind != simulation.KindPrefill {
				continue
			}
			f.noteAt(en.At, "%s: %s of %s arrives, status %d, ran %v, complete %v", en.Engine, en.Kind, en.Attempt,
				en.Status, en.Ran, en.Complete)
			if drained && en.Engine == leaving.ID() && en.Status != 421 && en.At.After(shown.Add(drain)) {
				f.noteAt(en.At, "DRAIN broken: %s reaches %s %.3f s after that, drain_ms is %v", en.Attempt, en.Engine,
					en.At.Sub(shown).Seconds(), drain)
				broken = true
			}
		}
	}
	if !drained {
		for i := range results {
			if !results[i].OK() {
				f.note("without a disruption %s was not served", results[i].Attempt)
				broken = true
			}
		}
	}
	return broken
}
