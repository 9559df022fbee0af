package proxy

import (
	"time"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// firstByteTargets is how many latency targets of its route a response is expected to take to its first byte at
	// least.
	firstByteTargets = 4
	// durationFactor is the multiple of the longest recent durations that is expected of a response.
	durationFactor = 2
)

// longestAnswer returns the longest expected duration of the response, at most the time left to the deadline: to the
// first byte, and for a stream in addition the time for all of its tokens one by one. If nothing bounds it, it is the
// time left.
func (cr *clientRequest) longestAnswer(now time.Time, prompt *scheduler.Prompt) time.Duration {
	remaining := cr.deadline.Sub(now)
	first := cr.longestFirstByte()
	if first <= 0 {
		return remaining
	}
	if cr.route.Kind != routingconfig.KindStream {
		return min(first, remaining)
	}
	rest, bounded := cr.longestStream(prompt, remaining)
	if !bounded {
		return remaining
	}
	return min(first+rest, remaining)
}

// longestRest returns the longest expected duration of the rest of a response after its first event, at most the time
// left to the deadline. It is never longer than longestAnswer allowed for, if the first event came in time.
func (cr *clientRequest) longestRest(now time.Time, prompt *scheduler.Prompt) time.Duration {
	if cr.route.Kind != routingconfig.KindStream {
		whole := cr.longestAnswer(now, prompt)
		return whole - now.Sub(cr.servedAt)
	}
	remaining := cr.deadline.Sub(now)
	rest, bounded := cr.longestStream(prompt, remaining)
	if !bounded {
		return remaining
	}
	return rest
}

// longestStream returns the longest expected time for all tokens of a stream, one by one; bounded is false if nothing
// bounds it, or if it is longer than limit.
func (cr *clientRequest) longestStream(prompt *scheduler.Prompt, limit time.Duration) (d time.Duration, bounded bool) {
	gap := cr.longestEventGap()
	if prompt == nil || prompt.MaxOutputTokens <= 0 || gap <= 0 {
		return 0, false
	}
	tokens := time.Duration(prompt.MaxOutputTokens)
	if tokens > limit/gap { // divided rather than multiplied, against overflow: a client may send any number
		return 0, false
	}
	return tokens * gap, true
}

// targetsHold reports whether the targets of the route are taken for bounds of the response where nothing else is
// known. A target is an aim, which ends no response that is slower. But while the platform may send clients to a
// draining proxy, a rejection would cost them more than the small risk.
func (cr *clientRequest) targetsHold() bool { return cr.proxy.shutdown.inAcceptWindow(cr.servedAt) }

// longestFirstByte returns the longest expected time to the first event of a stream, or to any other response as a
// whole; 0: unbounded. Recent answers of the route tell it, or its latency target if that holds.
func (cr *clientRequest) longestFirstByte() time.Duration {
	byTarget := firstByteTargets * cr.route.LatencyTarget()
	recent, known := cr.svc.longestAnswerTime(cr.route.Name)
	switch {
	case known:
		return max(durationFactor*recent, byTarget)
	case cr.targetsHold():
		return byTarget
	}
	return 0
}

// longestEventGap returns the longest expected time between two events of a stream; 0: unbounded. The pace of recent
// streams tells it. Where the target of the route holds, it limits the margin over that pace, but not the pace itself,
// and replaces an unknown one.
func (cr *clientRequest) longestEventGap() time.Duration {
	pace, known := cr.svc.slowestPace()
	byPace := durationFactor * pace
	target := cr.route.EventGapTarget()
	switch {
	case !cr.targetsHold() || target <= 0:
		return byPace // 0 if the pace is unknown
	case !known:
		return target
	}
	return max(min(byPace, target), pace)
}
