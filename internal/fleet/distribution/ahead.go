package distribution

import (
	"slices"
	"time"
)

// maxAheadClients bounds the clients that are remembered as ahead of a Cache.
const maxAheadClients = 1024

// aheadClients are the clients that asked with a newer version of the configuration than the cache has, by name, with
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

// longerThan returns the clients that have been ahead for a time, in the order of their names.
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

// ClientsAhead returns the names of the clients whose requests have told of a newer configuration than this cache has
// for a time. At a primary, which has the newest, these are clients from before the record was started anew: they take
// nothing until they are restarted.
func (c *Cache) ClientsAhead(age time.Duration, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.longerThan(age, now)
}

// observeClient records whether a request tells of a newer configuration than the cache has; the cache is locked.
func (c *Cache) observeClient(request *Request, now time.Time) {
	had, asked := request.Versions[ConfigType]
	own := Version{}
	if e := c.entries[ConfigType]; e != nil {
		own = e.version
	}
	c.ahead.observe(request.From, asked && own.Before(had), now)
}
