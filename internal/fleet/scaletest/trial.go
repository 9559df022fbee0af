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

// Trial is one run at one size.
type Trial struct {
	Agents    int           // hollow ones; a real node agent and proxy come besides
	Crews     int           // processes that the hollow agents share
	Backends  int           // on the platform's list
	Routes    int           // in the configuration
	Page      int           // entries on one page of the platform's list
	Rate      float64       // calls a second that the platform is said to take
	Heartbeat time.Duration // heartbeat_ms of the settings
	Apply     time.Duration // apply_ms of the settings
	Rest      time.Duration // how long use at rest is measured
	Changes   int           // of the configuration, one a Gap
	Gap       time.Duration
	Lists     int           // changes of the list
	Losses    bool          // the primary is killed, then the whole core
	Within    time.Duration // bound of each wait
	Program   string        // binary of the fleet's programs
	Self      string        // binary that runs Crew.Run when told "agents"
	CrewArgs  func(first, count int, addresses []string) []string
	Out       io.Writer
	observers []*process
	machines  []machine
	settings  []string
	crews     []*process
	commands  []io.WriteCloser
	probes    []*process // the real node agent and proxy
	events    chan tagged
	platform  *Platform
	op        *operator
	stall     *atomic.Int64 // ns that this process stood still at the most, since it was last asked
}

type tagged struct {
	crew int
	Event
}

// cores is how many control servers a run has.
const cores = 3

func (t *Trial) check() error {
	switch {
	case t.Agents < 1 || t.Agents > MaxAgents:
		return errors.Errorf("agents: 1 to %d", MaxAgents)
	case t.Crews < 1 || t.Crews > 32 || t.Crews > t.Agents:
		return errors.New("crews: 1 to 32, and no more than agents")
	case t.Backends < 1 || t.Backends > MaxBackends:
		return errors.Errorf("backends: 1 to %d", MaxBackends)
	case t.Routes < 1 || t.Routes > MaxRoutes:
		return errors.Errorf("routes: 1 to %d", MaxRoutes)
	case t.Page < 1 || t.Rate <= 0 || t.Heartbeat <= 0 || t.Apply <= 0 || t.Rest <= 0 || t.Within <= 0:
		return errors.New("page, rate, beat, apply, rest, within: above 0")
	}
	return nil
}

// Run plays the trial and writes what it finds. All that it starts has ended when it returns.
func (t *Trial) Run(ctx context.Context) error {
	if err := t.check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "molepaddle-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer t.end()
	t.events, t.stall = make(chan tagged, 4096), new(atomic.Int64)
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go t.watch(watched)
	t.say("agents %d, backends %d, routes %d, page %d, rate %g/s, beat %v, apply %v, control servers %d, "+
		"agents' processes %d",
		t.Agents, t.Backends, t.Routes, t.Page, t.Rate, t.Heartbeat, t.Apply, cores, t.Crews)
	if err := t.setUp(ctx, dir); err != nil {
		return errors.Wrap(err, "set up")
	}
	for _, part := range []struct {
		name string
		run  func(context.Context) error
		on   bool
	}{
		{"rest", t.rest, true},
		{"changes", t.changes, t.Changes > 0},
		{"lists", t.lists, t.Lists > 0},
		{"memory", func(context.Context) error { t.memory("before losses"); return nil }, t.Losses},
		{"primary killed", t.losePrimary, t.Losses},
		{"core killed", t.loseCore, t.Losses},
	} {
		if !part.on {
			continue
		}
		t.stall.Store(0)
		if err := part.run(ctx); err != nil {
			return errors.Wrap(err, part.name)
		}
		t.say("%s: this machine's other work held the run up for %.0f ms at the most",
			part.name, ms(time.Duration(t.stall.Load())))
	}
	t.memory("at the end")
	return nil
}

// watch notes how much later than due a timer of this process fires: figures of a run that was held up for long are no
// good.
func (t *Trial) watch(ctx context.Context) {
	const every = 10 * time.Millisecond
	for {
		due := time.Now().Add(every)
		if !pause(ctx, every) {
			return
		}
		if late := int64(time.Since(due)); late > t.stall.Load() {
			t.stall.Store(late)
		}
	}
}

func (t *Trial) say(format string, args ...any) { fmt.Fprintf(t.Out, format+"\n", args...) }
