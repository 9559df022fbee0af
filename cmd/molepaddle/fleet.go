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

// fleetCommand returns the command that prints a running agent's view of its fleet.
func fleetCommand(out io.Writer) *cobra.Command {
	asJSON, watch, management := false, false, ""
	fleet := &cobra.Command{Use: "fleet", Short: "Show a running agent's view of its fleet", Args: checkArgs(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	fleet.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	fleet.PersistentFlags().StringVar(&management, "door", "",
		"management address of the agent; default: that of EDGE_CONFIG or EDGE_MANAGEMENT")
	show := &cobra.Command{Use: "show", Short: "Show members, suspicions, and whether the view is settled",
		Args: checkArgs(noArgs),
		RunE: untilSignal(func(ctx context.Context, _ []string) error {
			at, err := managementAddress(management)
			if err != nil {
				return err
			}
			return showFleet(ctx, at, asJSON, watch, out)
		})}
	show.Flags().BoolVar(&watch, "watch", false, "print again whenever the view changes, until interrupted")
	log := &cobra.Command{Use: "log", Short: "Show the latest membership changes", Args: checkArgs(noArgs),
		RunE: func(*cobra.Command, []string) error {
			at, err := managementAddress(management)
			if err != nil {
				return err
			}
			return showFleetLog(at, asJSON, out)
		}}
	fleet.AddCommand(show, log)
	return fleet
}

// managementAddress returns the management address: the flag's, or that of the agent that the environment names.
func managementAddress(flag string) (string, error) {
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

// showFleet prints the view; with watch, it prints it again after each change until ctx ends.
func showFleet(ctx context.Context, address string, asJSON, watch bool, out io.Writer) error {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	last := ""
	for {
		var f agent.FleetView
		if err := agent.ReadFleet(address, "/api/fleet", &f); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		if now := f.Digest + f.UnconvergedReason + f.SelfSuspicion; now != last {
			last = now
			if asJSON {
				if err := writeIndentedJSON(out, &f); err != nil {
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

func showFleetLog(address string, asJSON bool, out io.Writer) error {
	var events []peers.Event
	if err := agent.ReadFleet(address, "/api/fleet/log", &events); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if asJSON {
		return writeIndentedJSON(out, events)
	}
	for _, e := range events {
		fmt.Fprintf(out, "%s  %-7s  %s: %s\n", e.At.Format("15:04:05.000"), e.State, strings.Join(e.Who, ", "), e.Why)
	}
	return nil
}

func writeIndentedJSON(out io.Writer, x any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(x)
}
