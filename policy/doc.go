// Package policy decides, for one agent, where each request goes: to which server, when, for how long,
// whether again, and when to give up.
//
// A Balancer takes events and returns the actions that they call for, in order. It is a state machine without
// I/O, clock or goroutine: whoever calls it passes the time, carries out the actions, and holds a lock or
// calls from one goroutine at a time. It does no health checks and opens no connections itself: it asks for a
// probe, a send or a closing by an Action. Time is in ms throughout.
//
// Health, Cap and Rendezvous are used by package ranking as well, which orders the backends of a service of
// models; that package decides nothing of when to send or to retry.
//
// The files go by concern: balancer.go (state, settings, events), endpoints.go (the endpoint list), health.go
// and passive_health.go (health states, and what changes them), selection.go (tiers, hash, cap), capacity.go
// (windows and slow start), request.go, queue.go and attempts.go (a request's way to its end).
package policy
