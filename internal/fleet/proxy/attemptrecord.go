package proxy

import (
	"time"

	"molepaddle/internal/fleet/outlier"
	"molepaddle/policy"
)

const (
	// slowFactor is how many times as long as usual an attempt must last to count as slow.
	slowFactor = 3
	// minSlowTargetShare is how long it must last besides, in parts of its route's latency target: usual durations
	// may be very short.
	minSlowTargetShare = 0.5
	// minSlowGapMs is how much longer than slowFactor times usual the gaps of a stream must be for it to count as
	// slow, in milliseconds.
	minSlowGapMs = 20
	// clearFactor is up to how many times as long as usual an answer shows its backend to be as fast as usual, which
	// ends an ejection.
	clearFactor = 2
	// meanWeight is the weight of a new sample in a running mean.
	meanWeight = 0.05
	// maxSampleFactor bounds a sample, in multiples of the mean.
	maxSampleFactor = 3
	// maxRouteMeans bounds the routes that have a mean of their own. On further ones an attempt counts as slow by the
	// latency target alone.
	maxRouteMeans = 4096
)

// runningMean is a mean of recent durations, in milliseconds; 0: there were none. What takes far longer moves it
// little, so that bad backends don't become the measure.
type runningMean struct{ ms float64 }

// update adds a sample, in milliseconds.
func (m *runningMean) update(ms float64) {
	if m.ms == 0 {
		m.ms = ms
		return
	}
	m.ms += (min(ms, maxSampleFactor*m.ms) - m.ms) * meanWeight
}

// slowThresholdMs is how long an attempt may last before it counts as slow, where it usually lasts so long; both in
// milliseconds.
func (cr *clientRequest) slowThresholdMs(usualMs float64) float64 {
	return slowFactor*usualMs + minSlowTargetShare*float64(cr.route.LatencyTarget().Milliseconds())
}

// attemptRecord is an attempt at a backend as the outlier detection counts it. Its owner calls finish once.
type attemptRecord struct {
	svc         *service
	id          string // of the backend
	recorded    *outlier.Attempt
	startedMs   float64 // on the service's clock
	thresholdMs float64 // after which it counts as slow
}

// beginAttempt begins the record of an attempt that counts as overdue if no response header comes within thresholdMs.
func (s *service) beginAttempt(id string, thresholdMs float64) *attemptRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &attemptRecord{
		svc:         s,
		id:          id,
		recorded:    s.recorder.Begin(id, now+thresholdMs),
		startedMs:   now,
		thresholdMs: thresholdMs,
	}
}

// headerReceived records that the response has begun, after which the attempt can't be overdue any more. It returns how
// long that took, in milliseconds.
func (ar *attemptRecord) headerReceived() float64 {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	ar.svc.recorder.HeadersReceived(ar.recorded)
	return ar.svc.now() - ar.startedMs
}

// attemptSpeed is how fast a complete answer came, compared with what is usual.
type attemptSpeed int

const (
	speedUsual   attemptSpeed = iota
	speedUnclear              // neither as fast as usual nor slow
	speedLate                 // it took long to begin
	speedSlow                 // it came slowly once it had begun
)

// speedOf is the speed of an answer that took so long, where it usually takes so long and counts as late beyond the
// threshold; all in milliseconds.
func speedOf(tookMs, usualMs, thresholdMs float64) attemptSpeed {
	switch {
	case tookMs > thresholdMs:
		return speedLate
	case tookMs > clearFactor*usualMs+minSlowGapMs:
		return speedUnclear
	}
	return speedUsual
}

// finish records how the attempt ended. paced says that its answer came as a stream whose gaps showed its speed.
func (ar *attemptRecord) finish(how policy.Status, speed attemptSpeed, paced bool) {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	ar.svc.recorder.End(ar.recorded, ar.result(how, speed, paced))
}

