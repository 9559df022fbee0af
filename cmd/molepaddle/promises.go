package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/promise"
	"molepaddle/internal/process/seat"
)

// promisesCommand returns the command that shows which agents keep replicas for which.
func promisesCommand(out io.Writer) *cobra.Command {
	w := &workFlags{out: out, within: 10 * time.Second}
	machine := ""
	cmd := &cobra.Command{Use: "promises", Short: "Show the replicas that agents keep for each other, so that a lost machine loses no acknowledged request",
		Args: checkArgs(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.PersistentFlags().BoolVar(&w.json, "json", false, "as JSON")
	cmd.PersistentFlags().StringVar(&w.management, "door", "", "management address of any agent; default: the one that EDGE_CONFIG or EDGE_MANAGEMENT names")
	show := &cobra.Command{Use: "show", Short: "Show all replica sets, this agent's replicas, and what is at risk if a machine is lost now",
		Args: checkArgs(noArgs),
		RunE: untilSignal(func(ctx context.Context, _ []string) error {
			door, err := managementAddress(w.management)
			if err != nil {
				return err
			}
			var own promise.Report
			if err := agent.ReadFleet(door, "/api/promises", &own); err != nil {
				if errors.Is(err, agent.ErrNoFleetView) {
					err = errors.New("the agent holds nothing for others: its operator's file has no [promises]")
				}
				return fmt.Errorf("promises: %w", err)
			}
			var view agent.FleetView
			if err := agent.ReadFleet(door, "/api/fleet", &view); err != nil {
				return fmt.Errorf("promises: %w", err)
			}
			r, err := w.call(ctx, seat.Call{Operation: seat.ReplicaSets})
			if err != nil {
				return err
			}
			combined := promiseView{Own: own, Holds: r, Risks: risks(r, &view, machine)}
			if w.json {
				return writeIndentedJSON(out, &combined)
			}
			combined.print(out, &view)
			return nil
		})}
	show.Flags().StringVar(&machine, "if", "", "a machine: show which holders would have fewer replicas, or none, without it")
	cmd.AddCommand(show)
	return cmd
}

// promiseView is the output of promises show.
type promiseView struct {
	Own   promise.Report `json:"own"`
	Holds *seat.Report   `json:"council"`
	Risks []string       `json:"risks"`
}

// risks lists the holders that would lose replicas with the machine; without a machine, those that lack
// replicas already.
func risks(r *seat.Report, view *agent.FleetView, machine string) []string {
	type there struct {
		machine string
		alive   bool
	}
	members := map[string]there{}
	for _, m := range view.Members {
		members[fmt.Sprint(m.Name, m.Incarnation)] = there{m.Machine, m.State == "alive"}
	}
	all := []string{}
	for _, h := range r.ReplicaSets {
		if h.Sealed {
			continue
		}
		left, lost := 0, 0
		for _, c := range h.Replicas {
			switch m := members[fmt.Sprint(c.Name, c.Incarnation)]; {
			case m.alive && (machine == "" || m.machine != machine):
				left++
			default:
				lost++
			}
		}
		switch {
		case lost == 0:
		case left == 0:
			all = append(all, fmt.Sprintf("%s would have no copy: what it has begun would be lost with it", h.Holder.Name))
		default:
			all = append(all, fmt.Sprintf("%s would have %d of %d copies until it has another", h.Holder.Name, left, len(h.Replicas)))
		}
	}
	return all
}

func (p *promiseView) print(out io.Writer, view *agent.FleetView) {
	if o := &p.Own; o.Holder != "" {
		state := "settled"
		if !o.EpochActive {
			state = "NOT settled: what is to begin waits or is refused"
		}
		fmt.Fprintf(out, "%s promises: epoch %d, copies at %s, %s; %d count, %d wait\n", o.Holder, o.Epoch, strings.Join(o.HolderReplicas, ", "), state, o.PromisedCount, o.WaitingCount)
	} else {
		fmt.Fprintf(out, "%s promises nothing\n", view.Self)
	}
	fmt.Fprintln(out, "what it holds for others:", p.Own.Journal)
	for _, h := range p.Own.Replicas {
		seal := ""
		if h.Read {
			seal = ", read from the disk: to prove with only"
		}
		if h.Sealed {
			seal += ", SEALED"
		}
		fmt.Fprintf(out, "it holds for %s (incarnation %d): epoch %d, %d begun%s\n", h.Holder.Name, h.Holder.Incarnation, h.Epoch, h.Keys, seal)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOLDER\tINCARNATION\tEPOCH\tCOPIES\tSINCE\tSTATE")
	for _, h := range p.Holds.ReplicaSets {
		state := ""
		if h.Sealed {
			state = "sealed"
		}
		var names []string
		for _, c := range h.Replicas {
			names = append(names, c.Name)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\n", h.Holder.Name, h.Holder.Incarnation, h.Epoch, strings.Join(names, ", "), time.Unix(h.At, 0).Format("01-02 15:04:05"), state)
	}
	_ = table.Flush() // out is a terminal or a buffer
	for _, r := range p.Risks {
		fmt.Fprintln(out, "AT RISK:", r)
	}
}
