// Package scaletest measures how the fleet's own programs grow. It starts real control servers, a real node agent and a
// real proxy as processes on loopback, and beside them hollow agents, many in one process, that pull as node agents do
// but hold nothing, and a hollow platform that lists
// backends which nobody runs. What it finds is written as text; docs/CAPACITY.md draws on it.
//
// A run is bounded: every wait has an end, at most MaxAgents agents, MaxBackends backends and MaxRoutes routes.
package scaletest

// Bounds of a run: each takes descriptors or memory of this machine.
const (
	MaxAgents   = 10_000
	MaxBackends = 20_000
	MaxRoutes   = 20_000
)
