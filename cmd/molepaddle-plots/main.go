// Command molepaddle-plots makes of kept rows of the lab one HTML page with plots. 'molepaddle lab
// report --html' starts it; it is a program of its own so that an agent does not carry it.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"molepaddle/internal/rig/lab/page"
	"molepaddle/internal/rig/lab/trial"
	"molepaddle/internal/rig/scenario"
)

func main() {
	bench := ""
	cmd := &cobra.Command{Use: "molepaddle-plots FILE...", Short: "Make a page with plots of kept rows, on standard output",
		Args: cobra.MinimumNArgs(1), SilenceUsage: true, SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
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
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "molepaddle-plots:", err)
		os.Exit(1)
	}
}
