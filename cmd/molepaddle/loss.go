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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// labLoss accounts for what a fleet's requests did not earn, from the logs of its agents.
func labLoss(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "loss LOG...", Short: "Put each request that earned less than it could to one cause",
		Long: "Reads the logs of any number of agents whose operator's file has [log] account = true.",
		Args: taking(cobra.MinimumNArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			tally, bad := loss.NewTally(), 0
			for _, path := range args {
				n, err := accountOf(path, tally)
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

// accountOf adds a log's records; bad is how many of them can't be read.
func accountOf(path string, tally *loss.Tally) (bad int, err error) {
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
