package proxy

import (
	"context"
	"maps"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/policy"
)

const (
	// overdueInterval is how often overdue attempts are looked for, and bad ends told; outcomeInterval is how often good ones are.
	overdueInterval, outcomeInterval = 100 * time.Millisecond, time.Second
	// slowFactor is how many times as long as usual an attempt must last to count as slow, and minSlowTargetShare how long at the least, in
	// parts of its route's aim.
	slowFactor, minSlowTargetShare = 3, 0.5
	// minSlowGapMs is how much longer than usual times slowFactor the gaps of a stream must be for it to count as slow, ms.
	minSlowGapMs = 20
	// clearFactor is up to how many times as long as usual what a stream shows tells that its backend is as fast as is usual.
	clearFactor = 2
	// meanWeight is the part that a new figure has in what is usual, and maxSampleFactor how many times the usual one counts as at the most.
	meanWeight, maxSampleFactor = 0.05, 3
)

// runningMean is a mean of late of how long something takes, ms. What takes far longer moves it little, so that ill backends don't become the
// measure.
type runningMean struct{ ms float64 }

func (m *runningMean) update(ms float64) {
	if m.ms == 0 {
		m.ms = ms
		return
	}
	m.ms += (min(ms, maxSampleFactor*m.ms) - m.ms) * meanWeight
}

// slowThresholdMs is how long an attempt may last before it counts as slow, ms, where it usually lasts so long.
func (cr *clientRequest) slowThresholdMs(usual float64) float64 {
	return slowFactor*usual + minSlowTargetShare*float64(cr.route.LatencyTarget().Milliseconds())
}

// beginAttempt is a send whose end is told to the fleet.
type attemptRecord struct {
	svc         *service
	id          string
	recorded    *outlier.Attempt
	startedMs   float64
	thresholdMs float64 // beyond which it counts as slow, ms
}

// beginAttempt begins one that counts as slow after bound ms.
func (s *service) beginAttempt(id string, thresholdMs float64) *attemptRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &attemptRecord{svc: s, id: id, recorded: s.recorder.Begin(id, now+thresholdMs), startedMs: now, thresholdMs: thresholdMs}
}

// headerReceived notes that the answer has begun, after which the attempt isn't overdue any more. It gives how long that took, ms.
func (ar *attemptRecord) headerReceived() float64 {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	ar.svc.recorder.HeadersReceived(ar.recorded)
	return ar.svc.now() - ar.startedMs
}

// attemptSpeed is how fast a served answer came against what is usual.
type attemptSpeed int

const (
	speedUsual attemptSpeed = iota
	speedUnclear
	speedLate // it was long waited for
	speedSlow // it came slowly
)

// speedOf is the speed of an answer that took so long, ms, where it usually takes so long and counts as late beyond a bound.
func speedOf(took, usual, bound float64) attemptSpeed {
	switch {
	case took > bound:
		return speedLate
	case took > clearFactor*usual+minSlowGapMs:
		return speedUnclear
	}
	return speedUsual
}

// finish counts the attempt; paced tells whether its answer came in parts, which shows how fast. Only what was as fast as is usual clears a backend that is on trial.
func (ar *attemptRecord) finish(how policy.Status, fast attemptSpeed, paced bool) {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	result := outlier.Inconclusive
	switch how {
	case policy.OK:
		switch {
		case fast == speedSlow:
			result = outlier.Slow
		case fast == speedLate:
			result = outlier.Late
		case paced:
			result = outlier.StreamedOnPace
		case fast == speedUsual || !ar.svc.trials.Ejected(ar.startedMs, ar.id):
			result = outlier.Good
		}
	case policy.Timeout:
		result = outlier.TimedOut
	case policy.Error, policy.ConnectFailed, policy.Reset:
		result = outlier.Failed
	}
	ar.svc.recorder.End(ar.recorded, result)
}

// firstEventThresholdMs is how long a stream's first event may take before it counts as slow, ms.
func (s *service) firstEventThresholdMs(cr *clientRequest, staged bool, readMs float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !staged {
		return cr.slowThresholdMs(readMs)
	}
	return cr.slowThresholdMs(s.meanFirstEvent.ms)
}

// recordStream notes how a stream came, and tells whether its backend was far slower than is usual.
func (s *service) recordStream(cr *clientRequest, staged bool, thresholdMs float64, first time.Duration, r *streamRelay) (fast attemptSpeed, paced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.totalEvents == 0 {
		return speedUnclear, false
	}
	firstMs := float64(first.Microseconds()) / 1000
	gap := r.meanGapMs()
	slow := s.meanGap.ms > 0 && gap > s.slowGapMs()
	// A stream without a gap tells little where others have some.
	clear := gap > 0 && gap < clearFactor*s.meanGap.ms || s.meanGap.ms == 0 && firstMs < clearFactor*s.meanFirstEvent.ms
	if staged {
		s.meanFirstEvent.update(firstMs)
	}
	if gap > 0 {
		s.meanGap.update(gap)
	}
	switch {
	case slow:
		return speedSlow, true
	case firstMs > thresholdMs:
		return speedLate, false
	case clear:
		return speedUsual, gap > 0
	}
	return speedUnclear, false
}

// slowGapMs is the mean gap of a stretch of a stream beyond which it counts as slow, ms. The lock is held.
func (s *service) slowGapMs() float64 { return slowFactor*s.meanGap.ms + minSlowGapMs }

// paceSampleComplete tells whether a stretch of a stream that has lasted so long is long enough to tell whether its backend is slow.
func (s *service) paceSampleComplete(lasted time.Duration, events int) bool {
	if events >= paceSampleEvents {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meanGap.ms > 0 && float64(lasted.Milliseconds()) > paceSampleEvents*s.slowGapMs()
}

// completeThresholdMs is how long an answer that comes whole usually takes on the request's route, and how long it may take before it counts as
// slow, ms.
func (s *service) completeThresholdMs(cr *clientRequest) (usual, bound float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual = s.meanComplete[cr.route.Name].ms
	return usual, cr.slowThresholdMs(usual)
}

// recordComplete notes how long an answer took that came whole.
func (s *service) recordComplete(cr *clientRequest, ms float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.meanComplete[cr.route.Name]
	if !known && len(s.meanComplete) >= maxRouteMeans {
		return
	}
	u.update(ms)
	s.meanComplete[cr.route.Name] = u
}

// takeOutcomes gives what is to be told, if it is time for that. The lock is not held.
func (s *service) takeOutcomes(all bool) []distribution.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorder.CountOverdue(s.now())
	if !all && !s.recorder.Adverse() {
		return nil
	}
	return s.recorder.Drain()
}

// reportOutcomes tells the fleet how attempts end, until ctx ends: bad ends soon, all in turn.
func (p *Proxy) reportOutcomes(ctx context.Context) {
	tick := time.NewTicker(overdueInterval)
	defer tick.Stop()
	var last time.Time
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
		all := now.Sub(last) >= outcomeInterval
		var due []distribution.Outcome
		for s := range maps.Values(snapshot.services) {
			due = append(due, s.takeOutcomes(all)...)
		}
		if all {
			last = now
		}
		if len(due) > 0 {
			p.outcomes.Put(distribution.OutcomeReport{Proxy: p.settings.NodeName, Zone: p.settings.Zone, Outcomes: due})
		}
	}
}
