package proxy

import (
	"time"

	"molepaddle/internal/fleet/outlier"
	"molepaddle/policy"
)

const (
	// slowFactor is the multiple of the usual duration above which an attempt may count as slow.
	slowFactor = 3
	// minSlowTargetShare is added to that, as a fraction of the route's latency target, since usual durations may be
	// very short.
	minSlowTargetShare = 0.5
	// minSlowGapMs is added to slowFactor times the usual gap between events of a stream, in milliseconds; above the
	// sum the stream counts as slow.
	minSlowGapMs = 20
	// clearFactor is the multiple of the usual duration up to which a response shows its backend to be as fast as
	// usual, which ends an ejection.
	clearFactor = 2
	// meanWeight is the weight of a new sample in a running mean.
	meanWeight = 0.05
	// maxSampleFactor bounds a sample, in multiples of the mean.
	maxSampleFactor = 3
	// maxRouteMeans bounds the number of routes that have a mean of their own. On further routes an attempt counts as
	// slow by the latency target alone.
	maxRouteMeans = 4096
)

// runningMean is a mean of recent durations, in milliseconds; 0: there are no samples. Outliers have little influence,
// so that slow backends do not become the reference.
type runningMean struct{ ms float64 }

// update adds a sample, in milliseconds.
func (m *runningMean) update(ms float64) {
	if m.ms == 0 {
		m.ms = ms
		return
	}
	m.ms += (min(ms, maxSampleFactor*m.ms) - m.ms) * meanWeight
}

// slowThresholdMs returns the duration above which an attempt counts as slow, given its usual duration; both in
// milliseconds.
func (cr *clientRequest) slowThresholdMs(usualMs float64) float64 {
	return slowFactor*usualMs + minSlowTargetShare*float64(cr.route.LatencyTarget().Milliseconds())
}

// attemptRecord is the outlier detection's record of an attempt at a backend. Its owner calls finish once.
type attemptRecord struct {
	svc         *service
	id          string // backend id
	recorded    *outlier.Attempt
	startedMs   float64 // on the service's clock, ms
	thresholdMs float64 // duration above which it counts as slow, ms
}

// beginAttempt starts the record of an attempt, which counts as overdue if no response header arrives within
// thresholdMs.
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

// endHeaderWait records that the response has started or the attempt has failed, so that it can't become overdue. It
// returns the time since the start of the attempt, in milliseconds.
func (ar *attemptRecord) endHeaderWait() float64 {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	ar.svc.recorder.HeadersReceived(ar.recorded)
	return ar.svc.now() - ar.startedMs
}

// attemptSpeed classifies how fast a complete response arrived, compared with the usual duration.
type attemptSpeed int

const (
	speedUsual   attemptSpeed = iota
	speedUnclear              // neither as fast as usual nor slow
	speedLate                 // slow to start
	speedSlow                 // slow after it had started
)

// speedOf returns the speed of a response that took tookMs, where usualMs is usual and above thresholdMs it counts as
// late; all in milliseconds.
func speedOf(tookMs, usualMs, thresholdMs float64) attemptSpeed {
	switch {
	case tookMs > thresholdMs:
		return speedLate
	case tookMs > clearFactor*usualMs+minSlowGapMs:
		return speedUnclear
	}
	return speedUsual
}

// finish records the outcome of the attempt. paced means that the response was a stream whose event gaps showed its
// speed.
func (ar *attemptRecord) finish(how policy.Status, speed attemptSpeed, paced bool) {
	ar.svc.mu.Lock()
	defer ar.svc.mu.Unlock()
	ar.svc.recorder.End(ar.recorded, ar.result(how, speed, paced))
}

// result returns the outcome of the attempt for the outlier detection. An ejected backend has to prove that it is as
// fast as usual: a response of unclear speed is inconclusive for it. The service's lock is held.
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

// firstEventThresholdMs returns the time to a stream's first event above which it counts as slow, in milliseconds: by
// the expected prefill, or by the usual time if the prompt was prefilled elsewhere.
func (s *service) firstEventThresholdMs(cr *clientRequest, prefilled bool, prefillMs float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !prefilled {
		return cr.slowThresholdMs(prefillMs)
	}
	return cr.slowThresholdMs(s.recent.firstEvent.ms)
}

// recordStream records the timing of a stream and returns its speed, and whether its event gaps determined that. first
// is the time to its first event, which is late above the threshold.
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
// and the time to the first. A stream without gaps is not sufficient evidence once other streams have had gaps. The
// lock is held.
func (s *service) asFastAsUsual(gapMs, firstMs float64) bool {
	if s.recent.gap.ms == 0 && firstMs < clearFactor*s.recent.firstEvent.ms {
		return true
	}
	return gapMs > 0 && gapMs < clearFactor*s.recent.gap.ms
}

// slowGapMs returns the mean event gap above which a sample of a stream counts as slow, in milliseconds. The lock is
// held.
func (s *service) slowGapMs() float64 { return slowFactor*s.recent.gap.ms + minSlowGapMs }

// healthSampleComplete reports whether a sample of a stream suffices to decide whether its backend is slow: it has
// enough events, or has lasted longer than a slow stream takes for them.
func (s *service) healthSampleComplete(lasted time.Duration, events int) bool {
	if events >= healthSampleEvents {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.gap.ms > 0 && float64(lasted.Milliseconds()) > healthSampleEvents*s.slowGapMs()
}

// completeThresholdMs returns the usual duration of a non-streamed response on the request's route, and the duration
// above which it counts as slow, in milliseconds.
func (s *service) completeThresholdMs(cr *clientRequest) (usualMs, thresholdMs float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usualMs = s.recent.complete[cr.route.Name].ms
	return usualMs, cr.slowThresholdMs(usualMs)
}

// recordComplete records the duration of a non-streamed response, in milliseconds.
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
