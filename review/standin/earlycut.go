package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// The case "earlycut": a change adds a readonly route to a service that is there from the start, whose backends need
// longer than three times the route's target, but far less than its deadline.
const (
	cutRequests   = 250 // on each of the two routes; the rule counts from 20
	cutInterval   = 40 * time.Millisecond
	cutFastWork   = 30 * time.Millisecond
	cutSlowWork   = 600 * time.Millisecond
	cutSlots      = 6
	cutQueue      = 24
	cutDeadline   = 2500 * time.Millisecond // deadline_ms of both routes, and what the clients tell
	cutServersFor = 3                       // backends of each service
	cutCalm       = 4 * time.Second         // from the acknowledgement on: over apply_ms and contact_ms
)

const earlyCutFirst = `{"name":"r-reading","hostname":"ariake.example","pfx":"/reading/","kind":"readonly",
"deadline_ms":2500,"target_ms":150,"prio":2,"svc":"slip-desk","tries":2}`

const archiveService = `{"name":"archive","probe":"/healthz","maxconn":100,"proto":"h1","ssl":false}`

const earlyCutLater = `{"ver":3,"upsert":{"routing":[{"name":"r-archive","hostname":"ariake.example","pfx":"/archive/",
"kind":"readonly","deadline_ms":2500,"target_ms":150,"prio":2,"svc":"archive","tries":2}]}}`

func playEarlyCut(ctx context.Context, h *harness, rec *record, binary string, trouble bool) (broken int) {
	var all, archive []*simulation.Engine
	for i := range cutServersFor {
		s := simulation.EngineSettings{
			Zone: zones[i%len(zones)], Region: "kanto", Capacity: cutSlots, Queue: cutQueue,
			ID: fmt.Sprintf("i-reading%d", i+1), Service: "slip-desk", Step: cutFastWork,
		}
		all = append(all, simulation.StartEngine(h, s))
		s.ID, s.Service, s.Step = fmt.Sprintf("i-archive%d", i+1), "archive", cutSlowWork
		archive = append(archive, simulation.StartEngine(h, s))
	}
	platform := simulation.StartPlatform(h, simulation.PlatformSettings{Rate: 42, Delay: 800 * time.Millisecond},
		append(all, archive...)...)
	f := startFleet(h, binary, platform.Address(), 3)
	f.await(ctx, h, config(earlyCutFirst, archiveService))
	rec.now("three proxies are ready")
	second := "/reading/2"
	if trouble {
		second = "/archive/1"
		reply, err := f.operator.Update(ctx, 1, []byte(earlyCutLater))
		if err != nil || reply.Status != http.StatusOK {
			h.Fatalf("change: status %d, %v", reply.Status, err)
		}
		rec.now("acknowledged: version 3 adds the route /archive/ to the service archive")
	}
	time.Sleep(cutCalm)

	var mu sync.Mutex
	var served [2]int
	statuses := [2]map[int]int{{}, {}}
	var wg sync.WaitGroup
	for i := range cutRequests {
		for n, path := range []string{"/reading/1", second} {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * cutInterval)
				c := &simulation.Client{Edge: f.edge[0].edge}
				r := c.Do(ctx, simulation.Request{
					Attempt: fmt.Sprintf("req%d%04d", n, i), Kind: simulation.ReadOnly, Host: "ariake.example", Path: path,
					Body: []byte("a reading, please"), Deadline: cutDeadline,
				})
				describe(rec, path, r)
				mu.Lock()
				defer mu.Unlock()
				statuses[n][r.Status]++
				if r.OK() {
					served[n]++
				}
			})
		}
	}
	wg.Wait()
	recordRuns(rec, all...)
	recordRuns(rec, archive...)
	if trouble {
		recordAborted(rec, archive)
	}
	rec.now("statuses on the first route %v, on the second %v", statuses[0], statuses[1])
	rec.now("served on the first route: %d of %d; on the second: %d of %d", served[0], cutRequests, served[1], cutRequests)
	if served[0] == 0 {
		h.Fatalf("nothing is served on the first route")
	}
	if 4*served[1] < served[0] {
		rec.now("CONFIG: routes added later are served less than a quarter as often as the first ones")
		broken++
	}
	return broken
}

// recordAborted records how many requests the backends ran, answered and saw broken off, and after how long.
func recordAborted(rec *record, backends []*simulation.Engine) {
	ran, answered, aborted, turnedAway := 0, 0, 0, 0
	shortest, longest := time.Hour, time.Duration(0)
	for _, b := range backends {
		for _, e := range b.Log.Entries() {
			switch {
			case e.Kind != simulation.KindRequest:
			case !e.Ran:
				turnedAway++
			case e.Status != 0:
				ran++
				answered++
			case !e.Ended.IsZero():
				ran++
				aborted++
				shortest, longest = min(shortest, e.Ended.Sub(e.Began)), max(longest, e.Ended.Sub(e.Began))
			}
		}
	}
	rec.now("backends of archive: %d requests ran, %d were answered, %d were broken off by the proxy after %.3f to %.3f s, "+
		"%d did not run", ran, answered, aborted, shortest.Seconds(), longest.Seconds(), turnedAway)
}
