// Package gateway forwards requests from one site to another, over links between gateways of the same
// program. A Sender is the near end: for a core of its own it is the transport to a remote site's
// gateways and the endpoint list that names them. A Receiver is the far end: it accepts crossings
// (forwarded requests) and passes them to its own site's core. Both drive the state machines of
// package crossing; neither decides where, when or whether a request is sent.
//
// Each connection has the two goroutines of package link. Their shared state has one lock per far
// gateway at the near end, and one lock per near process at the far end. The near end's core calls
// Start while it holds its own lock, and the far end's core calls back while it holds its own, so
// neither core may be called while one of these locks is held.
package gateway

import (
	"math/rand/v2"
	"time"
)

// newIncarnation returns a random, non-zero id for this process. The current time is mixed into the seed,
// so that restarted processes differ even where an installation starts all of them with the same seed.
func newIncarnation(seed uint64) uint64 {
	return rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))).Uint64() | 1
}
