package controlplane

import (
	"sync"
	"time"
)

// contact records the contact with the primary of the current view. On the primary it is the start of the newest
// heartbeat round that all backups acknowledged; on other members, the receipt of the primary's last message. It is
// safe for concurrent use.
type contact struct {
	mu      sync.Mutex
	epoch   uint64
	at      time.Time     // last contact in this epoch; zero: none, or the primary is suspected
	last    time.Time     // last contact in any epoch, entry into the newest view, or the start
	renewed chan struct{} // closed and replaced at each renewal
}

// newContact returns the contact of a process that has just started: the primary that its disk names has sent nothing
// to this process.
func newContact(start time.Time) *contact {
	return &contact{last: start, renewed: make(chan struct{})}
}

// renew records contact in an epoch. Contact in an earlier epoch, or earlier contact in the same epoch, is ignored.
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

// enterEpoch records a new view, whose primary hasn't contacted this machine yet.
func (c *contact) enterEpoch(epoch uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch > c.epoch {
		c.epoch = epoch
		c.at = time.Time{}
	}
	c.last = now
}

// suspect clears the contact with the primary but keeps the time of the last contact.
func (c *contact) suspect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = time.Time{}
}

// contactState is a snapshot of a contact.
type contactState struct {
	at      time.Time // last contact in the requested epoch; zero: none
	last    time.Time // last contact in any epoch, entry into the newest view, or the start
	renewed <-chan struct{}
}

// forEpoch returns the state of the contact with respect to an epoch.
func (c *contact) forEpoch(epoch uint64) contactState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := contactState{last: c.last, renewed: c.renewed}
	if c.epoch == epoch {
		state.at = c.at
	}
	return state
}
