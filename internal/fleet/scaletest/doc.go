// Package scaletest measures how the resource usage of the fleet's programs grows with the size of the fleet. It starts
// real control servers, a real node agent and a real proxy as processes on loopback. Beside them it runs simulated
// agents, many in one process, that pull as node agents do but store only version numbers, and a fake platform that
// lists backends which don't exist. It writes its results as text; docs/CAPACITY.md is based on them.
//
// A run is bounded: every wait has a time limit, and there are at most MaxAgents agents, MaxBackends backends and
// MaxRoutes routes. It is used by the command molepaddle-scale and by tests only.
package scaletest

// Limits of a run. Each agent, backend and route takes file descriptors or memory of this machine.
const (
	MaxAgents   = 10_000
	MaxBackends = 20_000
	MaxRoutes   = 20_000
)
