package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/protocol/peers"
)

// fleetCommand asks a running agent what it believes of its fleet.
func fleetCommand(out io.Writer) *cobra.Command {
	asJSON, watch, door := false, false, ""
	fleet := &cobra.Command{Use: "fleet", Short: "Say what a running agent believes of its fleet", Args: taking(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	fleet.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	fleet.PersistentFlags().StringVar(&door, "door", "",
		"the operators' door of the agent; else the one that EDGE_CONFIG or EDGE_MANAGEMENT names")
	show := &cobra.Command{Use: "show", Short: "Who is there, who suspects whom, settled or not", Args: taking(noArgs),
		RunE: untilSignal(func(ctx context.Context, _ []string) error {
			at, err := doorOf(door)
			if err != nil {
				return err
			}
			return showFleet(ctx, at, asJSON, watch, out)
		})}
	show.Flags().BoolVar(&watch, "watch", false, "again whenever the view changes, until interrupted")
	log := &cobra.Command{Use: "log", Short: "The last changes, with reasons", Args: taking(noArgs),
		RunE: func(*cobra.Command, []string) error {
			at, err := doorOf(door)
			if err != nil {
				return err
			}
			return showFleetLog(at, asJSON, out)
		}}
	fleet.AddCommand(show, log)
	return fleet
}

// doorOf finds the door of the agent that the environment names.
func doorOf(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	conf, err := config.Load(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return "", err
	}
	if conf.Management == "" {
		return "", errors.New(
			"fleet: the agent has no door for operators: neither management nor EDGE_MANAGEMENT is set")
	}
	return conf.Management, nil
}

// showFleet prints the view; with watch again each time that it is another one.
func showFleet(ctx context.Context, door string, asJSON, watch bool, out io.Writer) error {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	last := ""
	for {
		var f agent.FleetView
		if err := agent.ReadFleet(door, "/api/fleet", &f); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		if now := f.Digest + f.UnconvergedReason + f.SelfSuspicion; now != last {
			last = now
			if asJSON {
				if err := indented(out, &f); err != nil {
					return err
				}
			} else {
				f.Print(out)
			}
		}
		if !watch {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func showFleetLog(door string, asJSON bool, out io.Writer) error {
	var events []peers.Event
	if err := agent.ReadFleet(door, "/api/fleet/log", &events); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if asJSON {
		return indented(out, events)
	}
	for _, e := range events {
		fmt.Fprintf(out, "%s  %-7s  %s: %s\n", e.At.Format("15:04:05.000"), e.State, strings.Join(e.Who, ", "), e.Why)
	}
	return nil
}

func indented(out io.Writer, x any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(x)
}
