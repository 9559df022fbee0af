package policy

import (
	"cmp"
	"slices"
)

// maxFailures is after how many requests that found no server the rest of the queue isn't looked at.
const maxFailures = 4

// dispatch sends queued requests as far as there is capacity: the most valuable first, of equals the newest.
func (b *Balancer) dispatch() {
	b.sortQueue()
	b.saturated = false
	for i, failures := 0, 0; i < len(b.queue) && failures < maxFailures && b.throttle.Open(b.now); {
		r := b.queue[i]
		// One whose key's servers are known to be full is passed over; of others a few failures tell.
		if b.affinityFull(r) {
			i++
			continue
		}
		if s := b.selectServer(r); s != nil && b.send(r, s) {
			b.queue = slices.Delete(b.queue, i, i+1)
			continue
		}
		i++
		if !b.waitsForAffinity(r) && b.now >= r.retryAt {
			failures++
		}
		b.saturated = failures > 0
	}
	for b.overfull() {
		b.end(b.queue[len(b.queue)-1])
	}
}

func (b *Balancer) sortQueue() {
	for _, r := range b.queue {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queue, func(x, y *request) int {
		return cmp.Or(
			cmp.Compare(y.value, x.value),
			cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id),
		)
	})
}

// affinityFull tells whether the request waits for its key's servers, and these are still the ones of its
// last selection and at their caps.
func (b *Balancer) affinityFull(r *request) bool {
	near := r.affinityServers
	return b.waitsForAffinity(r) && near[0] != nil && r.epoch == b.epoch &&
		!b.underCap(near[0], r) && !b.underCap(near[1], r)
}

// overfull tells whether there are more requests than the agent may have: queued ones, or open ones in all.
func (b *Balancer) overfull() bool {
	if len(b.queue) > maxQueued {
		return true
	}
	most := b.set.Limits.MaxOpenRequests
	return len(b.queue) > 0 && most > 0 && len(b.queue)+b.inFlight > most
}

// expire ends queued requests that can no longer earn anything.
func (b *Balancer) expire() {
	for _, r := range slices.Clone(b.queue) {
		if b.now+b.expectedAnswerMs(r) > b.latestUseful(r) || b.now >= r.deadline {
			b.end(r)
		}
	}
}
