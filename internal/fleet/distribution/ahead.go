package distribution

import (
	"slices"
	"time"
)

// maxAheadClients bounds the clients that are remembered as ahead of a Cache.
const maxAheadClients = 1024

// aheadClients maps the names of clients whose last request had a newer version of the configuration than the cache to
// the time of the first such request in a row.
type aheadClients map[string]time.Time

// observe records whether a client is ahead.
func (a aheadClients) observe(client string, ahead bool, now time.Time) {
	if !ahead {
		delete(a, client)
		return
	}
	if _, known := a[client]; !known && len(a) < maxAheadClients {
		a[client] = now
	}
}

// longerThan returns the clients that have been ahead for at least age, sorted by name.
func (a aheadClients) longerThan(age time.Duration, now time.Time) []string {
	var clients []string
	for client, since := range a {
		if now.Sub(since) >= age {
			clients = append(clients, client)
		}
	}
	slices.Sort(clients)
	return clients
}

// ClientsAhead returns the names of the clients whose requests have had a newer version of the configuration than this
// cache for at least age. At a primary, which has the newest version, these clients still have a version from before
// the log was reset: they accept no update until they are restarted.
func (c *Cache) ClientsAhead(age time.Duration, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.longerThan(age, now)
}

// observeClient records whether a request has a newer version of the configuration than the cache. The caller holds
// c.mu.
func (c *Cache) observeClient(request *Request, now time.Time) {
	had, asked := request.Versions[ConfigType]
	own := Version{}
	if e := c.entries[ConfigType]; e != nil {
		own = e.version
	}
	c.ahead.observe(request.From, asked && own.Before(had), now)
}
