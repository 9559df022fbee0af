package distribution

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Cache holds the newest state that a process has of each resource type, the leases of its downstream members, and the
// time of the last contact with the primary. The version of a resource type never decreases. It is safe for use by many
// goroutines.
type Cache struct {
	// Residency holds the pending residency reports for the primary.
	Residency *ResidencyOutbox
	// Outcomes holds the pending reports of attempts at backends for the primary.
	Outcomes *OutcomeQueue

	mu      sync.Mutex // guards the fields below
	entries map[string]*entry
	changed chan struct{} // closed and replaced whenever an entry changes
	leases  leaseTable

	ahead aheadClients // clients with a newer configuration

	// drainingChanged receives a value when a member starts or stops draining; the receiver pushes the renewal.
	drainingChanged chan struct{}

	primary   string
	contactAt time.Time // when the chain of servers last had contact with the primary
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		Residency: NewResidencyOutbox(),
		Outcomes:  NewOutcomeQueue(),
		entries:   map[string]*entry{},
		changed:   make(chan struct{}),
		leases:    leaseTable{},
		ahead:     aheadClients{},

		drainingChanged: make(chan struct{}, 1),
	}
}

// SetSnapshot replaces the state of a resource type by a snapshot. It returns false, and changes nothing, if the
// cache has that version or a newer one.
func (c *Cache) SetSnapshot(resourceType string, version Version, snapshot []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store(resourceType, newEntry(version, snapshot))
}

// AppendChange adds the change between two versions. It returns false, and changes nothing, if the cache isn't at the
// version from; the caller then calls SetSnapshot. It calls snapshot for the state at the version to, with the cache
// locked, if there are too many changes since the last snapshot.
func (c *Cache) AppendChange(resourceType string, from, to Version, change Change, snapshot func() []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[resourceType]
	if e == nil || e.version != from {
		return false
	}
	next := e.withChanges(to, change)
	changesAfterSnapshot := len(next.changes) - next.afterSnapshot
	if next.bytesAfterSnapshot > maxBytesAfterSnapshot || changesAfterSnapshot > maxChangesAfterSnapshot {
		next.replaceSnapshot(snapshot())
	}
	return c.store(resourceType, next)
}

// store replaces an entry unless the cache has its version or a newer one, and wakes the goroutines that wait for a
// change.
func (c *Cache) store(resourceType string, next *entry) bool {
	if e := c.entries[resourceType]; e != nil && !e.version.Before(next.version) {
		return false
	}
	c.entries[resourceType] = next
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Version returns the version of a resource type; ok is false if the cache has no state of it.
func (c *Cache) Version(resourceType string) (version Version, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[resourceType]
	if e == nil {
		return Version{}, false
	}
	return e.version, true
}

// Versions returns the versions of all resource types that the cache has, as a new map.
func (c *Cache) Versions() map[string]Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make(map[string]Version, len(c.entries))
	for resourceType, e := range c.entries {
		versions[resourceType] = e.version
	}
	return versions
}

// Changed returns a channel that is closed at the next change of any resource type.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Renew records the lease renewals that a request carries.
func (c *Cache) Renew(members []Member, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leases.renew(members, now) {
		return
	}
	select {
	case c.drainingChanged <- struct{}{}:
	default:
	}
}

// DrainingChanged returns a channel that receives a value when a member starts or stops draining; for one receiver at a
// time.
func (c *Cache) DrainingChanged() <-chan struct{} { return c.drainingChanged }

// Members returns the members whose lease is younger than maxAge, in no order, and removes the others.
func (c *Cache) Members(now time.Time, maxAge time.Duration) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leases.current(now, maxAge)
}

// RecordContact records the time of a contact with the primary, and the primary's address. It ignores a contact that is
// older than the last one.
func (c *Cache) RecordContact(primary string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordContact(primary, at)
}

// recordContact is RecordContact with the cache locked.
func (c *Cache) recordContact(primary string, at time.Time) {
	if at.After(c.contactAt) {
		c.contactAt = at
		c.primary = primary
	}
}

