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

// settlingTime returns the time in which the agents' leases and the number of agents become stable: some heartbeats.
func (t *Trial) settlingTime() time.Duration { return 4 * t.Heartbeat }

func (t *Trial) measureIdle(ctx context.Context) error {
	if !pause(ctx, t.settlingTime()) {
		return ctx.Err()
	}
	calls := t.platform.Calls()
	err := t.measureUsage("rest", "second", 0, func() error {
		if !pause(ctx, t.IdleDuration) {
			return ctx.Err()
		}
		return nil
	})
	t.printf("rest: %.2f calls a second to the platform", float64(t.platform.Calls()-calls)/t.IdleDuration.Seconds())
	return err
}

func (t *Trial) measureConfigChanges(ctx context.Context) error {
	var acks, sent, acked []time.Duration
	return t.measureUsage("change", "change", t.ConfigChanges, func() error {
		for range t.ConfigChanges {
			tick := time.NewTimer(t.ChangeInterval)
			bound, cancel := context.WithTimeout(ctx, t.WaitTimeout)
			began := time.Now()
			err := t.operator.update(bound)
			cancel()
			if err != nil {
				return err
			}
			ack := time.Now()
			acks = append(acks, ack.Sub(began))
			at, err := t.awaitEvents(ctx, func(e *Event) bool {
				return e.Type == distribution.ConfigType && e.Count >= t.operator.changes
			})
			if err != nil {
				return err
			}
			sent, acked = append(sent, delaysSince(began, at)...), append(acked, delaysSince(ack, at)...)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		t.reportQuantiles("change: acknowledged after it was sent", acks)
		t.reportQuantiles("change: at an agent after it was sent", sent)
		t.reportQuantiles("change: at an agent after its acknowledgement", acked)
		return nil
	})
}

func (t *Trial) measureListChanges(ctx context.Context) error {
	var all, apart []time.Duration
	return t.measureUsage("list", "change", t.ListChanges, func() error {
		for i := range t.ListChanges {
			for len(t.events) > 0 { // discard events of earlier changes
				<-t.events
			}
			began := time.Now()
			t.platform.ToggleDraining(i)
			at, err := t.awaitEvents(ctx, func(e *Event) bool {
				return e.Type == distribution.BackendListType && e.At[0] > began.UnixNano()
			})
			if err != nil {
				return err
			}
			first := slices.Min(at)
			all = append(all, delaysSince(began, at)...)
			apart = append(apart, delaysSince(time.Unix(0, first), at)...)
			if !pause(ctx, t.ChangeInterval) {
				return ctx.Err()
			}
		}
		t.reportQuantiles("list: at an agent after the platform changed it", all)
		t.reportQuantiles("list: at an agent after the first agent had it", apart)
		return nil
	})
}

// markAgents requests an event "back" from each agent group; see AgentGroup.Run.
func (t *Trial) markAgents() error {
	for _, in := range t.commands {
		if _, err := io.WriteString(in, "mark\n"); err != nil {
			return err
		}
	}
	return nil
}

// awaitRecovery waits until the control plane and all agents work again, and writes the times since began.
func (t *Trial) awaitRecovery(ctx context.Context, what string, began time.Time) error {
	bound, cancel := context.WithTimeout(ctx, t.WaitTimeout)
	defer cancel()
	if err := t.operator.show(bound); err != nil {
		return err
	}
	t.printf("%s: configuration shown again after %v", what, elapsedSince(began))
	if err := t.operator.update(bound); err != nil {
		return err
	}
	t.printf("%s: next change acknowledged after %v", what, elapsedSince(began))
	var back, config []int64
	backs, configs := map[int]bool{}, map[int]bool{}
	for len(backs) < t.AgentProcesses || len(configs) < t.AgentProcesses {
		select {
		case e := <-t.events:
			switch {
			case e.Type == eventBack && !backs[e.group]:
				backs[e.group], back = true, append(back, e.At...)
			case e.Type == distribution.ConfigType && e.Count >= t.operator.changes && !configs[e.group]:
				configs[e.group], config = true, append(config, e.At...)
			}
		case <-bound.Done():
			return errors.Wrapf(bound.Err(), "%d and %d of %d processes", len(backs), len(configs), t.AgentProcesses)
		}
	}
	t.reportDelays(what+": agents back", began, back)
	t.reportDelays(what+": that change at the agents", began, config)
	return nil
}

func (t *Trial) killPrimary(ctx context.Context) error {
	i := slices.IndexFunc(t.controlServers, func(p *process) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.role == replication.Primary.String()
	})
	if i < 0 {
		return errors.New("no control server has logged that it is the primary")
	}
	began := time.Now()
	t.controlServers[i].kill()
	if err := t.markAgents(); err != nil {
		return err
	}
	if err := t.awaitRecovery(ctx, "primary killed", began); err != nil {
		return err
	}
	if err := t.startControlServer(i); err != nil {
		return err
	}
	if !pause(ctx, t.settlingTime()) {
		return ctx.Err()
	}
	return nil
}

func (t *Trial) killCore(ctx context.Context) error {
	began := time.Now()
	for _, p := range t.controlServers {
		p.kill()
	}
	if err := t.markAgents(); err != nil {
		return err
	}
	for i := range t.controlServers {
		if err := t.startControlServer(i); err != nil {
			return err
		}
	}
	return t.awaitRecovery(ctx, "core killed", began)
}

// reportMemory writes the memory of each process in units of 10^6 bytes.
func (t *Trial) reportMemory(when string) {
	for _, r := range t.rows() {
		if u, err := r.usage(); err == nil {
			t.printf("memory %s: %-22s resident %8.2f MB, peak %8.2f MB",
				when, r.name, float64(u.Resident)/1e6/r.divisor, float64(u.Peak)/1e6/r.divisor)
		}
	}
}
