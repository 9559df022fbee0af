// Package ranking orders a service's backends for a request, as one proxy sees them: by health, then by cost, then by
// the bounded-load rendezvous hash of the request's key.
//
// The health states, their tiers, the cap and the hash are package policy's; what a Ranker holds is one proxy's own
// view of each backend. It sends nothing and starts no goroutine: the proxy reports attempts, probes and the fleet's
// ejections, and asks for an order. It reads no clock either; the caller passes the time, in ms on a clock that
// doesn't go back. A Ranker is not safe for concurrent use; package proxy holds its service's lock around every call.
package ranking
