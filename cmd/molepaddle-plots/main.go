// Command molepaddle-plots makes of kept rows of the lab one HTML page with plots. 'molepaddle lab
// report --html' starts it; it is a program of its own so that an agent does not carry it.
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
		Short:        "Make a page with plots of kept rows, or of a night of work, on standard output",
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			if night != "" {
				return nightOf(night)
			}
			if len(args) == 0 {
				return errors.New("no file of rows is named, nor --night")
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
	cmd.Flags().StringVar(&bench, "bench", "", "what `go test -bench Decide` said")
	cmd.Flags().StringVar(&night, "night", "", "what `molepaddle work record --json` said: a page of who was out when")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle-plots:", err)
		os.Exit(1)
	}
}

// nightOf makes the page of a record.
func nightOf(file string) error {
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
