// Package scheduler estimates the cost of prefilling a prompt and decoding its answer at each backend, and plans how
// many of a service's backends prefill and how many decode.
//
// An Estimator belongs to one service at one proxy: the proxy reports its requests and their responses, and asks for
// estimates in milliseconds and tokens. A PhasePlanner belongs to one service at the control server that has the
// singleton role of ordering phase changes. Neither chooses a backend or sends anything: package proxy does the first,
// package controlplane the second.
//
// All types are state machines without I/O, clock or goroutine: the caller passes the time, in milliseconds of a
// monotonic clock. None is safe for concurrent use; callers hold a lock of their own. Backend ids that aren't listed
// are ignored. Estimates are based on the operator's configuration and on measurements.
package scheduler