// LastContact returns when the chain of servers last had contact with the primary, and the primary's address. The
// time is zero if there was none.
func (c *Cache) LastContact() (at time.Time, primary string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contactAt, c.primary
}

// Fetch returns the response to a request: at once if the client isn't up to date, else at the next update, or without
// resources when the request's wait is over or ctx ends.
func (c *Cache) Fetch(ctx context.Context, from string, request *Request) *Response {
	return c.fetch(ctx, from, request, func() {})
}

// fetch is Fetch with a function that updates the last contact. It calls refresh each time before it collects the
// resources: the contact in a response must not be newer than its resources.
func (c *Cache) fetch(ctx context.Context, from string, request *Request, refresh func()) *Response {
	wait := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer wait.Stop()
	start := time.Now()
	for timedOut := false; ; {
		// Read before the contact's age, so that the time between the two counts twice rather than not at all.
		waited := time.Since(start)
		refresh()
		c.mu.Lock()
		c.observeClient(request, time.Now())
		resources := c.resourcesSince(request.Versions)
		changed := c.changed
		contactAt, primary := c.contactAt, c.primary
		c.mu.Unlock()
		if len(resources) > 0 || timedOut || ctx.Err() != nil {
			return newResponse(from, primary, contactAt, resources, waited)
		}
		select {
		case <-changed:
		case <-wait.C:
			timedOut = true
		case <-ctx.Done():
		}
	}
}

// newResponse returns a response whose age is that of the last contact with the primary.
func newResponse(
	from, primary string, contactAt time.Time, resources []Resource, waited time.Duration,
) *Response {
	response := &Response{
		From:          from,
		Primary:       primary,
		LastContactMs: -1,
		Resources:     resources,
		WaitedMs:      waited.Milliseconds(),
	}
	if !contactAt.IsZero() {
		response.LastContactMs = ageMs(contactAt)
	}
	return response
}

// resourcesSince returns the resources that are newer than a client's versions; nil if there are none.
func (c *Cache) resourcesSince(versions map[string]Version) []Resource {
	var resources []Resource
	for resourceType, e := range c.entries {
		had, ok := versions[resourceType]
		switch {
		case !ok:
			resources = append(resources, e.fullResource(resourceType))
		case had.Before(e.version):
			resources = append(resources, e.resourceSince(resourceType, had))
		}
	}
	return resources
}

// Apply stores the resources of a response that was received at receivedAt, to serve them. It returns the resource
// types whose changes don't follow on the cache's version: the next request must ask for a snapshot of them. If the
// configuration is one of them the contact isn't recorded, since it would mark the cache's old configuration as the
// newest.
func (c *Cache) Apply(response *Response, receivedAt time.Time) (lacking []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range response.Resources {
		resource := &response.Resources[i]
		if !c.applyResource(resource) {
			lacking = append(lacking, resource.Type)
		}
	}
	if response.LastContactMs >= 0 && !slices.Contains(lacking, ConfigType) {
		c.recordContact(response.Primary, receivedAt.Add(-time.Duration(response.LastContactMs)*time.Millisecond))
	}
	return lacking
}

// applyResource stores one resource. It returns false if a snapshot of it is needed: if its changes don't follow on the
// cache's version, or there would be too many of them after an old snapshot.
func (c *Cache) applyResource(resource *Resource) bool {
	if resource.Snapshot != nil {
		e := newEntry(resource.BaseVersion, resource.Snapshot)
		c.store(resource.Type, e.withChanges(resource.Version, resource.Changes...))
		return true
	}
	e := c.entries[resource.Type]
	if e != nil && !e.version.Before(resource.Version) {
		return true // already received by another path
	}
	if e == nil || e.version != resource.BaseVersion {
		return false
	}
	next := e.withChanges(resource.Version, resource.Changes...)
	if next.bytesAfterSnapshot > maxRelayBytesAfterSnapshot {
		return false
	}
	c.store(resource.Type, next)
	return true
}

// ageMs returns the age of a time in milliseconds, rounded up: an age must not shrink when a relay forwards it.
func ageMs(since time.Time) int64 { return roundUpMs(time.Since(since)) }

// roundUpMs returns a duration in whole milliseconds, rounded up.
func roundUpMs(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
