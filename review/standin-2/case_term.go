package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["late-request-cut"] = lateRequestCut }

// lateRequestCut stops the edge machine with SIGTERM while it relays a long stream and clients hold kept connections to
// it. On these they send one mutating request each, later than 3 s after the SIGTERM. Each takes its backend a second,
// well within its deadline.
func lateRequestCut(f *fleet) (broken bool) {
	const (
		work     = time.Second
		deadline = 2500 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	decode := simulation.EngineSettings{
		Service:         llm,
		Zone:            "koto-hall",
		Region:          "kanto",
		Capacity:        64,
		KVTokens:        600_000,
		Step:            100 * time.Millisecond,
		PrefillPerToken: 4 * time.Microsecond,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	prefill := decode
	decode.ID, decode.Phase = "decode-1", simulation.PhaseDecode
	prefill.ID, prefill.Phase = "prefill-1", simulation.PhasePrefill
	engines := []*simulation.Engine{simulation.StartEngine(f, prefill), simulation.StartEngine(f, decode)}
	var books []*simulation.Engine
	for i := range 3 {
		books = append(books, simulation.StartEngine(f, simulation.EngineSettings{
			ID:       fmt.Sprintf("book-%d", i+1),
			Service:  plain,
			Zone:     "koto-hall",
			Region:   "kanto",
			Capacity: 6,
			Queue:    24,
			Step:     work,
		}))
	}
	f.startPlatform(nil, append(engines, books...)...)
	f.startPrograms(ctx, config(`{"name": "r-talk", "hostname": "review.example", "pfx": "/talk/", "kind": "stream",
   "deadline_ms": 20000, "target_ms": 120, "prio": 0, "svc": "llm", "tries": 1, "pin": true, "resumable": false,
   "gap_aim_ms": 150}`,
		`{"name": "r-book", "hostname": "review.example", "pfx": "/book/", "kind": "mutating", "deadline_ms": 2500,
   "target_ms": 150, "prio": 2, "svc": "book", "tries": 1}`))

	talk := &simulation.Client{Edge: f.edge}
	var all sync.WaitGroup
	all.Go(func() {
		r := talk.Do(ctx, simulation.Request{
			Attempt:  "talk",
			Kind:     simulation.Stream,
			Host:     host,
			Path:     "/talk/",
			Body:     []byte("{}"),
			Deadline: 20 * time.Second,
			Model:    "m",
			Tokens:   [2]int{220, 150},
			Parts:    []simulation.Part{{ID: "7a1c", Tokens: 220}},
		})
		f.noteAt(r.EndedAt, "talk, sent at %.3f s: %s", r.SentAt.Sub(f.start).Seconds(), outcome(&r))
	})
	book := func(c *simulation.Client, attempt string) simulation.Result {
		return c.Do(ctx, simulation.Request{
			Attempt:  attempt,
			Kind:     simulation.Mutating,
			Host:     host,
			Path:     "/book/",
			Body:     []byte(`{"n": 1}`),
			Deadline: deadline,
		})
	}
	// Clients that keep their connections: each sends a request before the SIGTERM, and another after it.
	after := []time.Duration{3300, 4000, 5000, 6000, 6500, 6800, 6900, 7000}
	for i := range after {
		after[i] *= time.Millisecond
	}
	clients := make([]*simulation.Client, len(after))
	var first sync.WaitGroup
	for i := range clients {
		clients[i] = &simulation.Client{Edge: f.edge, KeepAlive: true}
		first.Go(func() {
			if r := book(clients[i], fmt.Sprintf("early-%d", i+1)); !r.OK() || r.Closing {
				f.Fatalf("early-%d: %s", i+1, outcome(&r))
			}
		})
	}
	first.Wait()
	f.note("%d clients were answered and keep their connections; one stream is under way", len(clients))
	term := time.Now()
	if f.trouble {
		f.stopEdge()
		f.noteAt(term, "SIGTERM to the edge machine's processes; SIGKILL follows after grace_s, %v", grace)
	}
	late := make([]simulation.Result, len(after))
	for i := range clients {
		all.Go(func() {
			time.Sleep(time.Until(term.Add(after[i])))
			late[i] = book(clients[i], fmt.Sprintf("late-%d", i+1))
		})
	}
	all.Wait()
	ran := map[string]simulation.Entry{}
	for _, e := range books {
		for _, en := range e.Log.Entries() {
			if en.Kind == simulation.KindRequest {
				ran[en.Attempt] = en
				f.noteAt(en.At, "%s: %s arrives, ran %v, status %d, complete %v", en.Engine, en.Attempt, en.Ran, en.Status,
					en.Complete)
			}
		}
	}
	for i := range late {
		r := &late[i]
		en, passedOn := ran[r.Attempt]
		sent := r.SentAt.Sub(term)
		f.noteAt(r.EndedAt, "%s, sent %.3f s after the SIGTERM, on a kept connection %v: %s", r.Attempt, sent.Seconds(),
			r.Reused, outcome(r))
		// LOST: passed on, and the connection ended without a complete answer. Its deadline was not reached, the backend
		// did not break off, and the request was sent later than 3 s after the SIGTERM, so that the exception for the
		// last sixth of grace_s does not hold.
		if passedOn && !r.Complete && !en.Broke && r.EndedAt.Sub(r.SentAt) < deadline && sent > 3*time.Second &&
			r.EndedAt.Sub(term) <= grace+time.Second {
			f.noteAt(r.EndedAt, "LOST broken: %s was passed on to %s (ran: %v), and ends after %.3f s without an answer",
				r.Attempt, en.Engine, en.Ran, r.EndedAt.Sub(r.SentAt).Seconds())
			broken = true
		}
		if !f.trouble && !r.OK() {
			f.note("without a disruption %s was not served", r.Attempt)
			broken = true
		}
	}
	return broken
}
