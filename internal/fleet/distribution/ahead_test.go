package distribution

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClientsAhead: a client with a newer configuration than the server's is reported once it has been ahead for the
// given age, and no longer after a request with a version that the server has.
func TestClientsAhead(t *testing.T) {
	c := qt.New(t)
	cache := NewCache()
	cache.SetSnapshot(ConfigType, v(3), []byte("anew"))
	ask := func(from string, had uint64) {
		cache.Fetch(context.Background(), "core", &Request{From: from, Versions: map[string]Version{ConfigType: v(had)}})
	}
	ask("old", 500)
	ask("same", 3)
	ask("behind", 2)
	cache.Fetch(context.Background(), "core", &Request{From: "new"})
	now := time.Now()
	c.Assert(cache.ClientsAhead(time.Second, now), qt.HasLen, 0)
	c.Assert(cache.ClientsAhead(time.Second, now.Add(2*time.Second)), qt.DeepEquals, []string{"old"})
	ask("old", 3)
	c.Assert(cache.ClientsAhead(0, now.Add(2*time.Second)), qt.HasLen, 0)
}
