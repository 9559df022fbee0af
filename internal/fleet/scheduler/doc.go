// Package scheduler estimates where a prompt is best prefilled and its answer decoded, and plans how many of a
// service's backends prefill and how many decode.
//
// An Estimator belongs to one service at one proxy: the proxy reports what it sends and what comes back, and asks for
// estimates in milliseconds and tokens. A PhasePlanner belongs to one service at the control server that holds the
// singleton role of giving orders. Neither chooses a backend or sends anything: package proxy does the first, package
// controlplane the second.
//
// All types are state machines without I/O, clock or goroutine: the caller passes the time, in milliseconds on a
// clock that doesn't go back. None is safe for concurrent use; callers hold a lock of their own. Backend ids that
// aren't listed are ignored. Figures come from the operator's configuration and from what was measured.
package scheduler
