// Command molepaddle-fleet runs the programs of the router fleet: the proxy, the node agent beside it, and the control
// plane. The environment variable MOLEPADDLE_CONFIG holds the path of their settings file. The other commands are for
// operators: they check files, and show and change the configuration.
//
// Each command is a struct whose fields are its flags and arguments (kong derives the names on the command line from
// the field names) and whose Run method executes it. The output, exit codes and JSON keys of the commands are
// documented in docs/operators/fleet-commands.md; tests run the examples of that page.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

// Exit codes, as docs/operators/fleet-commands.md documents them.
const (
	exitOK              = 0
	exitFailure         = 1 // findings, a rejection, no route, no reachable control server; a program failed
	exitUsage           = 2 // invalid command line or settings, or an unreadable file
	exitVersionConflict = 3 // the base version is no longer the current one
	exitTimeout         = 3 // the time limit passed before every agent had the version
	exitIndeterminate   = 4 // the control plane gave no definite answer
)

// cli declares the command line for kong.
type cli struct {
	Settings    string      `help:"Settings file of the process." env:"MOLEPADDLE_CONFIG" placeholder:"FILE" predictor:"file"`
	LogLevel    string      `help:"Minimum level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	ShowVersion versionFlag `name:"version" help:"Print the build information and exit."`

	Proxy        proxyCmd        `cmd:"" group:"Programs" help:"Run the proxy that takes clients' requests."`
	NodeAgent    nodeAgentCmd    `cmd:"" group:"Programs" help:"Run the agent that links a proxy to the control plane."`
	ControlPlane controlPlaneCmd `cmd:"" group:"Programs" help:"Run a control server."`

	Check      checkCmd                     `cmd:"" group:"For operators" help:"Check settings files and configurations."`
	Show       showCmd                      `cmd:"" group:"For operators" help:"Show the configuration in force."`
	Status     statusCmd                    `cmd:"" group:"For operators" help:"Show the state of the fleet: core members, singleton roles, each agent's version, backends."`
	Watch      watchCmd                     `cmd:"" group:"For operators" help:"Wait until every agent has a version."`
	Diff       diffCmd                      `cmd:"" group:"For operators" help:"Print what a file would change, and whether it would be accepted."`
	Propose    proposeCmd                   `cmd:"" group:"For operators" help:"Send a complete configuration."`
	Update     updateCmd                    `cmd:"" group:"For operators" help:"Send an update of named items."`
	Route      routeCmd                     `cmd:"" group:"For operators" help:"Print the route and services that a request would take."`
	Residency  residencyCmd                 `cmd:"" group:"For operators" help:"Print the regions that held tenants' data, and when."`
	Demo       demoCmd                      `cmd:"" group:"For operators" help:"Run a small fleet on this machine for about fifteen seconds."`
	Version    versionCmd                   `cmd:"" group:"For operators" help:"Print the build information."`
	Completion kongplete.InstallCompletions `cmd:"" group:"For operators" help:"Print the completion script for your shell (bash, zsh, fish)."`
}

// app holds the inputs and outputs that all commands share.
type app struct {
	out           io.Writer // for results; errors go to standard error
	settingsPath  string    // path of the settings file; may be empty
	logLevel      string
	readBuildInfo func() (*debug.BuildInfo, bool)
}

// exitError is an error with an exit code. A nil error means that everything has been printed already.
type exitError struct {
	error
	code int
}

// Unwrap returns the wrapped error; it may be nil.
func (e exitError) Unwrap() error { return e.error }

func main() {
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr, debug.ReadBuildInfo))
}

// exitRequest is the panic value by which kong's own exits (help, version, completion) return to run; its value is the
// exit code.
type exitRequest int

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer, build func() (*debug.BuildInfo, bool)) (code int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitRequest:
			code = int(e)
		default:
			panic(e)
		}
	}()
	var c cli
	a := &app{out: out, readBuildInfo: build}
	k, err := kong.New(&c, kong.Name("molepaddle-fleet"),
		kong.Description("Programs of the molepaddle router fleet, and commands for its operators."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.Bind(a),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		panic(err) // a programming error in the declarations of cli
	}
	if os.Getenv("COMP_LINE") != "" { // a shell asks for completions
		kongplete.Complete(k, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	}
	parsed, err := k.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "molepaddle-fleet: %v; --help tells the usage\n", err)
		return exitUsage
	}
	a.settingsPath, a.logLevel = c.Settings, c.LogLevel
	if err = parsed.Run(); err == nil {
		return exitOK
	}
	code = exitFailure
	var with exitError
	if errors.As(err, &with) {
		code = with.code
		if with.error == nil {
			return code
		}
	}
	fmt.Fprintf(errOut, "molepaddle-fleet: %s\n", sanitize(err.Error()))
	return code
}
