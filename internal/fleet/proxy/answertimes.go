package proxy

import (
	"time"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

// maxTimedRoutes bounds the number of routes whose answer times are tracked. The answer times of further routes are
// unknown.
const maxTimedRoutes = 4096

// answerTimes tracks the longest recent answer times of a service, by route, in milliseconds: the time until a complete
// response, or until the first event of a stream. It is guarded by the lock of its service.
type answerTimes map[string]*scheduler.RecentMaximum

// observe adds an answer time; both times are in milliseconds.
func (at answerTimes) observe(now float64, route string, tookMs float64) {
	longest := at[route]
	if longest == nil {
		if len(at) >= maxTimedRoutes {
			at.dropUnknown(now)
		}
		if len(at) >= maxTimedRoutes {
			return
		}
		longest = new(scheduler.RecentMaximum)
		at[route] = longest
	}
	longest.Observe(now, tookMs)
}

// longest returns the longest recent answer time of a route, in milliseconds; known is false if there was no answer.
func (at answerTimes) longest(now float64, route string) (ms float64, known bool) {
	if longest := at[route]; longest != nil {
		return longest.Value(now)
	}
	return 0, false
}

// dropUnknown removes the routes without recent answers, such as those that are no longer configured.
func (at answerTimes) dropUnknown(now float64) {
	for route, longest := range at {
		if _, known := longest.Value(now); !known {
			delete(at, route)
		}
	}
}

// recordAnswerTime records an answer time on a route.
func (s *service) recordAnswerTime(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.observe(s.now(), route, milliseconds(took))
}

// longestAnswerTime returns the longest recent answer time on a route; known is false if there was no answer.
func (s *service) longestAnswerTime(route string) (longest time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms, known := s.answers.longest(s.now(), route)
	return time.Duration(ms * float64(time.Millisecond)), known
}

// recordFirstEvent records the arrival of the first event of a stream.
func (cr *clientRequest) recordFirstEvent() {
	if cr.route.Kind == routingconfig.KindStream {
		cr.svc.recordAnswerTime(cr.route.Name, time.Since(cr.servedAt))
	}
}

// recordEnd records the end of a request that has been answered, or that failed with err. A failure, be it a backend's,
// tells how long an answer takes only if the time ran out.
func (cr *clientRequest) recordEnd(err error) {
	complete := err == nil && !cr.failed && cr.route.Kind != routingconfig.KindStream
	timedOut := err != nil && time.Until(cr.deadline) <= 0
	if complete || timedOut {
		cr.svc.recordAnswerTime(cr.route.Name, time.Since(cr.servedAt))
	}
}
