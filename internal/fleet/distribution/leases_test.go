package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLeasesExpire(t *testing.T) {
	c := qt.New(t)
	cache := NewCache()
	now := time.Now()
	cache.Renew([]Member{{Name: "a", Zone: "z", AgeMs: 0}, {Name: "b", Zone: "z", AgeMs: 900}}, now)
	c.Assert(cache.Members(now, time.Second), qt.HasLen, 2)
	later := cache.Members(now.Add(500*time.Millisecond), time.Second)
	c.Assert(later, qt.HasLen, 1, qt.Commentf("the age that a relay reports counts"))
	c.Assert(cache.Members(now.Add(2*time.Second), time.Second), qt.HasLen, 0)
}

// TestLeasesCarryVersions: a lease carries the member's versions at its renewal, and an older renewal that arrives by
// another path changes nothing.
func TestLeasesCarryVersions(t *testing.T) {
	c := qt.New(t)
	cache, relay := NewCache(), NewCache()
	now := time.Now()
	member := Member{
		Name:               "a",
		Zone:               "z",
		ConfigVersion:      7,
		ConfigAgeMs:        40,
		BackendListVersion: Version{Epoch: 2, Count: 5},
	}
	relay.Renew([]Member{member}, now)
	relayed := now.Add(300 * time.Millisecond)
	cache.Renew(relay.Members(relayed, time.Second), relayed)
	cache.Renew([]Member{{Name: "a", Zone: "z", AgeMs: 600, ConfigVersion: 6}}, relayed)
	member.AgeMs = 500
	c.Assert(cache.Members(now.Add(500*time.Millisecond), time.Second), qt.DeepEquals, []Member{member})
}
