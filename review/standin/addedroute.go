package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// The case "addedroute": a change adds a stream route to a service without `runtime`.
const (
	addedRequests = 24                     // on each of the two routes; the rule counts from 20
	addedGap      = 250 * time.Millisecond // between two requests on a route
	addedStep     = 100 * time.Millisecond // between two events: less than the routes' gap_aim_ms
	addedEvents   = 40
	addedGiveUp   = 2 * time.Second // silence after which a client gives a stream up; 4 x 150 ms and 8 x 150 ms are less
	addedCalm     = 4 * time.Second // from the acknowledgement to the first request: over apply_ms and contact_ms
)

const addedFirst = `{"name":"r-digest","hostname":"ariake.example","pfx":"/digest/","kind":"stream","deadline_ms":20000,
"target_ms":150,"prio":1,"svc":"sora-llm","tries":2,"pin":true,"resumable":true,"gap_aim_ms":150}`

const addedLater = `{"ver":3,"upsert":{"routing":[{"name":"r-feed","hostname":"ariake.example","pfx":"/feed/",
"kind":"stream","deadline_ms":20000,"target_ms":150,"prio":1,"svc":"slip-desk","tries":2,"pin":true,"resumable":true,
"gap_aim_ms":150}]}}`

func playAddedRoute(ctx context.Context, h *harness, rec *record, binary string, trouble bool) (broken int) {
	decode := simulation.StartEngine(h, simulation.EngineSettings{
		ID: "i-decode1", Service: "sora-llm", Zone: zones[0], Region: "kanto", Phase: simulation.PhaseDecode,
		Capacity: 64, Queue: 192, Step: addedStep, PrefillPerToken: 20 * time.Microsecond, Fencing: true, KVTokens: 600000,
	})
	feed := simulation.StartEngine(h, simulation.EngineSettings{
		ID: "i-feed1", Service: "slip-desk", Zone: zones[0], Region: "kanto", Capacity: 64, Queue: 24, Stream: true,
		Step: addedStep,
	})
	platform := simulation.StartPlatform(h, simulation.PlatformSettings{Rate: 42, Delay: 800 * time.Millisecond},
		decode, feed)
	f := startFleet(h, binary, platform.Address(), 1)
	f.await(ctx, h, config(addedFirst))
	rec.now("the proxy is ready")
	second := "/digest/"
	if trouble {
		second = "/feed/"
		reply, err := f.operator.Update(ctx, 1, []byte(addedLater))
		if err != nil || reply.Status != http.StatusOK {
			h.Fatalf("change: status %d, %v", reply.Status, err)
		}
		rec.now("acknowledged: version 3 adds the route /feed/ to slip-desk")
	}
	time.Sleep(addedCalm)

	var wg sync.WaitGroup
	var served [2]int
	var mu sync.Mutex
	for i := range addedRequests {
		for n, prefix := range []string{"/digest/", second} {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * addedGap)
				r := streamOf(ctx, f.edge[0].edge, prefix+"1", fmt.Sprintf("req%d%03d", n, i))
				r.describe(rec)
				mu.Lock()
				defer mu.Unlock()
				if r.served {
					served[n]++
				}
			})
		}
	}
	wg.Wait()
	recordRuns(rec, decode, feed)
	for _, e := range []*simulation.Engine{decode, feed} {
		ran, complete := 0, 0
		for _, entry := range e.Log.Entries() {
			if entry.Kind != simulation.KindRequest || !entry.Ran {
				continue
			}
			ran++
			if entry.Complete {
				complete++
			}
		}
		rec.now("backend %s: ran %d requests, completed %d streams", e.ID(), ran, complete)
	}
	rec.now("served on the first route: %d of %d; on the second: %d of %d", served[0], addedRequests, served[1],
		addedRequests)
	if served[0] == 0 {
		h.Fatalf("nothing is served on the first route")
	}
	if 4*served[1] < served[0] {
		rec.now("CONFIG: routes added later are served less than a quarter as often as the first ones")
		broken++
	}
	return broken
}

// streamResult is what a client saw of a stream.
type streamResult struct {
	id, path    string
	sent, ended time.Time
	first       time.Time // first event; zero: none
	status      int
	events      int  // whole ones
	served      bool // complete, with all events
	err         error
}

// streamOf sends a request for a stream and reads it, until a silence of addedGiveUp.
func streamOf(ctx context.Context, edge, path, id string) *streamResult {
	r := &streamResult{id: id, path: path, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	silence := time.AfterFunc(addedGiveUp, func() { giveUp(fmt.Errorf("gave up after a silence of %v", addedGiveUp)) })
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+path, strings.NewReader("an archive"))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "ariake.example"
	req.Header.Set("X-Molepaddle-Attempt-Id", id)
	req.Header.Set("X-Molepaddle-Deadline-Ms", "20000")
	req.Header.Set("X-Molepaddle-Model", "m")
	req.Header.Set("X-Molepaddle-Token-Count", fmt.Sprintf("220,%d", addedEvents))
	req.Header.Set("X-Molepaddle-Prompt-Prefix", "5c1e07a2:79,91bd3f06:141")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.err = causeOf(ctx, err)
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	body := bufio.NewReader(resp.Body)
	for {
		line, err := body.ReadBytes('\n')
		if bytes.Equal(line, []byte("\n")) { // the end of an event
			silence.Reset(addedGiveUp)
			if r.events++; r.events == 1 {
				r.first = time.Now()
			}
		}
		if err == io.EOF {
			r.served = r.status == http.StatusOK && r.events == addedEvents
			return r
		}
		if err != nil {
			r.err = causeOf(ctx, err)
			return r
		}
	}
}

// causeOf returns why a request ended.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// describe records what the client saw.
func (r *streamResult) describe(rec *record) {
	rec.at(r.sent, "%s sent on %s", r.id, r.path)
	first := "none"
	if !r.first.IsZero() {
		first = fmt.Sprintf("after %.3f s", r.first.Sub(r.sent).Seconds())
	}
	rec.at(r.ended, "%s ended after %.3f s: status %d, first event %s, %d events, served %v, error %v", r.id,
		r.ended.Sub(r.sent).Seconds(), r.status, first, r.events, r.served, r.err)
}
