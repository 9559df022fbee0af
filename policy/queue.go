package policy

import (
	"cmp"
	"slices"
)

// maxFailures is the number of queued requests without an available server after which one pass of
// dispatch ends.
const maxFailures = 4

// dispatch sends queued requests while there is capacity: the most valuable first, newest first among equals.
func (b *Balancer) dispatch() {
	b.sortQueue()
	b.saturated = false
	for i, failures := 0, 0; i < len(b.queue) && failures < maxFailures && b.throttle.Open(b.now); {
		r := b.queue[i]
		// Requests whose affinity servers are full are skipped; among the others a few failures show that
		// there is no capacity.
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
		b.finishUnserved(b.queue[len(b.queue)-1])
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

// affinityFull reports whether the request waits for its affinity servers, these are unchanged since its last
// selection, and they are at their caps.
func (b *Balancer) affinityFull(r *request) bool {
	near := r.affinityServers
	return b.waitsForAffinity(r) && near[0] != nil && r.epoch == b.epoch &&
		!b.underCap(near[0], r) && !b.underCap(near[1], r)
}

// overfull reports whether the queue exceeds maxQueued, or is not empty while queued requests and attempts in
// flight together exceed Limits.MaxOpenRequests (0: no limit).
func (b *Balancer) overfull() bool {
	if len(b.queue) > maxQueued {
		return true
	}
	most := b.set.Limits.MaxOpenRequests
	return len(b.queue) > 0 && most > 0 && len(b.queue)+b.inFlight > most
}

// expire rejects queued requests whose answer is expected too late to be useful, and those past their
// deadline.
func (b *Balancer) expire() {
	for _, r := range slices.Clone(b.queue) {
		if b.now+b.expectedAnswerMs(r) > b.latestUseful(r) || b.now >= r.deadline {
			b.finishUnserved(r)
		}
	}
}
