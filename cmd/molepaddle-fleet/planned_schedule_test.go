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
	// plannedSteps is how many pieces of planned work a schedule has.
	plannedSteps = 5
	// plannedClients is how many clients send requests beside them to each edge machine.
	plannedClients = 3
)

// plannedRun is a schedule of planned work under way.
type plannedRun struct {
	*fleet
	rng  *rand.Rand
	busy sync.WaitGroup // machines that end and come back

	listed   []*simulation.Engine // plain backends that don't drain
	draining []simulation.Departure

	mu sync.Mutex // for what starts programs
}

// plannedWork are the pieces that schedules are drawn of.
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
		r.pause(1200 * time.Millisecond) // sync_s: one is lost at a time
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

// end ends a program of a machine as the platform does, and waits for it.
func (r *plannedRun) end(m *machine, role string) {
	p := m.programs[role]
	r.expectExit(p)
	p.Signal(syscall.SIGTERM)
	code, err := p.Wait(r.withTimeout(testTimeout))
	r.Check(err, qt.IsNil, qt.Commentf("%s", role))
	r.Check(code, qt.Equals, 0, qt.Commentf("%s", role))
}

// restart ends machines at the same moment; each is started again once it has ended, and waited for.
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

// replaceBackend has a new plain backend listed and an old one drained.
func (r *plannedRun) replaceBackend() {
	old := r.listed[0]
	fresh := r.startPlain()
	r.listed = append(r.listed[1:], fresh)
	r.platform.Add(fresh)
	r.platform.Drain(old)
	r.draining = append(r.draining, simulation.Departure{Engine: old.ID(), ListedAt: time.Now().Add(r.delay)})
}

// pause waits, as planned work is spread over a time.
func (r *plannedRun) pause(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	<-over.C
}

// load has clients send requests of all kinds to the edge machines until ctx ends. One that finds nobody, or is told to
// come back, goes on a little later.
func (r *plannedRun) load(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, m := range r.edge {
		for k := range plannedClients {
			client := &simulation.Client{Edge: m.boot.Edge, Keep: k > 0}
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

// TestPlannedWorkSchedules draws schedules of planned work and plays them on whole processes under traffic: the judge
// finds nothing lost, run twice, late or left over, and all are ready and serve when it is over.
func TestPlannedWorkSchedules(t *testing.T) {
	for i := range *plannedCount {
		seed := *plannedFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playPlannedWork(t, seed) })
	}
}

func playPlannedWork(t *testing.T, seed uint64) {
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
