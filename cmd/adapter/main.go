// Command adapter runs many independent balancers for the simulator. It reads batches of events in the
// simulator's binary format from standard input and writes one reply per batch to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"molepaddle/internal/wire"
	"molepaddle/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. The instances share no state; each is addressed by its number.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*policy.Balancer{}
	var enc wire.Encoder
	var actions []policy.Action
	handle := func(now float64, rec *wire.Record) error {
		switch rec.Kind {
		case wire.Boot:
			b, err := boot(rec)
			if err != nil {
				enc.Crash(rec.Instance, err.Error())
				delete(instances, rec.Instance)
				return nil
			}
			instances[rec.Instance] = b
			actions = b.Start(now, actions[:0])
		case wire.Killed:
			delete(instances, rec.Instance)
			return nil
		default:
			b := instances[rec.Instance]
			if b == nil {
				return nil // killed or never started: no actions
			}
			actions = b.Handle(now, &rec.Event, actions[:0])
		}
		for i := range actions {
			enc.Add(rec.Instance, &actions[i])
		}
		return nil
	}
	for {
		enc.Reset()
		if err := dec.Next(handle); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		if _, err := enc.WriteTo(w); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// boot creates the balancer of a boot record.
func boot(rec *wire.Record) (*policy.Balancer, error) {
	settings, err := wire.ParseSettings(rec.Settings)
	if err != nil {
		return nil, err
	}
	return policy.New(settings, rec.Seed)
}
