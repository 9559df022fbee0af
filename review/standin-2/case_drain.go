package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["drain-after-prefill"] = drainAfterPrefill }

// drainAfterPrefill sends prompts that take 5.5 s to read. While they are read, one of the two decode backends begins
// to leave: the platform's list shows it as draining, it serves on for drain_ms and 3 s more, and ends.
func drainAfterPrefill(f *fleet) (broken bool) {
	const (
		promptTokens = 39_600 // the longest of the sheet's prompts
		perToken     = 140 * time.Microsecond
		linger       = 3 * time.Second
		requests     = 8
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	set := simulation.EngineSettings{
		Service:         llm,
		Zone:            "koto-hall",
		Region:          "kanto",
		Capacity:        64,
		KVTokens:        600_000,
		Step:            40 * time.Millisecond,
		PrefillPerToken: perToken,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	var engines []*simulation.Engine
	for _, id := range []string{"prefill-1", "decode-1", "decode-2"} {
		set.ID, set.Phase = id, simulation.PhaseDecode
		if id == "prefill-1" {
			set.Phase = simulation.PhasePrefill
		}
		engines = append(engines, simulation.StartEngine(f, set))
	}
	leaving := engines[2]
	platform := f.startPlatform(nil, engines...)
	f.startPrograms(ctx, config(`{"name": "r-long", "hostname": "review.example", "pfx": "/long/", "kind": "stream",
   "deadline_ms": 20000, "target_ms": 8000, "prio": 1, "svc": "llm", "tries": 2, "pin": true, "resumable": false,
   "gap_aim_ms": 150}`))

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
				Tokens:   [2]int{promptTokens, 80},
				Parts:    []simulation.Part{{ID: fmt.Sprintf("%x", 0xabc0+i), Tokens: promptTokens}},
			})
		})
	}
	f.note("%d requests sent", requests)
	if f.trouble {
		time.Sleep(200 * time.Millisecond)
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
