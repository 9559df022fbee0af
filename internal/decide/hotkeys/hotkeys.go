// Package hotkeys spreads the requests for a popular key over several servers. It has no I/O, no clock
// and no locks: a Splitter is used by one goroutine at a time.
package hotkeys

import "molepaddle/internal/decide/arith"

// window is the number of recent requests over which keys are counted. partsPerShare is into how many
// parts a key is split that makes up a server's even share: the server receives other keys as well.
const window, partsPerShare = 128, 4.0

// Splitter counts the keys of recent requests.
type Splitter struct{ recent *arith.RecentCounts }

// New returns a Splitter without requests.
func New() Splitter { return Splitter{arith.NewRecentCounts(window)} }

// Split counts a key and returns the hash that orders the servers for it. A popular key is split into
// parts, each with its own order: one key had twenty times the load that its server could serve
// (id753de), which the cap on requests in flight does not detect while only one is in flight. unseen,
// from 0 to 1, is the fraction of the key's requests that the cap does not see: the fewer agents share
// a server, the more each of them sees and the more is left to the cap. random is from 0 up to 1.
func (k Splitter) Split(key uint64, servers, unseen, random float64) uint64 {
	share := k.recent.Add(key) - 1.0/window
	parts := max(share*partsPerShare*servers*unseen, 1)
	return key + uint64(parts*random)*0x9e3779b97f4a7c15 // part 0 keeps the key's own order
}
