package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// The case "drain": a proxy that got SIGTERM takes requests from kept connections that it can't answer before it closes
// all connections. Times after the SIGTERM have the prefix at.
const (
	drainGrace    = 8 * time.Second         // grace_s
	drainLate     = 3 * time.Second         // the newest wording excuses only requests sent before that
	drainSlots    = 6                       // slots of slip-desk
	drainQueue    = 24                      // queue of slip-desk
	drainWork     = 1250 * time.Millisecond // work of a request at slip-desk
	drainDeadline = 2500 * time.Millisecond // deadline_ms of the route, and what the client tells

	atFirstBatch  = 6600 * time.Millisecond // one request for each slot
	atSecondBatch = 6850 * time.Millisecond // as many, which wait in the backend's queue

	// closingTakes bounds how long the proxy takes to close all connections: the backend begins a waiting request when
	// that of a running one is closed.
	closingTakes = 50 * time.Millisecond

	longAnswerStep   = 60 * time.Millisecond // between two events of the long answer
	longAnswerEvents = 124
)

const drainRoutes = `{"name":"r-hazard","hostname":"ariake.example","pfx":"/hazard/","kind":"stream","deadline_ms":20000,
"target_ms":120,"prio":0,"svc":"sora-llm","tries":1,"pin":true,"resumable":false,"gap_aim_ms":150},
{"name":"r-slip","hostname":"ariake.example","pfx":"/slip/","kind":"mutating","deadline_ms":2500,"target_ms":150,
"prio":2,"svc":"slip-desk","tries":1}`

func playDrain(ctx context.Context, h *harness, rec *record, binary string, trouble bool) (broken int) {
	decode := simulation.StartEngine(h, simulation.EngineSettings{
		ID: "i-decode1", Service: "sora-llm", Zone: zones[0], Region: "kanto", Phase: simulation.PhaseDecode,
		Capacity: 64, Queue: 192, Step: longAnswerStep, PrefillPerToken: 20 * time.Microsecond, Fencing: true,
		KVTokens: 600000,
	})
	desk := simulation.StartEngine(h, simulation.EngineSettings{
		ID: "i-desk1", Service: "slip-desk", Zone: zones[0], Region: "kanto", Capacity: drainSlots, Queue: drainQueue,
		Step: drainWork,
	})
	platform := simulation.StartPlatform(h, simulation.PlatformSettings{Rate: 42, Delay: 800 * time.Millisecond},
		decode, desk)
	f := startFleet(h, binary, platform.Address(), 3)
	f.await(ctx, h, config(drainRoutes))
	rec.now("three proxies are ready")

	leaving := f.edge[0]
	clients := make([]*simulation.Client, 2*drainSlots)
	results := make([]simulation.Result, len(clients))
	// Each client sends a first request and keeps its connection. They come in two groups, one for each slot.
	for from := 0; from < len(clients); from += drainSlots {
		var group sync.WaitGroup
		for i := from; i < from+drainSlots; i++ {
			clients[i] = &simulation.Client{Edge: leaving.edge, KeepAlive: true}
			group.Go(func() {
				res := clients[i].Do(ctx, slipRequest(fmt.Sprintf("first%03d", i)))
				describe(rec, fmt.Sprintf("client %d, first request", i), res)
			})
		}
		group.Wait()
	}

	long := make(chan simulation.Result, 1)
	go func() {
		c := &simulation.Client{Edge: leaving.edge}
		long <- c.Do(ctx, simulation.Request{
			Attempt: "long0001", Kind: simulation.Stream, Host: "ariake.example", Path: "/hazard/1",
			Body: []byte("a hazard question"), Deadline: 20 * time.Second, Model: "m",
			Tokens: [2]int{220, longAnswerEvents},
			Parts:  []simulation.Part{{ID: "5c1e07a2", Tokens: 79}, {ID: "91bd3f06", Tokens: 141}},
		})
	}()
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if trouble {
		rec.at(term, "SIGTERM to %s", leaving.name)
		for _, p := range leaving.procs {
			p.Signal(syscall.SIGTERM)
		}
		stop := time.AfterFunc(drainGrace, func() {
			rec.now("SIGKILL to %s, grace_s after SIGTERM", leaving.name)
			for _, p := range leaving.procs {
				p.Signal(syscall.SIGKILL)
			}
		})
		defer stop.Stop()
	}
	var late sync.WaitGroup
	for i := range clients {
		late.Go(func() {
			at := atFirstBatch
			if i >= drainSlots {
				at = atSecondBatch
			}
			time.Sleep(time.Until(term.Add(at)))
			results[i] = clients[i].Do(ctx, slipRequest(fmt.Sprintf("late%04d", i)))
			describe(rec, fmt.Sprintf("client %d, late request", i), results[i])
		})
	}
	late.Wait()
	describe(rec, "long answer", <-long)

	recordRuns(rec, decode, desk)
	answered, excused := 0, 0
	for i := range results {
		r := &results[i]
		passed := arrivalOf(desk, r.Attempt)
		if r.Complete {
			answered++
		}
		if !lostAroundTerm(r, passed, term) {
			continue
		}
		if !passed.Began.IsZero() && passed.Began.Before(r.EndedAt.Add(-closingTakes)) {
			excused++
			rec.now("LOST by the newest wording (the oldest excuses it, as the backend was at work): %s, lost %.3f s after "+
				"SIGTERM", r.Attempt, r.EndedAt.Sub(term).Seconds())
			continue
		}
		broken++
		rec.now("LOST by any wording: %s, passed on %.3f s after SIGTERM, waited at the backend (ran: %v, once the "+
			"others' connections were closed); the connection ended %.3f s after SIGTERM, %.3f s before the request's deadline", r.Attempt,
			passed.At.Sub(term).Seconds(), passed.Ran, r.EndedAt.Sub(term).Seconds(),
			(r.Deadline - r.EndedAt.Sub(r.SentAt)).Seconds())
	}
	rec.now("of %d late requests %d answered; lost by any wording %d, by the newest alone %d more", len(results), answered,
		broken, excused)
	if !trouble && answered < len(results) {
		h.Fatalf("without the SIGTERM %d of %d late requests were answered", answered, len(results))
	}
	return broken
}

