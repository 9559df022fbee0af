// Command molepaddle-fleet is the programs of the router fleet: the proxy, the node agent beside it, and the control
// plane. The platform names their settings file in the environment variable MOLEPADDLE_CONFIG. The other commands are
// the operator's: they check files, and show and change the configuration.
//
// Each command is a struct whose fields are its flags and arguments (their names are those of the command line) and
// whose Run does the work. What a command prints, its exit code and its JSON keys are documented in
// docs/operators/fleet-commands.md; tests play the page's examples.
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
	exitFailure         = 1 // findings, a rejection, no route, nobody to send to; a program failed
	exitUsage           = 2 // the command line makes no sense, or a file can't be read
	exitVersionConflict = 3 // another version is current than the one built on
	exitTimeout         = 3 // the time was over before every agent had the version
	exitIndeterminate   = 4 // the control plane gave no definite answer
)

// cli is the command line.
type cli struct {
	Settings    string      `help:"Settings file of the process." env:"MOLEPADDLE_CONFIG" placeholder:"FILE" predictor:"file"`
	LogLevel    string      `help:"Least level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	ShowVersion versionFlag `name:"version" help:"Tell the build and end."`

	Proxy        proxyCmd        `cmd:"" group:"Programs" help:"Run the proxy that takes clients' requests."`
	NodeAgent    nodeAgentCmd    `cmd:"" group:"Programs" help:"Run the agent that links a proxy to the control plane."`
	ControlPlane controlPlaneCmd `cmd:"" group:"Programs" help:"Run a machine of the control plane."`

	Check      checkCmd                     `cmd:"" group:"For operators" help:"Check settings files and configurations."`
	Show       showCmd                      `cmd:"" group:"For operators" help:"Show the configuration in force."`
	Status     statusCmd                    `cmd:"" group:"For operators" help:"Show how the fleet stands: the core, its duties, each agent's version, the backends."`
	Watch      watchCmd                     `cmd:"" group:"For operators" help:"Wait until every agent has a version."`
	Diff       diffCmd                      `cmd:"" group:"For operators" help:"Tell what a file would change, and whether it would be taken."`
	Propose    proposeCmd                   `cmd:"" group:"For operators" help:"Send a whole configuration."`
	Update     updateCmd                    `cmd:"" group:"For operators" help:"Send a change of named items."`
	Route      routeCmd                     `cmd:"" group:"For operators" help:"Tell which route and services a request would take."`
	Residency  residencyCmd                 `cmd:"" group:"For operators" help:"Tell in which regions tenants' data rested, and when."`
	Demo       demoCmd                      `cmd:"" group:"For operators" help:"Play a whole small fleet on this machine, in about fifteen seconds."`
	Version    versionCmd                   `cmd:"" group:"For operators" help:"Tell the build."`
	Completion kongplete.InstallCompletions `cmd:"" group:"For operators" help:"Print what completes commands and flags in your shell (bash, zsh, fish)."`
}

// app is what every command is given.
type app struct {
	out           io.Writer // what was asked for
	settingsPath  string    // path of the settings file; may be empty
	logLevel      string
	readBuildInfo func() (*debug.BuildInfo, bool)
}

// exitError is an error with its exit code. Without an error in it, everything has been printed.
type exitError struct {
	error
	code int
}

// Unwrap returns the error.
func (e exitError) Unwrap() error { return e.error }

func main() {
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr, debug.ReadBuildInfo))
}

// exitRequest is the panic by which kong's own exits (help, version, completion) return to run, with the exit code.
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
		panic(err) // the declarations above
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