// result is the attempt's end in the terms of the outlier detection. An ejected backend has to show that it is as
// fast as usual: there an answer of unclear speed is inconclusive. The service's lock is held.
func (ar *attemptRecord) result(how policy.Status, speed attemptSpeed, paced bool) outlier.Result {
	switch how {
	case policy.OK:
		switch {
		case speed == speedSlow:
			return outlier.Slow
		case speed == speedLate:
			return outlier.Late
		case paced:
			return outlier.StreamedOnPace
		case speed == speedUsual || !ar.svc.trials.Ejected(ar.startedMs, ar.id):
			return outlier.Good
		}
	case policy.Timeout:
		return outlier.TimedOut
	case policy.Error, policy.ConnectFailed, policy.Reset:
		return outlier.Failed
	}
	return outlier.Inconclusive
}

// firstEventThresholdMs is how long a stream's first event may take before it counts as slow, in milliseconds: by the
// expected prefill, or, where the prompt was prefilled elsewhere, by the usual time.
func (s *service) firstEventThresholdMs(cr *clientRequest, prefilled bool, prefillMs float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !prefilled {
		return cr.slowThresholdMs(prefillMs)
	}
	return cr.slowThresholdMs(s.recent.firstEvent.ms)
}

// recordStream records how a stream came and returns its speed, and whether its gaps showed that. first is the time to
// its first event, which is late beyond the threshold.
func (s *service) recordStream(cr *clientRequest, prefilled bool, thresholdMs float64, first time.Duration,
	r *streamRelay) (speed attemptSpeed, paced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.totalEvents == 0 {
		return speedUnclear, false
	}
	firstMs := milliseconds(first)
	gapMs := r.meanGapMs()
	slow := s.recent.gap.ms > 0 && gapMs > s.slowGapMs()
	clear := s.asFastAsUsual(gapMs, firstMs)
	if prefilled {
		s.recent.firstEvent.update(firstMs)
	}
	if gapMs > 0 {
		s.recent.gap.update(gapMs)
	}
	switch {
	case slow:
		return speedSlow, true
	case firstMs > thresholdMs:
		return speedLate, false
	case clear:
		return speedUsual, gapMs > 0
	}
	return speedUnclear, false
}

// asFastAsUsual reports whether a stream shows its backend to be as fast as usual, by the mean gap between its events
// and the time to the first. A stream without a gap shows little where others have some. The lock is held.
func (s *service) asFastAsUsual(gapMs, firstMs float64) bool {
	if s.recent.gap.ms == 0 && firstMs < clearFactor*s.recent.firstEvent.ms {
		return true
	}
	return gapMs > 0 && gapMs < clearFactor*s.recent.gap.ms
}

// slowGapMs is the mean gap of a sample of a stream beyond which it counts as slow, in milliseconds. The lock is held.
func (s *service) slowGapMs() float64 { return slowFactor*s.recent.gap.ms + minSlowGapMs }

// paceSampleComplete reports whether a sample of a stream suffices to tell whether its backend is slow: it has enough
// events, or has lasted longer than a slow stream takes for them.
func (s *service) paceSampleComplete(lasted time.Duration, events int) bool {
	if events >= paceSampleEvents {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.gap.ms > 0 && float64(lasted.Milliseconds()) > paceSampleEvents*s.slowGapMs()
}

// completeThresholdMs is how long an answer that comes as one usually takes on the request's route, and how long it may
// take before it counts as slow, in milliseconds.
func (s *service) completeThresholdMs(cr *clientRequest) (usualMs, thresholdMs float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usualMs = s.recent.complete[cr.route.Name].ms
	return usualMs, cr.slowThresholdMs(usualMs)
}

// recordComplete records how long an answer took that came as one, in milliseconds.
func (s *service) recordComplete(cr *clientRequest, ms float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.recent.complete[cr.route.Name]
	if !known && len(s.recent.complete) >= maxRouteMeans {
		return
	}
	mean.update(ms)
	s.recent.complete[cr.route.Name] = mean
}
