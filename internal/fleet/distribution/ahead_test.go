package distribution

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClientsAhead: a client that has a newer configuration than the server is told of after a time, and no more once
// it asks with one that the server knows.
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
