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

// AttemptEnded records the result of an attempt that AttemptStarted counted; it must be called once for each. OK makes
// the backend Connected. Error, Timeout, ConnectFailed and Reset demote it; if it was Connected, they also force a
// refresh: all Unhealthy backends become UnhealthyPending immediately, and ShouldRefetch requests the endpoint list.
// Other statuses don't change the backend's health. The caller passes Full for a 503 of a backend that couldn't fetch a
// prompt's KV cache, and reports the failed transfer to TransferEnded.
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

// TransferEnded records whether another backend could fetch the KV cache of a prompt from the source, which prefilled
// it. It doesn't end an attempt. A single failure demotes neither backend; each failure from the third in a row on
// demotes the source like a failed attempt, until a transfer succeeds.
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

// demote makes a backend Unhealthy, and refreshes all Unhealthy backends if it was Connected.
func (r *Ranker) demote(now float64, b *backend) {
	wasConnected := b.State() == policy.Connected
	b.Demote(now)
	if wasConnected {
		r.refresh(now, 0)
	}
}

// refresh makes all Unhealthy backends UnhealthyPending if one of them has been Unhealthy for at least hold ms.
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

// ShouldRefetch reports whether to fetch the endpoint list now, in the background: after a refresh, and not within
// MinRefetchIntervalMs of the last time it returned true. The caller calls it after each request. Requests don't wait
// for the list, and backends can become healthy again without it.
func (r *Ranker) ShouldRefetch(now float64) bool {
	if !r.refetchDue || now-r.refetchedAt < r.settings.MinRefetchIntervalMs {
		return false
	}
	r.refetchDue = false
	r.refetchedAt = now
	return true
}

// StartProbes appends to out the ids of the backends to probe now, in the background, and counts these probes as in
// flight. A backend is probed once for each time it became UnhealthyPending, and at most MaxProbes probes are in flight
// at once. The caller calls it after Rank, AttemptEnded, TransferEnded and ProbeEnded, and reports the end of each
// probe to ProbeEnded.
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

// ProbeEnded records the result of a probe: the backend becomes Connected or Unhealthy if it is still UnhealthyPending.
func (r *Ranker) ProbeEnded(now float64, id string, ok bool) {
	b := r.byID[id]
	if b == nil || !b.probing {
		return
	}
	b.probing = false
	r.probesInFlight--
	b.Probed(now, ok)
}

// Eject records that a backend was found to be an outlier from the reports of all proxies: it ranks as Unhealthy until
// the given time, ms, unless Restore is called before.
func (r *Ranker) Eject(now float64, id string, until float64) {
	if b := r.byID[id]; b != nil {
		b.Demote(now)
		b.ejectedUntil = until
	}
}

// Restore records that a backend is no longer ejected, since it has served trial requests: it becomes Connected.
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
