// Command station is the programs of the router fleet: the proxy (vane), the agent beside it (telemeter) and the
// control plane (observatory). The platform names their settings file in MOLEPADDLE_CONFIG.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"molepaddle/internal/system/observatory"
	"molepaddle/internal/system/siting"
	"molepaddle/internal/system/telemeter"
	"molepaddle/internal/system/vane"
)

type cli struct {
	Settings string `help:"Settings file of the process." env:"MOLEPADDLE_CONFIG" type:"path" placeholder:"FILE"`
	LogLevel string `help:"Least level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`

	Vane        vaneCmd        `cmd:"" help:"Run the proxy that takes clients' requests."`
	Telemeter   telemeterCmd   `cmd:"" help:"Run the agent that links a proxy to the control plane."`
	Observatory observatoryCmd `cmd:"" help:"Run a machine of the control plane."`
}

type (
	vaneCmd        struct{}
	telemeterCmd   struct{}
	observatoryCmd struct{}
)

// process is what every program is given.
type process struct {
	ctx context.Context
	set siting.Settings
	log *zap.Logger
}

func (vaneCmd) Run(p *process) error { return vane.New(p.ctx, p.set, p.log).Run(p.ctx) }

func (telemeterCmd) Run(p *process) error { return telemeter.New(p.set, p.log).Run(p.ctx) }

func (observatoryCmd) Run(p *process) error {
	o, err := observatory.New(p.set, p.log, rand.Uint64)
	if err != nil {
		return err
	}
	return o.Run(p.ctx)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "station:", err)
		os.Exit(1)
	}
}

func run() error {
	var c cli
	k := kong.Parse(&c, kong.Name("station"), kong.Description("Programs of the molepaddle router fleet."), kong.UsageOnError())
	set, err := siting.Load(c.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.DisableCaller, cfg.DisableStacktrace = true, true
	log, err := cfg.Build()
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // the settings that may change are read at the next start
	return k.Run(&process{ctx: ctx, set: set, log: log.With(zap.String("node", set.Nodename))})
}
