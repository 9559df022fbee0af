// Command molepaddle-scale measures how the router fleet's programs grow with the fleet: see docs/CAPACITY.md.
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
	Run    runCmd    `cmd:"" help:"Play real control servers, a real node agent and proxy, hollow agents and a hollow platform; write what they use."`
	Proxy  proxyCmd  `cmd:"" help:"Play a real proxy between hollow clients and hollow backends; write what a request and an event cost it."`
	Agents agentsCmd `cmd:"" hidden:"" help:"Hollow agents of one process; run starts it."`
}

type runCmd struct {
	Program   string        `help:"Binary of the fleet's programs." default:"target/molepaddle-fleet" type:"existingfile" placeholder:"FILE"`
	Agents    int           `help:"Hollow agents." default:"300"`
	Crews     int           `help:"Processes that they share." default:"2"`
	Backends  int           `help:"Backends on the platform's list." default:"300"`
	Routes    int           `help:"Routes in the configuration." default:"100"`
	Page      int           `help:"Entries on a page of the list." default:"50"`
	Rate      float64       `help:"Calls a second that the platform takes, as the settings say." default:"42"`
	Heartbeat time.Duration `name:"beat" help:"heartbeat_ms of the settings." default:"1200ms"`
	Apply     time.Duration `help:"apply_ms of the settings: what pulls are paced by." default:"2s"`
	Rest      time.Duration `help:"For how long use at rest is measured." default:"10s"`
	Changes   int           `help:"Changes of the configuration; 0: none." default:"20"`
	Gap       time.Duration `help:"Time between two changes." default:"300ms"`
	Lists     int           `help:"Changes of the list of backends; 0: none." default:"5"`
	Losses    bool          `help:"Kill the primary, then the whole core." default:"true" negatable:""`
	Within    time.Duration `help:"Bound of each wait." default:"60s"`
}

// Run plays one trial.
func (c *runCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t := scaletest.Trial{
		Agents:    c.Agents,
		Crews:     c.Crews,
		Backends:  c.Backends,
		Routes:    c.Routes,
		Page:      c.Page,
		Rate:      c.Rate,
		Heartbeat: c.Heartbeat,
		Apply:     c.Apply,
		Rest:      c.Rest,
		Changes:   c.Changes,
		Gap:       c.Gap,
		Lists:     c.Lists,
		Losses:    c.Losses,
		Within:    c.Within,
		Program:   c.Program,
		Self:      self,
		Out:       os.Stdout,
		CrewArgs: func(first, count int, addresses []string) []string {
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
	Backends int           `help:"Backends on the list." default:"300"`
	Routes   int           `help:"Routes in the configuration." default:"100"`
	Rates    []float64     `help:"Requests a second, one rate after the other; 0: none." default:"0,25,50,100"`
	Events   int           `help:"Events of each answer." default:"20"`
	Every    time.Duration `help:"Time between two events." default:"10ms"`
	For      time.Duration `help:"How long each rate lasts." default:"8s"`
	Within   time.Duration `help:"Bound of the start." default:"30s"`
}

// Run plays one trial.
func (c *proxyCmd) Run(ctx context.Context) error {
	t := scaletest.ProxyTrial{
		Backends: c.Backends,
		Routes:   c.Routes,
		Rates:    c.Rates,
		Events:   c.Events,
		Every:    c.Every,
		For:      c.For,
		Within:   c.Within,
		Program:  c.Program,
		Out:      os.Stdout,
	}
	return t.Run(ctx)
}

type agentsCmd struct {
	First     int           `help:"Number of the first."`
	Count     int           `help:"How many."`
	At        []string      `help:"Where control servers answer pulls."`
	Heartbeat time.Duration `name:"beat" help:"heartbeat_ms of the settings."`
	Apply     time.Duration `help:"apply_ms of the settings."`
}

// Run pulls until standard input ends.
func (c *agentsCmd) Run(ctx context.Context) error {
	crew := scaletest.Crew{First: c.First, Count: c.Count, Addresses: c.At, Heartbeat: c.Heartbeat, Apply: c.Apply}
	return crew.Run(ctx, os.Stdin, os.Stdout)
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("molepaddle-scale"),
		kong.Description("Measures how the router fleet's programs grow."),
		kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle-scale:", err)
		os.Exit(1)
	}
}
