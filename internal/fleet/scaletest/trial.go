package scaletest

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Trial is one measurement of the control plane and its agents at one size of the fleet.
type Trial struct {
	Agents         int           // simulated agents, beside a real node agent and proxy
	AgentProcesses int           // processes that run the simulated agents
	Backends       int           // backends on the platform's list
	Routes         int           // routes in the configuration
	Page           int           // entries per page of the platform's list
	Rate           float64       // rate limit of the platform in the settings, calls a second
	Heartbeat      time.Duration // heartbeat_ms of the settings
	Apply          time.Duration // apply_ms of the settings
	IdleDuration   time.Duration // duration of the idle measurement
	ConfigChanges  int           // number of configuration changes, one per ChangeInterval
	ChangeInterval time.Duration
	ListChanges    int           // number of backend list changes
	KillServers    bool          // kill the primary, then the complete core
	WaitTimeout    time.Duration // time limit of each wait
	Program        string        // binary of the fleet's programs
	AgentBinary    string        // binary that runs AgentGroup.Run when called with AgentArgs
	AgentArgs      func(first, count int, addresses []string) []string
	Out            io.Writer
	controlServers []*process
	machines       []machine
	settings       []string
	agentGroups    []*process
	commands       []io.WriteCloser
	edgePrograms   []*process // the real node agent and proxy
	events         chan groupEvent
	platform       *Platform
	operator       *operator
	maxTimerDelay  *atomic.Int64 // longest delay of a timer of this process in the current phase, ns
}

// groupEvent is an Event with the index of its agent group.
type groupEvent struct {
	group int
	Event
}

// numControlServers is the number of control servers of a trial.
const numControlServers = 3

func (t *Trial) validate() error {
	switch {
	case t.Agents < 1 || t.Agents > MaxAgents:
		return errors.Errorf("agents: 1 to %d", MaxAgents)
	case t.AgentProcesses < 1 || t.AgentProcesses > 32 || t.AgentProcesses > t.Agents:
		return errors.New("crews: 1 to 32, and no more than agents")
	case t.Backends < 1 || t.Backends > MaxBackends:
		return errors.Errorf("backends: 1 to %d", MaxBackends)
	case t.Routes < 1 || t.Routes > MaxRoutes:
		return errors.Errorf("routes: 1 to %d", MaxRoutes)
	case t.Page < 1 || t.Rate <= 0 || t.Heartbeat <= 0 || t.Apply <= 0 || t.IdleDuration <= 0 || t.WaitTimeout <= 0:
		return errors.New("page, rate, beat, apply, rest, within: above 0")
	}
	return nil
}

// Run runs the trial and writes its results. All processes that it started have ended when it returns.
func (t *Trial) Run(ctx context.Context) error {
	if err := t.validate(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "molepaddle-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer t.stopAll()
	t.events, t.maxTimerDelay = make(chan groupEvent, 4096), new(atomic.Int64)
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go t.measureTimerDelay(watched)
	t.printf("agents %d, backends %d, routes %d, page %d, rate %g/s, beat %v, apply %v, control servers %d, "+
		"agents' processes %d",
		t.Agents, t.Backends, t.Routes, t.Page, t.Rate, t.Heartbeat, t.Apply, numControlServers, t.AgentProcesses)
	if err := t.setUp(ctx, dir); err != nil {
		return errors.Wrap(err, "set up")
	}
	for _, phase := range []struct {
		name string
		run  func(context.Context) error
		on   bool
	}{
		{"rest", t.measureIdle, true},
		{"changes", t.measureConfigChanges, t.ConfigChanges > 0},
		{"lists", t.measureListChanges, t.ListChanges > 0},
		{"memory", func(context.Context) error { t.reportMemory("before losses"); return nil }, t.KillServers},
		{"primary killed", t.killPrimary, t.KillServers},
		{"core killed", t.killCore, t.KillServers},
	} {
		if !phase.on {
			continue
		}
		t.maxTimerDelay.Store(0)
		if err := phase.run(ctx); err != nil {
			return errors.Wrap(err, phase.name)
		}
		t.printf("%s: this machine's other work held the run up for %.0f ms at the most",
			phase.name, ms(time.Duration(t.maxTimerDelay.Load())))
	}
	t.reportMemory("at the end")
	return nil
}

// measureTimerDelay records the longest delay of a timer of this process: the figures of a run are invalid if other
// work on the machine delayed it for long.
func (t *Trial) measureTimerDelay(ctx context.Context) {
	const every = 10 * time.Millisecond
	for {
		due := time.Now().Add(every)
		if !pause(ctx, every) {
			return
		}
		if late := int64(time.Since(due)); late > t.maxTimerDelay.Load() {
			t.maxTimerDelay.Store(late)
		}
	}
}

func (t *Trial) printf(format string, args ...any) { fmt.Fprintf(t.Out, format+"\n", args...) }
