package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"molepaddle/internal/decide/loss"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// labLoss returns the command that attributes the lost value of a fleet's requests to causes, from the logs of
// its agents.
func labLoss(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "loss LOG...", Short: "Attribute the lost value of each request to one cause",
		Long: "Reads the logs of any number of agents whose operator's file has [log] account = true.",
		Args: checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			tally, bad := loss.NewTally(), 0
			for _, path := range args {
				n, err := addLog(path, tally)
				if err != nil {
					return fmt.Errorf("lab: loss: %w", err)
				}
				bad += n
			}
			if n, _ := tally.Total(); n == 0 {
				return errors.New(
					"lab: loss: no request is accounted for in these logs; [log] account = true has agents write them")
			}
			tally.Print(out)
			if bad > 0 {
				fmt.Fprintf(out, "\n%d lines could not be read\n", bad)
			}
			return nil
		}}
}

// addLog adds the records of the log at path to the tally and returns the number of invalid ones.
func addLog(path string, tally *loss.Tally) (bad int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		switch r, ok, err := loss.ParseLine(lines.Bytes()); {
		case err != nil:
			bad++
		case ok:
			tally.Add(&r)
		}
	}
	return bad, lines.Err()
}
