// Command molepaddle-scale measures how the resource usage of the router fleet's programs grows with the size of the
// fleet; see docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"molepaddle/internal/fleet/scaletest"
)

type cli struct {
	Run    runCmd    `cmd:"" help:"Run real control servers, a real node agent and proxy, simulated agents and a fake platform; report resource usage."`
	Proxy  proxyCmd  `cmd:"" help:"Run a real proxy between simulated clients and fake backends; report its cost per request and per event."`
	Agents agentsCmd `cmd:"" hidden:"" help:"Run the simulated agents of one process; started by run."`
}

type runCmd struct {
	Program   string        `help:"Binary of the fleet's programs." default:"target/molepaddle-fleet" type:"existingfile" placeholder:"FILE"`
	Agents    int           `help:"Number of simulated agents." default:"300"`
	Crews     int           `help:"Number of processes that run the simulated agents." default:"2"`
	Backends  int           `help:"Number of backends on the platform's list." default:"300"`
	Routes    int           `help:"Routes in the configuration." default:"100"`
	Page      int           `help:"Entries per page of the list." default:"50"`
	Rate      float64       `help:"Rate limit of the platform in calls a second, as written to the settings." default:"42"`
	Heartbeat time.Duration `name:"beat" help:"heartbeat_ms of the settings." default:"1200ms"`
	Apply     time.Duration `help:"apply_ms of the settings, which sets the pace of pulls." default:"2s"`
	Rest      time.Duration `help:"Duration of the idle measurement." default:"10s"`
	Changes   int           `help:"Number of configuration changes." default:"20"`
	Gap       time.Duration `help:"Time between two changes." default:"300ms"`
	Lists     int           `help:"Number of backend list changes." default:"5"`
	Losses    bool          `help:"Kill the primary, then the whole core." default:"true" negatable:""`
	Within    time.Duration `help:"Time limit of each wait." default:"60s"`
}

// Run runs one trial of the control plane and its agents.
func (c *runCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t := scaletest.Trial{
		Agents:         c.Agents,
		AgentProcesses: c.Crews,
		Backends:       c.Backends,
		Routes:         c.Routes,
		Page:           c.Page,
		Rate:           c.Rate,
		Heartbeat:      c.Heartbeat,
		Apply:          c.Apply,
		IdleDuration:   c.Rest,
		ConfigChanges:  c.Changes,
		ChangeInterval: c.Gap,
		ListChanges:    c.Lists,
		KillServers:    c.Losses,
		WaitTimeout:    c.Within,
		Program:        c.Program,
		AgentBinary:    self,
		Out:            os.Stdout,
		AgentArgs: func(first, count int, addresses []string) []string {
			return []string{
				"agents", "--first", strconv.Itoa(first), "--count", strconv.Itoa(count),
				"--at", strings.Join(addresses, ","), "--beat", c.Heartbeat.String(), "--apply", c.Apply.String(),
			}
		},
	}
	return t.Run(ctx)
}

type proxyCmd struct {
	Program  string        `help:"Binary of the fleet's programs." default:"target/molepaddle-fleet" type:"existingfile" placeholder:"FILE"`
	Backends int           `help:"Number of backends on the list." default:"300"`
	Routes   int           `help:"Routes in the configuration." default:"100"`
	Rates    []float64     `help:"Request rates to measure in turn, in requests a second; 0: idle." default:"0,25,50,100"`
	Events   int           `help:"Number of events in each response." default:"20"`
	Every    time.Duration `help:"Time between two events." default:"10ms"`
	For      time.Duration `help:"Duration of each rate." default:"8s"`
	Within   time.Duration `help:"Time limit of the start." default:"30s"`
}

// Run runs one trial of a proxy.
func (c *proxyCmd) Run(ctx context.Context) error {
	t := scaletest.ProxyTrial{
		Backends:      c.Backends,
		Routes:        c.Routes,
		Rates:         c.Rates,
		Events:        c.Events,
		EventInterval: c.Every,
		RateDuration:  c.For,
		StartTimeout:  c.Within,
		Program:       c.Program,
		Out:           os.Stdout,
	}
	return t.Run(ctx)
}

type agentsCmd struct {
	First     int           `help:"Number of the first agent."`
	Count     int           `help:"Number of agents."`
	At        []string      `help:"Addresses at which control servers answer pulls."`
	Heartbeat time.Duration `name:"beat" help:"heartbeat_ms of the settings."`
	Apply     time.Duration `help:"apply_ms of the settings."`
}

// Run runs the simulated agents until standard input ends.
func (c *agentsCmd) Run(ctx context.Context) error {
	group := scaletest.AgentGroup{
		First:     c.First,
		Count:     c.Count,
		Addresses: c.At,
		Heartbeat: c.Heartbeat,
		Apply:     c.Apply,
	}
	return group.Run(ctx, os.Stdin, os.Stdout)
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("molepaddle-scale"),
		kong.Description("Measures the resource usage of the router fleet's programs by fleet size."),
		kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle-scale:", err)
		os.Exit(1)
	}
}
