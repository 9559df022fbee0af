// Package hotkeys spreads requests for a popular key over more servers than one. No I/O, no time; a
// Keys belongs to whoever holds it.
package hotkeys

import "molepaddle/internal/decide/arith"

// memory is over how many requests keys are counted, spread into how many parts a key is split
// that alone would be a server's even share: it is not alone there.
const memory, spread = 128, 4.0

// Keys counts the keys of late.
type Keys struct{ recent *arith.RecentCounts }

// New makes a count of none.
func New() Keys { return Keys{arith.NewRecentCounts(memory)} }

// Split counts a key and gives the hash that orders so many servers for it. A popular key is split
// into parts, each with its own order: one was twenty times what its server can do (id753de), and
// with one request out the cap sees nothing of that. blind is the part of its requests that the
// cap does not see, from 0 to 1: the fewer agents share a server, the more each sees, and is left to
// the cap. draw is from 0 up to 1.
func (k Keys) Split(key uint64, servers, blind, draw float64) uint64 {
	share := k.recent.Add(key) - 1.0/memory
	parts := max(share*spread*servers*blind, 1)
	return key + uint64(parts*draw)*0x9e3779b97f4a7c15 // part 0 keeps the key's own order
}
