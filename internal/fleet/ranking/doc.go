// Package ranking orders a service's backends for a request, from the view of one proxy: by health, then by cost, then
// by rendezvous hashing of the request's key with bounded loads.
//
// Package policy defines the health states, their tiers, the load cap and the hash; a Ranker keeps one proxy's state of
// each backend. It sends nothing and starts no goroutine: the proxy reports attempts, health checks (probes) and the
// fleet's ejections, and requests an order. It reads no clock; the caller passes the time, in ms of a monotonic clock.
// A Ranker is not safe for concurrent use; package proxy holds its service's lock around every call.
package ranking
