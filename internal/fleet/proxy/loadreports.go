package proxy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/policy"
)

// attemptEnded records the end of an attempt, whose start was recorded by its selection.
func (s *service) attemptEnded(id string, how policy.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranker.AttemptEnded(s.now(), id, how)
}

// parseLoad parses the load that a backend reports in a response header, "active,waiting", ignoring further fields; ok
// is false if it is malformed.
func parseLoad(load string) (active, waiting int, ok bool) {
	activeText, rest, found := strings.Cut(load, ",")
	waitingText, _, _ := strings.Cut(rest, ",")
	active, activeErr := strconv.Atoi(strings.TrimSpace(activeText))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(waitingText))
	return active, waiting, found && activeErr == nil && waitingErr == nil
}

// recordLoad records the load that a backend reported with a response. Malformed values are ignored.
func (s *service) recordLoad(id, load string) {
	active, waiting, ok := parseLoad(load)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines != nil {
		s.engines.ObserveResponseLoad(s.now(), id, active, waiting)
	}
}

// awaitHeader records that a request waits for the response header of a backend. The caller calls done when the wait
// ends, and passes whether a header arrived.
func (s *service) awaitHeader(id string) (done func(came bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.engines.AwaitHeaders(s.now(), id)
	return func(came bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.engines.AwaitEnded(s.now(), id, since, came)
	}
}

// recordHealthSample records how long a sample of a stream's events took at a backend, for the outlier detection.
func (s *service) recordHealthSample(id string, took time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := outlier.StreamedOnPace
	if s.recent.gap.ms > 0 && milliseconds(took)/float64(events) > s.slowGapMs() {
		result = outlier.Slow
	}
	s.recorder.ObservePart(id, result)
}

// recordPace records how long a sample of a stream's events took, for the estimate of the duration of streams.
func (s *service) recordPace(took time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.Observe(s.now(), milliseconds(took)/float64(events))
}

// slowestPace returns the slowest mean time per event of recent streams; known is false if there were none.
func (s *service) slowestPace() (pace time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms, known := s.pace.Value(s.now())
	return time.Duration(ms * float64(time.Millisecond)), known
}

// recordShed records whether a backend rejected a request because it was full.
func (s *service) recordShed(id string, shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shed {
		s.engines.ObserveRejection(s.now(), id)
	} else {
		s.engines.ObserveAcceptance(id)
	}
}

// recordPrefill records the expected and the actual duration of a prefill.
func (s *service) recordPrefill(expectedMs float64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines.ObservePrefill(expectedMs, milliseconds(took))
}

// applyPolledLoad applies the loads that the control plane polled: the requests at decode backends by id, and the ids
// of backends that did not respond. A report that reached its maximum size names the most loaded backends only: decode
// backends that it omits have at most the least load in it, and are counted as having that.
func (s *service) applyPolledLoad(active map[string]int, unresponsive []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		return
	}
	least := 0
	if len(active) >= distribution.MaxLoadReportBackends {
		least = slices.Min(slices.Collect(maps.Values(active)))
	}
	now := s.now()
	for id, b := range s.byID {
		if n, ok := active[id]; ok {
			s.engines.ObservePolledLoad(now, id, n)
		} else if least > 0 && b.Phase == externalapi.PhaseDecode {
			s.engines.ObservePolledLoad(now, id, least)
		}
	}
	for _, id := range unresponsive {
		s.engines.MarkUnresponsive(now, id)
	}
}
