package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

// backend is one listed server. The core's goroutine owns it.
type backend struct {
	addr         cluster.Addr
	dial         string  // address to connect to
	startMs      float64 // start of its process by the list, ms
	usable       bool    // listed as ready
	endpoint     Endpoint
	lastAnswer   time.Time  // last answer of any kind; kept only in a fleet or if losses are reported
	attempts     []*Attempt // attempts in flight, in the order of their start
	probes       []*Attempt // probes in flight, in the order of their start
	unresponsive bool       // the last conclusive attempt got no answer
	zone         int
}

// recordStatus updates unresponsive from the end of an attempt. One unanswered attempt is enough, since the
// Decider then sends the server nothing until it is validated, so a second one may take long.
func (b *backend) recordStatus(s policy.Status) {
	switch s {
	case policy.Timeout, policy.ConnectFailed:
		b.unresponsive = true
	case policy.OK, policy.Error, policy.Full:
		b.unresponsive = false
	}
}

// unresponsiveServers returns the addresses of the unresponsive servers.
func (c *Core) unresponsiveServers() (all []cluster.Addr) {
	for _, b := range c.backends {
		if b.unresponsive {
			all = append(all, b.addr)
		}
	}
	return all
}

// updateList merges a list into the current one and applies it as this agent is to use it.
func (c *Core) updateList(kind cluster.ListKind, list *cluster.List) {
	c.seq = list.Seq
	mergeList(&c.list, kind, list)
	if c.fleet != nil {
		c.replan()
		return
	}
	c.apply(kind, c.withExclusions(list), 0)
}

// Exclude replaces the set of excluded servers, which are treated as draining even if the roster
// lists them as ready. It never makes a server ready that the roster lists otherwise. When it
// returns, the set is in effect: no new attempts begin at excluded servers.
func (c *Core) Exclude(servers []cluster.Addr) {
	excluded, done := map[cluster.Addr]bool{}, make(chan struct{})
	for _, s := range servers {
		excluded[s] = true
	}
	c.post(input{kind: inExclude, excluded: excluded, done: done})
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

// exclude applies a new set of excluded servers.
func (c *Core) exclude(excluded map[cluster.Addr]bool) {
	was := c.excluded
	if c.excluded = excluded; c.fleet != nil {
		c.replan()
		return
	}
	change := &cluster.List{Seq: c.list.Seq}
	for _, s := range c.list.Servers {
		if was[s.Server] != excluded[s.Server] {
			change.Servers = append(change.Servers, s)
		}
	}
	if len(change.Servers) > 0 {
		c.apply(cluster.ListDelta, c.withExclusions(change), 0)
	}
}

// withExclusions returns the list with excluded servers marked as draining.
func (c *Core) withExclusions(list *cluster.List) *cluster.List {
	if len(c.excluded) == 0 {
		return list
	}
	mine := *list
	mine.Servers = slices.Clone(list.Servers)
	for i := range mine.Servers {
		if s := &mine.Servers[i]; s.Health == cluster.Ready && c.excluded[s.Server] {
			s.Health = cluster.Draining
		}
	}
	return &mine
}

// apply applies a list to the connections and then passes it to the Decider. least is the least number of
// servers to send to; 0: not given.
func (c *Core) apply(kind cluster.ListKind, list *cluster.List, least int) {
	entries := make([]cluster.Entry, len(list.Servers))
	named := map[cluster.Addr]bool{}
	for i := range list.Servers {
		s := &list.Servers[i]
		entries[i] = s.Entry
		addr := s.Entry.Server
		named[addr] = true
		b := c.byAddr[addr]
		if b == nil {
			if s.Health == cluster.Gone {
				continue
			}
			b = &backend{addr: addr}
			c.byAddr[addr] = b
			c.backends = append(c.backends, b)
		}
		if s.Health != cluster.Gone && (b.endpoint == nil || b.dial != s.Dial || b.startMs != s.SinceMs) {
			// Connections to the former address or process are useless, and attempts that
			// have not begun there must not begin.
			if b.endpoint != nil {
				c.withdraw(b)
				b.endpoint.Retire()
			}
			b.dial, b.startMs, b.endpoint = s.Dial, s.SinceMs, c.transport.Endpoint(s)
		}
		b.usable, b.zone = s.Health == cluster.Ready, s.Zone
	}
	usable := false
	for _, b := range slices.Clone(c.backends) { // removeIfUnused modifies c.backends
		if kind != cluster.ListDelta && !named[b.addr] {
			b.usable = false
		}
		if !b.usable {
			c.withdraw(b)
		}
		usable = usable || b.usable
		c.removeIfUnused(b)
	}
	c.dispatch(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries, MinServers: least})
	c.ready.Store(usable)
}

// withdraw stops the attempts at a server of which no byte was written, and closes its idle
// connections, since the server is draining, gone or replaced.
func (c *Core) withdraw(b *backend) {
	for _, a := range b.attempts {
		c.stop(a, ErrDrained, policy.Full)
	}
	b.cancelProbes()
	b.endpoint.CloseIdle()
}

// stop stops an attempt of which no byte was written, and reports whether it did. Its end is then
// handled in the order of the calls to stop, independently of when its transport reports it.
func (c *Core) stop(a *Attempt, cause error, as policy.Status) bool {
	if !a.Withdraw(cause) {
		return false
	}
	c.pending = append(c.pending, input{kind: inOutcome, att: a,
		res: Result{Status: as, duration: time.Since(a.started)}})
	return true
}

// removeIfUnused removes a server that is not usable and has no attempt in flight.
func (c *Core) removeIfUnused(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.endpoint.Retire()
		if c.byAddr[b.addr] == b {
			delete(c.byAddr, b.addr)
			c.backends = slices.DeleteFunc(c.backends, func(o *backend) bool { return o == b })
		}
	}
}
