package fcgifront

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"sync"
)

// ids generates ids for requests that have none: 128 random bits each, from a generator seeded by the system, so that
// no two agents generate the same id. The lock guards the generator.
type ids struct {
	mu  sync.Mutex
	rng *rand.ChaCha8
}

func newIDs() ids {
	var seed [32]byte
	_, _ = crand.Read(seed[:]) // never fails
	return ids{rng: rand.NewChaCha8(seed)}
}

func (i *ids) next() string {
	var id [16]byte
	i.mu.Lock()
	_, _ = i.rng.Read(id[:])
	i.mu.Unlock()
	return hex.EncodeToString(id[:])
}
