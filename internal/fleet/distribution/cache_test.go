package distribution

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// v returns version n of epoch 0.
func v(n uint64) Version { return Version{Count: n} }

// fetchFrom returns a cache's immediate response to a client that has the given versions.
func fetchFrom(c *Cache, versions map[string]Version) *Response {
	return c.Fetch(context.Background(), "server", &Request{Versions: versions})
}

func TestCacheNeverReturnsToOlderVersion(t *testing.T) {
	c := qt.New(t)
	cache := NewCache()
	c.Assert(cache.SetSnapshot("config", v(2), []byte("b")), qt.IsTrue)
	c.Assert(cache.SetSnapshot("config", v(1), []byte("a")), qt.IsFalse)
	c.Assert(cache.SetSnapshot("config", v(2), []byte("c")), qt.IsFalse)
	newer := cache.SetSnapshot("config", Version{Epoch: 1}, []byte("d"))
	c.Assert(newer, qt.IsTrue, qt.Commentf("a later epoch is newer"))
	version, ok := cache.Version("config")
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, Version{Epoch: 1})
}

// TestFetchReturnsMissingChanges: a client that is a few changes behind gets these changes; a client without a version,
// or one that is too far behind, gets the snapshot with the changes after it.
func TestFetchReturnsMissingChanges(t *testing.T) {
	c := qt.New(t)
	source := NewCache()
	appendChange := func(from, to uint64, body string) bool {
		return source.AppendChange("config", v(from), v(to), Change{Version: v(to), Body: []byte(body)}, nil)
	}
	c.Assert(appendChange(0, 1, ""), qt.IsFalse, qt.Commentf("no snapshot to follow on"))
	source.SetSnapshot("config", v(1), []byte("snapshot"))
	c.Assert(appendChange(1, 2, "x"), qt.IsTrue)
	c.Assert(appendChange(1, 3, ""), qt.IsFalse, qt.Commentf("a gap"))
	c.Assert(appendChange(2, 3, "y"), qt.IsTrue)
	fetch := func(versions map[string]Version) []Resource { return fetchFrom(source, versions).Resources }
	resources := fetch(nil)
	c.Assert(resources, qt.HasLen, 1)
	c.Assert(string(resources[0].Snapshot), qt.Equals, "snapshot")
	c.Assert(resources[0].Changes, qt.HasLen, 2)
	resources = fetch(map[string]Version{"config": v(2)})
	c.Assert(resources[0].Snapshot, qt.IsNil)
	c.Assert(resources[0].Changes, qt.HasLen, 1)
	c.Assert(resources[0].BaseVersion, qt.Equals, v(2))
	c.Assert(fetch(map[string]Version{"config": v(3)}), qt.HasLen, 0)

	// A relay serves the same state, and Apply returns the types whose changes don't follow on its version.
	relay := NewCache()
	apply := func(resources []Resource) (lacking []string) {
		return relay.Apply(&Response{LastContactMs: -1, Resources: resources}, time.Now())
	}
	c.Assert(apply(fetch(map[string]Version{"config": v(2)})), qt.DeepEquals, []string{"config"})
	c.Assert(apply(fetch(nil)), qt.HasLen, 0)
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
	appendChange(3, 4, "z")
	c.Assert(apply(fetch(relay.Versions())), qt.HasLen, 0)
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
}

// TestRelayRequestsSnapshot: a relay requests the snapshot if changes don't follow on its version, or are too many
// after an old snapshot; it then has the same version as its source.
func TestRelayRequestsSnapshot(t *testing.T) {
	c := qt.New(t)
	const changes, changeBytes = 200, 40_000
	source, relay := NewCache(), NewCache()
	snapshot := []byte("snapshot")
	source.SetSnapshot("config", v(0), snapshot)
	pull := func(versions map[string]Version) []string {
		return relay.Apply(fetchFrom(source, versions), time.Now())
	}
	c.Assert(pull(nil), qt.HasLen, 0)
	requested := 0
	for n := uint64(0); n < changes; n++ {
		change := Change{Version: v(n + 1), Body: make([]byte, changeBytes)}
		newSnapshot := func() []byte { return make([]byte, 1<<20) }
		c.Assert(source.AppendChange("config", v(n), v(n+1), change, newSnapshot), qt.IsTrue)
		if lacking := pull(relay.Versions()); lacking != nil {
			requested++
			c.Assert(lacking, qt.DeepEquals, []string{"config"})
			c.Assert(pull(nil), qt.HasLen, 0)
		}
		c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
		c.Assert(relay.entries["config"].bytesAfterSnapshot <= maxRelayBytesAfterSnapshot, qt.IsTrue)
	}
	least, most := changes*changeBytes/maxRelayBytesAfterSnapshot-1, changes*changeBytes/maxBytesAfterSnapshot
	c.Check(requested >= least && requested <= most, qt.IsTrue, qt.Commentf("%d", requested))

	gap := Resource{
		Type:        "config",
		BaseVersion: v(300),
		Version:     v(301),
		Changes:     []Change{{Version: v(301)}},
	}
	response := &Response{LastContactMs: -1, Resources: []Resource{gap}}
	c.Assert(relay.Apply(response, time.Now()), qt.DeepEquals, []string{"config"})
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())

	// A snapshot that is older than the relay's version changes nothing.
	older := Resource{
		Type:        "config",
		BaseVersion: v(7),
		Version:     v(9),
		Snapshot:    snapshot,
		Changes:     []Change{{Version: v(8)}, {Version: v(9)}},
	}
	response = &Response{LastContactMs: -1, Resources: []Resource{older}}
	c.Assert(relay.Apply(response, time.Now()), qt.HasLen, 0)
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
}
