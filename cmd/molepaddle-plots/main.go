// Command molepaddle-plots makes one HTML page with plots from stored rows of the lab. 'molepaddle lab
// report --html' starts it. It is a separate program to keep the plotting code out of the agent's binary.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"molepaddle/internal/rig/lab/page"
	"molepaddle/internal/rig/lab/trial"
	"molepaddle/internal/rig/scenario"
)

func main() {
	bench, night := "", ""
	cmd := &cobra.Command{Use: "molepaddle-plots FILE...",
		Short:        "Write a page with plots of stored rows, or of a night of maintenance, to standard output",
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			if night != "" {
				return writeNight(night)
			}
			if len(args) == 0 {
				return errors.New("neither a file of rows nor --night is given")
			}
			rows, err := trial.Load(args)
			if err != nil {
				return err
			}
			var text []byte
			if bench != "" {
				if text, err = os.ReadFile(bench); err != nil {
					return err
				}
			}
			return page.HTML(os.Stdout, rows, text, func(name string) string {
				if s, err := scenario.Load(name); err == nil {
					return s.Question
				}
				return ""
			})
		}}
	cmd.Flags().StringVar(&bench, "bench", "", "output of `go test -bench Decide`")
	cmd.Flags().StringVar(&night, "night", "", "output of `molepaddle work record --json`, for a page of times out")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle-plots:", err)
		os.Exit(1)
	}
}

// writeNight writes the page of a maintenance record to standard output.
func writeNight(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var r struct {
		Now    int64    `json:"now"`
		Record []string `json:"record"`
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	spans, err := page.Spans(r.Record, r.Now)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return page.WriteOutages(os.Stdout, spans)
}
