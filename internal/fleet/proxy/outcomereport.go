package proxy

import (
	"context"
	"maps"
	"time"

	"molepaddle/internal/fleet/distribution"
)

const (
	// overdueInterval is how often overdue attempts are detected and adverse outcomes reported: a backend should be
	// ejected before many requests have failed.
	overdueInterval = 100 * time.Millisecond
	// outcomeInterval is how often outcomes are reported if none is adverse.
	outcomeInterval = time.Second
)

// takeOutcomes counts overdue attempts and returns the outcomes since the last report, if there is an adverse one or
// all is set; else nil.
func (s *service) takeOutcomes(all bool) []distribution.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorder.CountOverdue(s.now())
	if !all && !s.recorder.Adverse() {
		return nil
	}
	return s.recorder.Drain()
}

// reportOutcomes queues the outcomes of attempts for the fleet's outlier detection, until ctx ends: those of services
// with an adverse one every overdueInterval, all every outcomeInterval.
func (p *Proxy) reportOutcomes(ctx context.Context) {
	tick := time.NewTicker(overdueInterval)
	defer tick.Stop()
	var lastComplete time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		snapshot := p.snapshot.Load()
		if snapshot == nil {
			continue
		}
		now := time.Now()
		all := now.Sub(lastComplete) >= outcomeInterval
		if all {
			lastComplete = now
		}
		p.reportOutcomesOf(snapshot, all)
	}
}

// reportOutcomesOf queues the outcomes of a snapshot's services: of all, or of those with an adverse one. It does not
// block; the queue drops reports beyond its capacity.
func (p *Proxy) reportOutcomesOf(snapshot *routingSnapshot, all bool) {
	var outcomes []distribution.Outcome
	for s := range maps.Values(snapshot.services) {
		outcomes = append(outcomes, s.takeOutcomes(all)...)
	}
	if len(outcomes) == 0 {
		return
	}
	p.outcomes.Put(distribution.OutcomeReport{
		Proxy:    p.settings.NodeName,
		Zone:     p.settings.Zone,
		Outcomes: outcomes,
	})
}
