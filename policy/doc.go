// Package policy decides for one agent to which server a request is sent, when, with which time-out, whether
// it is retried, and when it is rejected.
//
// A Balancer takes events and returns the resulting actions in order. It is a state machine without I/O,
// clock or goroutine: the caller passes the time, carries out the actions, and serializes its calls, by a
// lock or by calling from one goroutine. A Balancer does no health checks and opens no connections itself: it
// returns an Action that requests a probe, a send or the closing of connections. All times are in ms.
//
// Health, Cap and Rendezvous are also used by package ranking, which orders the backends of a model service;
// that package does not decide when to send or retry a request.
//
// Files by concern: balancer.go (state, settings, events), endpoints.go (the endpoint list), health.go and
// passive_health.go (health states and their transitions), selection.go (tiers, hash, cap), capacity.go
// (windows and slow start), request.go, queue.go and attempts.go (the life cycle of a request).
package policy
