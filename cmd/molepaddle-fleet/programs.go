package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"molepaddle/internal/fleet/controlplane"
	"molepaddle/internal/fleet/nodeagent"
	"molepaddle/internal/fleet/proxy"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/statestore"
)

type (
	proxyCmd        struct{}
	nodeAgentCmd    struct{}
	controlPlaneCmd struct {
		Readings time.Duration `help:"Minimum time between two writes of the residency report." default:"30s"`
	}
)

// Run runs the proxy until SIGTERM or SIGINT.
func (proxyCmd) Run(ctx context.Context, a *app) error {
	return a.runProgram(ctx, func(ctx context.Context, set settings.Settings, log *zap.Logger) error {
		return proxy.New(context.WithoutCancel(ctx), set, log).Run(ctx)
	})
}

// Run runs the node agent until SIGTERM or SIGINT. The agent rereads the seeds from the settings file while it runs.
func (nodeAgentCmd) Run(ctx context.Context, a *app) error {
	return a.runProgram(ctx, func(ctx context.Context, set settings.Settings, log *zap.Logger) error {
		agent := nodeagent.New(set, log)
		agent.ReloadSeeds = func() []string {
			current, err := settings.Load(a.settingsPath)
			if err != nil {
				return set.Seeds
			}
			return current.Seeds
		}
		return agent.Run(ctx)
	})
}

// Run runs a control server until SIGTERM or SIGINT. It retries opening the state store after transient disk errors.
func (c controlPlaneCmd) Run(ctx context.Context, a *app) error {
	if c.Readings <= 0 {
		return exitError{errors.New("--readings: must be above 0"), exitUsage}
	}
	return a.runProgram(ctx, func(ctx context.Context, set settings.Settings, log *zap.Logger) error {
		var server *controlplane.Server
		// A disk that is full or read-only may become writable again; until then this machine counts as down.
		onFailure := func(err error) { log.Warn("state store can't be opened, retrying", zap.Error(err)) }
		err := retryTransient(ctx, statestore.Transient, onFailure, func() (err error) {
			server, err = controlplane.New(set, log, rand.Uint64)
			return err
		})
		switch {
		case ctx.Err() != nil:
			return nil // shut down before the state store could be opened
		case err != nil:
			return err
		}
		server.ResidencyInterval = c.Readings
		return server.Run(ctx)
	})
}

// runProgram runs one of the fleet's programs until SIGTERM or SIGINT.
func (a *app) runProgram(
	ctx context.Context, do func(ctx context.Context, set settings.Settings, log *zap.Logger) error,
) error {
	if a.settingsPath == "" {
		return errors.Errorf("no settings file: %s or --settings gives its path", settings.EnvFile)
	}
	set, err := settings.Load(a.settingsPath)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	configureRuntime(set.Limits)
	level, err := zapcore.ParseLevel(a.logLevel)
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
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // ignored: changed settings are read at the next start
	return do(ctx, set, log.With(zap.String("node", set.NodeName)))
}
