package proxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/scheduler"
)

const (
	// minRetryTime is the least remaining time before its deadline for a request to be sent again.
	minRetryTime = 5 * time.Millisecond
	// maxBackendsTried bounds the number of backends to which a connection is attempted.
	maxBackendsTried = 4
	// headerTimeoutTargets is how many latency targets an idempotent request waits for a first byte before it is
	// retried at another backend, and minHeaderTimeout the least such wait.
	headerTimeoutTargets = 3
	minHeaderTimeout     = 200 * time.Millisecond
	// connectTimeout is the upper bound of a connect time-out and minConnectTimeout the lower bound: round trips take
	// some milliseconds everywhere.
	connectTimeout    = 200 * time.Millisecond
	minConnectTimeout = 50 * time.Millisecond
)

// countRequest adds a request that arrived at now to the service's retry budget. It reports whether the service's
// backends run models.
func (s *service) countRequest(now time.Time) (runsModels bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.addRequest(now)
	return s.runsModels
}

// retryPossible reports whether the request itself allows another send, by its kind, its number of attempts and its
// remaining time. A request that may have run and is not idempotent is never sent again.
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

// retryAvailable reports whether takeRetry would succeed, without taking from the retry budget.
func (cr *clientRequest) retryAvailable() bool {
	if !cr.retryPossible() {
		return false
	}
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.available(time.Now(), 1)
}

// takeExtraSend takes one send beyond a request's first from the retry budget; false: the budget is exhausted.
func (cr *clientRequest) takeExtraSend() bool { return cr.takeExtraSends(1) }

// takeExtraSends takes n sends beyond a request's first from the retry budget, or none.
func (cr *clientRequest) takeExtraSends(n float64) bool {
	cr.svc.mu.Lock()
	defer cr.svc.mu.Unlock()
	return cr.svc.retryBudget.take(time.Now(), n)
}

// canReroute reports whether the request can be sent to another backend without charge to the retry budget. sendsBefore
// is the number of sends before the last attempt: if it is unchanged, that attempt got no connection, and no backend
// has seen the request.
func (cr *clientRequest) canReroute(sendsBefore int) bool {
	return cr.sends == sendsBefore &&
		len(cr.tried) < maxBackendsTried &&
		time.Until(cr.deadline) > connectTimeout
}

// checkRetry returns why a request whose attempt failed must not be sent again, whatever its retries: the proxy's grace
// period is over, or it came while the proxy drains and might now outlast it. A request that came before may be sent
// again: it has nothing to lose. If its client has disconnected, the request is aborted.
func (cr *clientRequest) checkRetry(ctx context.Context, prompt *scheduler.Prompt) error {
	if over := cr.checkContext(ctx); over != nil {
		return over
	}
	if cr.cameDraining && cr.outlastsDrain(prompt) {
		cr.retryAfter = cr.drainRetryAfter(time.Now())
		return errOutlastsDrain
	}
	return nil
}

// checkContext returns errShuttingDown if the request's context ended with the proxy's grace period. If it ended before
// the request's deadline otherwise, the client has disconnected, and the request is aborted.
func (cr *clientRequest) checkContext(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), errShuttingDown):
		cr.retryAfter = cr.drainRetryAfter(time.Now())
		return errShuttingDown
	case time.Until(cr.deadline) > 0:
		cr.abortClient()
	}
	return nil
}

// connectDeadline returns by when a connection has to be established: within half of the latency target, since a slower
// one is of no use, and a host without power never responds.
func (cr *clientRequest) connectDeadline() time.Time {
	within := connectTimeout
	if target := cr.route.LatencyTarget(); target > 0 {
		within = min(max(target/2, minConnectTimeout), connectTimeout)
	}
	return time.Now().Add(within)
}

// headerDeadline returns until when an attempt waits for the head of its response: until the request's deadline, or
// less if another backend could still serve it.
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
