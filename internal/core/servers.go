package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

// backend is one listed server. The core's goroutine owns it.
type backend struct {
	addr     cluster.Addr
	dial     string
	bornMs   float64
	usable   bool // listed as ready
	endpoint Endpoint
	heard    time.Time  // when it answered anything last, known in a fleet or for an account only
	attempts []*Attempt // out now, in the order of their start
	probes   []*Attempt // the same of probes
	silent   bool       // it has not answered the last attempt that told anything of it
	zone     int
}

// heed notes what an attempt's end says of the server. One unanswered attempt is enough: the module
// sends it nothing more then until it is checked, so there may be no second for long.
func (b *backend) heed(s policy.Status) {
	switch s {
	case policy.Timeout, policy.ConnectFailed:
		b.silent = true
	case policy.OK, policy.Error, policy.Full:
		b.silent = false
	}
}

// silent is the servers that are.
func (c *Core) silent() (all []cluster.Addr) {
	for _, b := range c.backends {
		if b.silent {
			all = append(all, b.addr)
		}
	}
	return all
}

// learn takes a list, and applies what of it is this agent's.
func (c *Core) learn(kind cluster.ListKind, list *cluster.List) {
	c.seq = list.Seq
	merge(&c.list, kind, list)
	if c.part != nil {
		c.replan()
		return
	}
	c.apply(kind, c.veiled(list), 0)
}

// LeaveAlone has the servers named be treated as draining, and no others for another reason than the
// roster's word, which holds beside this: none becomes ready by it. It returns once that is in force:
// nothing new begins at them from then on.
func (c *Core) LeaveAlone(servers []cluster.Addr) {
	alone, done := map[cluster.Addr]bool{}, make(chan struct{})
	for _, s := range servers {
		alone[s] = true
	}
	c.post(input{kind: inAlone, alone: alone, done: done})
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

func (c *Core) leaveAlone(alone map[cluster.Addr]bool) {
	was := c.alone
	if c.alone = alone; c.part != nil {
		c.replan()
		return
	}
	change := &cluster.List{Seq: c.list.Seq}
	for _, s := range c.list.Servers {
		if was[s.Server] != alone[s.Server] {
			change.Servers = append(change.Servers, s)
		}
	}
	if len(change.Servers) > 0 {
		c.apply(cluster.ListDelta, c.veiled(change), 0)
	}
}

// veiled is a list with those that are to be left alone as draining.
func (c *Core) veiled(list *cluster.List) *cluster.List {
	if len(c.alone) == 0 {
		return list
	}
	mine := *list
	mine.Servers = slices.Clone(list.Servers)
	for i := range mine.Servers {
		if s := &mine.Servers[i]; s.Health == cluster.Ready && c.alone[s.Server] {
			s.Health = cluster.Draining
		}
	}
	return &mine
}

// apply applies a list: to the connections first, then the module is told.
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
		if s.Health != cluster.Gone && (b.endpoint == nil || b.dial != s.Dial || b.bornMs != s.SinceMs) {
			// Connections to another address or to the process before are of no use, and
			// what has not begun there must not.
			if b.endpoint != nil {
				c.withdraw(b)
				b.endpoint.Retire()
			}
			b.dial, b.bornMs, b.endpoint = s.Dial, s.SinceMs, c.transport.Endpoint(s)
		}
		b.usable, b.zone = s.Health == cluster.Ready, s.Zone
	}
	usable := false
	for _, b := range slices.Clone(c.backends) { // drop takes out of it
		if kind != cluster.ListDelta && !named[b.addr] {
			b.usable = false
		}
		if !b.usable {
			c.withdraw(b)
		}
		usable = usable || b.usable
		c.drop(b)
	}
	c.tell(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries, MinServers: least})
	c.ready.Store(usable)
}

// withdraw stops the attempts of which no byte has gone out, and closes the connections
// that stand idle: a server that drains, is gone or is another now gets nothing more.
func (c *Core) withdraw(b *backend) {
	for _, a := range b.attempts {
		c.stop(a, ErrDrained, policy.Full)
	}
	b.unprobe()
	b.endpoint.CloseIdle()
}

// stop gives an attempt up if no byte of it went out; then it has ended, in the order in
// which attempts are stopped, whenever its transport comes to know.
func (c *Core) stop(a *Attempt, cause error, as policy.Status) bool {
	if !a.Withdraw(cause) {
		return false
	}
	c.todo = append(c.todo, input{kind: inOutcome, att: a, res: Result{Status: as, took: time.Since(a.started)}})
	return true
}

// drop forgets a server that is not to be sent to and has no attempt out.
func (c *Core) drop(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.endpoint.Retire()
		if c.byAddr[b.addr] == b {
			delete(c.byAddr, b.addr)
			c.backends = slices.DeleteFunc(c.backends, func(o *backend) bool { return o == b })
		}
	}
}
