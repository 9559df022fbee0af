package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

var (
	plannedCount = flag.Int("planned.schedules", 12, "schedules of planned work to draw and play on whole processes")
	plannedFirst = flag.Uint64("planned.first", 1, "the first seed of them")
)

const (
	// plannedSteps is the number of maintenance steps of a schedule.
	plannedSteps = 5
	// plannedClients is the number of clients that send requests to each edge machine meanwhile.
	plannedClients = 3
)

// plannedRun is a running schedule of planned maintenance.
type plannedRun struct {
	*fleet
	rng  *rand.Rand
	busy sync.WaitGroup // machines that are being restarted

	listed   []*simulation.Engine // plain backends that are not draining
	draining []simulation.Departure

	mu sync.Mutex // guards the start of programs
}

// plannedWork lists the maintenance steps from which schedules are drawn.
var plannedWork = []struct {
	name string
	do   func(r *plannedRun)
}{
	{"a machine ends and comes back", func(r *plannedRun) { r.restart(r.edge[r.rng.IntN(len(r.edge))]) }},
	{"all machines end and come back", func(r *plannedRun) { r.restart(r.edge...) }},
	{"a node agent ends and comes back", func(r *plannedRun) {
		m := r.edge[r.rng.IntN(len(r.edge))]
		r.end(m, "node-agent")
		m.start("node-agent")
	}},
	{"a control process ends and comes back", func(r *plannedRun) {
		m := r.core[r.rng.IntN(len(r.core))]
		r.end(m, "control-plane")
		m.start("control-plane")
		r.pause(1200 * time.Millisecond) // sync_s, so that one machine at a time counts as lost
	}},
	{"all are hung up", func(r *plannedRun) {
		for _, m := range append(slices.Clone(r.core), r.edge...) {
			for _, p := range m.programs {
				p.Signal(syscall.SIGHUP)
			}
		}
	}},
	{"changes of the configuration", func(r *plannedRun) {
		for range 5 {
			r.Check(r.applyAddRoute(r.version+1).Status, qt.Equals, http.StatusOK)
		}
	}},
	{"a backend is replaced", func(r *plannedRun) { r.replaceBackend() }},
}

// end ends a program of a machine with SIGTERM, as the platform does, and waits for its exit.
func (r *plannedRun) end(m *machine, role string) {
	p := m.programs[role]
	r.expectExit(p)
	p.Signal(syscall.SIGTERM)
	code, err := p.Wait(r.withTimeout(testTimeout))
	r.Check(err, qt.IsNil, qt.Commentf("%s", role))
	r.Check(code, qt.Equals, 0, qt.Commentf("%s", role))
}

// restart ends machines at the same time, and starts each again once it has ended.
func (r *plannedRun) restart(machines ...*machine) {
	for _, m := range machines {
		m.terminate()
	}
	for _, m := range machines {
		r.busy.Go(func() {
			for _, role := range []string{"node-agent", "proxy"} {
				code, err := m.programs[role].Wait(r.withTimeout(testTimeout))
				r.Check(err, qt.IsNil, qt.Commentf("%s", role))
				r.Check(code, qt.Equals, 0, qt.Commentf("%s", role))
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, role := range m.roles {
				m.start(role)
			}
		})
	}
	r.busy.Wait()
	for _, m := range machines {
		r.awaitReady(m)
	}
}

// replaceBackend lists a new plain backend and drains an old one.
func (r *plannedRun) replaceBackend() {
	old := r.listed[0]
	fresh := r.startPlain()
	r.listed = append(r.listed[1:], fresh)
	r.platform.Add(fresh)
	r.platform.Drain(old)
	r.draining = append(r.draining, simulation.Departure{Engine: old.ID(), ListedAt: time.Now().Add(r.delay)})
}

// pause waits between maintenance steps.
func (r *plannedRun) pause(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	<-over.C
}

// load has clients send requests of all kinds to the edge machines until ctx ends. A client that can't connect, or gets
// a Retry-After, continues a little later.
func (r *plannedRun) load(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, m := range r.edge {
		for k := range plannedClients {
			client := &simulation.Client{Edge: m.boot.Edge, KeepAlive: k > 0}
			r.clients = append(r.clients, client)
			all.Go(func() {
				for n := k; ctx.Err() == nil; n++ {
					request := []simulation.Request{lookup(), hazard(), report(), bulletin(2000, 2)}[n%4]
					if result := client.Do(r.ctx, request); !result.OK() {
						r.pause(20 * time.Millisecond)
					}
				}
			})
		}
	}
	return &all
}

// TestPlannedWorkSchedules runs drawn schedules of planned maintenance on real processes under traffic. No request may
// be lost, run twice, be late or go on after its client has left, and at the end all machines are ready and serve.
func TestPlannedWorkSchedules(t *testing.T) {
	for i := range *plannedCount {
		seed := *plannedFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runPlannedWork(t, seed) })
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	f := newFleet(t, fleetOptions{bounds: map[string]any{"grace_s": 3, "sync_s": 1}})
	r := &plannedRun{
		fleet:  f,
		rng:    rand.New(rand.NewPCG(seed, 0x706c616e)),
		listed: slices.Clone(f.plain),
	}
	ctx, end := context.WithCancel(f.ctx)
	defer end()
	load := r.load(ctx)
	for range plannedSteps {
		work := plannedWork[r.rng.IntN(len(plannedWork))]
		t.Logf("%s", work.name)
		work.do(r)
		r.pause(time.Duration(r.rng.IntN(500)) * time.Millisecond)
	}
	end()
	load.Wait()
	f.departures = r.draining
	served := 0
	for _, client := range f.clients {
		for _, result := range client.Results() {
			if result.OK() {
				served++
			}
		}
	}
	t.Logf("%d served", served)
	f.Check(served > 100, qt.IsTrue)
	for _, m := range f.edge {
		client := &simulation.Client{Edge: m.boot.Edge}
		f.clients = append(f.clients, client)
		f.checkServed(client.Do(f.ctx, lookup()), "afterwards")
	}
	f.checkRules()
}
