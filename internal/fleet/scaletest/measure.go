package scaletest

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// awaitEvents waits for one matching event from each agent group and returns the times of all agents.
func (t *Trial) awaitEvents(ctx context.Context, match func(e *Event) bool) (at []int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, t.WaitTimeout)
	defer cancel()
	got := map[int]bool{}
	for len(got) < t.AgentProcesses {
		select {
		case e := <-t.events:
			if !got[e.group] && match(&e.Event) {
				got[e.group] = true
				at = append(at, e.At...)
			}
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "%d of %d processes", len(got), t.AgentProcesses)
		}
	}
	return at, nil
}

func elapsedSince(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// reportDelays writes quantiles of the delays between a time and the times of the agents.
func (t *Trial) reportDelays(what string, from time.Time, at []int64) {
	t.reportQuantiles(what, delaysSince(from, at))
}

func delaysSince(from time.Time, at []int64) []time.Duration {
	all := make([]time.Duration, len(at))
	for i, ns := range at {
		all[i] = time.Duration(ns - from.UnixNano())
	}
	return all
}

func (t *Trial) reportQuantiles(what string, all []time.Duration) {
	slices.Sort(all)
	n := len(all)
	t.printf("%s: median %.1f ms, p99 %.1f ms, last %.1f ms (%d times)",
		what, ms(all[n/2]), ms(all[min(n*99/100, n-1)]), ms(all[n-1]), n)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// row is one row of a usage table: one process, or all processes of simulated agents together.
type row struct {
	name    string
	members []*process
	divisor float64 // divisor of the figures
}

func (t *Trial) rows() []row {
	var all []row
	for _, p := range t.controlServers {
		if p == nil {
			continue
		}
		p.mu.Lock()
		role := p.role
		p.mu.Unlock()
		all = append(all, row{p.name + " " + role, []*process{p}, 1})
	}
	for _, p := range t.edgePrograms {
		all = append(all, row{p.name, []*process{p}, 1})
	}
	return append(all, row{"hollow agent, mean", t.agentGroups, float64(t.Agents)})
}

func (r *row) usage() (sum Usage, err error) {
	for _, p := range r.members {
		u, err := ReadUsage(p.pid())
		if err != nil {
			return sum, err
		}
		sum.At = u.At
		sum.CPU += u.CPU
		sum.Read += u.Read
		sum.Written += u.Written
		sum.Resident += u.Resident
		sum.Peak += u.Peak
	}
	return sum, nil
}

// measureUsage runs f and writes the usage of each process meanwhile, divided by n, or per second if n is 0.
func (t *Trial) measureUsage(what, unit string, n int, f func() error) error {
	rows := t.rows()
	before := make([]Usage, len(rows))
	for i := range rows {
		var err error
		if before[i], err = rows[i].usage(); err != nil {
			return err
		}
	}
	if err := f(); err != nil {
		return err
	}
	for i := range rows {
		after, err := rows[i].usage()
		if err != nil {
			return err
		}
		seconds := after.At.Sub(before[i].At).Seconds()
		per := rows[i].divisor
		if n > 0 {
			per *= float64(n)
		} else {
			per *= seconds
		}
		cpu := after.CPU - before[i].CPU
		t.printf("%s: %-22s cpu %10.4f ms, in %12.1f B, out %12.1f B a %s; %.3f %% of a core in %.1f s",
			what, rows[i].name, ms(cpu)/per,
			float64(after.Read-before[i].Read)/per, float64(after.Written-before[i].Written)/per, unit,
			100*cpu.Seconds()/seconds/rows[i].divisor, seconds)
	}
	return nil
}
