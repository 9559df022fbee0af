package controlplane

import (
	"sync"
	"time"
)

// contact is what this machine knows of the primary of its view. At the primary: when the newest round of heartbeats
// began that all backups acknowledged. Elsewhere: when the last message of the primary came. It is safe for
// concurrent use.
type contact struct {
	mu      sync.Mutex
	epoch   uint64
	at      time.Time     // in this epoch; zero: never, or the primary is suspected
	last    time.Time     // of any epoch, or when the newest view became known, or the start
	renewed chan struct{} // closed and made anew with each renewal
}

// newContact returns that of a process that starts: its disk names a primary that has sent it nothing yet.
func newContact(start time.Time) *contact {
	return &contact{last: start, renewed: make(chan struct{})}
}

// renew records contact in an epoch. Contact of an older epoch, or an older one, changes nothing.
func (c *contact) renew(epoch uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.epoch || epoch == c.epoch && !at.After(c.at) {
		return
	}
	c.epoch = epoch
	c.at = at
	if at.After(c.last) {
		c.last = at
	}
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// enterEpoch records a new view, whose primary has sent nothing so far.
func (c *contact) enterEpoch(epoch uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch > c.epoch {
		c.epoch = epoch
		c.at = time.Time{}
	}
	c.last = now
}

// suspect forgets the contact with the primary, but not how long ago there was contact.
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

// forEpoch returns the contact in an epoch.
func (c *contact) forEpoch(epoch uint64) contactState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := contactState{last: c.last, renewed: c.renewed}
	if c.epoch == epoch {
		state.at = c.at
	}
	return state
}
