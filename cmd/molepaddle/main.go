// Command molepaddle is one load-balancing agent on real sockets. Its file of
// settings is named by EDGE_CONFIG.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"molepaddle/internal/agent"
	"molepaddle/internal/config"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("EDGE_CONFIG")
	conf, err := config.Load(path)
	if err != nil {
		return err
	}
	// The machine may have more cores than the agent may use; more threads than cores
	// would only wait for each other. The live heap is a few MB, so it may grow well
	// past the usual twice, which saves collections, but not near the limit.
	runtime.GOMAXPROCS(max(int(math.Ceil(conf.Limits.Cores)), 1))
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(conf.Limits.MemoryMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("agent", conf.Name)
	a, err := agent.New(conf, agent.Network{}, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	go func() {
		for range reload {
			next, err := config.Load(path)
			if err != nil {
				log.Error("reload: the configuration at hand is kept", "err", err)
				continue
			}
			a.Reload(next)
		}
	}()
	log.Info("started", "listen", conf.Listen, "backends", len(conf.Known.Servers))
	if err := a.Serve(ctx, ln); err != nil {
		return err
	}
	log.Info("ended")
	return nil
}
