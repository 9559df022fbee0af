package simulation

import (
	"net/http"
	"slices"
	"time"
)

// KeyRevocation is an API key that an acknowledged configuration took away.
type KeyRevocation struct {
	Key     string
	AckedAt time.Time
	// RestoredAt is when the operator sent a later configuration that has the key; zero: none was sent.
	RestoredAt time.Time
}

// KeyAddition is an API key that an acknowledged configuration added.
type KeyAddition struct {
	Key     string
	AckedAt time.Time
	// Edges are the addresses at machines that are in touch from the acknowledgement on; those at others aren't judged.
	Edges []string
	// RevokedAt is when the operator sent a later configuration that takes the key away; zero: none was sent.
	RevokedAt time.Time
}

// SentKey returns the API key that the request carries, in Key or among its further headers; empty: none.
func (r Request) SentKey() string {
	if r.Key != "" {
		return r.Key
	}
	return apiKey(r.Header)
}

// checkRevocations judges CONFIG: no request runs that was sent later than the bound after the acknowledgement of a
// configuration that took its key away, at any machine.
func (o *observations) checkRevocations(revocations []KeyRevocation) {
	for _, revoked := range revocations {
		for i := range o.entries {
			en := &o.entries[i]
			r := o.resultByAttempt[en.Attempt]
			if !en.Ran || r == nil || r.SentKey() != revoked.Key || r.SentAt.Sub(revoked.AckedAt) <= o.bounds.Revoke {
				continue
			}
			if !revoked.RestoredAt.IsZero() && en.At.After(revoked.RestoredAt) {
				continue
			}
			o.reportAtEngine(CONFIG, en,
				"it was sent to %s %v after a configuration was acknowledged that took its key away",
				r.Edge, r.SentAt.Sub(revoked.AckedAt))
		}
	}
}

// checkAdditions judges CONFIG: a machine in touch doesn't refuse a key that was sent later than the bound after the
// acknowledgement of the configuration that added it.
func (o *observations) checkAdditions(additions []KeyAddition) {
	for _, added := range additions {
		for i := range o.results {
			r := &o.results[i]
			if r.SentKey() != added.Key || !slices.Contains(added.Edges, r.Edge) {
				continue
			}
			if r.SentAt.Sub(added.AckedAt) <= o.bounds.Apply {
				continue
			}
			if !added.RevokedAt.IsZero() && r.EndedAt.After(added.RevokedAt) {
				continue
			}
			switch r.Status {
			case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
				o.reportAtClient(CONFIG, r,
					"status %d, sent %v after a configuration was acknowledged that has its key",
					r.Status, r.SentAt.Sub(added.AckedAt))
			}
		}
	}
}
