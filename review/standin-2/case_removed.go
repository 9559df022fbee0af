package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["resume-at-removed-service"] = resumeAtRemovedService }

// resumeAtRemovedService moves a route to another service and removes the old one while streams are under way there.
// Later than apply_ms after that, two of the old service's five backends are replaced, one each second: a new one starts,
// the old one drains and ends. The streams of the first break off.
func resumeAtRemovedService(f *fleet) (broken bool) {
	const (
		requests = 24
		events   = 150
		linger   = 1500 * time.Millisecond // beyond drain_ms; linger_ms of the sheet
		between  = time.Second             // gap_s of the release
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	set := simulation.EngineSettings{
		Zone:            "koto-hall",
		Region:          "kanto",
		Phase:           simulation.PhaseDecode,
		Capacity:        64,
		KVTokens:        600_000,
		Step:            100 * time.Millisecond,
		PrefillPerToken: 4 * time.Microsecond,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	start := func(service, id string) *simulation.Engine {
		set.Service, set.ID = service, id
		return simulation.StartEngine(f, set)
	}
	old := []*simulation.Engine{start(llm, "old-1"), start(llm, "old-2"), start(llm, "old-3")}
	set.Phase = simulation.PhasePrefill
	readers := []*simulation.Engine{start(llm, "read-1"), start(llm, "read-2")}
	set.Phase = simulation.PhaseDecode
	next := []*simulation.Engine{start("llm2", "new-1"), start("llm2", "new-2")}
	platform := f.startPlatform(nil, slices.Concat(old, readers, next)...)
	route := func(service string) string {
		return `{"name": "r-talk", "hostname": "review.example", "pfx": "/talk/", "kind": "stream", "deadline_ms": 20000,
   "target_ms": 120, "prio": 0, "svc": "` + service + `", "tries": 3, "pin": true, "resumable": true, "gap_aim_ms": 150}`
	}
	first := config(route(llm))
	f.startPrograms(ctx, first)
	service2 := `{"name": "llm2", "probe": "/healthz", "maxconn": 360, "proto": "h1", "ssl": false,
   "runtime": {"capacity": 64, "kv_ntok": 600000, "kv_tok_bytes": 163840, "bw_mbps": 8800000, "stride": 1,
   "kv_ref_s": 4.4, "swap_s": 0.5, "model_list": [{"name": "m"}]}}`
	change := func(base uint64, body string) {
		reply, err := f.operator.Update(ctx, base, []byte(body))
		if err != nil || reply.Status != http.StatusOK {
			f.Fatalf("update: status %d %s, %v", reply.Status, reply.Body, err)
		}
		f.note("configuration %d acknowledged", reply.Version)
	}
	change(1, `{"ver": 2, "upsert": {"svcs": [`+service2+`]}}`)

	client := &simulation.Client{Edge: f.edge}
	results := make([]simulation.Result, requests)
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() {
			results[i] = client.Do(ctx, simulation.Request{
				Attempt:   fmt.Sprintf("talk-%d", i+1),
				Kind:      simulation.Stream,
				Resumable: true,
				Host:      host,
				Path:      "/talk/",
				Body:      []byte("{}"),
				Deadline:  20 * time.Second,
				Model:     "m",
				Tokens:    [2]int{220, events},
				Parts:     []simulation.Part{{ID: fmt.Sprintf("%x", 0x9a10+i*7), Tokens: 220}},
			})
		})
	}
	f.note("%d streams begin", requests)
	if f.trouble {
		time.Sleep(time.Second)
		change(2, `{"ver": 3, "upsert": {"routing": [`+route("llm2")+`]}, "remove": {"svcs": ["llm"]}}`)
		time.Sleep(2200 * time.Millisecond) // over apply_ms
		slices.SortStableFunc(old, func(a, b *simulation.Engine) int { return serving(b) - serving(a) })
		for i, e := range old[:2] {
			if i > 0 {
				time.Sleep(between)
			}
			platform.Add(start(llm, fmt.Sprintf("successor-%d", i+1)))
			platform.Drain(e)
			f.note("successor-%d is started, %s begins to drain with %d streams; the list shows it %v later", i+1, e.ID(),
				serving(e), listDelay)
			time.AfterFunc(listDelay+drain+linger, func() {
				f.note("%s ends", e.ID())
				platform.Remove(e)
				e.Crash()
			})
		}
	}
	all.Wait()
	for i := range results {
		r := &results[i]
		f.noteAt(r.EndedAt, "%s: %s", r.Attempt, outcome(r))
		if !f.trouble && !r.OK() {
			broken = true
		}
	}
	for _, e := range slices.Concat(old, next) {
		shown, drained := f.platform.shownDraining(e.Settings().ID)
		if drained {
			f.noteAt(shown, "the control plane was answered with the list that shows %s as draining", e.Settings().ID)
		}
		for _, en := range e.Log.Entries() {
			if en.Kind != simulation.KindRequest {
				continue
			}
			f.noteAt(en.At, "%s: %s arrives, Last-Event-Id %q, status %d, complete %v", en.Engine, en.Attempt,
				en.Header.Get(simulation.HeaderLastEvent), en.Status, en.Complete)
			if drained && en.Status != http.StatusMisdirectedRequest && en.At.After(shown.Add(drain)) {
				f.noteAt(en.At, "DRAIN broken: %s reaches %s %.3f s after that, drain_ms is %v", en.Attempt, en.Engine,
					en.At.Sub(shown).Seconds(), drain)
				broken = true
			}
		}
	}
	return broken
}

// serving returns the number of requests under way at a backend.
func serving(e *simulation.Engine) int {
	n := 0
	for _, en := range e.Log.Entries() {
		if en.Kind == simulation.KindRequest && en.Ended.IsZero() {
			n++
		}
	}
	return n
}
