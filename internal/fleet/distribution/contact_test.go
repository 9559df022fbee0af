package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLackingBaseRecordsNoContact: a response whose changes of the configuration don't follow on the cache's version
// records no contact, which would mark the old configuration as the newest. A response whose changes of another type
// don't follow does record it.
func TestLackingBaseRecordsNoContact(t *testing.T) {
	received := time.Now()
	for _, tc := range []struct {
		name     string
		resource Resource
		want     time.Duration // age of the recorded contact
	}{
		{"nothing new", Resource{Type: MembershipSizeType, Version: v(2), BaseVersion: v(2), Snapshot: []byte("m")}, 0},
		{"changes that follow", Resource{Type: ConfigType, Version: v(2), BaseVersion: v(1), Changes: []Change{{}}}, 0},
		{"a snapshot", Resource{Type: ConfigType, Version: v(9), BaseVersion: v(9), Snapshot: []byte("c")}, 0},
		{"an older snapshot", Resource{Type: ConfigType, BaseVersion: v(0), Snapshot: []byte("c")}, 0},
		{"changes of an unknown base", Resource{Type: ConfigType, Version: v(3), BaseVersion: v(2), Changes: []Change{{}}},
			time.Minute},
		{"changes beside an unknown base", Resource{Type: ConfigType, Version: v(2), BaseVersion: v(0),
			Changes: []Change{{}}}, time.Minute},
		{"changes up to a version received by another path", Resource{Type: ConfigType, Version: v(1), BaseVersion: v(0),
			Changes: []Change{{}}}, 0},
		{"another type's unknown base", Resource{Type: MembershipSizeType, Version: v(3), BaseVersion: v(2),
			Changes: []Change{{}}}, 0},
		{"too many changes after the snapshot", Resource{Type: ConfigType, Version: v(2), BaseVersion: v(1),
			Changes: []Change{{Body: make([]byte, maxRelayBytesAfterSnapshot+1)}}}, time.Minute},
	} {
		cache := NewCache()
		cache.SetSnapshot(ConfigType, v(1), []byte("old"))
		cache.SetSnapshot(MembershipSizeType, v(1), []byte("old"))
		cache.RecordContact("p", received.Add(-time.Minute))
		cache.Apply(&Response{Primary: "p", Resources: []Resource{tc.resource}}, received)
		at, _ := cache.LastContact()
		qt.Check(t, received.Sub(at), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestReceivedAtOutlastsAFreeze: a client that is frozen between the read of a response and its application records the
// contact as of the read, so that the contact doesn't appear more recent than it is.
func TestReceivedAtOutlastsAFreeze(t *testing.T) {
	c := qt.New(t)
	const frozen = 200 * time.Millisecond
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	source, client := NewCache(), NewCache()
	source.SetSnapshot(ConfigType, v(1), []byte("x"))
	contact := time.Now().Add(-time.Second)
	source.RecordContact("primary", contact)
	go Serve(ctx, ln, "source", source, time.Minute, source.LastContact)
	pulls := 0
	w := &Watcher{
		Name:        "client",
		ReadTimeout: 10 * time.Second,
		Members:     noMembers,
		Versions:    noVersions,
		Continue:    func() bool { return pulls < 1 },
	}
	w.Apply = func(response *Response) []string {
		pulls++
		time.Sleep(frozen)
		return client.Apply(response, w.ReceivedAt())
	}
	c.Assert(Watch(ctx, ln.Addr().String(), w), qt.IsNil)
	at, _ := client.LastContact()
	c.Check(at.After(contact), qt.IsFalse, qt.Commentf("the contact became %v younger", at.Sub(contact)))
	c.Check(contact.Sub(at) < frozen, qt.IsTrue, qt.Commentf("the contact became %v older", contact.Sub(at)))
}

// chainSource is the first cache of a chain; it records when each version was acknowledged.
type chainSource struct {
	*Cache
	mu           sync.Mutex
	acknowledged []time.Time // by version
}

// publish publishes the next version, as a change unless it is the first, and acknowledges it.
func (s *chainSource) publish() {
	n := uint64(len(s.acknowledged))
	snapshot := func() []byte { return []byte("s") }
	if !s.AppendChange(ConfigType, v(n-1), v(n), Change{Version: v(n)}, snapshot) {
		s.SetSnapshot(ConfigType, v(n), snapshot())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged = append(s.acknowledged, time.Now())
}

// supersededAt returns when the version after one was acknowledged; ok is false if there is none yet.
func (s *chainSource) supersededAt(version Version) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version.Count+1 >= uint64(len(s.acknowledged)) {
		return time.Time{}, false
	}
	return s.acknowledged[version.Count+1], true
}

// claim returns a cache's version of the configuration, and the time as of which the cache reports it as the newest.
func claim(c *Cache) (Version, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[ConfigType]; e != nil {
		return e.version, c.contactAt
	}
	return Version{}, time.Time{}
}

// TestContactIsNeverTooRecent runs a chain of two relays with delayed requests and responses, freezes before a response
// is applied, broken connections, and changes that don't follow on the relay's version, while versions are published
// one after the other. No cache ever reports a version as the newest as of a time after the next one was acknowledged.
func TestContactIsNeverTooRecent(t *testing.T) {
	c := qt.New(t)
	const versions = 300
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	source := &chainSource{Cache: NewCache(), acknowledged: []time.Time{{}}}
	upstream := serveUntilEnd(c, ctx, source.Cache, func() (time.Time, string) {
		source.RecordContact("primary", time.Now())
		return source.LastContact()
	})
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	relays := []*Cache{NewCache(), NewCache()}
	for i, relay := range relays {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		addr := upstream
		watching.Go(func() { watchWithFaults(ctx, addr, relay, random) })
		upstream = serveUntilEnd(c, ctx, relay, relay.LastContact)
	}
	seen := [2]map[Version]bool{{}, {}}
	for len(source.acknowledged) <= versions {
		source.publish()
		for range 5 {
			time.Sleep(time.Millisecond)
			for i, relay := range relays {
				version, contact := claim(relay)
				seen[i][version] = true
				if at, ok := source.supersededAt(version); ok && contact.After(at) {
					c.Fatalf("relay %d reports %v as the newest %v after the next version was acknowledged", i+1, version,
						contact.Sub(at))
				}
			}
		}
	}
	c.Logf("versions seen at the relays: %d, %d", len(seen[0]), len(seen[1]))
	c.Check(len(seen[0]) > 20 && len(seen[1]) > 20, qt.IsTrue)
}

// serveUntilEnd answers pulls from a cache until ctx ends, and returns its address.
func serveUntilEnd(c *qt.C, ctx context.Context, cache *Cache, refresh func() (time.Time, string)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	context.AfterFunc(ctx, func() { ln.Close() })
	go Serve(ctx, ln, "server", cache, time.Minute, refresh)
	return ln.Addr().String()
}

// watchWithFaults watches a server and applies its responses to a cache until ctx ends. It delays some reads and
// applications, breaks the connection after some pulls, and sometimes requests the changes since an older version.
func watchWithFaults(ctx context.Context, addr string, cache *Cache, random *rand.Rand) {
	maybeSleep := func() {
		if random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
		}
	}
	for ctx.Err() == nil {
		pulls := 1 + random.IntN(20)
		w := &Watcher{
			Name:        "relay",
			MaxWait:     20 * time.Millisecond,
			ReadTimeout: 5 * time.Second,
			Members:     noMembers,
			Dial: func(addr string, timeout time.Duration) (net.Conn, error) {
				conn, err := Dial(addr, timeout)
				return delayedReads{conn, time.Duration(random.IntN(3)) * time.Millisecond}, err
			},
			Continue: func() bool { pulls--; return pulls >= 0 },
			Versions: func() map[string]Version {
				versions := cache.Versions()
				if had, ok := versions[ConfigType]; ok && had.Count > 0 && random.IntN(4) == 0 {
					versions[ConfigType] = v(had.Count - 1) // the changes won't follow on the cache's version
				}
				maybeSleep()
				return versions
			},
		}
		w.Apply = func(response *Response) []string {
			maybeSleep()
			return cache.Apply(response, w.ReceivedAt())
		}
		_ = Watch(ctx, addr, w)
	}
}
