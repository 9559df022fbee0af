package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"molepaddle/internal/rig/lab/live"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/model"
	"molepaddle/internal/rig/scenario"
)

// maxPlays limits the plays of one call.
const maxPlays = 100_000

// Lab runs plays and stores their rows.
type Lab struct {
	Store *Store
	Live  bool      // play over sockets, one play at a time
	Jobs  int       // concurrent plays of the model; below 1: one
	Out   io.Writer // receives a line per play; nil: none
	// Tick is called with the fraction of a play that is done, by several plays at once. It may be nil.
	Tick func(part float64)

	fileHashes map[string]string
}

func machine() string {
	return fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}

// Play plays each scenario with each variant and each of the seeds from 'from' on, and returns the rows
// of the completed plays, in that order. A play whose row is in the store is not run again. If ctx ends,
// Play returns the rows so far with ctx's error.
func (l *Lab) Play(
	ctx context.Context, scenes []*scenario.Scenario, vs []Variant, seeds int, from uint64,
) ([]*Row, error) {
	if n := len(scenes) * len(vs) * seeds; seeds < 1 || n > maxPlays {
		return nil, fmt.Errorf("%d plays requested, want 1 to %d", n, maxPlays)
	}
	var jobs []*job
	for _, s := range scenes {
		for _, v := range vs {
			for i := range seeds {
				j, err := l.plan(s, v, from+uint64(i))
				if err != nil {
					return nil, err
				}
				jobs = append(jobs, j)
			}
		}
	}
	return l.runAll(ctx, jobs)
}

// runAll runs jobs and returns the rows of those that completed, in order. The first error stops the rest.
func (l *Lab) runAll(ctx context.Context, jobs []*job) ([]*Row, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	rows := make([]*Row, len(jobs))
	places := max(l.Jobs, 1)
	if l.Live {
		places = 1
	}
	next, wait := make(chan int), sync.WaitGroup{}
	for range min(places, len(jobs)) {
		wait.Go(func() {
			for i := range next {
				r, err := l.runOne(ctx, jobs[i])
				if err != nil {
					stop(err)
				}
				rows[i] = r
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wait.Wait()
	var done []*Row
	for _, r := range rows {
		if r != nil {
			done = append(done, r)
		}
	}
	return done, context.Cause(ctx)
}

// runOne runs a job unless its row is stored. An interrupted play has no row.
func (l *Lab) runOne(ctx context.Context, j *job) (*Row, error) {
	row := j.row
	if had := l.Store.find(row.key()); had != nil {
		return had, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	tick := l.Tick
	if tick == nil {
		tick = func(float64) {}
	}
	start := time.Now()
	var r *measure.Result
	var err error
	if l.Live {
		r, err = live.Play(ctx, j.s, live.Options{
			Chooser:  row.Chooser,
			Seed:     j.seed,
			Binary:   j.v.Binary,
			Operator: j.v.Operator,
			Tick:     tick,
		})
	} else {
		r, err = model.Play(j.s, model.Options{
			Chooser: row.Chooser,
			Seed:    j.seed,
			Fleet:   j.fleet,
			Tick: func(part float64) bool {
				tick(part)
				return ctx.Err() == nil
			},
		})
	}
	if errors.Is(err, model.ErrStopped) || err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("%s, variant %s, seed %d: %w", row.Scenario, row.Variant, j.seed, err)
	}
	row.Result, row.TookS = r, time.Since(start).Seconds()
	if err := l.Store.add(&row); err != nil {
		return nil, err
	}
	if l.Out != nil {
		text := fmt.Sprintf("%s %s, seed %d: worth %.4f, p99 %.0f ms, %d breaches, %.1f s",
			row.Scenario, row.Variant, row.Seed, r.Worth, r.WorstP99(), r.Breaches, row.TookS)
		if r.Void != "" {
			text += "; it does not count: " + r.Void
		}
		fmt.Fprintln(l.Out, text)
	}
	return &row, nil
}
