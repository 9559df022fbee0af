package ranking

import (
	"slices"

	"molepaddle/policy"
)

// AttemptStarted counts an attempt at a backend.
func (r *Ranker) AttemptStarted(id string) {
	if b := r.byID[id]; b != nil {
		b.inFlight++
	}
}

// AttemptEnded records how an attempt that AttemptStarted counted ended; it is to be called once for each. OK makes
// the backend Connected. Error, Timeout, ConnectFailed and Reset demote it; where it was Connected they also force a
// refresh: all backends that are Unhealthy await validation at once, and ShouldRefetch calls for the list. Other
// statuses say nothing of the backend. A 503 of a backend that couldn't fetch a prompt's KV cache is Full here, and
// reported to TransferEnded.
func (r *Ranker) AttemptEnded(now float64, id string, status policy.Status) {
	b := r.byID[id]
	if b == nil {
		return
	}
	b.inFlight = max(b.inFlight-1, 0)
	switch status {
	case policy.OK:
		b.Served(now)
	case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
		r.demote(now, b)
	}
}

// TransferEnded records whether the KV cache held at the source, which prefilled the prompt, could be fetched by
// another backend. It ends no attempt. A failure demotes neither side by itself: from the third in a row on it
// demotes the source as a failed attempt does, until a transfer succeeds.
func (r *Ranker) TransferEnded(now float64, source string, ok bool) {
	b := r.byID[source]
	if b == nil {
		return
	}
	if ok {
		b.failedTransfers = 0
		return
	}
	b.failedTransfers++
	if b.failedTransfers >= maxFailedTransfers {
		r.demote(now, b)
	}
}

// demote makes a backend Unhealthy, and refreshes all if it was Connected.
func (r *Ranker) demote(now float64, b *backend) {
	wasConnected := b.State() == policy.Connected
	b.Demote(now)
	if wasConnected {
		r.refresh(now, 0)
	}
}

// refresh has all backends that are Unhealthy await validation, if one of them has been so for hold ms.
func (r *Ranker) refresh(now, hold float64) {
	due := slices.ContainsFunc(r.all, func(b *backend) bool {
		return b.State() == policy.Unhealthy && now-b.Since() >= hold
	})
	if !due {
		return
	}
	r.refetchDue = true
	for _, b := range r.all {
		if b.Refresh(now, 0) {
			b.probeDue = true
		}
	}
}

// ShouldRefetch tells whether to fetch the endpoint list now, in the background: after a refresh, and not within
// MinRefetchIntervalMs of the last time it said so. The caller asks after each request. Nothing waits for the list,
// and a backend comes back without it.
func (r *Ranker) ShouldRefetch(now float64) bool {
	if !r.refetchDue || now-r.refetchedAt < r.settings.MinRefetchIntervalMs {
		return false
	}
	r.refetchDue = false
	r.refetchedAt = now
	return true
}

// StartProbes appends to out the ids of the backends to probe now, in the background, and counts them as in flight:
// each once for every time it became UnhealthyPending, MaxProbes at once at the most. The caller asks after Rank,
// AttemptEnded, TransferEnded and ProbeEnded, and reports the end of each probe to ProbeEnded.
func (r *Ranker) StartProbes(out []string) []string {
	for _, b := range r.all {
		if r.probesInFlight >= r.settings.MaxProbes {
			break
		}
		if !b.probeDue || b.probing || !b.usable || b.State() != policy.UnhealthyPending {
			continue
		}
		b.probeDue = false
		b.probing = true
		r.probesInFlight++
		out = append(out, b.id)
	}
	return out
}

// ProbeEnded records the end of a probe: the backend is Connected or Unhealthy, if it still awaits validation.
func (r *Ranker) ProbeEnded(now float64, id string, ok bool) {
	b := r.byID[id]
	if b == nil || !b.probing {
		return
	}
	b.probing = false
	r.probesInFlight--
	b.Probed(now, ok)
}

// Eject records that the fleet's proxies together found a backend to do far worse than its peers: it is Unhealthy
// until the time given, ms, unless Restore comes before.
func (r *Ranker) Eject(now float64, id string, until float64) {
	if b := r.byID[id]; b != nil {
		b.Demote(now)
		b.ejectedUntil = until
	}
}

// Restore records that the fleet no longer ejects a backend, since trial requests were served there: it is Connected.
func (r *Ranker) Restore(now float64, id string) {
	if b := r.byID[id]; b != nil && b.ejectedUntil > 0 {
		b.ejectedUntil = 0
		b.Served(now)
	}
}

// InFlight returns the number of attempts in flight at a backend.
func (r *Ranker) InFlight(id string) int {
	if b := r.byID[id]; b != nil {
		return b.inFlight
	}
	return 0
}
