package proxy

import (
	"context"
	"time"
)

const (
	// minRetryTime is the least time before its deadline at which a request is sent again.
	minRetryTime = 5 * time.Millisecond
	// maxBackendsTried bounds the backends to which a connection is looked for.
	maxBackendsTried = 4
	// headerTimeoutTargets is how many times its latency target an idempotent request waits for a first byte before it
	// goes to another backend, and minHeaderTimeout how long at the least.
	headerTimeoutTargets = 3
	minHeaderTimeout     = 200 * time.Millisecond
	// connectTimeout bounds a connect from above, minConnectTimeout from below: round trips are some milliseconds
	// anywhere.
	connectTimeout    = 200 * time.Millisecond
	minConnectTimeout = 50 * time.Millisecond
)

// countRequest fills the service's retry budget with a request that came at now. It reports whether the service's
// backends run models.
func (s *service) countRequest(now time.Time) (runsModels bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.addRequest(now)
	return s.runsModels
}

// retryPossible reports whether the request itself allows another send, by its kind, its number of attempts and its
// time. What may have run and is not idempotent is never sent again.
func (cr *clientRequest) retryPossible() bool {
	return (!cr.mayHaveRun || cr.route.Idempotent()) &&
		cr.sends < max(cr.route.MaxAttempts, 1) &&
		time.Until(cr.deadline) >= minRetryTime
}

// takeRetry reports whether the request may be sent to another backend now, and takes that send from the retry budget.
func (cr *clientRequest) takeRetry() bool { return cr.retryPossible() && cr.takeExtraSend() }

// retryable reports whether another backend can serve the request if its next send fails.
func (cr *clientRequest) retryable() bool {
	return cr.route.Idempotent() &&
		cr.sends+1 < cr.route.MaxAttempts &&
		time.Until(cr.deadline) > cr.route.LatencyTarget()
}

// retryAvailable is takeRetry without taking from the retry budget.
func (cr *clientRequest) retryAvailable() bool {
	if !cr.retryPossible() {
		return false
	}
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.available(time.Now(), 1)
}

// takeExtraSend takes one send beyond a request's first from the retry budget; false: it is spent.
func (cr *clientRequest) takeExtraSend() bool { return cr.takeExtraSends(1) }

// takeExtraSends takes n sends beyond a request's first from the retry budget, or none.
func (cr *clientRequest) takeExtraSends(n float64) bool {
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.take(time.Now(), n)
}

// canReroute reports whether the request can go to another backend for free after an attempt before which it had been
// sent so many times: that attempt found no connection, so that no backend has seen it.
func (cr *clientRequest) canReroute(sendsBefore int) bool {
	return cr.sends == sendsBefore &&
		len(cr.tried) < maxBackendsTried &&
		time.Until(cr.deadline) > connectTimeout
}

// abortIfClientGone ends the request where its context ended before its deadline: then the client has left.
func (cr *clientRequest) abortIfClientGone(ctx context.Context) {
	if ctx.Err() != nil && time.Until(cr.deadline) > 0 {
		cr.abortClient()
	}
}

// connectDeadline is until when a connection has to stand: half of the latency target, since one that takes longer is
// of no use, and from a backend without power nothing ever comes.
func (cr *clientRequest) connectDeadline() time.Time {
	within := connectTimeout
	if target := cr.route.LatencyTarget(); target > 0 {
		within = min(max(target/2, minConnectTimeout), connectTimeout)
	}
	return time.Now().Add(within)
}

// headerDeadline is until when an attempt waits for the head of its answer: to the request's deadline, or less where
// another backend could still serve it.
func (cr *clientRequest) headerDeadline() time.Time {
	target := cr.route.LatencyTarget()
	if !cr.route.Idempotent() || target <= 0 || cr.sends+1 >= cr.route.MaxAttempts {
		return cr.deadline
	}
	by := time.Now().Add(max(headerTimeoutTargets*target, minHeaderTimeout))
	if by.Before(cr.deadline) {
		return by
	}
	return cr.deadline
}
