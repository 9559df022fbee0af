// Package gateway passes requests between two sites, over links to gateways of the same
// program. Site is the near end: to a core of its own it is the transport and the roster of
// a far site's gateways. Far is the far end: it takes crossings and runs them through its
// site's own core. Both drive the machines of package crossing, and decide nothing about
// where, when or whether a request is sent.
//
// Each connection has link's two goroutines; what they share is under one lock for each far
// gateway at the near end, and one for each near process at the far end. The near end's core
// calls Start with its own lock held, the far end's core calls back with its own: so neither
// core is ever called with one of these locks held.
package gateway

import (
	"math/rand/v2"
	"time"
)

// incarnation tells a process from the ones before it, also where an installation starts all
// of them with the same seed: the moment of its start goes into it.
func incarnation(seed uint64) uint64 {
	return rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))).Uint64() | 1
}
