package core

import (
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

// Roster is a client of the service that lists the servers. Its methods return at once and
// report results as Updates, from any goroutine. The core has at most one call of each kind
// in progress.
type Roster interface {
	// Fetch requests the complete list once and reports Fetched. If eager, a failed call is
	// retried for a while, so that a new roster answers soon; the core sets it after a change
	// of roster only.
	Fetch(eager bool)
	// Watch follows the changes after a version. It reports Changed for each and WatchEnded
	// at its end. eager is as for Fetch.
	Watch(since int64, eager bool)
	// Close ends all calls. The core ignores Updates that still arrive.
	Close()
}

// UpdateKind is the kind of an Update; it determines which fields are set.
type UpdateKind uint8

// The kinds of updates.
const (
	Fetched    UpdateKind = iota // List, or Err
	Changed                      // List
	WatchEnded                   // Err
)

// Update is a result of a call to the roster.
type Update struct {
	Kind UpdateKind
	List cluster.List
	Err  error
}

// onUpdate applies an update from the roster. A fetched list applies unless it is older than the current version,
// and a change only if it is newer; a complete list from a watch always applies.
func (c *Core) onUpdate(n *Update) {
	c.fleet.recordUpdate(c.clock())
	switch n.Kind {
	case Fetched:
		switch {
		case n.Err != nil:
			c.log.Warn("roster: fetch failed", "err", n.Err)
			c.dispatch(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
		case n.List.Seq >= c.seq: // the watch may have delivered a newer list in the meantime
			c.updateList(cluster.ListFull, &n.List)
		}
	case Changed:
		switch {
		case n.List.Complete:
			c.updateList(cluster.ListFull, &n.List)
		case n.List.Seq > c.seq:
			c.updateList(cluster.ListDelta, &n.List)
		}
	case WatchEnded:
		c.watching = false
		c.log.Warn("roster: watch ended", "err", n.Err)
		c.dispatch(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
		if c.pushed() {
			again := min(watchRetryDelay, ms(c.set.Contract.MaxPollIntervalMs/2))
			time.AfterFunc(again, func() { c.post(input{kind: inFollow}) })
		}
	}
}

// watchRetryDelay is the maximum delay until the core restarts an ended watch, if lists are pushed.
const watchRetryDelay = 250 * time.Millisecond

// pushed reports whether lists are pushed. The Decider, which gets them from the simulator in
// that case, does not request a watch then. On real sockets they still arrive by a watch that the
// core starts itself, which costs little since the service runs on the agent's own machine.
func (c *Core) pushed() bool { return c.set.Membership == "pushed" }

// follow starts to watch the list from the current version, unless a watch is running or scheduled.
func (c *Core) follow() {
	if c.watching {
		return
	}
	c.watching = true
	wait := time.Duration(0)
	if !c.pushed() {
		wait = c.fleet.watchDelay(c.clock())
	}
	c.runAfter(wait, input{kind: inWatch, gen: c.rosterGen}, func() { c.roster.Watch(c.seq, false) })
}

// switchRoster replaces the roster. The calls to the old one end and their updates are ignored;
// the new one is asked for the complete list at once. Until it answers, the current list and all
// connections stay in use. The versions of the two rosters are unrelated.
func (c *Core) switchRoster(addr string) {
	if addr == c.rosterAddr {
		return
	}
	c.log.Info("roster: changed", "from", c.rosterAddr, "to", addr)
	c.roster.Close()
	c.openRoster(addr)
	c.seq, c.watching = 0, true
	c.roster.Fetch(true)
	c.roster.Watch(0, true)
}

// openRoster creates the client of a roster; only its updates are applied from now on.
func (c *Core) openRoster(addr string) {
	c.rosterGen++
	gen := c.rosterGen
	c.rosterAddr = addr
	c.roster = c.newRoster(addr, func(n Update) {
		c.post(input{kind: inUpdate, update: n, gen: gen})
	})
}
