package controlplane

import (
	"sync"
	"time"
)

// contact is what this machine knows of the primary of its view. At the primary: when the newest round of confirmations began
// that all backups answered. Elsewhere: when the primary was last heard.
type contact struct {
	mu      sync.Mutex
	epoch   uint64
	at      time.Time     // in this epoch; zero: never, or in doubt
	last    time.Time     // of any epoch, or when the newest view became known, or the start
	renewed chan struct{} // closed and made anew with each renewal
}

// newContact is that of a process that starts: its disk names a primary that has yet to be heard.
func newContact(start time.Time) *contact {
	return &contact{last: start, renewed: make(chan struct{})}
}

// renew notes contact in an epoch. Contact of an older epoch, or an older one, changes nothing.
func (c *contact) renew(epoch uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.epoch || epoch == c.epoch && !at.After(c.at) {
		return
	}
	c.epoch, c.at = epoch, at
	if at.After(c.last) {
		c.last = at
	}
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// enterEpoch notes a new view, of whose primary nothing was heard so far.
func (c *contact) enterEpoch(epoch uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch > c.epoch {
		c.epoch, c.at = epoch, time.Time{}
	}
	c.last = now
}

// suspect forgets when the primary was heard, but not how long ago there was contact.
func (c *contact) suspect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = time.Time{}
}

// contactState is a contact at one moment.
type contactState struct {
	at      time.Time // in the epoch asked for; zero: none
	last    time.Time // in any, or the start
	renewed <-chan struct{}
}

// forEpoch gives the contact in an epoch.
func (c *contact) forEpoch(epoch uint64) contactState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := contactState{last: c.last, renewed: c.renewed}
	if c.epoch == epoch {
		s.at = c.at
	}
	return s
}
