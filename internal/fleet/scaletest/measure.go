package scaletest

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// await collects one event that suits from each crew: the times of all agents.
func (t *Trial) await(ctx context.Context, suits func(e *Event) bool) (at []int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	got := map[int]bool{}
	for len(got) < t.Crews {
		select {
		case e := <-t.events:
			if !got[e.crew] && suits(&e.Event) {
				got[e.crew] = true
				at = append(at, e.At...)
			}
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "%d of %d processes", len(got), t.Crews)
		}
	}
	return at, nil
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// spread writes how long after a moment the agents came to something.
func (t *Trial) spread(what string, from time.Time, at []int64) {
	t.quantiles(what, lags(from, at))
}

func lags(from time.Time, at []int64) []time.Duration {
	all := make([]time.Duration, len(at))
	for i, ns := range at {
		all[i] = time.Duration(ns - from.UnixNano())
	}
	return all
}

func (t *Trial) quantiles(what string, all []time.Duration) {
	slices.Sort(all)
	n := len(all)
	t.say("%s: median %.1f ms, p99 %.1f ms, last %.1f ms (%d times)",
		what, ms(all[n/2]), ms(all[min(n*99/100, n-1)]), ms(all[n-1]), n)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// row is one process, or the agents' processes taken together, in a table of use.
type row struct {
	name    string
	members []*process
	share   float64 // what the figures are divided by
}

func (t *Trial) rows() []row {
	var all []row
	for _, p := range t.observers {
		if p == nil {
			continue
		}
		p.mu.Lock()
		role := p.role
		p.mu.Unlock()
		all = append(all, row{p.name + " " + role, []*process{p}, 1})
	}
	for _, p := range t.probes {
		all = append(all, row{p.name, []*process{p}, 1})
	}
	return append(all, row{"hollow agent, mean", t.crews, float64(t.Agents)})
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

// during writes what each process uses while f runs, for each of n; n 0: for each second.
func (t *Trial) during(what, unit string, n int, f func() error) error {
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
		per := rows[i].share
		if n > 0 {
			per *= float64(n)
		} else {
			per *= seconds
		}
		cpu := after.CPU - before[i].CPU
		t.say("%s: %-22s cpu %10.4f ms, in %12.1f B, out %12.1f B a %s; %.3f %% of a core in %.1f s",
			what, rows[i].name, ms(cpu)/per,
			float64(after.Read-before[i].Read)/per, float64(after.Written-before[i].Written)/per, unit,
			100*cpu.Seconds()/seconds/rows[i].share, seconds)
	}
	return nil
}
