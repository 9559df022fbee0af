package core

import (
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

// Roster asks the service that lists the servers. Its methods return at once; what comes
// of a call is told as News, from whatever goroutine. The core has one call of each kind
// out at a time.
type Roster interface {
	// Fetch asks for the whole list once and tells Fetched. An eager call is tried again
	// for a while if it fails: a new roster is to be heard soon. Only a new one is asked so.
	Fetch(eager bool)
	// Watch follows the changes after a version: Changed for each, WatchEnded at its end.
	Watch(since int64, eager bool)
	// Close ends all calls. What they still tell is not listened to.
	Close()
}

// NewsKind tells what a roster's news is.
type NewsKind uint8

// The kinds of news.
const (
	Fetched    NewsKind = iota // List, or Err
	Changed                    // List
	WatchEnded                 // Err
)

// News is what comes of a call to the roster.
type News struct {
	Kind NewsKind
	List cluster.List
	Err  error
}

// onNews applies what a roster tells, in the order of the lists' versions.
func (c *Core) onNews(n *News) {
	c.part.told(c.clock())
	switch n.Kind {
	case Fetched:
		switch {
		case n.Err != nil:
			c.log.Warn("roster: fetch failed", "err", n.Err)
			c.tell(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
		case n.List.Seq >= c.seq: // the watch may have told more meanwhile
			c.learn(cluster.ListFull, &n.List)
		}
	case Changed:
		switch {
		case n.List.Complete:
			c.learn(cluster.ListFull, &n.List)
		case n.List.Seq > c.seq:
			c.learn(cluster.ListDelta, &n.List)
		}
	case WatchEnded:
		c.watching = false
		c.log.Warn("roster: watch ended", "err", n.Err)
		c.tell(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
		if c.pushed() {
			again := min(refollow, ms(c.set.Contract.MaxPollIntervalMs/2))
			time.AfterFunc(again, func() { c.post(input{kind: inFollow}) })
		}
	}
}

// refollow is how long after its end a watch of a pushed list is begun again, at the most.
const refollow = 250 * time.Millisecond

// pushed tells whether lists come unasked. The module, to which a simulator hands them,
// does not ask to follow them then; on real sockets they come by a watch all the same, at
// no cost to a service that stands on the agent's own machine.
func (c *Core) pushed() bool { return c.set.Membership == "pushed" }

// follow watches the list from the version at hand on.
func (c *Core) follow() {
	if c.watching {
		return
	}
	c.watching = true
	wait := time.Duration(0)
	if !c.pushed() {
		wait = c.part.follow(c.clock())
	}
	c.later(wait, input{kind: inWatch, gen: c.rosterGen}, func() { c.roster.Watch(c.seq, false) })
}

// turnTo turns to another roster: the old one's calls end and what they tell no longer
// counts, the new one is asked for all that it knows, at once. Until it tells, the list
// at hand and all connections stay. Its versions have nothing to do with the old.
func (c *Core) turnTo(addr string) {
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

// openRoster makes the client of a roster, the news of which count from now on.
func (c *Core) openRoster(addr string) {
	c.rosterGen++
	gen := c.rosterGen
	c.rosterAddr = addr
	c.roster = c.newRoster(addr, func(n News) {
		c.post(input{kind: inNews, news: n, gen: gen})
	})
}
