package scaletest

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// steadyFor is how long the agents' leases and the number of agents take to stand still: some beats.
func (t *Trial) steadyFor() time.Duration { return 4 * t.Heartbeat }

func (t *Trial) rest(ctx context.Context) error {
	if !pause(ctx, t.steadyFor()) {
		return ctx.Err()
	}
	calls := t.platform.Calls()
	err := t.during("rest", "second", 0, func() error {
		if !pause(ctx, t.Rest) {
			return ctx.Err()
		}
		return nil
	})
	t.say("rest: %.2f calls a second to the platform", float64(t.platform.Calls()-calls)/t.Rest.Seconds())
	return err
}

func (t *Trial) changes(ctx context.Context) error {
	var acks, sent, acked []time.Duration
	return t.during("change", "change", t.Changes, func() error {
		for range t.Changes {
			tick := time.NewTimer(t.Gap)
			bound, cancel := context.WithTimeout(ctx, t.Within)
			began := time.Now()
			err := t.op.update(bound)
			cancel()
			if err != nil {
				return err
			}
			ack := time.Now()
			acks = append(acks, ack.Sub(began))
			at, err := t.await(ctx, func(e *Event) bool {
				return e.What == distribution.ConfigType && e.Count >= t.op.changes
			})
			if err != nil {
				return err
			}
			sent, acked = append(sent, lags(began, at)...), append(acked, lags(ack, at)...)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		t.quantiles("change: acknowledged after it was sent", acks)
		t.quantiles("change: at an agent after it was sent", sent)
		t.quantiles("change: at an agent after its acknowledgement", acked)
		return nil
	})
}

func (t *Trial) lists(ctx context.Context) error {
	var all, apart []time.Duration
	return t.during("list", "change", t.Lists, func() error {
		for i := range t.Lists {
			for len(t.events) > 0 { // of earlier changes
				<-t.events
			}
			began := time.Now()
			t.platform.Toggle(i)
			at, err := t.await(ctx, func(e *Event) bool {
				return e.What == distribution.BackendListType && e.At[0] > began.UnixNano()
			})
			if err != nil {
				return err
			}
			first := slices.Min(at)
			all = append(all, lags(began, at)...)
			apart = append(apart, lags(time.Unix(0, first), at)...)
			if !pause(ctx, t.Gap) {
				return ctx.Err()
			}
		}
		t.quantiles("list: at an agent after the platform changed it", all)
		t.quantiles("list: at an agent after the first agent had it", apart)
		return nil
	})
}

// mark has the crews tell when their agents are back from now on.
func (t *Trial) mark() error {
	for _, in := range t.commands {
		if _, err := io.WriteString(in, "mark\n"); err != nil {
			return err
		}
	}
	return nil
}

// after waits for the control plane to be back, and writes how long that took since began.
func (t *Trial) after(ctx context.Context, what string, began time.Time) error {
	bound, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	if err := t.op.show(bound); err != nil {
		return err
	}
	t.say("%s: configuration shown again after %v", what, since(began))
	if err := t.op.update(bound); err != nil {
		return err
	}
	t.say("%s: next change acknowledged after %v", what, since(began))
	var back, config []int64
	backs, configs := map[int]bool{}, map[int]bool{}
	for len(backs) < t.Crews || len(configs) < t.Crews {
		select {
		case e := <-t.events:
			switch {
			case e.What == eventBack && !backs[e.crew]:
				backs[e.crew], back = true, append(back, e.At...)
			case e.What == distribution.ConfigType && e.Count >= t.op.changes && !configs[e.crew]:
				configs[e.crew], config = true, append(config, e.At...)
			}
		case <-bound.Done():
			return errors.Wrapf(bound.Err(), "%d and %d of %d processes", len(backs), len(configs), t.Crews)
		}
	}
	t.spread(what+": agents back", began, back)
	t.spread(what+": that change at the agents", began, config)
	return nil
}

func (t *Trial) losePrimary(ctx context.Context) error {
	i := slices.IndexFunc(t.observers, func(p *process) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.role == replication.Primary.String()
	})
	if i < 0 {
		return errors.New("no control server says that it is the primary")
	}
	began := time.Now()
	t.observers[i].kill()
	if err := t.mark(); err != nil {
		return err
	}
	if err := t.after(ctx, "primary killed", began); err != nil {
		return err
	}
	if err := t.observe(i); err != nil {
		return err
	}
	if !pause(ctx, t.steadyFor()) {
		return ctx.Err()
	}
	return nil
}

func (t *Trial) loseCore(ctx context.Context) error {
	began := time.Now()
	for _, p := range t.observers {
		p.kill()
	}
	if err := t.mark(); err != nil {
		return err
	}
	for i := range t.observers {
		if err := t.observe(i); err != nil {
			return err
		}
	}
	return t.after(ctx, "core killed", began)
}

// memory writes what each process holds, 10^6 bytes.
func (t *Trial) memory(when string) {
	for _, r := range t.rows() {
		if u, err := r.usage(); err == nil {
			t.say("memory %s: %-22s resident %8.2f MB, peak %8.2f MB",
				when, r.name, float64(u.Resident)/1e6/r.share, float64(u.Peak)/1e6/r.share)
		}
	}
}