// slipRequest returns a request that may run once.
func slipRequest(id string) simulation.Request {
	return simulation.Request{
		Attempt: id, Kind: simulation.Mutating, Host: "ariake.example", Path: "/slip/1", Body: []byte("a slip, please"),
		Deadline: drainDeadline,
	}
}

// describe records what a client saw of one request.
func describe(rec *record, what string, r simulation.Result) {
	rec.at(r.SentAt, "%s: %s sent to %s (kept connection: %v)", what, r.Attempt, r.Edge, r.Reused)
	rec.at(r.EndedAt, "%s: %s ended after %.3f s: status %d, complete %v, events %d, error %v", what, r.Attempt,
		r.EndedAt.Sub(r.SentAt).Seconds(), r.Status, r.Complete, len(r.Events), r.Err)
}

// arrivalOf returns the arrival of a request at a backend; nil if there was none.
func arrivalOf(at *simulation.Engine, attempt string) *simulation.Entry {
	for _, e := range at.Log.Entries() {
		if e.Attempt == attempt && e.Kind == simulation.KindRequest {
			return &e
		}
	}
	return nil
}

// lostAroundTerm reports whether rule LOST is broken by a request around a SIGTERM, by the newest wording: it was passed
// on to a backend, and its connection ended without an answer, although its time was not over, the backend did not break
// off, and it was sent too late to be excused.
func lostAroundTerm(r *simulation.Result, passed *simulation.Entry, term time.Time) bool {
	switch {
	case r.NotSent || r.Complete || passed == nil || passed.Broke:
		return false
	case r.EndedAt.Sub(r.SentAt) >= r.Deadline:
		return false
	case r.SentAt.Sub(term) <= drainLate:
		return false
	}
	return r.EndedAt.Sub(term) <= drainGrace+time.Second
}
